package pinewick.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The listed members by place, with running counts and checksums of the view, and random choices among them. */
final class MemberTable {
    /** Stretches of the list with a checksum each, so that differences between two views are found. */
    private static final int MAX_RANGES = 64;
    /** Draws before the choice of a live member looks at all of them. */
    private static final int RANDOM_TRIES = 6;

    private static final long DIGEST_SEED = 17;
    private static final long DIGEST_INDEX_FACTOR = 31;
    private static final long DIGEST_MEMBER_FACTOR = 1_000_003;

    private final SplittableRandom random;
    private Member[] members = new Member[0];
    private int self;
    private long incarnation;
    private int shortDigest;
    private short[] checksums;
    private int liveCount;
    private int suspectCount;

    /**
     * @param size how many routers are listed, this one with them
     * @param self this one's place
     * @param incarnation this one's
     */
    MemberTable(int size, int self, long incarnation, SplittableRandom random) {
        this.random = random;
        this.incarnation = Datagram.truncateIncarnation(Math.max(1, incarnation));
        replaceMembers(size, self);
    }

    /** Another list: places keep what is known of them, but for this router's own old and new place. */
    void replaceMembers(int size, int index) {
        if (size < 1 || size > Datagram.MAX_MEMBERS || index < 0 || index >= size) {
            throw new IllegalArgumentException("peers: 1 to " + Datagram.MAX_MEMBERS + " mixers are expected, this one "
                    + "among them; there are " + size + " and this one's place is " + index);
        }
        Member[] next = new Member[size];
        for (int each = 0; each < size; each++) {
            boolean known = each < members.length && each != index && each != self;
            next[each] = known ? members[each] : new Member(each);
        }
        members = next;
        self = index;
        recount();
    }

    int size() {
        return members.length;
    }

    int self() {
        return self;
    }

    Member get(int index) {
        return members[index];
    }

    Member[] all() {
        return members;
    }

    /** This router's own incarnation. */
    long incarnation() {
        return incarnation;
    }

    /** This router is alive, at an incarnation above this one. */
    void refute(double now, long accusedIncarnation) {
        incarnation = Datagram.truncateIncarnation(accusedIncarnation + 1);
        markSelfAlive(now);
    }

    /** This router takes part. */
    void markSelfAlive(double now) {
        update(now, members[self], MemberState.ALIVE, incarnation);
    }

    /** This router stops; its own checksums stay, so that others don't take its last datagrams for another view. */
    void markSelfLeft(double now) {
        members[self].merge(now, MemberState.LEFT, incarnation);
    }

    /** Merges what was said of a member. Returns whether it was newer than what is held. */
    boolean update(double now, Member member, MemberState state, long newIncarnation) {
        boolean changed = member.merge(now, state, newIncarnation);
        if (changed) {
            updateCounts(member);
        }
        return changed;
    }

    /** How many members take part, this one with them. */
    int liveCount() {
        return liveCount;
    }

    int suspectCount() {
        return suspectCount;
    }

    /** Differs, most likely, between two different views. */
    int shortDigest() {
        return shortDigest;
    }

    /** The checksum of each stretch of the list. */
    short[] checksums() {
        return checksums;
    }

    /** The first place of a stretch; for the one after the last, how many members there are. */
    int rangeStart(int range) {
        return Math.min(members.length, range * rangeLength());
    }

    private int rangeLength() {
        return (members.length + MAX_RANGES - 1) / MAX_RANGES;
    }

    private void recount() {
        liveCount = 0;
        suspectCount = 0;
        shortDigest = 0;
        checksums = new short[(members.length + rangeLength() - 1) / rangeLength()];
        for (Member each : members) {
            each.digestContribution = 0;
            each.countedAsLive = false;
            each.countedAsSuspect = false;
            updateCounts(each);
        }
    }

    /** Counts a member whose standing or incarnation changed. */
    private void updateCounts(Member member) {
        long kind = member.state.isActive() ? 1 : member.state == MemberState.UNHEARD ? 0 : 2;
        long digestContribution = new SplittableRandom(member.index * 4L + kind ^ member.incarnation << 16).nextLong();
        long change = member.digestContribution ^ digestContribution;
        member.digestContribution = digestContribution;
        shortDigest ^= (int) (change >>> 32);
        checksums[member.index / rangeLength()] ^= (short) change;
        boolean countedAsLive = member.index == self || member.state.isActive();
        liveCount += countedAsLive == member.countedAsLive ? 0 : countedAsLive ? 1 : -1;
        member.countedAsLive = countedAsLive;
        boolean countedAsSuspect = member.state == MemberState.SUSPECT;
        suspectCount += countedAsSuspect == member.countedAsSuspect ? 0 : countedAsSuspect ? 1 : -1;
        member.countedAsSuspect = countedAsSuspect;
    }

    /** The same for any two routers that hold the same members for taking part, at the same incarnations. */
    long digest() {
        long digest = DIGEST_SEED;
        for (Member each : members) {
            if (each.state.isActive()) {
                digest = (digest * DIGEST_INDEX_FACTOR + each.index) * DIGEST_MEMBER_FACTOR + each.incarnation;
            }
        }
        return digest;
    }

    /** A letter a member, by place. */
    String stateLetters() {
        StringBuilder stateLetters = new StringBuilder(members.length);
        for (Member each : members) {
            stateLetters.append(each.state.name().charAt(0));
        }
        return stateLetters.toString();
    }

    /** The place of any other member that takes part; -1 where there is none. */
    int randomActiveIndex() {
        for (int attempt = 0; attempt < RANDOM_TRIES; attempt++) {
            int index = random.nextInt(members.length);
            if (index != self && members[index].state == MemberState.ALIVE) {
                return index;
            }
        }
        return randomOtherIndex(true);
    }

    /** The place of any other member that takes part, or of any that doesn't; -1 where there is none. */
    int randomOtherIndex(boolean isActive) {
        int found = -1;
        int seen = 0;
        for (Member each : members) {
            if (each.index != self && each.state.isActive() == isActive && random.nextInt(++seen) == 0) {
                found = each.index;
            }
        }
        return found;
    }

    /** The place of any other listed member; -1 where this one is alone. */
    int randomListedIndex() {
        int index = members.length < 2 ? -1 : random.nextInt(members.length - 1);
        return index >= self ? index + 1 : index;
    }

    /** Places of so many members at most that take part, but for one. */
    List<Integer> randomActiveIndexes(int maxCount, int excluded) {
        List<Integer> indexes = new ArrayList<>();
        for (int tries = 0; tries < 4 * maxCount && indexes.size() < maxCount; tries++) {
            int index = randomActiveIndex();
            if (index >= 0 && index != excluded && !indexes.contains(index)) {
                indexes.add(index);
            }
        }
        return indexes;
    }
}
