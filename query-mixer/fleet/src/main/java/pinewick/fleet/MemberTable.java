package pinewick.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The listed members by place, with running counts and checksums of the view, and random choices among them. */
final class MemberTable {
    /** Stretches of the list with a checksum each, so that differences between two views are found. */
    private static final int STRETCHES = 64;
    /** Draws before the choice of a live member looks at all of them. */
    private static final int DRAWS = 6;

    private static final long DIGEST_SEED = 17;
    private static final long DIGEST_PLACE = 31;
    private static final long DIGEST_MEMBER = 1_000_003;

    private final SplittableRandom random;
    private Member[] members = new Member[0];
    private int self;
    private long incarnation;
    private int shortDigest;
    private short[] checksums;
    private int live;
    private int suspects;

    /**
     * @param size how many routers are listed, this one with them
     * @param self this one's place
     * @param incarnation this one's
     */
    MemberTable(int size, int self, long incarnation, SplittableRandom random) {
        this.random = random;
        this.incarnation = Datagram.bounded(Math.max(1, incarnation));
        replaceMembers(size, self);
    }

    /** Another list: places keep what is known of them, but for this router's own old and new place. */
    void replaceMembers(int size, int place) {
        if (size < 1 || size > Datagram.PLACES || place < 0 || place >= size) {
            throw new IllegalArgumentException("peers: 1 to " + Datagram.PLACES + " mixers are expected, this one "
                    + "among them; there are " + size + " and this one's place is " + place);
        }
        Member[] next = new Member[size];
        for (int each = 0; each < size; each++) {
            boolean known = each < members.length && each != place && each != self;
            next[each] = known ? members[each] : new Member(each);
        }
        members = next;
        self = place;
        countAll();
    }

    int size() {
        return members.length;
    }

    int self() {
        return self;
    }

    Member get(int place) {
        return members[place];
    }

    Member[] all() {
        return members;
    }

    /** This router's own incarnation. */
    long incarnation() {
        return incarnation;
    }

    /** This router is alive, at an incarnation above this one. */
    void outbid(double now, long said) {
        incarnation = Datagram.bounded(said + 1);
        joinSelf(now);
    }

    /** This router takes part. */
    void joinSelf(double now) {
        update(now, members[self], MemberState.ALIVE, incarnation);
    }

    /** This router stops; its own checksums stay, so that others don't take its last datagrams for another view. */
    void leaveSelf(double now) {
        members[self].takes(now, MemberState.LEFT, incarnation);
    }

    /** Merges what was said of a member. Returns whether it was newer than what is held. */
    boolean update(double now, Member member, MemberState standing, long at) {
        boolean newer = member.takes(now, standing, at);
        if (newer) {
            count(member);
        }
        return newer;
    }

    /** How many members take part, this one with them. */
    int live() {
        return live;
    }

    int suspects() {
        return suspects;
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
    int stretchStart(int stretch) {
        return Math.min(members.length, stretch * stretchLength());
    }

    private int stretchLength() {
        return (members.length + STRETCHES - 1) / STRETCHES;
    }

    private void countAll() {
        live = 0;
        suspects = 0;
        shortDigest = 0;
        checksums = new short[(members.length + stretchLength() - 1) / stretchLength()];
        for (Member each : members) {
            each.mark = 0;
            each.counted = false;
            each.suspect = false;
            count(each);
        }
    }

    /** Counts a member whose standing or incarnation changed. */
    private void count(Member member) {
        long kind = member.standing.takesPart() ? 1 : member.standing == MemberState.UNHEARD ? 0 : 2;
        long mark = new SplittableRandom(member.place * 4L + kind ^ member.incarnation << 16).nextLong();
        long change = member.mark ^ mark;
        member.mark = mark;
        shortDigest ^= (int) (change >>> 32);
        checksums[member.place / stretchLength()] ^= (short) change;
        boolean counted = member.place == self || member.standing.takesPart();
        live += counted == member.counted ? 0 : counted ? 1 : -1;
        member.counted = counted;
        boolean suspect = member.standing == MemberState.SUSPECT;
        suspects += suspect == member.suspect ? 0 : suspect ? 1 : -1;
        member.suspect = suspect;
    }

    /** The same for any two routers that hold the same members for taking part, at the same incarnations. */
    long digest() {
        long digest = DIGEST_SEED;
        for (Member each : members) {
            if (each.standing.takesPart()) {
                digest = (digest * DIGEST_PLACE + each.place) * DIGEST_MEMBER + each.incarnation;
            }
        }
        return digest;
    }

    /** A letter a member, by place. */
    String letters() {
        StringBuilder letters = new StringBuilder(members.length);
        for (Member each : members) {
            letters.append(each.standing.name().charAt(0));
        }
        return letters.toString();
    }

    /** The place of any other member that takes part; -1 where there is none. */
    int anyTakingPart() {
        for (int draw = 0; draw < DRAWS; draw++) {
            int place = random.nextInt(members.length);
            if (place != self && members[place].standing == MemberState.ALIVE) {
                return place;
            }
        }
        return anyOther(true);
    }

    /** The place of any other member that takes part, or of any that doesn't; -1 where there is none. */
    int anyOther(boolean takingPart) {
        int found = -1;
        int seen = 0;
        for (Member each : members) {
            if (each.place != self && each.standing.takesPart() == takingPart && random.nextInt(++seen) == 0) {
                found = each.place;
            }
        }
        return found;
    }

    /** The place of any other listed member; -1 where this one is alone. */
    int anyListed() {
        int place = members.length < 2 ? -1 : random.nextInt(members.length - 1);
        return place >= self ? place + 1 : place;
    }

    /** Places of so many members at most that take part, but for one. */
    List<Integer> someTakingPart(int most, int but) {
        List<Integer> places = new ArrayList<>();
        for (int tries = 0; tries < 4 * most && places.size() < most; tries++) {
            int place = anyTakingPart();
            if (place >= 0 && place != but && !places.contains(place)) {
                places.add(place);
            }
        }
        return places;
    }
}
