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
import pinewick.replication.DurableState.Update;
import pinewick.replication.ReplicationMessages.Heartbeat;
import pinewick.replication.ReplicationMessages.HeartbeatReply;
import pinewick.replication.ReplicationMessages.InstallSnapshot;
import pinewick.replication.ReplicationMessages.RecordChosen;
import pinewick.replication.ReplicationMessages.RelabelState;
import pinewick.replication.ReplicationMessages.Replicate;
import pinewick.replication.ReplicationMessages.ReplicationReply;
import pinewick.replication.ReplicationMessages.Status;

/**
 * One epoch as its primary sees it: brings the in-sync stores to the state at its start, then replicates one change
 * after the other, and keeps asking whether the epoch is still honoured.
 */
final class PrimaryEpoch {
    static final double HEARTBEAT_INTERVAL_MS = 200;

    /** An in-sync store that is silent, or lacks a state, for longer is to leave the set. */
    private static final double UNRESPONSIVE_AFTER_MS = 600;

    /** A store that asks to be taken in after a new primary has begun makes itself known within this time. */
    private static final double REPLACEMENT_WAIT_MS = 300;

    /** Without a quorum's confirmation for longer than this, the primary leads no more. */
    private static final double CONFIRMATION_TIMEOUT_MS = 900;

    /** A primary that has promised a higher number, and cannot make an epoch of it in this time, leads no more. */
    private static final double RECONFIGURATION_TIMEOUT_MS = 1_500;

    /** For this long after a confirmed round was sent the lease is held. */
    static final double LEASE_DURATION_MS = 700;

    private static final int MAX_TRACKED_HEARTBEATS = 32;

    private record SentHeartbeat(long sequence, double sentSteadyMs) {}

    private final ReplicationContext context;
    private final EpochRecord record;
    private final Followers followers;
    private final StateVersion baseVersion;
    private final long lastEarlierRequest;
    private final Deque<SentHeartbeat> sentHeartbeats = new ArrayDeque<>();
    private final HeartbeatSendTimes sendTimes = new HeartbeatSendTimes();
    private final StateVersion startVersion;
    private final RecentChanges recentChanges;
    private StateVersion targetVersion;
    private boolean changePending;
    private boolean established;
    private boolean diskFailed;
    private RequestId heartbeatRequest = RequestId.NONE;
    private long confirmedHeartbeat;
    private double confirmedActiveMs;
    private double supersededSinceMs;
    private double confirmedSteadyMs = Double.NEGATIVE_INFINITY;
    private double lastHeartbeatMs = Double.NEGATIVE_INFINITY;
    private ConfigurationState committed = ConfigurationState.NONE;
    private StateVersion snapshotVersion;
    private byte[] snapshotDocument;
    private byte[] snapshotChanges;

    /** @param record a record that stands, with this process as primary */
    PrimaryEpoch(ReplicationContext context, EpochRecord record, Followers followers) {
        this.context = context;
        this.record = record.withoutPreviousMembers();
        this.followers = followers;
        this.lastEarlierRequest = context.requests().newest();
        this.baseVersion = context.durable().state().version();
        this.startVersion = new StateVersion(record.number().counter(), 0);
        this.recentChanges = new RecentChanges(startVersion);
        this.targetVersion = startVersion;
        this.confirmedActiveMs = context.activeMs();
        this.supersededSinceMs = context.activeMs();
    }

    EpochRecord record() {
        return record;
    }

    EpochNumber number() {
        return record.number();
    }

    /** Whether every in-sync store holds the state at the start of the epoch. */
    boolean isEstablished() {
        return established;
    }

    /** The newest committed state. */
    ConfigurationState committed() {
        return committed;
    }

    StateVersion targetVersion() {
        return targetVersion;
    }

    boolean isChangePending() {
        return changePending;
    }

    /** Whether this process has not promised a higher number itself. */
    boolean isPromiseCurrent() {
        return context.durable().promised().equals(number());
    }

    /** Whether a change can be taken now. */
    boolean canReplicate() {
        return established
                && isPromiseCurrent()
                && !changePending
                && record.inSync().size() >= context.settings().minInSyncStores();
    }

    /** Whether this process has to stop leading: its disk is in trouble, or no quorum confirms it. */
    boolean mustStepDown() {
        if (diskFailed || context.durable().isStalled()) {
            return true;
        }
        double now = context.activeMs();
        if (isPromiseCurrent()) {
            supersededSinceMs = now;
            return now - confirmedActiveMs > CONFIRMATION_TIMEOUT_MS;
        }
        return now - supersededSinceMs > RECONFIGURATION_TIMEOUT_MS;
    }

    /** Whether a quorum has confirmed this epoch lately. */
    boolean isRecentlyConfirmed() {
        return context.activeMs() - confirmedActiveMs < UNRESPONSIVE_AFTER_MS;
    }

    /** Until when, steady time, no other process can lead. */
    double leaseExpirySteadyMs() {
        return confirmedSteadyMs + LEASE_DURATION_MS;
    }

    long confirmedHeartbeat() {
        return confirmedHeartbeat;
    }

    /** Begins the epoch: the state goes under its first tag here and at the other in-sync stores. */
    void establish() {
        double now = context.activeMs();
        followers.addMembers(record);
        followers.all().forEach(follower -> follower.onEpochStarted(now));
        DurableState durable = context.durable();
        durable.submit(
                () -> isPromiseCurrent()
                        ? Optional.of(new Update(
                                number(), record, durable.state().withVersion(targetVersion), Optional.empty()))
                        : Optional.empty(),
                this::onOwnWrite);
        broadcast(new RecordChosen(record));
        sendHeartbeat();
        replicateToFollowers();
    }

    private void onOwnWrite(Outcome outcome) {
        diskFailed |= outcome != Outcome.WRITTEN;
    }

    /** Sends a change to the in-sync stores; only if {@link #canReplicate}. */
    void replicate(byte[] delta, ChangeKey key) {
        RecentChanges.LoggedChange change = new RecentChanges.LoggedChange(targetVersion.next(), delta, key);
        changePending = true;
        targetVersion = change.stateVersion();
        recentChanges.add(change);
        followers.all().forEach(follower -> follower.onTargetChanged(targetVersion, context.activeMs()));
        DurableState durable = context.durable();
        durable.submit(
                () -> isPromiseCurrent()
                        ? Optional.of(new Update(
                                number(),
                                record,
                                durable.state().apply(change.stateVersion(), delta, key),
                                Optional.of(new StoredChange(delta, key))))
                        : Optional.empty(),
                outcome -> diskFailed |= outcome != Outcome.WRITTEN);
        replicateToFollowers();
    }

    void onTick() {
        if (context.activeMs() - lastHeartbeatMs >= HEARTBEAT_INTERVAL_MS) {
            followers.expireSilentObservers(record);
            sendHeartbeat();
        }
        replicateToFollowers();
    }

    /** Sends a heartbeat at once; returns its round. */
    long sendHeartbeat() {
        heartbeatRequest = context.requests().next();
        lastHeartbeatMs = context.activeMs();
        sendTimes.record(heartbeatRequest.sequence(), lastHeartbeatMs);
        sentHeartbeats.add(
                new SentHeartbeat(heartbeatRequest.sequence(), context.clock().steadyMs()));
        if (sentHeartbeats.size() > MAX_TRACKED_HEARTBEATS) {
            sentHeartbeats.remove();
        }
        broadcast(heartbeatMessage());
        updateConfirmedHeartbeat();
        return heartbeatRequest.sequence();
    }

    private Heartbeat heartbeatMessage() {
        return new Heartbeat(
                heartbeatRequest,
                number(),
                committed.version(),
                context.settings().operatorApi());
    }

    /** Whether an answer belongs to a question that this primary asked in this epoch and this life. */
    private boolean isOwnRequest(RequestId request) {
        return context.requests().isSentAfter(request, lastEarlierRequest);
    }

    void onHeartbeatReply(HeartbeatReply reply) {
        Follower follower = isOwnRequest(reply.request()) ? followers.getOrAdd(reply.self()) : null;
        if (follower == null) {
            return;
        }
        double sentMs = sendTimes.sentMs(reply.request().sequence());
        follower.onHeartbeatReply(reply, number(), targetVersion, sentMs, context.activeMs());
        boolean lacksRecord = !reply.promised().isAfter(number()) && !follower.knowsChosen(number());
        if (lacksRecord) {
            context.peers().send(context.peers().addressOf(follower.member()), new RecordChosen(record));
        }
        updateConfirmedHeartbeat();
        replicateToFollowers();
    }

    /** A process that hears no primary asks around: it hears of this one at once, and may be taken in later. */
    void onStatus(Status status) {
        Follower follower = followers.getOrAdd(status.self());
        if (follower != null) {
            follower.onStatus(status, number(), targetVersion, context.activeMs());
            if (!record.hasMember(follower.identity())) {
                follower.setLastContactMs(context.activeMs());
            }
            context.peers().send(context.peers().addressOf(follower.member()), heartbeatMessage());
            replicateToFollowers();
        }
    }

    void onStateReply(ReplicationReply reply) {
        Follower follower = followers.get(reply.identity());
        if (follower != null && isOwnRequest(reply.request())) {
            follower.onStateReply(reply, number(), targetVersion, context.activeMs());
        }
    }

    private void updateConfirmedHeartbeat() {
        if (!isPromiseCurrent()) {
            return;
        }
        long newest = followers.confirmedHeartbeat(record, heartbeatRequest.sequence());
        if (newest <= confirmedHeartbeat) {
            return;
        }
        confirmedHeartbeat = newest;
        confirmedActiveMs = context.activeMs();
        while (!sentHeartbeats.isEmpty() && sentHeartbeats.peek().sequence <= newest) {
            confirmedSteadyMs = sentHeartbeats.remove().sentSteadyMs;
        }
    }

    /** Notes what every in-sync store holds by now; returns whether a state has become committed by it. */
    boolean updateCommitted() {
        DurableState durable = context.durable();
        if (committed.version().equals(targetVersion)
                || !durable.state().version().equals(targetVersion)
                || !isPromiseCurrent()) {
            return false;
        }
        long stored = followers.withIdentities(record.inSync()).stream()
                .filter(follower -> follower.stateVersion().equals(targetVersion))
                .count();
        if (stored + 1 < record.inSync().size()) {
            return false;
        }
        established = true;
        changePending = false;
        committed = durable.state();
        return true;
    }

    /** In-sync stores that answer, keep up and are not about to end. */
    Set<String> responsiveFollowers() {
        return inSyncFollowers(follower -> isKeepingUp(follower) && !follower.isShuttingDown());
    }

    /** The same, and whoever is about to end while it still has to be waited for. */
    Set<String> requiredFollowers() {
        return retainsShuttingDown() ? inSyncFollowers(this::isKeepingUp) : responsiveFollowers();
    }

    /**
     * Whether stores that are about to end stay in sync: without them no majority of the members would be left, or a
     * store that can take their place may be on its way.
     */
    boolean retainsShuttingDown() {
        return !isMajorityResponsive() || isReplacementExpected();
    }

    private boolean isReplacementExpected() {
        double now = context.activeMs();
        boolean hasRecentShutdown = followers.all().stream()
                .anyMatch(
                        follower -> follower.isShuttingDown() && follower.shuttingDownForMs(now) < REPLACEMENT_WAIT_MS);
        boolean hasCandidate = followers.all().stream()
                .anyMatch(follower -> !record.hasMember(follower.identity()) && isResponsive(follower));
        return hasRecentShutdown || hasCandidate;
    }

    private Set<String> inSyncFollowers(Predicate<Follower> condition) {
        Set<String> identities = new HashSet<>();
        followers.withIdentities(record.inSync()).stream()
                .filter(condition)
                .forEach(follower -> identities.add(follower.identity()));
        return identities;
    }

    private boolean isKeepingUp(Follower follower) {
        double now = context.activeMs();
        return follower.isDiskHealthy()
                && follower.sinceContactMs(now) <= UNRESPONSIVE_AFTER_MS
                && follower.laggingMs(now) <= UNRESPONSIVE_AFTER_MS;
    }

    private boolean isMajorityResponsive() {
        List<Member> members = record.members();
        long others = members.stream()
                .map(member -> followers.get(member.identity()))
                .filter(follower -> follower != null && isResponsive(follower))
                .count();
        return 2 * (1 + others) > members.size();
    }

    /** Whether a store was heard lately, with a disk that works, and is not about to end. */
    boolean isResponsive(Follower follower) {
        return follower.isHealthy() && follower.sinceContactMs(context.activeMs()) <= UNRESPONSIVE_AFTER_MS;
    }

    /** Stores outside the in-sync set that hold what this process holds. */
    Set<String> caughtUpOutsiders() {
        Set<String> identities = new HashSet<>();
        double now = context.activeMs();
        for (Follower follower : followers.all()) {
            boolean isOutside = !record.inSync().contains(follower.identity());
            if (isOutside
                    && follower.isHealthy()
                    && follower.sinceContactMs(now) <= 2 * HEARTBEAT_INTERVAL_MS
                    && follower.stateVersion().equals(targetVersion)) {
                identities.add(follower.identity());
            }
        }
        return identities;
    }

    private void replicateToFollowers() {
        double now = context.activeMs();
        for (Follower follower : followers.all()) {
            boolean inSync = record.inSync().contains(follower.identity());
            boolean isReceiver =
                    inSync || (!follower.isShuttingDown() && follower.sinceContactMs(now) <= 2 * HEARTBEAT_INTERVAL_MS);
            if (isReceiver && !follower.promised().isAfter(number())) {
                replicateTo(follower, now);
            }
        }
    }

    /** Sends what a store lacks: a state to begin with, if need be, and the changes after it right behind. */
    private void replicateTo(Follower follower, double now) {
        if (!follower.isReplyPending(now) && !recentChanges.coversChangesAfter(follower.stateVersion())) {
            sendStartingState(follower, now);
        }
        StateVersion expected = follower.expectedVersion(now);
        if (expected.equals(targetVersion) || !recentChanges.coversChangesAfter(expected)) {
            return;
        }
        for (RecentChanges.LoggedChange change : recentChanges.changesAfter(expected)) {
            send(
                    follower,
                    new Replicate(
                            context.requests().next(), number(), change.stateVersion(), change.delta(), change.key()));
        }
        follower.onChangesSent(targetVersion, now);
    }

    private void sendStartingState(Follower follower, double now) {
        if (follower.stateVersion().equals(baseVersion) && recentChanges.coversChangesAfter(startVersion)) {
            send(follower, new RelabelState(context.requests().next(), number(), baseVersion, startVersion));
            follower.onChangesSent(startVersion, now);
            return;
        }
        ConfigurationState state = context.durable().state();
        StateVersion stateVersion = targetVersion.equals(startVersion) ? startVersion : state.version();
        if (!stateVersion.equals(snapshotVersion)) {
            snapshotVersion = stateVersion;
            snapshotDocument = state.documentBytes();
            snapshotChanges = state.changes().toBytes();
        }
        send(
                follower,
                new InstallSnapshot(
                        context.requests().next(), number(), stateVersion, snapshotDocument, snapshotChanges));
        follower.onSnapshotSent(stateVersion, now);
    }

    private void send(Follower follower, Message message) {
        context.peers().send(context.peers().addressOf(follower.member()), message);
    }

    private void broadcast(Message message) {
        for (Follower follower : List.copyOf(followers.all())) {
            context.peers().send(context.peers().addressOf(follower.member()), message);
        }
    }
}
