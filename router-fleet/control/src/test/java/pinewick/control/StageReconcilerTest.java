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

/** Who orders, when, and under which token. */
class StageReconcilerTest {
    private final ManualLoop loop = new ManualLoop(0);
    private final FakeFleet fleet = new FakeFleet(loop::nowMs);
    private final FakeReplicaClient calls = new FakeReplicaClient();
    private Optional<Long> leadingEpoch = Optional.of(3L);
    private final StageReconciler reconciler = new StageReconciler(
            fleet, new StagePlanner(), calls, new FencingTokens("core-1"), () -> leadingEpoch, loop);

    /** Replicas that report at once, the first of them full and the only one of its stage. */
    private static final class FakeReplicaClient implements ReplicaClient {
        private final List<String> orders = new ArrayList<>();
        private final List<Runnable> held = new ArrayList<>();
        private final Set<String> silent = new HashSet<>();
        private final Map<String, Long> ordersTaken = new HashMap<>();
        private BooleanSupplier mayStillSend;
        private OrderOutcome outcome = OrderOutcome.ACCEPTED;
        private boolean holdsReports;
        private int asked;

        @Override
        public void requestReport(ReplicaRecord replica, Consumer<Optional<ReplicaLoad>> answer) {
            asked++;
            boolean full = replica.instanceId().equals("i-0");
            ReplicaLoad load = new ReplicaLoad(
                    replica.instanceId(),
                    replica.service(),
                    replica.address(),
                    12,
                    full ? Stage.PREFILL : Stage.DECODE,
                    false,
                    ordersTaken.getOrDefault(replica.instanceId(), 0L),
                    full ? 12 : 0,
                    1);
            Optional<ReplicaLoad> report = silent.contains(replica.instanceId()) ? Optional.empty() : Optional.of(load);
            if (holdsReports) {
                held.add(() -> answer.accept(report));
            } else {
                answer.accept(report);
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

    /** Waits until this process may give orders. */
    private void settle() {
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
    void aLastingImbalanceIsOrderedUnderATokenOfTheEpoch() {
        addReplicas();
        settle();
        run(3);
        assertEquals(List.of("i-1>prefill core-1/3 " + (3L << 20)), calls.orders);
    }

    @Test
    void aProcessThatDoesNotLeadNeitherAsksNorOrders() {
        addReplicas();
        leadingEpoch = Optional.empty();
        run(5);
        assertEquals(0, calls.asked);
        assertEquals(List.of(), calls.orders);
    }

    @Test
    void aProcessThatSteppedDownMeanwhileDoesNotOrder() {
        addReplicas();
        settle();
        run(2);
        calls.holdsReports = true;
        run(1);
        leadingEpoch = Optional.empty();
        calls.held.forEach(Runnable::run);
        assertEquals(List.of(), calls.orders);
    }

    @Test
    void oneCollectionIsInProgressAtATime() {
        addReplicas();
        settle();
        calls.holdsReports = true;
        run(3);
        assertEquals(4, calls.asked);
    }

    @Test
    void replicasThatTakeNoRequestsGetNoOrders() {
        fleet.learn(ReplicaRecords.draining("i-0", 1));
        fleet.learn(ReplicaRecords.ready("i-1", 1).withLapsed(true));
        settle();
        run(3);
        assertEquals(0, calls.asked);
    }

    private void runFor(double durationMs) {
        run((int) (durationMs / StageReconciler.PERIOD_MS));
    }

    /** Long enough for the planner to want another change. */
    private void awaitNextChange() {
        runFor(StagePlanner.MIN_CHANGE_INTERVAL_MS + StagePlanner.MIN_IMBALANCE_MS + 2 * StageReconciler.PERIOD_MS);
    }

    @Test
    void aNewLeaseHolderWaitsUntilNoEarlierOrderCanBeInTransit() {
        addReplicas();
        reconciler.run();
        loop.advance(StageReconciler.LEASE_HANDOVER_MS - 1);
        reconciler.run();
        assertEquals(0, calls.asked);
        loop.advance(1);
        reconciler.run();
        assertEquals(4, calls.asked);
    }

    @Test
    void aLeaseHolderThatLostItsLeaseBrieflyWaitsAgain() {
        addReplicas();
        settle();
        leadingEpoch = Optional.empty();
        reconciler.renewLease();
        leadingEpoch = Optional.of(5L);
        reconciler.run();
        assertEquals(0, calls.asked);
    }

    @Test
    void anOrderWithoutAResponseIsResolvedBeforeItsServiceGetsAnother() {
        addReplicas();
        settle();
        calls.outcome = OrderOutcome.UNKNOWN;
        run(3);
        assertEquals(1, calls.orders.size());
        calls.silent.add("i-1");
        awaitNextChange();
        assertEquals(1, calls.orders.size(), "the replica has not told yet");
        calls.silent.clear();
        runFor(StagePlanner.MIN_IMBALANCE_MS + 2 * StageReconciler.PERIOD_MS);
        assertEquals(2, calls.orders.size());
    }

    @Test
    void aFencedProcessOrdersNoMoreInThatEpoch() {
        addReplicas();
        settle();
        calls.outcome = OrderOutcome.FENCED;
        run(3);
        awaitNextChange();
        assertEquals(1, calls.orders.size());
        leadingEpoch = Optional.of(4L);
        awaitNextChange();
        assertEquals(2, calls.orders.size());
    }

    @Test
    void anInstanceThatIsAnotherIsNotOrderedAgain() {
        addReplicas();
        settle();
        calls.outcome = OrderOutcome.WRONG_INSTANCE;
        run(3);
        awaitNextChange();
        assertEquals(2, calls.orders.size());
        assertTrue(calls.orders.get(0).startsWith("i-1>"));
        assertTrue(calls.orders.get(1).startsWith("i-2>"));
    }

    @Test
    void reportsFromBeforeAFreezeLeadToNoOrder() {
        addReplicas();
        settle();
        run(2);
        calls.holdsReports = true;
        run(1);
        loop.pause(20_000);
        calls.held.forEach(Runnable::run);
        assertEquals(List.of(), calls.orders);
    }

    @Test
    void anOrderIsAbortedIfTheLeaseExpiresOrTheProcessWasFrozenBeforeItIsSent() {
        addReplicas();
        settle();
        run(3);
        reconciler.renewLease();
        assertTrue(calls.mayStillSend.getAsBoolean());
        loop.pause(OrderLease.VALID_MS + 1);
        assertFalse(calls.mayStillSend.getAsBoolean(), "not renewed");
        reconciler.renewLease();
        assertTrue(calls.mayStillSend.getAsBoolean());
        leadingEpoch = Optional.of(4L);
        reconciler.renewLease();
        assertFalse(calls.mayStillSend.getAsBoolean(), "another epoch, another token");
    }
}
