package pinewick.replication;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import pinewick.model.Message;
import pinewick.replication.DurableState.Outcome;
import pinewick.replication.DurableState.Step;
import pinewick.replication.ReplicationMessages.Established;
import pinewick.replication.ReplicationMessages.Heartbeat;
import pinewick.replication.ReplicationMessages.HeartbeatReply;
import pinewick.replication.ReplicationMessages.Install;
import pinewick.replication.ReplicationMessages.Replicate;
import pinewick.replication.ReplicationMessages.Retag;
import pinewick.replication.ReplicationMessages.StateReply;
import pinewick.replication.ReplicationMessages.Status;

/**
 * One epoch as its primary sees it: brings the in-sync stores to the state at its start, then replicates one change
 * after the other, and keeps asking whether the epoch is still honoured.
 */
final class Leadership {
    static final double HEARTBEAT_MS = 200;

    /** An in-sync store that is silent, or lacks a state, for longer is to leave the set. */
    private static final double UNRESPONSIVE_MS = 600;

    /** A store that asks to be taken in after a new primary has begun makes itself known within this time. */
    private static final double SUCCESSOR_MS = 300;

    /** Without a quorum's confirmation for longer than this, the primary leads no more. */
    private static final double UNCONFIRMED_MS = 900;

    /** A primary that has promised a higher number, and cannot make an epoch of it in this time, leads no more. */
    private static final double LONGEST_CHANGE_MS = 1_500;

    /** For this long after a confirmed round was sent the lease is held. */
    static final double LEASE_VALID_MS = 700;

    private static final int ROUNDS_KEPT = 32;

    private record Round(long number, double sentSteadyMs) {}

    private final Context context;
    private final EpochRecord record;
    private final Replicas replicas;
    private final StateTag baseTag;
    private final long lastSequenceBefore;
    private final Deque<Round> rounds = new ArrayDeque<>();
    private final RoundTimes roundTimes = new RoundTimes();
    private final StateTag startTag;
    private final RecentChanges recent;
    private StateTag target;
    private boolean pending;
    private boolean begun;
    private boolean diskFailed;
    private RequestId round = RequestId.NONE;
    private long confirmedRound;
    private double confirmedActiveMs;
    private double changingSinceMs;
    private double confirmedSteadyMs = Double.NEGATIVE_INFINITY;
    private double lastHeartbeatMs = Double.NEGATIVE_INFINITY;
    private ConfigurationState committed = ConfigurationState.NONE;
    private StateTag installTag;
    private byte[] document;
    private byte[] changes;

    /** @param record a record that stands, with this process as primary */
    Leadership(Context context, EpochRecord record, Replicas replicas) {
        this.context = context;
        this.record = record.settled();
        this.replicas = replicas;
        this.lastSequenceBefore = context.requests().newest();
        this.baseTag = context.durable().state().tag();
        this.startTag = new StateTag(record.number().counter(), 0);
        this.recent = new RecentChanges(startTag);
        this.target = startTag;
        this.confirmedActiveMs = context.activeMs();
        this.changingSinceMs = context.activeMs();
    }

    EpochRecord record() {
        return record;
    }

    EpochNumber number() {
        return record.number();
    }

    /** Whether every in-sync store holds the state at the start of the epoch. */
    boolean begun() {
        return begun;
    }

    /** The newest committed state. */
    ConfigurationState committed() {
        return committed;
    }

    StateTag target() {
        return target;
    }

    boolean changePending() {
        return pending;
    }

    /** Whether this process has not promised a higher number itself. */
    boolean honoured() {
        return context.durable().promised().equals(number());
    }

    /** Whether a change can be taken now. */
    boolean mayReplicate() {
        return begun
                && honoured()
                && !pending
                && record.inSync().size() >= context.settings().fewestCopies();
    }

    /** Whether this process has to stop leading: its disk is in trouble, or no quorum confirms it. */
    boolean lost() {
        if (diskFailed || context.durable().stalled()) {
            return true;
        }
        double now = context.activeMs();
        if (honoured()) {
            changingSinceMs = now;
            return now - confirmedActiveMs > UNCONFIRMED_MS;
        }
        return now - changingSinceMs > LONGEST_CHANGE_MS;
    }

    /** Whether a quorum has confirmed this epoch lately. */
    boolean confirmedLately() {
        return context.activeMs() - confirmedActiveMs < UNRESPONSIVE_MS;
    }

    /** Until when, steady time, no other process can lead. */
    double leaseEndsMs() {
        return confirmedSteadyMs + LEASE_VALID_MS;
    }

    long confirmedRound() {
        return confirmedRound;
    }

    /** Begins the epoch: the state goes under its first tag here and at the other in-sync stores. */
    void begin() {
        double now = context.activeMs();
        replicas.keepMembers(record);
        replicas.all().forEach(replica -> replica.beginEpoch(now));
        DurableState durable = context.durable();
        durable.submit(
                () -> honoured()
                        ? Optional.of(new Step(number(), record, durable.state().withTag(target), Optional.empty()))
                        : Optional.empty(),
                this::ownStateWritten);
        broadcast(new Established(record));
        heartbeat();
        sendStates();
    }

    private void ownStateWritten(Outcome outcome) {
        diskFailed |= outcome != Outcome.WRITTEN;
    }

    /** Sends a change to the in-sync stores; only if {@link #mayReplicate}. */
    void replicate(byte[] delta, ChangeKey key) {
        RecentChanges.Recent change = new RecentChanges.Recent(target.next(), delta, key);
        pending = true;
        target = change.tag();
        recent.add(change);
        replicas.all().forEach(replica -> replica.aimAt(target, context.activeMs()));
        DurableState durable = context.durable();
        durable.submit(
                () -> honoured()
                        ? Optional.of(new Step(
                                number(),
                                record,
                                durable.state().apply(change.tag(), delta, key),
                                Optional.of(new StoredChange(delta, key))))
                        : Optional.empty(),
                outcome -> diskFailed |= outcome != Outcome.WRITTEN);
        sendStates();
    }

    void onTick() {
        if (context.activeMs() - lastHeartbeatMs >= HEARTBEAT_MS) {
            replicas.forgetSilentGuests(record);
            heartbeat();
        }
        sendStates();
    }

    /** Sends a heartbeat at once; returns its round. */
    long heartbeat() {
        round = context.requests().next();
        lastHeartbeatMs = context.activeMs();
        roundTimes.note(round.sequence(), lastHeartbeatMs);
        rounds.add(new Round(round.sequence(), context.clock().steadyMs()));
        if (rounds.size() > ROUNDS_KEPT) {
            rounds.remove();
        }
        broadcast(heartbeatMessage());
        noteConfirmedRound();
        return round.sequence();
    }

    private Heartbeat heartbeatMessage() {
        return new Heartbeat(
                round, number(), committed.tag(), context.settings().operatorApi());
    }

    /** Whether an answer belongs to a question that this primary asked in this epoch and this life. */
    private boolean isMine(RequestId request) {
        return context.requests().isAskedAfter(request, lastSequenceBefore);
    }

    void onHeartbeatReply(HeartbeatReply reply) {
        Replica replica = isMine(reply.request()) ? replicas.learn(reply.self()) : null;
        if (replica == null) {
            return;
        }
        double askedMs = roundTimes.sentMs(reply.request().sequence());
        replica.onHeartbeatReply(reply, number(), target, askedMs, context.activeMs());
        boolean lagsBehind = !reply.promised().isAfter(number()) && !replica.knows(number());
        if (lagsBehind) {
            context.peers().send(context.peers().addressOf(replica.member()), new Established(record));
        }
        noteConfirmedRound();
        sendStates();
    }

    /** A process that hears no primary asks around: it hears of this one at once, and may be taken in later. */
    void onStatus(Status status) {
        Replica replica = replicas.learn(status.self());
        if (replica != null) {
            replica.onStatus(status, number(), target, context.activeMs());
            if (!record.hasMember(replica.identity())) {
                replica.heardLast(context.activeMs());
            }
            context.peers().send(context.peers().addressOf(replica.member()), heartbeatMessage());
            sendStates();
        }
    }

    void onStateReply(StateReply reply) {
        Replica replica = replicas.get(reply.identity());
        if (replica != null && isMine(reply.request())) {
            replica.onStateReply(reply, number(), target, context.activeMs());
        }
    }

    private void noteConfirmedRound() {
        if (!honoured()) {
            return;
        }
        long newest = replicas.confirmedRound(record, round.sequence());
        if (newest <= confirmedRound) {
            return;
        }
        confirmedRound = newest;
        confirmedActiveMs = context.activeMs();
        while (!rounds.isEmpty() && rounds.peek().number <= newest) {
            confirmedSteadyMs = rounds.remove().sentSteadyMs;
        }
    }

    /** Notes what every in-sync store holds by now; returns whether a state has become committed by it. */
    boolean noteCommitted() {
        DurableState durable = context.durable();
        if (committed.tag().equals(target) || !durable.state().tag().equals(target) || !honoured()) {
            return false;
        }
        long holders = replicas.among(record.inSync()).stream()
                .filter(replica -> replica.tag().equals(target))
                .count();
        if (holders + 1 < record.inSync().size()) {
            return false;
        }
        begun = true;
        pending = false;
        committed = durable.state();
        return true;
    }

    /** In-sync stores that answer, keep up and are not about to end. */
    Set<String> responsive() {
        return inSyncWhere(replica -> keepsUp(replica) && !replica.leaving());
    }

    /** The same, and whoever is about to end while it still has to be waited for. */
    Set<String> needed() {
        return keepsLeaving() ? inSyncWhere(this::keepsUp) : responsive();
    }

    /**
     * Whether stores that are about to end stay in sync: without them no majority of the members would be left, or a
     * store that can take their place may be on its way.
     */
    boolean keepsLeaving() {
        return !isMajorityLeft() || successorExpected();
    }

    private boolean successorExpected() {
        double now = context.activeMs();
        boolean justLeaving =
                replicas.all().stream().anyMatch(replica -> replica.leaving() && replica.leavingMs(now) < SUCCESSOR_MS);
        boolean present = replicas.all().stream()
                .anyMatch(replica -> !record.hasMember(replica.identity()) && isAnswering(replica));
        return justLeaving || present;
    }

    private Set<String> inSyncWhere(Predicate<Replica> condition) {
        Set<String> identities = new HashSet<>();
        replicas.among(record.inSync()).stream()
                .filter(condition)
                .forEach(replica -> identities.add(replica.identity()));
        return identities;
    }

    private boolean keepsUp(Replica replica) {
        double now = context.activeMs();
        return replica.diskReady()
                && replica.silentMs(now) <= UNRESPONSIVE_MS
                && replica.laggingMs(now) <= UNRESPONSIVE_MS;
    }

    private boolean isMajorityLeft() {
        List<Member> members = record.members();
        long others = members.stream()
                .map(member -> replicas.get(member.identity()))
                .filter(replica -> replica != null && isAnswering(replica))
                .count();
        return 2 * (1 + others) > members.size();
    }

    /** Whether a store was heard lately, with a disk that works, and is not about to end. */
    boolean isAnswering(Replica replica) {
        return replica.healthy() && replica.silentMs(context.activeMs()) <= UNRESPONSIVE_MS;
    }

    /** Stores outside the in-sync set that hold what this process holds. */
    Set<String> caughtUp() {
        Set<String> identities = new HashSet<>();
        double now = context.activeMs();
        for (Replica replica : replicas.all()) {
            boolean outside = !record.inSync().contains(replica.identity());
            if (outside
                    && replica.healthy()
                    && replica.silentMs(now) <= 2 * HEARTBEAT_MS
                    && replica.tag().equals(target)) {
                identities.add(replica.identity());
            }
        }
        return identities;
    }

    private void sendStates() {
        double now = context.activeMs();
        for (Replica replica : replicas.all()) {
            boolean inSync = record.inSync().contains(replica.identity());
            boolean wanted = inSync || (!replica.leaving() && replica.silentMs(now) <= 2 * HEARTBEAT_MS);
            if (wanted && !replica.promised().isAfter(number())) {
                sendState(replica, now);
            }
        }
    }

    /** Sends what a store lacks: a state to begin with, if need be, and the changes after it right behind. */
    private void sendState(Replica replica, double now) {
        if (!replica.isAwaited(now) && !recent.reachBackTo(replica.tag())) {
            sendBase(replica, now);
        }
        StateTag expected = replica.expectedTag(now);
        if (expected.equals(target) || !recent.reachBackTo(expected)) {
            return;
        }
        for (RecentChanges.Recent change : recent.after(expected)) {
            send(
                    replica,
                    new Replicate(context.requests().next(), number(), change.tag(), change.delta(), change.key()));
        }
        replica.sentChanges(target, now);
    }

    private void sendBase(Replica replica, double now) {
        if (replica.tag().equals(baseTag) && recent.reachBackTo(startTag)) {
            send(replica, new Retag(context.requests().next(), number(), baseTag, startTag));
            replica.sentChanges(startTag, now);
            return;
        }
        ConfigurationState state = context.durable().state();
        StateTag tag = target.equals(startTag) ? startTag : state.tag();
        if (!tag.equals(installTag)) {
            installTag = tag;
            document = state.documentBytes();
            changes = state.changes().toBytes();
        }
        send(replica, new Install(context.requests().next(), number(), tag, document, changes));
        replica.sentWhole(tag, now);
    }

    private void send(Replica replica, Message message) {
        context.peers().send(context.peers().addressOf(replica.member()), message);
    }

    private void broadcast(Message message) {
        for (Replica replica : List.copyOf(replicas.all())) {
            context.peers().send(context.peers().addressOf(replica.member()), message);
        }
    }
}
