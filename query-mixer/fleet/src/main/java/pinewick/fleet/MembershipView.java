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
    public interface Transport {
        /** Sends a datagram to the member at a place. */
        void send(int index, byte[] datagram);

        /** To every member at once. Returns false where there is no such way. */
        boolean broadcast(byte[] datagram);
    }

    /** Hears of changes. */
    public interface Listener {
        /** A member's standing changed. */
        void onStateChanged(int index, MemberState previousState, MemberState newState);
    }

    /** Datagrams asked for at a start, for the largest list thrice over. */
    private static final int MAX_STATE_REQUESTS = 400;
    /** With more news than this waiting, differences between views are no sign of loss. */
    private static final int GOSSIP_BACKLOG = 24;

    private static final int ANNOUNCEMENTS_AT_START = 3;
    private static final int ANNOUNCEMENTS_AT_CHANGE = 2;
    private static final int NO_REQUEST = -1;

    private final MembershipSettings settings;
    private final Listener listener;
    private final SplittableRandom random;
    private final MemberTable table;
    private final DatagramSender sender;
    private final FailureDetector detector;
    private final MemberCounts counts;
    private boolean leaving;
    private double now;
    /** Whose datagram is being read. */
    private int senderIndex;

    private double gossipSentAt = Double.NEGATIVE_INFINITY;
    private double announcedAt = Double.NEGATIVE_INFINITY;
    private int announcementsLeft;
    /** The place from which on the others' state is still to be asked for. */
    private int nextRequestIndex;

    private int stateRequests;
    private double requestedAt = Double.NEGATIVE_INFINITY;
    private long received;
    private long receivedBytes;
    private long refutations;
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
            MembershipSettings settings,
            SplittableRandom random,
            Transport transport,
            Listener listener) {
        this.settings = settings;
        this.listener = listener;
        this.random = random;
        table = new MemberTable(size, self, incarnation, random);
        sender = new DatagramSender(table, settings, transport);
        detector = new FailureDetector(table, sender, settings, listener, random);
        counts = new MemberCounts(settings);
    }

    /** Begins: tells everybody that it is here, and asks for what the others know. */
    public void start(double nowSeconds) {
        now = nowSeconds;
        table.markSelfAlive(now);
        detector.start(now);
        announcementsLeft = ANNOUNCEMENTS_AT_START;
        requestState();
        announceIfDue();
        requestStateIfDue();
    }

    /** The regular look, several times a period: probes and suspects, then what this router has to tell or to ask. */
    public void tick(double nowSeconds) {
        now = nowSeconds;
        if (leaving) {
            return;
        }
        detector.tick(now);
        announceIfDue();
        requestStateIfDue();
        if (sender.pendingGossip() > 0 && now - gossipSentAt >= settings.gossipIntervalSeconds()) {
            gossipSentAt = now;
            int to = table.randomActiveIndex();
            if (to >= 0) {
                sender.sendGossip(to);
            }
        }
    }

    /** Tells all members of this router's own state, a few times over; once a gossip interval at most. */
    private void announceIfDue() {
        if (announcementsLeft == 0 || now - announcedAt < settings.gossipIntervalSeconds()) {
            return;
        }
        announcedAt = now;
        announcementsLeft--;
        sender.announce();
    }

    private void requestState() {
        nextRequestIndex = 0;
        stateRequests = 0;
    }

    /** Asks one member after another for the next piece of what is known, until the last piece came. */
    private void requestStateIfDue() {
        if (nextRequestIndex == NO_REQUEST || now - requestedAt < settings.pingRetrySeconds()) {
            return;
        }
        requestedAt = now;
        int to = stateRequests % 2 == 0 ? table.randomActiveIndex() : table.randomListedIndex();
        to = to < 0 ? table.randomListedIndex() : to;
        if (to < 0 || ++stateRequests > MAX_STATE_REQUESTS) {
            nextRequestIndex = NO_REQUEST;
            return;
        }
        sender.send(to, Datagram.Kind.STATE_REQUEST, nextRequestIndex, table.self());
    }

    /** A datagram came from this place's address; what can't be used is counted and dropped. */
    public void onDatagram(double nowSeconds, int index, byte[] datagram, int length) {
        now = nowSeconds;
        if (leaving) {
            return;
        }
        senderIndex = index;
        received++;
        receivedBytes += length;
        if (index < 0 || index >= table.size() || index == table.self()) {
            countDropped("stranger");
            return;
        }
        String fault = Datagram.read(now, datagram, length, table.size(), this);
        if (fault != null) {
            countDropped(fault);
        }
    }

    /** One that came from an address not in the list of peers. */
    public void onUnknownSender() {
        received++;
        countDropped("stranger");
    }

    private void countDropped(String reason) {
        dropped.merge(reason, 1L, Long::sum);
    }

    @Override
    public void onHeader(Datagram.Kind kind, int index, long incarnation, int digest, int number, int subject) {
        Member member = table.get(senderIndex);
        member.hasDivergentView = digest != table.shortDigest();
        member.lastHeardAt = now;
        detector.onDatagram(now);
        if (index != senderIndex) {
            countDropped("place"); // It has another list; that it lives is true all the same.
        }
        mergeState(member, MemberState.ALIVE, incarnation);
        if (member.state == MemberState.SUSPECT && member.recordSignOfLife(now)) {
            sender.enqueueGossip(member);
        }
        if (notifyOfItsState(member, kind)) {
            handle(member, kind, number, subject);
        }
    }

    /**
     * One held for silent or dead that speaks is told so, and can object. Returns whether the rest is to be acted on:
     * of one that left nothing is, as late datagrams of its end may still come.
     */
    private boolean notifyOfItsState(Member member, Datagram.Kind kind) {
        if (member.state == MemberState.LEFT) {
            return false;
        }
        if (member.state != MemberState.ALIVE && kind != Datagram.Kind.PING && kind != Datagram.Kind.STATE_REQUEST) {
            // An answer to these two carries it anyway.
            sender.send(member.index, Datagram.Kind.GOSSIP, 0, member.index);
        }
        return true;
    }

    private void handle(Member member, Datagram.Kind kind, int number, int subject) {
        switch (kind) {
            case PING -> sender.send(member.index, Datagram.Kind.ACK, number, member.index);
            case ACK -> onAck(member, number);
            case PING_REQUEST -> detector.onPingRequest(now, member, number, subject);
            case INDIRECT_ACK -> detector.onIndirectAck(now, number);
            case INDIRECT_NACK -> detector.onIndirectNack(number, member);
            case STATE_REQUEST -> sender.sendState(member.index, number);
            case STATE_REPLY -> onStateReply(number, subject);
            default -> {
                // News is in the entries.
            }
        }
    }

    private void onAck(Member member, int number) {
        if (detector.onAck(number, member) && member.hasDivergentView && sender.pendingGossip() < GOSSIP_BACKLOG) {
            sender.sendChecksums(member.index);
        }
        detector.onIndirectProbeAck(number, member);
    }

    /** A piece of another's state, from a place on; the next one is asked for at once. */
    private void onStateReply(int first, int next) {
        if (nextRequestIndex != NO_REQUEST && first == nextRequestIndex) {
            nextRequestIndex = next > first ? next : NO_REQUEST;
            requestedAt = Double.NEGATIVE_INFINITY;
        }
    }

    @Override
    public void onChecksums(short[] others) {
        if (others.length == table.checksums().length) {
            sender.sendDifferences(senderIndex, others, random.nextInt(others.length));
        }
    }

    @Override
    public void onEntry(int index, MemberState state, long incarnation, int[] accusers, double silentSince) {
        if (index == table.self()) {
            onEntryAboutSelf(state, incarnation);
            return;
        }
        Member member = table.get(index);
        if (member.state == state && member.incarnation == incarnation) {
            sender.onDuplicateGossip(member);
        }
        mergeState(member, state, incarnation);
        if (state == MemberState.SUSPECT && member.state == MemberState.SUSPECT && member.incarnation == incarnation) {
            double since = Math.min(now, silentSince);
            detector.addAccusers(member, since, accusers);
            if (member.recordSignOfLife(Math.max(since, member.lastHeardAt))) {
                sender.enqueueGossip(member);
            }
        }
    }

    /** Objects to being held for silent or dead, and to an incarnation that is not its own. */
    private void onEntryAboutSelf(MemberState state, long incarnation) {
        boolean isAccusation = state != MemberState.ALIVE && incarnation >= table.incarnation();
        if (!isAccusation && incarnation <= table.incarnation()) {
            return;
        }
        table.refute(now, incarnation);
        if (isAccusation) {
            refutations++;
            detector.onSelfAccused();
        }
        announcementsLeft = ANNOUNCEMENTS_AT_CHANGE;
        announceIfDue();
    }

    private void mergeState(Member member, MemberState state, long incarnation) {
        MemberState previousState = member.state;
        if (table.update(now, member, state, incarnation)) {
            sender.enqueueGossip(member);
            if (previousState != state) {
                listener.onStateChanged(member.index, previousState, state);
            }
        }
    }

    /** The list of routers is another now: places keep what is known of them, new ones are unheard. Not a restart. */
    public void onMemberListChanged(double nowSeconds, int size, int index) {
        table.replaceMembers(size, index);
        now = nowSeconds;
        table.markSelfAlive(now);
        sender.onMembersReplaced();
        detector.clear();
        announcementsLeft = ANNOUNCEMENTS_AT_CHANGE;
        requestState();
    }

    /** This router stops: the others are told, so that nobody need find it out. */
    public void leave(double nowSeconds) {
        now = nowSeconds;
        if (leaving) {
            return;
        }
        leaving = true;
        table.markSelfLeft(now);
        sender.announceLeave();
    }

    /** How many routers are to be thought of as sending beside this one and with it: for spreading work. */
    public int estimatedSenders() {
        return counts.estimatedSenders(table.all(), table.liveCount());
    }

    /** How many routers take part, this one with them. */
    public int liveCount() {
        return table.liveCount();
    }

    /** How many routers may be sending at most: for this one's share of what all may send together. */
    public int maxSenders(double nowSeconds) {
        return counts.maxSenders(nowSeconds, table.all(), table.self());
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
    public MemberState state(int index) {
        return table.get(index).state;
    }

    /** The newest incarnation known of the member at a place. */
    public long incarnation(int index) {
        return table.get(index).incarnation;
    }

    /** A letter a member, by place: A alive, S suspect, D dead, L left, U unheard. */
    public String stateLetters() {
        return table.stateLetters();
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
    public String metrics() {
        StringBuilder text = new StringBuilder();
        appendMetric(text, "view", stateLetters());
        appendMetric(text, "live", liveCount());
        appendMetric(text, "spread", estimatedSenders());
        appendMetric(text, "bound", maxSenders(now));
        appendMetric(text, "digest", Long.toHexString(digest()));
        appendMetric(text, "incarnation", table.incarnation());
        appendMetric(text, "own-health", detector.healthScore());
        appendMetric(text, "sent", sent());
        appendMetric(text, "sent-bytes", sentBytes());
        appendMetric(text, "got", received);
        appendMetric(text, "got-bytes", receivedBytes);
        appendMetric(text, "suspicions", detector.suspicions());
        appendMetric(text, "deaths", deaths());
        appendMetric(text, "objections", refutations);
        appendMetric(text, "news", sender.pendingGossip());
        dropped.forEach((reason, times) -> appendMetric(text, "dropped-" + reason, times));
        return text.toString();
    }

    private static void appendMetric(StringBuilder text, String name, Object value) {
        text.append("fleet-").append(name).append(' ').append(value).append('\n');
    }
}
