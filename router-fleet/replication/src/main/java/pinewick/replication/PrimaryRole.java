package pinewick.replication;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import pinewick.model.SocketAddress;
import pinewick.replication.ReplicationMessages.HeartbeatReply;
import pinewick.replication.ReplicationMessages.PrimaryHint;
import pinewick.replication.ReplicationMessages.ReplicationReply;
import pinewick.replication.ReplicationMessages.Resign;
import pinewick.replication.ReplicationMessages.Status;

/**
 * The primary role of this process, over one or more epochs: from the first chosen record that names it until it steps
 * down. It steps down when its disk fails or stalls, when no quorum confirms its epoch in time ({@link
 * PrimaryEpoch#mustStepDown}), when a higher epoch is observed, or when the process shuts down. Unless a higher epoch
 * was observed, it resigns and names a successor, if there is one, which starts an election at once. Control loop
 * only.
 */
final class PrimaryRole {
    /** A change that has no outcome this long before {@code ack_ms} is over is answered as unknown. */
    private static final double REPLY_MARGIN_MS = 500;

    private static final double READ_TIMEOUT_MS = 2_000;

    /** Additional delay before a process that resigned starts an election again. */
    private static final double ELECTION_BACKOFF_MS = 1_000;

    /** How long a primary that shuts down waits for the change in flight. */
    private static final double LAST_CHANGE_TIMEOUT_MS = 500;

    private static final double LEASE_MARGIN_MS = 100;

    private final ReplicationContext context;
    private final GracefulShutdown shutdown;
    private final EpochPlanner planner;
    private final EpochProposer proposer;
    private final Election election;
    private final PrimaryLocator primaryLocator;
    private final PrimaryHeartbeatHandler heartbeatHandler;
    private final Followers followers;
    private final ChangeQueue changes = new ChangeQueue();
    private final ReadQueue reads = new ReadQueue();
    private final ChangeProcessor changeProcessor;
    private final FaultToleranceMonitor toleranceMonitor;
    private final ShutdownPermits shutdownPermits;
    private Optional<PrimaryEpoch> epoch = Optional.empty();
    private double becamePrimarySteadyMs = Double.POSITIVE_INFINITY;
    /** Counter of the epoch with which this process became primary; it may have reconfigured its epoch since. */
    private long firstEpochCounter;

    PrimaryRole(
            ReplicationContext context,
            GracefulShutdown shutdown,
            EpochPlanner planner,
            EpochProposer proposer,
            Election election,
            PrimaryLocator primaryLocator,
            PrimaryHeartbeatHandler heartbeatHandler,
            CommitNotifier commitNotifier) {
        this.context = context;
        this.shutdown = shutdown;
        this.planner = planner;
        this.proposer = proposer;
        this.election = election;
        this.primaryLocator = primaryLocator;
        this.heartbeatHandler = heartbeatHandler;
        this.followers = new Followers(context);
        this.changeProcessor = new ChangeProcessor(commitNotifier, changes, reads);
        this.toleranceMonitor = new FaultToleranceMonitor(context, followers);
        this.shutdownPermits = new ShutdownPermits(context, followers, toleranceMonitor);
    }

    Optional<PrimaryEpoch> epoch() {
        return epoch;
    }

    boolean isLeading() {
        return epoch.isPresent();
    }

    /** Whether a quorum has recently confirmed that this process leads. */
    boolean isRecentlyConfirmed() {
        return epoch.map(current -> current.lease().isRecentlyConfirmed()).orElse(false);
    }

    /** Whether the lease of the current epoch is valid, in steady time: no other process can have become primary. */
    boolean isLeaseValid() {
        return epoch.filter(current -> current.isEstablished() && current.isPromiseCurrent())
                .filter(current -> context.clock().steadyMs() <= current.lease().expirySteadyMs())
                .isPresent();
    }

    /**
     * The latest steady time at which the committed state of this process is known to have been the newest: when it
     * sent the newest heartbeat that a quorum has answered. Empty if it is not the primary of an established epoch.
     */
    OptionalDouble confirmedSteadyMs() {
        return epoch.filter(current -> current.isEstablished() && current.isPromiseCurrent())
                .map(current -> OptionalDouble.of(current.lease().confirmedSteadyMs()))
                .filter(confirmed -> confirmed.getAsDouble() > Double.NEGATIVE_INFINITY)
                .orElse(OptionalDouble.empty());
    }

    /** The hint that names this process as primary. */
    PrimaryHint hint() {
        return epoch.map(current ->
                        new PrimaryHint(current.number(), context.settings().operatorApi(), 0))
                .orElse(PrimaryHint.NONE);
    }

    void onTick() {
        epoch.ifPresent(PrimaryEpoch::onTick);
        changes.expire(context.clock().steadyMs());
        reads.expire(context.clock().steadyMs());
    }

    void onHeartbeatReply(HeartbeatReply reply) {
        if (epoch.isEmpty()) {
            return;
        }
        epoch.get().onHeartbeatReply(reply);
        if (reply.accepted().isAfter(epoch.get().number()) && !proposer.isProposing()) {
            stepDown("epoch " + reply.accepted().counter() + " was accepted elsewhere", 0);
        }
    }

    void onReplicationReply(ReplicationReply reply) {
        epoch.ifPresent(current -> current.onReplicationReply(reply));
    }

    void onStatus(Status status) {
        epoch.ifPresent(current -> current.onStatus(status));
    }

    /** A message of an epoch arrived. If it is higher than the one that this process leads, this process steps down. */
    void onEpochObserved(EpochNumber number) {
        if (epoch.isPresent() && number.isAfter(epoch.get().number())) {
            stepDown("epoch " + number.counter() + " has started", 0);
        }
    }

    /** Starts the epoch whose record was chosen. */
    void startEpoch(EpochProposal chosen) {
        if (epoch.isEmpty()) {
            resetContactTimes(chosen);
            becamePrimarySteadyMs = context.clock().steadyMs();
            firstEpochCounter = chosen.proposal().number().counter();
        }
        chosen.promises().values().forEach(promise -> followers
                .getOrAdd(promise.self())
                .ifPresent(follower -> follower.onPromise(promise, context.activeMs())));
        PrimaryEpoch started = new PrimaryEpoch(context, chosen.proposal(), followers);
        epoch = Optional.of(started);
        changes.requeueUnconfirmed();
        reads.awaitNewHeartbeat();
        context.listener()
                .onEvent("became primary of epoch " + started.number().counter() + ", in-sync stores "
                        + started.record().inSync());
        started.establish();
    }

    /**
     * Sets the initial contact times of the members. As a follower, this process tracked contact with the former
     * primary only.
     */
    private void resetContactTimes(EpochProposal chosen) {
        for (Member member : chosen.proposal().members()) {
            boolean isFormerPrimary = member.identity().equals(heartbeatHandler.primaryIdentity());
            double lastContactMs = isFormerPrimary ? election.lastContactMs() : context.activeMs();
            followers.getOrAdd(member).ifPresent(follower -> follower.setLastContactMs(lastContactMs));
        }
    }

    /** Makes whatever progress is possible now. */
    void advance() {
        if (epoch.isEmpty()) {
            return;
        }
        PrimaryEpoch current = epoch.get();
        if (current.mustStepDown()) {
            resign(current);
            return;
        }
        changeProcessor.updateCommitted(current);
        if (!shutdown.isStarted() && proposer.canPropose()) {
            planner.planReconfiguration(current, followers)
                    .ifPresent(
                            expectedPromises -> proposer.proposeReconfiguration(current, followers, expectedPromises));
        }
        changeProcessor.advance(current, !proposer.isProposing() && !shutdown.isStarted());
        toleranceMonitor.update(current);
        shutdownPermits.update(current);
        if (shutdown.isStarted()) {
            transferLeadership(current);
        }
    }

    /**
     * Resigns because of the shutdown, unless a proposal is running or the change in flight may still be waited for.
     */
    private void transferLeadership(PrimaryEpoch current) {
        boolean mayWait = shutdown.elapsedMs(context.activeMs()) < LAST_CHANGE_TIMEOUT_MS;
        if (!proposer.isProposing() && !(current.isChangePending() && mayWait)) {
            resign(current);
        }
    }

    /**
     * Announces the resignation and steps down. The successor is a responsive follower, preferably one with the target
     * state.
     */
    private void resign(PrimaryEpoch current) {
        List<Follower> others = followers.withIdentities(current.responsiveFollowers());
        String successor = others.stream()
                .filter(follower -> follower.stateVersion().equals(current.targetVersion()))
                .findFirst()
                .or(() -> others.stream().findFirst())
                .map(Follower::identity)
                .orElse("");
        Resign message = new Resign(current.number(), successor, shutdown.isStarted());
        context.peers().send(context.peers().allAddresses(current.record()), message);
        stepDown(
                "resigned" + (successor.isEmpty() ? ", no successor" : ", successor " + successor),
                ELECTION_BACKOFF_MS);
    }

    /** Ends the primary role: restarts the election timer, and completes every pending change and read. */
    private void stepDown(String reason, double electionDelayMs) {
        long counter = epoch.map(current -> current.number().counter()).orElseThrow();
        epoch = Optional.empty();
        proposer.cancel();
        toleranceMonitor.reset();
        becamePrimarySteadyMs = Double.POSITIVE_INFINITY;
        election.restart(electionDelayMs);
        context.listener().onEvent("stepped down as primary of epoch " + counter + ": " + reason);
        changes.failAll(new ChangeOutcome.NotPrimary(primaryLocator.operatorApi()));
        reads.failAll(new ReadOutcome.NotPrimary(primaryLocator.operatorApi()));
    }

    /** Queues a change; only while this process leads. */
    void submit(ConfigurationChange change, Consumer<ChangeOutcome> callback) {
        double deadlineMs = context.clock().steadyMs() + context.settings().ackMs() - REPLY_MARGIN_MS;
        changes.add(change, deadlineMs, callback);
    }

    /** Queues a read; only while this process leads. */
    void read(Consumer<ReadOutcome> callback) {
        reads.add(context.clock().steadyMs() + READ_TIMEOUT_MS, callback);
    }

    /**
     * The counter of the epoch whose lease this process holds now; empty if it holds none or is proposing a new epoch.
     * A new primary gets it only after a wait: the lease of the former primary, and the time for which its orders stay
     * valid, have to pass first.
     */
    Optional<Long> leadingEpoch() {
        return soleAuthorityEpoch()
                .filter(counter ->
                        !proposer.isProposing() && hasLedFor(context.settings().leaseMs()));
    }

    /**
     * The counter of the epoch whose lease this process holds now, once the lease of every earlier primary has expired;
     * empty otherwise. An earlier primary's last confirmed heartbeat was sent before a quorum promised this process its
     * first epoch, so two processes never get a value at the same time. A primary that reconfigures its own epoch does
     * not wait again: the new record is chosen only if no other epoch was chosen in between.
     */
    Optional<Long> soleAuthorityEpoch() {
        return epoch.filter(current -> isLeaseValid() && hasLedFor(0))
                .map(current -> current.number().counter());
    }

    /**
     * As {@link #soleAuthorityEpoch}, but the counter of the first of this process's uninterrupted epochs: while it
     * stays the same, no other process was the sole authority in between.
     */
    Optional<Long> soleAuthorityTenure() {
        return soleAuthorityEpoch().map(epochCounter -> firstEpochCounter);
    }

    /** Whether this process has been primary for at least this time plus the duration of a lease and a margin. */
    private boolean hasLedFor(double durationMs) {
        double sinceMs = context.clock().steadyMs() - becamePrimarySteadyMs;
        return sinceMs >= EpochLease.LEASE_DURATION_MS + durationMs + LEASE_MARGIN_MS;
    }

    /** The replicated configuration as this process sees it. */
    ReplicationReport report(Optional<SocketAddress> knownPrimary) {
        EpochRecord record = epoch.map(PrimaryEpoch::record).orElseGet(context.durable()::accepted);
        return new ReplicationReport(
                record.number().counter(),
                knownPrimary,
                toleranceMonitor.members(record, isLeading()),
                record.inSync().size(),
                toleranceMonitor.report(epoch));
    }
}
