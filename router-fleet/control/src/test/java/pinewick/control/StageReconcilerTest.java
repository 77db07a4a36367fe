package pinewick.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import pinewick.model.ReplicaRecord;
import pinewick.model.Stage;

/** When the reconciler sends orders, and with which fencing token. */
class StageReconcilerTest {
    private final ManualLoop loop = new ManualLoop(0);
    private final FakeFleet fleet = new FakeFleet(loop::nowMs);
    private final FakeReplicaClient replicaClient = new FakeReplicaClient();
    private Optional<Long> leadingEpoch = Optional.of(3L);
    private final StageReconciler reconciler = new StageReconciler(
            fleet, new StagePlanner(), replicaClient, new FencingTokens("core-1"), () -> leadingEpoch, loop);

    /** Replicas that report at once. The first one is full and the only one of its stage. */
    private static final class FakeReplicaClient implements ReplicaClient {
        private final List<String> orders = new ArrayList<>();
        private final List<Runnable> deferredReports = new ArrayList<>();
        private final Set<String> unresponsive = new HashSet<>();
        private final Map<String, Long> acceptedOrders = new HashMap<>();
        private BooleanSupplier mayStillSend;
        private OrderOutcome outcome = OrderOutcome.ACCEPTED;
        private boolean defersReports;
        private int reportRequests;

        @Override
        public void requestReport(ReplicaRecord replica, Consumer<Optional<ReplicaLoad>> callback) {
            reportRequests++;
            boolean full = replica.instanceId().equals("i-0");
            ReplicaLoad load = new ReplicaLoad(
                    replica.instanceId(),
                    replica.service(),
                    replica.address(),
                    12,
                    full ? Stage.PREFILL : Stage.DECODE,
                    false,
                    acceptedOrders.getOrDefault(replica.instanceId(), 0L),
                    full ? 12 : 0,
                    1);
            Optional<ReplicaLoad> report =
                    unresponsive.contains(replica.instanceId()) ? Optional.empty() : Optional.of(load);
            if (defersReports) {
                deferredReports.add(() -> callback.accept(report));
            } else {
                callback.accept(report);
            }
        }

        @Override
        public void orderStage(
                ReplicaLoad replica,
                Stage stage,
                FencingTokens.Fence fence,
                BooleanSupplier mayStillSend,
                Consumer<OrderOutcome> outcomeListener) {
            orders.add(replica.instanceId() + ">" + stage.wireName() + " " + fence.leaseHolder() + " " + fence.token());
            this.mayStillSend = mayStillSend;
            outcomeListener.accept(outcome);
        }
    }

    /** Waits until this process may send orders. */
    private void awaitLeaseHandover() {
        reconciler.renewLease();
        loop.advance(StageReconciler.LEASE_HANDOVER_MS);
    }

    private void run(int rounds) {
        for (int i = 0; i < rounds; i++) {
            reconciler.run();
            loop.advance(StageReconciler.PERIOD_MS);
        }
    }

    private void addReplicas() {
        for (int i = 0; i < 4; i++) {
            fleet.learn(ReplicaRecords.ready("i-" + i, 1));
        }
    }

    @Test
    void sendsAnOrderWithATokenOfTheEpochForALastingImbalance() {
        addReplicas();
        awaitLeaseHandover();
        run(3);
        assertEquals(List.of("i-1>prefill core-1/3 " + (3L << 20)), replicaClient.orders);
    }

    @Test
    void requestsNoReportsAndSendsNoOrdersWithoutALease() {
        addReplicas();
        leadingEpoch = Optional.empty();
        run(5);
        assertEquals(0, replicaClient.reportRequests);
        assertEquals(List.of(), replicaClient.orders);
    }

    @Test
    void sendsNoOrderAfterSteppingDown() {
        addReplicas();
        awaitLeaseHandover();
        run(2);
        replicaClient.defersReports = true;
        run(1);
        leadingEpoch = Optional.empty();
        replicaClient.deferredReports.forEach(Runnable::run);
        assertEquals(List.of(), replicaClient.orders);
    }

    @Test
    void collectsReportsOnceAtATime() {
        addReplicas();
        awaitLeaseHandover();
        replicaClient.defersReports = true;
        run(3);
        assertEquals(4, replicaClient.reportRequests);
    }

    @Test
    void requestsNoReportsOfDrainingOrLapsedReplicas() {
        fleet.learn(ReplicaRecords.draining("i-0", 1));
        fleet.learn(ReplicaRecords.ready("i-1", 1).withLapsed(true));
        awaitLeaseHandover();
        run(3);
        assertEquals(0, replicaClient.reportRequests);
    }

    private void runFor(double durationMs) {
        run((int) (durationMs / StageReconciler.PERIOD_MS));
    }

    /** Runs for long enough that the planner plans another change. */
    private void awaitNextChange() {
        runFor(StagePlanner.MIN_CHANGE_INTERVAL_MS + StagePlanner.MIN_IMBALANCE_MS + 2 * StageReconciler.PERIOD_MS);
    }

    @Test
    void waitsAsANewLeaseHolderUntilNoEarlierOrderCanBeInTransit() {
        addReplicas();
        reconciler.run();
        loop.advance(StageReconciler.LEASE_HANDOVER_MS - 1);
        reconciler.run();
        assertEquals(0, replicaClient.reportRequests);
        loop.advance(1);
        reconciler.run();
        assertEquals(4, replicaClient.reportRequests);
    }

    @Test
    void waitsAgainAfterABriefLossOfTheLease() {
        addReplicas();
        awaitLeaseHandover();
        leadingEpoch = Optional.empty();
        reconciler.renewLease();
        leadingEpoch = Optional.of(5L);
        reconciler.run();
        assertEquals(0, replicaClient.reportRequests);
    }

    @Test
    void resolvesAnOrderWithoutAResponseBeforeTheNextOneOfTheService() {
        addReplicas();
        awaitLeaseHandover();
        replicaClient.outcome = OrderOutcome.UNKNOWN;
        run(3);
        assertEquals(1, replicaClient.orders.size());
        replicaClient.unresponsive.add("i-1");
        awaitNextChange();
        assertEquals(1, replicaClient.orders.size(), "the replica has not reported yet");
        replicaClient.unresponsive.clear();
        runFor(StagePlanner.MIN_IMBALANCE_MS + 2 * StageReconciler.PERIOD_MS);
        assertEquals(2, replicaClient.orders.size());
    }

    @Test
    void sendsNoMoreOrdersInAnEpochInWhichItWasFenced() {
        addReplicas();
        awaitLeaseHandover();
        replicaClient.outcome = OrderOutcome.FENCED;
        run(3);
        awaitNextChange();
        assertEquals(1, replicaClient.orders.size());
        leadingEpoch = Optional.of(4L);
        awaitNextChange();
        assertEquals(2, replicaClient.orders.size());
    }

    @Test
    void sendsNoSecondOrderToAReplacedInstance() {
        addReplicas();
        awaitLeaseHandover();
        replicaClient.outcome = OrderOutcome.WRONG_INSTANCE;
        run(3);
        awaitNextChange();
        assertEquals(2, replicaClient.orders.size());
        assertTrue(replicaClient.orders.get(0).startsWith("i-1>"));
        assertTrue(replicaClient.orders.get(1).startsWith("i-2>"));
    }

    @Test
    void ignoresReportsFromBeforeAFreeze() {
        addReplicas();
        awaitLeaseHandover();
        run(2);
        replicaClient.defersReports = true;
        run(1);
        loop.pause(20_000);
        replicaClient.deferredReports.forEach(Runnable::run);
        assertEquals(List.of(), replicaClient.orders);
    }

    @Test
    void abortsAnOrderIfTheLeaseExpiredOrTheProcessWasFrozenBeforeSending() {
        addReplicas();
        awaitLeaseHandover();
        run(3);
        reconciler.renewLease();
        assertTrue(replicaClient.mayStillSend.getAsBoolean());
        loop.pause(OrderLease.VALID_MS + 1);
        assertFalse(replicaClient.mayStillSend.getAsBoolean(), "lease not renewed");
        reconciler.renewLease();
        assertTrue(replicaClient.mayStillSend.getAsBoolean());
        leadingEpoch = Optional.of(4L);
        reconciler.renewLease();
        assertFalse(replicaClient.mayStillSend.getAsBoolean(), "another epoch, another token");
    }
}
