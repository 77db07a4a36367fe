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
 * This process as primary, over one or several epochs: from the record that was chosen until it steps down. It steps
 * down when its disk fails or stalls, when no quorum confirms its epoch in time ({@link PrimaryEpoch#mustStepDown}),
 * when a higher epoch is observed, or when the process shuts down; it names a successor that stands for election at
 * once. Control loop only.
 */
final class PrimaryRole {
    /** A change without an outcome is answered this long before {@code ack_ms}. */
    private static final double REPLY_MARGIN_MS = 500;

    private static final double READ_TIMEOUT_MS = 2_000;

    /** After it resigned, this process leaves the election to others for this long. */
    private static final double ELECTION_BACKOFF_MS = 1_000;

    /** A primary that shuts down waits this long for a change in flight. */
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
    /** Counter of the epoch with which this process became primary; it may have changed its own epoch since. */
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

    /** Whether no other process can have become primary, by steady time. */
    boolean isLeaseValid() {
        return epoch.filter(current -> current.isEstablished() && current.isPromiseCurrent())
                .filter(current -> context.clock().steadyMs() <= current.lease().expirySteadyMs())
                .isPresent();
    }

    /**
     * When the committed state of this process was last known to be the newest, steady time: when it sent the newest
     * heartbeat that a quorum has answered. Empty if it is not the primary of an established epoch.
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

    /** A message of an epoch arrived: an earlier epoch of this process has ended. */
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

    /** Until now this process only tracked contact with the former primary, not with the other members. */
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

    private void transferLeadership(PrimaryEpoch current) {
        boolean mayWait = shutdown.elapsedMs(context.activeMs()) < LAST_CHANGE_TIMEOUT_MS;
        if (!proposer.isProposing() && !(current.isChangePending() && mayWait)) {
            resign(current);
        }
    }

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
     * The counter of the epoch whose lease this process holds now. Right after it became primary it holds none: the
     * lease of the former primary, and the time for which its orders stay valid, have to pass first.
     */
    Optional<Long> leadingEpoch() {
        return soleAuthorityEpoch()
                .filter(counter ->
                        !proposer.isProposing() && hasLedFor(context.settings().leaseMs()));
    }

    /**
     * The counter of the epoch whose lease this process holds now, once the lease of every earlier primary has expired:
     * an earlier primary's last confirmed heartbeat was sent before a quorum promised this process its first epoch, so
     * that two processes never hold one at the same time. A primary that changes its own epoch does not wait again:
     * such a change is chosen only if no other epoch was chosen in between.
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

    /** Whether this process became primary longer ago than this time and the duration of a lease. */
    private boolean hasLedFor(double durationMs) {
        double sinceMs = context.clock().steadyMs() - becamePrimarySteadyMs;
        return sinceMs >= EpochLease.LEASE_DURATION_MS + durationMs + LEASE_MARGIN_MS;
    }

    /** The configuration store as this process sees it. */
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
