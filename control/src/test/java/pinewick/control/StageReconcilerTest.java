package pinewick.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import pinewick.model.ReplicaRecord;
import pinewick.model.Stage;

/** Who orders, when, and under which token. */
class StageReconcilerTest {
    private final ManualLoop loop = new ManualLoop(0);
    private final FakeFleet fleet = new FakeFleet(loop::nowMs);
    private final FakeCalls calls = new FakeCalls();
    private Optional<Long> leadingEpoch = Optional.of(3L);
    private final StageReconciler reconciler = new StageReconciler(
            fleet, new StagePlanner(), calls, new FencingTokens("core-1"), () -> leadingEpoch, loop);

    /** Replicas that report at once, the first of them full and the only one of its stage. */
    private static final class FakeCalls implements ReplicaCalls {
        private final List<String> orders = new ArrayList<>();
        private final List<Runnable> held = new ArrayList<>();
        private boolean holdsReports;
        private int asked;

        @Override
        public void report(ReplicaRecord replica, Consumer<Optional<ReplicaLoad>> answer) {
            asked++;
            boolean full = replica.instanceId().equals("i-0");
            ReplicaLoad load = new ReplicaLoad(
                    replica.instanceId(),
                    replica.service(),
                    replica.address(),
                    12,
                    full ? Stage.PREFILL : Stage.DECODE,
                    false,
                    0,
                    full ? 12 : 0,
                    1);
            if (holdsReports) {
                held.add(() -> answer.accept(Optional.of(load)));
            } else {
                answer.accept(Optional.of(load));
            }
        }

        @Override
        public void orderStage(ReplicaLoad replica, Stage stage, FencingTokens.Fence fence, Consumer<Integer> status) {
            orders.add(replica.instanceId() + ">" + stage.wireName() + " " + fence.holder() + " " + fence.token());
            status.accept(202);
        }
    }

    private void run(int rounds) {
        for (int i = 0; i < rounds; i++) {
            reconciler.run();
            loop.advance(StageReconciler.PERIOD_MS);
        }
    }

    private void addReplicas() {
        for (int i = 0; i < 4; i++) {
            fleet.learn(Replicas.ready("i-" + i, 1));
        }
    }

    @Test
    void aLastingImbalanceIsOrderedUnderATokenOfTheEpoch() {
        addReplicas();
        run(3);
        assertEquals(List.of("i-1>prefill core-1/3 " + (3L << 20)), calls.orders);
    }

    @Test
    void whoeverDoesNotLeadNeitherAsksNorOrders() {
        addReplicas();
        leadingEpoch = Optional.empty();
        run(5);
        assertEquals(0, calls.asked);
        assertEquals(List.of(), calls.orders);
    }

    @Test
    void whoeverLostTheLeadMeanwhileDoesNotOrder() {
        addReplicas();
        run(2);
        calls.holdsReports = true;
        run(1);
        leadingEpoch = Optional.empty();
        calls.held.forEach(Runnable::run);
        assertEquals(List.of(), calls.orders);
    }

    @Test
    void oneRoundIsOutAtATime() {
        addReplicas();
        calls.holdsReports = true;
        run(3);
        assertEquals(4, calls.asked);
    }

    @Test
    void replicasThatTakeNoRequestsAreLeftAlone() {
        fleet.learn(Replicas.draining("i-0", 1));
        fleet.learn(Replicas.ready("i-1", 1).withLapsed(true));
        run(3);
        assertEquals(0, calls.asked);
    }
}
