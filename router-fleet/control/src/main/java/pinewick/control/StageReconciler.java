package pinewick.control;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import pinewick.model.ReplicaRecord;
import pinewick.model.Stage;

/**
 * Orders replicas to change their stage as the planner decides. Only the process that leads an epoch sends orders,
 * with fencing tokens of that epoch, and only once no order from an earlier lease holder can still be in transit.
 * Load reports are collected from all replicas in one round at a time. After an order without a response, its
 * service gets no other order until a later report shows the outcome. Control loop only.
 */
final class StageReconciler {
    /** Interval at which {@link #run} has to be called, milliseconds. */
    static final int PERIOD_MS = 2_000;

    /**
     * Time that a new lease holder waits before its first order, milliseconds: the previous holder may have sent an
     * order just after its lease expired, and that order may be in transit until it times out.
     */
    static final double LEASE_HANDOVER_MS = OrderLease.VALID_MS + ReplicaClient.TIMEOUT_MS + 400;

    /**
     * A collection that took longer, milliseconds, is discarded because its reports are too old: this process was
     * suspended in the meantime.
     */
    static final double MAX_COLLECTION_MS = ReplicaClient.TIMEOUT_MS + 1_000;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 5;
    private static final long NO_EPOCH = -1;

    private final FleetAccess fleet;
    private final StagePlanner planner;
    private final ReplicaClient replicaClient;
    private final FencingTokens tokens;
    private final Supplier<Optional<Long>> leadingEpoch;
    private final TaskLoop loop;
    private final OrderLease lease = new OrderLease();
    private final UnresolvedOrders unresolvedOrders = new UnresolvedOrders();
    private final Set<String> excludedInstances = new HashSet<>();
    private long fencedEpoch = NO_EPOCH;
    private double leadingSinceMs = Double.POSITIVE_INFINITY;
    private boolean collecting;

    /** @param leadingEpoch the epoch that this process leads, present only once every earlier lease has expired */
    StageReconciler(
            FleetAccess fleet,
            StagePlanner planner,
            ReplicaClient replicaClient,
            FencingTokens tokens,
            Supplier<Optional<Long>> leadingEpoch,
            TaskLoop loop) {
        this.fleet = fleet;
        this.planner = planner;
        this.replicaClient = replicaClient;
        this.tokens = tokens;
        this.leadingEpoch = leadingEpoch;
        this.loop = loop;
    }

    /** Renews the lease while this process leads an epoch; to be called every {@link OrderLease#RENEWAL_MS}. */
    void renewLease() {
        Optional<Long> leading = leadingEpoch.get();
        lease.renew(leading, loop.nowMs());
        if (leading.isEmpty()) {
            leadingSinceMs = Double.POSITIVE_INFINITY;
        } else if (leadingSinceMs == Double.POSITIVE_INFINITY) {
            leadingSinceMs = loop.nowMs();
        }
    }

    /** Requests a load report from each replica, and sends the planned orders once all have arrived or timed out. */
    void run() {
        renewLease();
        if (collecting || orderingEpoch().isEmpty()) {
            return;
        }
        List<ReplicaRecord> replicas = fleet.replicas().stream()
                .filter(record -> record.stage() != Stage.NONE && record.acceptsRequests())
                .toList();
        retainOnly(replicas);
        if (!replicas.isEmpty()) {
            collecting = true;
            new ReportCollection(replicas.size(), loop.nowMs()).request(replicas);
        }
    }

    private Optional<Long> orderingEpoch() {
        boolean isLeaseExclusive = loop.nowMs() - leadingSinceMs >= LEASE_HANDOVER_MS;
        return isLeaseExclusive ? leadingEpoch.get().filter(epoch -> epoch > fencedEpoch) : Optional.empty();
    }

    private void retainOnly(List<ReplicaRecord> replicas) {
        Set<String> running = replicas.stream().map(ReplicaRecord::instanceId).collect(Collectors.toSet());
        unresolvedOrders.retain(running);
        excludedInstances.retainAll(running);
    }

    /** Collects one load report from each replica. */
    private final class ReportCollection {
        private final List<ReplicaLoad> loads = new ArrayList<>();
        private final double requestedMs;
        private int outstanding;

        ReportCollection(int outstanding, double requestedMs) {
            this.outstanding = outstanding;
            this.requestedMs = requestedMs;
        }

        void request(List<ReplicaRecord> replicas) {
            replicas.forEach(replica -> replicaClient.requestReport(replica, this::onReport));
        }

        private void onReport(Optional<ReplicaLoad> load) {
            load.ifPresent(loads::add);
            outstanding--;
            if (outstanding > 0) {
                return;
            }
            collecting = false;
            if (loop.nowMs() - requestedMs <= MAX_COLLECTION_MS) {
                loads.forEach(each -> unresolvedOrders.onReport(each, requestedMs));
                planAndOrder(loads);
            }
        }
    }

    private void planAndOrder(List<ReplicaLoad> loads) {
        Set<String> unresolvedServices = unresolvedOrders.services();
        List<ReplicaLoad> eligible = loads.stream()
                .filter(load ->
                        !unresolvedServices.contains(load.service()) && !excludedInstances.contains(load.instanceId()))
                .toList();
        planner.plan(eligible, loop.nowMs()).forEach(this::order);
    }

    private void order(StagePlanner.Change change) {
        Optional<Long> epoch = orderingEpoch();
        tokens.next(epoch)
                .ifPresent(fence -> replicaClient.orderStage(
                        change.replica(),
                        change.stage(),
                        fence,
                        () -> lease.isHeld(epoch.orElseThrow(), loop.nowMs()),
                        outcome -> onOutcome(change, epoch.orElseThrow(), outcome)));
    }

    private void onOutcome(StagePlanner.Change change, long epoch, OrderOutcome outcome) {
        ReplicaLoad replica = change.replica();
        LOGGER.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                "stage order: %s to replica %s in epoch %d: %s",
                change.stage().wireName(), replica.instanceId(), epoch, outcome);
        switch (outcome) {
            case UNKNOWN -> unresolvedOrders.add(replica, loop.nowMs());
            case FENCED -> fencedEpoch = Math.max(fencedEpoch, epoch);
            case WRONG_INSTANCE, INVALID -> excludedInstances.add(replica.instanceId());
            case ACCEPTED, CONFLICT, REJECTED, NOT_SENT -> {
                // The next reports show the outcome.
            }
        }
    }
}
