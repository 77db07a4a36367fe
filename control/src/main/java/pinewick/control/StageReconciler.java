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
 * Brings the stages of replicas to what the planner wants. Only the process that leads an epoch acts, under tokens of
 * that epoch, and not before the orders of an earlier holder can be on their way no longer; one round of reports is out
 * at a time. An order without an answer is read back by a later report before its service gets another one. Owned by
 * the control loop.
 */
final class StageReconciler {
    /** How often {@link #run} is to be called, milliseconds. */
    static final int PERIOD_MS = 2_000;

    /**
     * The pause of a new holder before its first order, milliseconds: an order of the one before may have gone out when
     * its lease had just ended, and been on its way until it timed out.
     */
    static final double SETTLING_MS = OrderLease.VALID_MS + ReplicaCalls.TIMEOUT_MS + 400;

    /** A round that took longer rests on reports that are too old: this process was frozen meanwhile. */
    static final double LONGEST_ROUND_MS = ReplicaCalls.TIMEOUT_MS + 1_000;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int LOG_PAUSE_SECONDS = 5;
    private static final long NO_EPOCH = -1;

    private final FleetAccess fleet;
    private final StagePlanner planner;
    private final ReplicaCalls calls;
    private final FencingTokens tokens;
    private final Supplier<Optional<Long>> leadingEpoch;
    private final TaskLoop loop;
    private final OrderLease lease = new OrderLease();
    private final UnansweredOrders unanswered = new UnansweredOrders();
    private final Set<String> unwilling = new HashSet<>();
    private long fencedEpoch = NO_EPOCH;
    private double leadsSinceMs = Double.POSITIVE_INFINITY;
    private boolean roundOut;

    /**
     * @param leadingEpoch the epoch that this process leads, present only once every earlier holder has ended
     */
    StageReconciler(
            FleetAccess fleet,
            StagePlanner planner,
            ReplicaCalls calls,
            FencingTokens tokens,
            Supplier<Optional<Long>> leadingEpoch,
            TaskLoop loop) {
        this.fleet = fleet;
        this.planner = planner;
        this.calls = calls;
        this.tokens = tokens;
        this.leadingEpoch = leadingEpoch;
        this.loop = loop;
    }

    /** Looks at the lease; to be called every {@link OrderLease#RENEWAL_MS}. */
    void renewLease() {
        Optional<Long> leading = leadingEpoch.get();
        lease.renew(leading, loop.nowMs());
        if (leading.isEmpty()) {
            leadsSinceMs = Double.POSITIVE_INFINITY;
        } else if (leadsSinceMs == Double.POSITIVE_INFINITY) {
            leadsSinceMs = loop.nowMs();
        }
    }

    /** Asks for reports, and orders what is due once they are in. */
    void run() {
        renewLease();
        if (roundOut || mayOrder().isEmpty()) {
            return;
        }
        List<ReplicaRecord> replicas = fleet.replicas().stream()
                .filter(record -> record.stage() != Stage.NONE && record.takesRequests())
                .toList();
        forgetAllBut(replicas);
        if (!replicas.isEmpty()) {
            roundOut = true;
            new Round(replicas.size(), loop.nowMs()).ask(replicas);
        }
    }

    private Optional<Long> mayOrder() {
        boolean settled = loop.nowMs() - leadsSinceMs >= SETTLING_MS;
        return settled ? leadingEpoch.get().filter(epoch -> epoch > fencedEpoch) : Optional.empty();
    }

    private void forgetAllBut(List<ReplicaRecord> replicas) {
        Set<String> running = replicas.stream().map(ReplicaRecord::instanceId).collect(Collectors.toSet());
        unanswered.retain(running);
        unwilling.retainAll(running);
    }

    /** One report of each replica. */
    private final class Round {
        private final List<ReplicaLoad> loads = new ArrayList<>();
        private final double askedAtMs;
        private int outstanding;

        Round(int outstanding, double askedAtMs) {
            this.outstanding = outstanding;
            this.askedAtMs = askedAtMs;
        }

        void ask(List<ReplicaRecord> replicas) {
            replicas.forEach(replica -> calls.report(replica, this::onReport));
        }

        private void onReport(Optional<ReplicaLoad> load) {
            load.ifPresent(loads::add);
            outstanding--;
            if (outstanding > 0) {
                return;
            }
            roundOut = false;
            if (loop.nowMs() - askedAtMs <= LONGEST_ROUND_MS) {
                loads.forEach(each -> unanswered.onReport(each, askedAtMs));
                orderFrom(loads);
            }
        }
    }

    private void orderFrom(List<ReplicaLoad> loads) {
        Set<String> waiting = unanswered.services();
        List<ReplicaLoad> settled = loads.stream()
                .filter(load -> !waiting.contains(load.service()) && !unwilling.contains(load.instanceId()))
                .toList();
        planner.plan(settled, loop.nowMs()).forEach(this::order);
    }

    private void order(StagePlanner.Change change) {
        Optional<Long> epoch = mayOrder();
        tokens.next(epoch)
                .ifPresent(fence -> calls.orderStage(
                        change.replica(),
                        change.stage(),
                        fence,
                        () -> lease.holds(epoch.orElseThrow(), loop.nowMs()),
                        outcome -> onOutcome(change, epoch.orElseThrow(), outcome)));
    }

    private void onOutcome(StagePlanner.Change change, long epoch, OrderOutcome outcome) {
        ReplicaLoad replica = change.replica();
        logger.atInfo().atMostEvery(LOG_PAUSE_SECONDS, TimeUnit.SECONDS).log(
                "order %s to %s in epoch %d: %s", change.stage().wireName(), replica.instanceId(), epoch, outcome);
        switch (outcome) {
            case UNKNOWN -> unanswered.add(replica, loop.nowMs());
            case FENCED -> fencedEpoch = Math.max(fencedEpoch, epoch);
            case WRONG_INSTANCE, INVALID -> unwilling.add(replica.instanceId());
            case TAKEN, CONFLICT, REFUSED, NOT_SENT -> {
                // The next round of reports shows what holds.
            }
        }
    }
}
