package pinewick.replication;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import pinewick.model.SocketAddress;
import pinewick.replication.ReplicationMessages.HeartbeatReply;
import pinewick.replication.ReplicationMessages.PrimaryHint;
import pinewick.replication.ReplicationMessages.ReplicationReply;
import pinewick.replication.ReplicationMessages.Resign;
import pinewick.replication.ReplicationMessages.Status;

/** This process as the primary: from the epoch that it won, through its changes, until it leads no more. */
final class PrimaryRole {
    /** So long before {@code ack_ms} a change that is not decided is answered. */
    private static final double REPLY_MARGIN_MS = 500;

    private static final double READ_TIMEOUT_MS = 2_000;

    /** After a trouble of its own, this process leaves the election to others for this long. */
    private static final double ELECTION_BACKOFF_MS = 1_000;

    /** A primary that is about to end waits this long for a change under way. */
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
    private Optional<PrimaryEpoch> epoch = Optional.empty();
    private double leaseStartSteadyMs = Double.POSITIVE_INFINITY;

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
    }

    Optional<PrimaryEpoch> epoch() {
        return epoch;
    }

    boolean isLeading() {
        return epoch.isPresent();
    }

    /** Whether a quorum has confirmed lately that this process leads. */
    boolean isRecentlyConfirmed() {
        return epoch.map(PrimaryEpoch::isRecentlyConfirmed).orElse(false);
    }

    /** Whether no other process can have begun to lead, by the clock that counts freezes too. */
    boolean isLeaseValid() {
        return epoch.filter(current -> current.isEstablished() && current.isPromiseCurrent())
                .filter(current -> context.clock().steadyMs() <= current.leaseExpirySteadyMs())
                .isPresent();
    }

    /** What this process tells of itself as the primary. */
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

    void onStateReply(ReplicationReply reply) {
        epoch.ifPresent(current -> current.onStateReply(reply));
    }

    void onStatus(Status status) {
        epoch.ifPresent(current -> current.onStatus(status));
    }

    /** An epoch showed itself: an earlier one that this process leads is over. */
    void onEpochObserved(EpochNumber number) {
        if (epoch.isPresent() && number.isAfter(epoch.get().number())) {
            stepDown("epoch " + number.counter() + " has begun", 0);
        }
    }

    /** Begins the epoch that a ballot has won. */
    void startEpoch(EpochProposal chosen) {
        if (epoch.isEmpty()) {
            resetContactTimes(chosen);
            leaseStartSteadyMs = context.clock().steadyMs()
                    + PrimaryEpoch.LEASE_DURATION_MS
                    + context.settings().leaseMs()
                    + LEASE_MARGIN_MS;
        }
        chosen.promises().values().forEach(promise -> {
            Follower follower = followers.getOrAdd(promise.self());
            if (follower != null) {
                follower.onPromise(promise, context.activeMs());
            }
        });
        PrimaryEpoch started = new PrimaryEpoch(context, chosen.proposal(), followers);
        epoch = Optional.of(started);
        changes.requeueUnconfirmed();
        reads.awaitNewHeartbeat();
        context.listener()
                .onEvent("leads epoch " + started.number().counter() + ", in sync "
                        + started.record().inSync());
        started.establish();
    }

    /** Of the members only the former primary was listened for until now. */
    private void resetContactTimes(EpochProposal chosen) {
        for (Member member : chosen.proposal().members()) {
            Follower follower = followers.getOrAdd(member);
            if (follower != null) {
                boolean isFormerPrimary = member.identity().equals(heartbeatHandler.primaryIdentity());
                follower.setLastContactMs(isFormerPrimary ? election.lastContactMs() : context.activeMs());
            }
        }
    }

    /** Does whatever can be done now. */
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
        stepDown("resigned in favour of '" + successor + "'", ELECTION_BACKOFF_MS);
    }

    private void stepDown(String reason, double electionDelayMs) {
        epoch = Optional.empty();
        proposer.cancel();
        toleranceMonitor.reset();
        leaseStartSteadyMs = Double.POSITIVE_INFINITY;
        election.restart(electionDelayMs);
        context.listener().onEvent("leads no more: " + reason);
        changes.failAll(new ChangeOutcome.NotPrimary(primaryLocator.operatorApi()));
        reads.failAll(new ReadOutcome.NotPrimary(primaryLocator.operatorApi()));
    }

    /** Takes a change; only while this process leads. */
    void submit(ConfigurationChange change, Consumer<ChangeOutcome> callback) {
        double deadlineMs = context.clock().steadyMs() + context.settings().ackMs() - REPLY_MARGIN_MS;
        changes.add(change, deadlineMs, callback);
    }

    /** Takes a read; only while this process leads. */
    void read(Consumer<ReadOutcome> callback) {
        reads.add(context.clock().steadyMs() + READ_TIMEOUT_MS, callback);
    }

    /** The epoch whose lease this process holds now. */
    Optional<Long> leadingEpoch() {
        double now = context.clock().steadyMs();
        return epoch.filter(current -> current.isEstablished() && current.isPromiseCurrent() && !proposer.isProposing())
                .filter(current -> now >= leaseStartSteadyMs && now <= current.leaseExpirySteadyMs())
                .map(current -> current.number().counter());
    }

    /** The configuration store as this process sees it. */
    ReplicationReport report(Optional<SocketAddress> knownPrimary) {
        EpochRecord record = epoch.map(PrimaryEpoch::record).orElseGet(context.durable()::accepted);
        return new ReplicationReport(
                record.number().counter(),
                knownPrimary,
                toleranceMonitor.members(record, epoch),
                record.inSync().size(),
                toleranceMonitor.report(epoch));
    }
}
