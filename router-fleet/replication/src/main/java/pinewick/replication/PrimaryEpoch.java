package pinewick.replication;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import pinewick.model.Message;
import pinewick.model.SocketAddress;
import pinewick.replication.DurableState.Outcome;
import pinewick.replication.DurableState.Update;
import pinewick.replication.ReplicationMessages.Heartbeat;
import pinewick.replication.ReplicationMessages.HeartbeatReply;
import pinewick.replication.ReplicationMessages.RecordChosen;
import pinewick.replication.ReplicationMessages.ReplicationReply;
import pinewick.replication.ReplicationMessages.Status;

/**
 * The state of one epoch at its primary. The epoch is <em>established</em> once every in-sync store has the state from
 * which it starts; after that, changes are replicated one at a time. Invariants:
 *
 * <ul>
 *   <li>a state is committed only when every in-sync store has it on disk and this process has promised no higher
 *       number ({@link #isPromiseCurrent});
 *   <li>a change is replicated only in an established epoch with at least f + 1 in-sync stores, f being the number of
 *       machines that may be lost at once;
 *   <li>a reply counts only if its request was sent in this epoch by this process.
 * </ul>
 *
 * {@link EpochLease} tracks the lease, {@link StateReplicator} sends states and changes, {@link InSyncEvaluator}
 * evaluates followers. Control loop only.
 */
final class PrimaryEpoch {
    static final double HEARTBEAT_INTERVAL_MS = 200;

    /** A primary that no quorum has confirmed for longer than this steps down. */
    private static final double CONFIRMATION_TIMEOUT_MS = 900;

    /**
     * A primary that has promised a higher number, and has not started a new epoch of its own within this time, steps
     * down.
     */
    private static final double RECONFIGURATION_TIMEOUT_MS = 1_500;

    private final ReplicationContext context;
    private final EpochRecord record;
    private final Followers followers;
    private final long lastEarlierRequest;
    private final EpochLease lease;
    private final StateReplicator replicator;
    private final InSyncEvaluator inSyncEvaluator;
    private final HeartbeatSendTimes sendTimes = new HeartbeatSendTimes();
    private boolean changePending;
    private boolean established;
    private boolean diskFailed;
    private RequestId heartbeatRequest = RequestId.NONE;
    private double supersededSinceMs;
    private double lastHeartbeatMs = Double.NEGATIVE_INFINITY;
    private ConfigurationState committed = ConfigurationState.NONE;

    /** @param chosen a chosen record with this process as primary */
    PrimaryEpoch(ReplicationContext context, EpochRecord chosen, Followers followers) {
        this.context = context;
        this.record = chosen.withoutPreviousMembers();
        this.followers = followers;
        this.lastEarlierRequest = context.requests().newest();
        this.lease = new EpochLease(context.clock());
        this.replicator = new StateReplicator(
                context,
                record,
                followers,
                context.durable().state().version(),
                new StateVersion(chosen.number().counter(), 0));
        this.inSyncEvaluator = new InSyncEvaluator(context, record, followers);
        this.supersededSinceMs = context.activeMs();
    }

    EpochRecord record() {
        return record;
    }

    EpochNumber number() {
        return record.number();
    }

    EpochLease lease() {
        return lease;
    }

    InSyncEvaluator inSyncEvaluator() {
        return inSyncEvaluator;
    }

    /** Whether every in-sync store has the state from which the epoch starts. */
    boolean isEstablished() {
        return established;
    }

    /** The newest committed state. */
    ConfigurationState committed() {
        return committed;
    }

    /** The newest state of the epoch, committed or not. */
    StateVersion targetVersion() {
        return replicator.targetVersion();
    }

    boolean isChangePending() {
        return changePending;
    }

    /** Whether this process has not promised a higher number itself. */
    boolean isPromiseCurrent() {
        return context.durable().promised().equals(number());
    }

    /** Whether a change can be replicated now. */
    boolean canReplicate() {
        return established
                && isPromiseCurrent()
                && !changePending
                && record.inSync().size() >= context.settings().minInSyncStores();
    }

    /**
     * Whether this process has to step down: its disk failed or is stalled, no quorum confirms the epoch, or it has
     * promised a higher number and started no new epoch in time.
     */
    boolean mustStepDown() {
        if (diskFailed || context.durable().isStalled()) {
            return true;
        }
        if (isPromiseCurrent()) {
            supersededSinceMs = context.activeMs();
            return lease.sinceConfirmationMs() > CONFIRMATION_TIMEOUT_MS;
        }
        return context.activeMs() - supersededSinceMs > RECONFIGURATION_TIMEOUT_MS;
    }

    /** Starts the epoch: stores the current state under its first version of this epoch, here and at the followers. */
    void establish() {
        double now = context.activeMs();
        followers.addMembers(record);
        followers.all().forEach(follower -> follower.onEpochStarted(now));
        DurableState durable = context.durable();
        durable.submit(
                () -> isPromiseCurrent()
                        ? Optional.of(new Update(
                                number(), record, durable.state().withVersion(targetVersion()), Optional.empty()))
                        : Optional.empty(),
                this::onOwnWrite);
        broadcast(new RecordChosen(record));
        sendHeartbeat();
        replicator.replicateToFollowers();
    }

    private void onOwnWrite(Outcome outcome) {
        diskFailed |= outcome != Outcome.WRITTEN;
    }

    /** Writes a change here and sends it to the followers; only if {@link #canReplicate}. */
    void replicate(byte[] delta, ChangeKey key) {
        RecentChanges.LoggedChange change =
                new RecentChanges.LoggedChange(targetVersion().next(), delta, key);
        changePending = true;
        replicator.append(change);
        DurableState durable = context.durable();
        durable.submit(
                () -> isPromiseCurrent()
                        ? Optional.of(new Update(
                                number(),
                                record,
                                durable.state().apply(change.stateVersion(), delta, key),
                                Optional.of(new StoredChange(delta, key))))
                        : Optional.empty(),
                this::onOwnWrite);
        replicator.replicateToFollowers();
    }

    void onTick() {
        if (context.activeMs() - lastHeartbeatMs >= HEARTBEAT_INTERVAL_MS) {
            followers.expireSilentObservers(record);
            sendHeartbeat();
        }
        replicator.replicateToFollowers();
    }

    /** Sends a heartbeat at once; returns its sequence number. */
    long sendHeartbeat() {
        heartbeatRequest = context.requests().next();
        lastHeartbeatMs = context.activeMs();
        sendTimes.record(heartbeatRequest.sequence(), lastHeartbeatMs);
        lease.onHeartbeatSent(heartbeatRequest.sequence());
        broadcast(heartbeatMessage());
        sendHeartbeatToNonFollowers();
        updateConfirmedHeartbeat();
        return heartbeatRequest.sequence();
    }

    /**
     * While a process is shutting down, the heartbeat also goes to controllers that are known from gossip and are not
     * followers yet: one of them may have been started as a replacement, and may still have contact with an earlier
     * primary.
     */
    private void sendHeartbeatToNonFollowers() {
        if (followers.all().stream().anyMatch(Follower::isShuttingDown)) {
            Set<SocketAddress> others = context.peers().knownControllers();
            followers.all().forEach(follower -> others.remove(context.peers().addressOf(follower.member())));
            context.peers().send(others, heartbeatMessage());
        }
    }

    private Heartbeat heartbeatMessage() {
        return new Heartbeat(
                heartbeatRequest,
                number(),
                committed.version(),
                context.settings().operatorApi());
    }

    /**
     * Whether this process sent a request in this epoch. Replies to requests of an earlier epoch, or of an earlier
     * incarnation of this process, are ignored.
     */
    private boolean isOwnRequest(RequestId request) {
        return context.requests().isSentAfter(request, lastEarlierRequest);
    }

    void onHeartbeatReply(HeartbeatReply reply) {
        if (isOwnRequest(reply.request())) {
            followers.getOrAdd(reply.self()).ifPresent(follower -> onHeartbeatReply(follower, reply));
        }
    }

    private void onHeartbeatReply(Follower follower, HeartbeatReply reply) {
        double sentMs = sendTimes.sentMs(reply.request().sequence());
        follower.onHeartbeatReply(reply, number(), targetVersion(), sentMs, context.activeMs());
        boolean lacksRecord = !reply.promised().isAfter(number()) && !follower.knowsChosen(number());
        if (lacksRecord) {
            send(follower, new RecordChosen(record));
        }
        updateConfirmedHeartbeat();
        replicator.replicateToFollowers();
    }

    /**
     * A process without contact to a primary asks every controller for its status. It gets a heartbeat at once, which
     * gives it contact; if it is not a member, it becomes an observer that may be admitted later.
     */
    void onStatus(Status status) {
        followers.getOrAdd(status.self()).ifPresent(follower -> {
            follower.onStatus(status, number(), targetVersion(), context.activeMs());
            if (!record.hasMember(follower.identity())) {
                follower.setLastContactMs(context.activeMs());
            }
            send(follower, heartbeatMessage());
            replicator.replicateToFollowers();
        });
    }

    void onReplicationReply(ReplicationReply reply) {
        if (isOwnRequest(reply.request())) {
            followers
                    .find(reply.identity())
                    .ifPresent(follower ->
                            follower.onReplicationReply(reply, number(), targetVersion(), context.activeMs()));
        }
    }

    private void updateConfirmedHeartbeat() {
        if (isPromiseCurrent()) {
            lease.onHeartbeatConfirmed(followers.confirmedHeartbeat(record, heartbeatRequest.sequence()));
        }
    }

    /** Commits the target state if every in-sync store has it on disk; returns whether it became committed now. */
    boolean updateCommitted() {
        DurableState durable = context.durable();
        StateVersion target = targetVersion();
        if (committed.version().equals(target) || !durable.state().version().equals(target) || !isPromiseCurrent()) {
            return false;
        }
        long stored = followers.withIdentities(record.inSync()).stream()
                .filter(follower -> follower.stateVersion().equals(target))
                .count();
        if (stored + 1 < record.inSync().size()) {
            return false;
        }
        established = true;
        changePending = false;
        committed = durable.state();
        return true;
    }

    private void send(Follower follower, Message message) {
        context.peers().send(context.peers().addressOf(follower.member()), message);
    }

    private void broadcast(Message message) {
        List.copyOf(followers.all()).forEach(follower -> send(follower, message));
    }

    /** In-sync followers that answer, keep up and are not shutting down. */
    Set<String> responsiveFollowers() {
        return inSyncEvaluator.responsiveFollowers();
    }
}
