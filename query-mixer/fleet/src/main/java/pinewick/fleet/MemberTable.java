package pinewick.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The listed members by index, with running counts and checksums of the view, and random selection among them. */
final class MemberTable {
    /** Maximum number of ranges of the member list that have a checksum each, to find differences between two views. */
    private static final int MAX_RANGES = 64;
    /** Random attempts to select a live member before all members are scanned. */
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
     * @param size number of listed routers, including this one
     * @param self index of this router
     * @param incarnation incarnation of this router
     */
    MemberTable(int size, int self, long incarnation, SplittableRandom random) {
        this.random = random;
        this.incarnation = Datagram.truncateIncarnation(Math.max(1, incarnation));
        replaceMembers(size, self);
    }

    /**
     * Replaces the member list. Indexes keep the state that is known of them, except this router's old and new
     * index. Throws IllegalArgumentException if the size or the index is out of range.
     */
    void replaceMembers(int size, int index) {
        if (size < 1 || size > Datagram.MAX_MEMBERS || index < 0 || index >= size) {
            throw new IllegalArgumentException("peers: 1 to " + Datagram.MAX_MEMBERS + " mixers are expected, this one "
                    + "among them; there are " + size + " and this one's index is " + index);
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

    /** Marks this router alive at an incarnation above the given one. */
    void refute(double now, long accusedIncarnation) {
        incarnation = Datagram.truncateIncarnation(accusedIncarnation + 1);
        markSelfAlive(now);
    }

    /** Marks this router alive at its incarnation. */
    void markSelfAlive(double now) {
        update(now, members[self], MemberState.ALIVE, incarnation);
    }

    /**
     * Marks this router as left; its checksums stay, so that others do not take its last datagrams for a differing
     * view.
     */
    void markSelfLeft(double now) {
        members[self].merge(now, MemberState.LEFT, incarnation);
    }

    /** Merges a reported state of a member. Returns whether it took precedence. */
    boolean update(double now, Member member, MemberState state, long newIncarnation) {
        boolean changed = member.merge(now, state, newIncarnation);
        if (changed) {
            updateCounts(member);
        }
        return changed;
    }

    /** Number of active members, including this one. */
    int liveCount() {
        return liveCount;
    }

    int suspectCount() {
        return suspectCount;
    }

    /** Digest of 32 bits that very likely differs between two different views. */
    int shortDigest() {
        return shortDigest;
    }

    /** The checksum of each range of the member list. */
    short[] checksums() {
        return checksums;
    }

    /** First index of a range; the number of members for the range after the last. */
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

    /** Updates counts and checksums after the state or incarnation of a member changed. */
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

    /** Digest that is equal for two routers with the same active members at the same incarnations. */
    long digest() {
        long digest = DIGEST_SEED;
        for (Member each : members) {
            if (each.state.isActive()) {
                digest = (digest * DIGEST_INDEX_FACTOR + each.index) * DIGEST_MEMBER_FACTOR + each.incarnation;
            }
        }
        return digest;
    }

    /** One letter per member, by index. */
    String stateLetters() {
        StringBuilder stateLetters = new StringBuilder(members.length);
        for (Member each : members) {
            stateLetters.append(each.state.name().charAt(0));
        }
        return stateLetters.toString();
    }

    /** Index of a random other active member, a live one if found quickly; -1 if there is none. */
    int randomActiveIndex() {
        for (int attempt = 0; attempt < RANDOM_TRIES; attempt++) {
            int index = random.nextInt(members.length);
            if (index != self && members[index].state == MemberState.ALIVE) {
                return index;
            }
        }
        return randomOtherIndex(true);
    }

    /** Index of a random other member that is active or is not, as requested; -1 if there is none. */
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

    /** Index of a random other listed member; -1 if this one is alone. */
    int randomListedIndex() {
        int index = members.length < 2 ? -1 : random.nextInt(members.length - 1);
        return index >= self ? index + 1 : index;
    }

    /** Indexes of up to a maximum number of random active members, except for one. */
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
