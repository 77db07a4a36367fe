package pinewick.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pinewick.model.SocketAddress;
import pinewick.model.Stage;

/** When the planner moves a replica from one stage to the other. */
class StagePlannerTest {
    private static final int SLOTS = 10;
    private static final double RUN_INTERVAL_MS = 1_000;

    private final StagePlanner planner = new StagePlanner();
    private double nowMs;

    private static ReplicaLoad load(String id, Stage stage, int waiting, int running) {
        return new ReplicaLoad(id, "s", new SocketAddress("10.1.1.1", 80), SLOTS, stage, false, 2, waiting, running);
    }

    private static ReplicaLoad busy(String id, Stage stage) {
        return new ReplicaLoad(id, "s", new SocketAddress("10.1.1.1", 80), SLOTS, stage, true, 3, 0, 0);
    }

    private static List<ReplicaLoad> overloadedPrefill() {
        return List.of(
                load("p-1", Stage.PREFILL, 3, 8),
                load("d-1", Stage.DECODE, 0, 3),
                load("d-2", Stage.DECODE, 0, 2),
                load("d-3", Stage.DECODE, 0, 2));
    }

    private List<String> planFor(double milliseconds, List<ReplicaLoad> loads) {
        List<String> changes = new ArrayList<>();
        for (double endMs = nowMs + milliseconds; nowMs < endMs; nowMs += RUN_INTERVAL_MS) {
            planner.plan(loads, nowMs)
                    .forEach(change -> changes.add(
                            change.replica().instanceId() + ">" + change.stage().wireName()));
        }
        return changes;
    }

    @Test
    void movesTheLeastLoadedReplicaToAStageThatStaysOverloaded() {
        assertEquals(List.of(), planFor(StagePlanner.MIN_IMBALANCE_MS, overloadedPrefill()));
        assertEquals(List.of("d-2>prefill"), planFor(RUN_INTERVAL_MS, overloadedPrefill()));
    }

    @Test
    void ignoresAShortImbalance() {
        planFor(StagePlanner.MIN_IMBALANCE_MS - RUN_INTERVAL_MS, overloadedPrefill());
        List<ReplicaLoad> balanced = List.of(load("p-1", Stage.PREFILL, 0, 2), load("d-1", Stage.DECODE, 0, 3));
        planFor(RUN_INTERVAL_MS, balanced);
        assertEquals(List.of(), planFor(StagePlanner.MIN_IMBALANCE_MS, overloadedPrefill()));
    }

    @Test
    void limitsTheRateOfChangesOfAService() {
        assertEquals(
                1,
                planFor(StagePlanner.MIN_IMBALANCE_MS + StagePlanner.MIN_CHANGE_INTERVAL_MS, overloadedPrefill())
                        .size());
        assertEquals(
                1,
                planFor(StagePlanner.MIN_CHANGE_INTERVAL_MS, overloadedPrefill())
                        .size());
    }

    @Test
    void plansNoChangeWhileAnOrderIsInProgress() {
        List<ReplicaLoad> loads = new ArrayList<>(overloadedPrefill());
        loads.add(busy("d-4", Stage.DECODE));
        assertEquals(List.of(), planFor(3 * StagePlanner.MIN_IMBALANCE_MS, loads));
    }

    @Test
    void keepsTheLastReplicaOfAStage() {
        List<ReplicaLoad> loads = List.of(load("p-1", Stage.PREFILL, 9, 9), load("d-1", Stage.DECODE, 0, 0));
        assertEquals(List.of(), planFor(3 * StagePlanner.MIN_IMBALANCE_MS, loads));
    }

    @Test
    void keepsTheReplicasOfAStageWithoutSpareCapacity() {
        List<ReplicaLoad> loads = List.of(
                load("p-1", Stage.PREFILL, 9, 9), load("d-1", Stage.DECODE, 0, 4), load("d-2", Stage.DECODE, 0, 3));
        assertEquals(List.of(), planFor(3 * StagePlanner.MIN_IMBALANCE_MS, loads));
    }

    @Test
    void movesAReplicaToDecodeWhenDecodeIsFull() {
        List<ReplicaLoad> loads = List.of(
                load("p-1", Stage.PREFILL, 0, 1), load("p-2", Stage.PREFILL, 0, 1), load("d-1", Stage.DECODE, 3, 10));
        assertEquals(List.of("p-1>decode"), planFor(StagePlanner.MIN_IMBALANCE_MS + RUN_INTERVAL_MS, loads));
    }
}
