package pinewick.fleet;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * One router's view of all routers: who takes part, kept over datagrams that come late, twice or not at all. No I/O, no
 * clock: datagrams, looks at the clock and changes of the list come in by {@link #heard}, {@link #tick} and
 * {@link #listed}, datagrams go out through {@link Wire}; times are seconds on the clock that all routers share. The
 * same events in the same order give the same datagrams. Start reading at {@link #tick}.
 *
 * <p>From SWIM (DSN 2002): probes, indirect probes, suspicion with incarnations, gossip that rides on probes
 * ({@link FailureDetector}, {@link DatagramSender}). From Lifeguard (DSN 2018): answers to this router's own slowness,
 * suspicion that shortens with confirmations, telling a suspect at once. docs/fleet-view.md says what differs, and why.
 */
public final class MembershipView implements Datagram.Reader {
    /** Sends datagrams; they may be lost. */
    public interface Wire {
        /** Sends a datagram to the member at a place. */
        void send(int place, byte[] datagram);

        /** To every member at once. Returns false where there is no such way. */
        boolean sendAll(byte[] datagram);
    }

    /** Hears of changes. */
    public interface News {
        /** A member's standing changed. */
        void changed(int place, MemberState was, MemberState is);
    }

    /** Datagrams asked for at a start, for the largest list thrice over. */
    private static final int MOST_REQUESTS = 400;
    /** With more news than this waiting, differences between views are no sign of loss. */
    private static final int MUCH_NEWS = 24;

    private static final int ANNOUNCEMENTS_AT_START = 3;
    private static final int ANNOUNCEMENTS_AT_CHANGE = 2;
    private static final int NO_REQUEST = -1;

    private final MembershipSettings terms;
    private final News news;
    private final SplittableRandom random;
    private final MemberTable table;
    private final DatagramSender sender;
    private final FailureDetector detector;
    private final MemberCounts shares;
    private boolean leaving;
    private double now;
    /** Whose datagram is being read. */
    private int from;

    private double newsSentAt = Double.NEGATIVE_INFINITY;
    private double announcedAt = Double.NEGATIVE_INFINITY;
    private int announcementsLeft;
    /** The place from which on the others' state is still to be asked for. */
    private int requestFrom;

    private int requests;
    private double requestedAt = Double.NEGATIVE_INFINITY;
    private long received;
    private long receivedBytes;
    private long objections;
    private final Map<String, Long> dropped = new TreeMap<>();

    /**
     * @param size how many routers are listed, this one with them
     * @param self this one's place
     * @param incarnation above that of any start before; milliseconds since 1970 serve
     */
    public MembershipView(
            int size,
            int self,
            long incarnation,
            MembershipSettings terms,
            SplittableRandom random,
            Wire wire,
            News news) {
        this.terms = terms;
        this.news = news;
        this.random = random;
        table = new MemberTable(size, self, incarnation, random);
        sender = new DatagramSender(table, terms, wire);
        detector = new FailureDetector(table, sender, terms, news, random);
        shares = new MemberCounts(terms);
    }

    /** Begins: tells everybody that it is here, and asks for what the others know. */
    public void start(double at) {
        now = at;
        table.joinSelf(now);
        detector.start(now);
        announcementsLeft = ANNOUNCEMENTS_AT_START;
        requestState();
        announceIfDue();
        requestStateIfDue();
    }

    /** The regular look, several times a period: probes and suspects, then what this router has to tell or to ask. */
    public void tick(double at) {
        now = at;
        if (leaving) {
            return;
        }
        detector.tick(now);
        announceIfDue();
        requestStateIfDue();
        if (sender.newsWaiting() > 0 && now - newsSentAt >= terms.gossip()) {
            newsSentAt = now;
            int to = table.anyTakingPart();
            if (to >= 0) {
                sender.sendNews(to);
            }
        }
    }

    /** Tells all members of this router's own state, a few times over; once a gossip interval at most. */
    private void announceIfDue() {
        if (announcementsLeft == 0 || now - announcedAt < terms.gossip()) {
            return;
        }
        announcedAt = now;
        announcementsLeft--;
        sender.announce();
    }

    private void requestState() {
        requestFrom = 0;
        requests = 0;
    }

    /** Asks one member after another for the next piece of what is known, until the last piece came. */
    private void requestStateIfDue() {
        if (requestFrom == NO_REQUEST || now - requestedAt < terms.again()) {
            return;
        }
        requestedAt = now;
        int to = requests % 2 == 0 ? table.anyTakingPart() : table.anyListed();
        to = to < 0 ? table.anyListed() : to;
        if (to < 0 || ++requests > MOST_REQUESTS) {
            requestFrom = NO_REQUEST;
            return;
        }
        sender.send(to, Datagram.Kind.ASK, requestFrom, table.self());
    }

    /** A datagram came from this place's address; what can't be used is counted and dropped. */
    public void heard(double at, int place, byte[] datagram, int length) {
        now = at;
        if (leaving) {
            return;
        }
        from = place;
        received++;
        receivedBytes += length;
        if (place < 0 || place >= table.size() || place == table.self()) {
            drop("stranger");
            return;
        }
        String wrong = Datagram.read(now, datagram, length, table.size(), this);
        if (wrong != null) {
            drop(wrong);
        }
    }

    /** One that came from an address not in the list of peers. */
    public void stranger() {
        received++;
        drop("stranger");
    }

    private void drop(String why) {
        dropped.merge(why, 1L, Long::sum);
    }

    @Override
    public void said(Datagram.Kind is, int place, long at, int digest, int number, int about) {
        Member member = table.get(from);
        member.otherView = digest != table.shortDigest();
        member.heardAt = now;
        detector.heard(now);
        if (place != from) {
            drop("place"); // It has another list; that it lives is true all the same.
        }
        learn(member, MemberState.ALIVE, at);
        if (member.standing == MemberState.SUSPECT && member.livedAt(now)) {
            sender.spread(member);
        }
        if (tellItsStanding(member, is)) {
            act(member, is, number, about);
        }
    }

    /**
     * One held for silent or dead that speaks is told so, and can object. Returns whether the rest is to be acted on:
     * of one that left nothing is, as late datagrams of its end may still come.
     */
    private boolean tellItsStanding(Member member, Datagram.Kind is) {
        if (member.standing == MemberState.LEFT) {
            return false;
        }
        if (member.standing != MemberState.ALIVE && is != Datagram.Kind.PING && is != Datagram.Kind.ASK) {
            // An answer to these two carries it anyway.
            sender.send(member.place, Datagram.Kind.NEWS, 0, member.place);
        }
        return true;
    }

    private void act(Member member, Datagram.Kind is, int number, int about) {
        switch (is) {
            case PING -> sender.send(member.place, Datagram.Kind.ANSWER, number, member.place);
            case ANSWER -> answered(member, number);
            case LOOK -> detector.probeRequested(now, member, number, about);
            case SEEN -> detector.seenByOther(now, number);
            case NOT_SEEN -> detector.notSeenByOther(number, member);
            case ASK -> sender.sendState(member.place, number);
            case STATE -> stateCame(number, about);
            default -> {
                // News is in the entries.
            }
        }
    }

    private void answered(Member member, int number) {
        if (detector.answered(number, member) && member.otherView && sender.newsWaiting() < MUCH_NEWS) {
            sender.sendChecksums(member.place);
        }
        detector.answeredIndirectly(number, member);
    }

    /** A piece of another's state, from a place on; the next one is asked for at once. */
    private void stateCame(int first, int next) {
        if (requestFrom != NO_REQUEST && first == requestFrom) {
            requestFrom = next > first ? next : NO_REQUEST;
            requestedAt = Double.NEGATIVE_INFINITY;
        }
    }

    @Override
    public void sums(short[] others) {
        if (others.length == table.checksums().length) {
            sender.sendDifferences(from, others, random.nextInt(others.length));
        }
    }

    @Override
    public void entry(int place, MemberState standing, long at, int[] accusers, double silentSince) {
        if (place == table.self()) {
            toldOfSelf(standing, at);
            return;
        }
        Member member = table.get(place);
        if (member.standing == standing && member.incarnation == at) {
            sender.heardAgain(member);
        }
        learn(member, standing, at);
        if (standing == MemberState.SUSPECT && member.standing == MemberState.SUSPECT && member.incarnation == at) {
            double since = Math.min(now, silentSince);
            detector.accused(member, since, accusers);
            if (member.livedAt(Math.max(since, member.heardAt))) {
                sender.spread(member);
            }
        }
    }

    /** Objects to being held for silent or dead, and to an incarnation that is not its own. */
    private void toldOfSelf(MemberState standing, long at) {
        boolean against = standing != MemberState.ALIVE && at >= table.incarnation();
        if (!against && at <= table.incarnation()) {
            return;
        }
        table.outbid(now, at);
        if (against) {
            objections++;
            detector.selfAccused();
        }
        announcementsLeft = ANNOUNCEMENTS_AT_CHANGE;
        announceIfDue();
    }

    private void learn(Member member, MemberState standing, long at) {
        MemberState was = member.standing;
        if (table.update(now, member, standing, at)) {
            sender.spread(member);
            if (was != standing) {
                news.changed(member.place, was, standing);
            }
        }
    }

    /** The list of routers is another now: places keep what is known of them, new ones are unheard. Not a restart. */
    public void listed(double at, int size, int place) {
        table.replaceMembers(size, place);
        now = at;
        table.joinSelf(now);
        sender.membersReplaced();
        detector.clear();
        announcementsLeft = ANNOUNCEMENTS_AT_CHANGE;
        requestState();
    }

    /** This router stops: the others are told, so that nobody need find it out. */
    public void leave(double at) {
        now = at;
        if (leaving) {
            return;
        }
        leaving = true;
        table.leaveSelf(now);
        sender.announceEnd();
    }

    /** How many routers are to be thought of as sending beside this one and with it: for spreading work. */
    public int spread() {
        return shares.spread(table.all(), table.live());
    }

    /** How many routers take part, this one with them. */
    public int live() {
        return table.live();
    }

    /** How many routers may be sending at most: for this one's share of what all may send together. */
    public int bound(double at) {
        return shares.bound(at, table.all(), table.self());
    }

    /** How many routers are listed, this one with them. */
    public int size() {
        return table.size();
    }

    /** This router's place. */
    public int self() {
        return table.self();
    }

    /** How the member at a place stands. */
    public MemberState standing(int place) {
        return table.get(place).standing;
    }

    /** The newest incarnation known of the member at a place. */
    public long incarnation(int place) {
        return table.get(place).incarnation;
    }

    /** A letter a member, by place: A alive, S suspect, D dead, L left, U unheard. */
    public String letters() {
        return table.letters();
    }

    /** The same for any two routers that hold the same members for taking part, at the same incarnations. */
    public long digest() {
        return table.digest();
    }

    /** Datagrams sent so far. */
    public long sent() {
        return sender.sent();
    }

    /** Bytes sent so far. */
    public long sentBytes() {
        return sender.sentBytes();
    }

    /** Deaths that this router declared itself. */
    public long deaths() {
        return detector.deaths();
    }

    /** A line a figure. */
    public String figures() {
        StringBuilder text = new StringBuilder();
        figure(text, "view", letters());
        figure(text, "live", live());
        figure(text, "spread", spread());
        figure(text, "bound", bound(now));
        figure(text, "digest", Long.toHexString(digest()));
        figure(text, "incarnation", table.incarnation());
        figure(text, "own-health", detector.healthScore());
        figure(text, "sent", sent());
        figure(text, "sent-bytes", sentBytes());
        figure(text, "got", received);
        figure(text, "got-bytes", receivedBytes);
        figure(text, "suspicions", detector.suspicions());
        figure(text, "deaths", deaths());
        figure(text, "objections", objections);
        figure(text, "news", sender.newsWaiting());
        dropped.forEach((why, times) -> figure(text, "dropped-" + why, times));
        return text.toString();
    }

    private static void figure(StringBuilder text, String name, Object value) {
        text.append("fleet-").append(name).append(' ').append(value).append('\n');
    }
}
