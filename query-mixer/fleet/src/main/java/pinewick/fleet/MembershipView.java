package pinewick.fleet;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * One router's view of the membership of all routers, kept despite datagrams that arrive late, twice or not at
 * all. Does no I/O and has no clock: datagrams, clock ticks and changes of the member list come in through {@link
 * #onDatagram}, {@link #tick} and {@link #onMemberListChanged}, and datagrams go out through {@link Transport}.
 * Times are seconds on the clock that all routers share. The same events in the same order produce the same
 * datagrams. Start reading at {@link #tick}.
 *
 * <p>From SWIM (DSN 2002): probes, indirect probes, suspicion with incarnations, and gossip piggybacked on probes
 * ({@link FailureDetector}, {@link DatagramSender}). From Lifeguard (DSN 2018): local health, suspicion timeouts
 * that shrink with confirmations, and telling a suspect at once. docs/fleet-view.md describes the differences and
 * their reasons.
 *
 * <p>Settings and log lines call a router a mixer.
 */
public final class MembershipView implements Datagram.Reader {
    /** Sends datagrams, which may be lost. */
    public interface Transport {
        /** Sends a datagram to the member with this index. */
        void send(int index, byte[] datagram);

        /** Sends a datagram to all members at once. Returns false if no broadcast is available. */
        boolean broadcast(byte[] datagram);
    }

    /** Receives membership changes. */
    public interface Listener {
        /** The state of a member changed. */
        void onStateChanged(int index, MemberState previousState, MemberState newState);
    }

    /** Maximum number of state requests after a start: enough to transfer the largest member list three times. */
    private static final int MAX_STATE_REQUESTS = 400;
    /** With more pending updates than this, a differing digest is no sign of lost gossip. */
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
    /** Index of the sender of the datagram that is being read. */
    private int senderIndex;

    private double gossipSentAt = Double.NEGATIVE_INFINITY;
    private double announcedAt = Double.NEGATIVE_INFINITY;
    private int announcementsLeft;
    /** First index of the next state request; {@link #NO_REQUEST} once the other members' states are known. */
    private int nextRequestIndex;

    private int stateRequests;
    private double requestedAt = Double.NEGATIVE_INFINITY;
    private long received;
    private long receivedBytes;
    private long refutations;
    private final Map<String, Long> dropped = new TreeMap<>();

    /**
     * @param size number of listed routers, including this one
     * @param self index of this router
     * @param incarnation higher than that of any previous start; milliseconds since 1970 will do
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

    /** Announces this router to all members and requests the other members' states. */
    public void start(double nowSeconds) {
        now = nowSeconds;
        table.markSelfAlive(now);
        detector.start(now);
        announcementsLeft = ANNOUNCEMENTS_AT_START;
        requestState();
        announceIfDue();
        requestStateIfDue();
    }

    /**
     * To be called several times per probe interval: runs the failure detector, then sends due announcements,
     * requests and gossip.
     */
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

    /** Sends this router's own state to all members a few times, at most once per gossip interval. */
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

    /** Requests the next part of the states from changing members until the last part has arrived. */
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

    /** Handles a datagram from the address of the member with this index; an invalid one is counted and dropped. */
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

    /** Counts a datagram from an address that is not in the list of peers. */
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
            countDropped("place"); // The sender has a different member list; that it is alive holds all the same.
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
     * Tells a sender that is considered suspect or dead about its state, so that it can refute. Returns whether
     * the datagram is to be handled: one from a member that left is not, as late datagrams may still arrive after
     * its announcement.
     */
    private boolean notifyOfItsState(Member member, Datagram.Kind kind) {
        if (member.state == MemberState.LEFT) {
            return false;
        }
        if (member.state != MemberState.ALIVE && kind != Datagram.Kind.PING && kind != Datagram.Kind.STATE_REQUEST) {
            // The answers to these two kinds carry the state anyway.
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
                // Gossip is in the entries.
            }
        }
    }

    private void onAck(Member member, int number) {
        if (detector.onAck(number, member) && member.hasDivergentView && sender.pendingGossip() < GOSSIP_BACKLOG) {
            sender.sendChecksums(member.index);
        }
        detector.onIndirectProbeAck(number, member);
    }

    /** Handles one part of another member's states; the next part is requested at once. */
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

    /** Refutes a suspicion or death of this router, and any incarnation that is not its own. */
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

    /**
     * Handles a new member list: indexes keep the state that is known of them, new ones are unheard. This router
     * does not restart.
     */
    public void onMemberListChanged(double nowSeconds, int size, int index) {
        table.replaceMembers(size, index);
        now = nowSeconds;
        table.markSelfAlive(now);
        sender.onMembersReplaced();
        detector.clear();
        announcementsLeft = ANNOUNCEMENTS_AT_CHANGE;
        requestState();
    }

    /** Announces the shutdown of this router, so that the others need not detect it. */
    public void leave(double nowSeconds) {
        now = nowSeconds;
        if (leaving) {
            return;
        }
        leaving = true;
        table.markSelfLeft(now);
        sender.announceLeave();
    }

    /** Estimated number of routers that send load, including this one; for load spreading. */
    public int estimatedSenders() {
        return counts.estimatedSenders(table.all(), table.liveCount());
    }

    /** Number of active routers, including this one. */
    public int liveCount() {
        return table.liveCount();
    }

    /** Upper bound for the number of routers that send load; for this router's share of a common budget. */
    public int maxSenders(double nowSeconds) {
        return counts.maxSenders(nowSeconds, table.all(), table.self());
    }

    /** Number of listed routers, including this one. */
    public int size() {
        return table.size();
    }

    /** Index of this router. */
    public int self() {
        return table.self();
    }

    /** State of the member with this index. */
    public MemberState state(int index) {
        return table.get(index).state;
    }

    /** Highest known incarnation of the member with this index. */
    public long incarnation(int index) {
        return table.get(index).incarnation;
    }

    /** One letter per member, by index: A alive, S suspect, D dead, L left, U unheard. */
    public String stateLetters() {
        return table.stateLetters();
    }

    /** Digest that is equal for two routers with the same active members at the same incarnations. */
    public long digest() {
        return table.digest();
    }

    /** Number of datagrams sent. */
    public long sent() {
        return sender.sent();
    }

    /** Number of bytes sent. */
    public long sentBytes() {
        return sender.sentBytes();
    }

    /** Number of deaths that this router declared itself. */
    public long deaths() {
        return detector.deaths();
    }

    /** Metrics as text, one per line. */
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
