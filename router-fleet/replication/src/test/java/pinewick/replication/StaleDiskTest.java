package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A process starts from an old but complete copy of its disk while the other processes have newer states. */
class StaleDiskTest {
    private static final int SEEDS = 20;
    private static final double BOOTSTRAP_MS = 4_000;
    private static final double SHORT_WAIT_MS = 100;
    private static final double REPAIR_MS = 4_000;

    private static void submitAndAwait(SimulatedCluster cluster) {
        Change change = new Operator(cluster).validChange();
        boolean[] acknowledged = new boolean[1];
        cluster.primary().submit(change, outcome -> {
            cluster.checker.onChangeOutcome(change, outcome);
            acknowledged[0] = outcome instanceof ChangeOutcome.Accepted;
        });
        cluster.runUntil(() -> acknowledged[0], SHORT_WAIT_MS);
    }

    private static Machine follower(SimulatedCluster cluster) {
        return cluster.machines.stream()
                .filter(machine -> machine != cluster.primary())
                .findFirst()
                .orElseThrow();
    }

    private static String identity(Machine machine) {
        return machine.node().status(false).self().identity();
    }

    /** The restart takes place within one epoch, before the store leaves the in-sync set. Then the primary is lost. */
    @Test
    void keepsAcknowledgedChangesWithAStaleDiskOfTheSameEpoch() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(seed, 1);
            cluster.bootstrap(3);
            cluster.runUntil(BOOTSTRAP_MS);
            submitAndAwait(cluster);
            Machine restoredMachine = follower(cluster);
            SimulatedDisk copy = restoredMachine.disk.copy();
            submitAndAwait(cluster);
            restoredMachine.kill();
            restoredMachine.disk.restore(copy);
            restoredMachine.start(false);
            cluster.runUntil(cluster.nowMs() + REPAIR_MS);
            long acknowledgedVersion = cluster.checker.newestAcknowledged();
            cluster.primary().wipe();
            cluster.runUntil(cluster.nowMs() + REPAIR_MS);
            boolean[] readCompleted = new boolean[1];
            cluster.primary().read(outcome -> {
                cluster.checker.onRead(((ReadOutcome.Current) outcome).document(), acknowledgedVersion);
                readCompleted[0] = true;
            });
            cluster.runUntil(() -> readCompleted[0], SHORT_WAIT_MS);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void resetsAStaleDiskOfAnEarlierEpoch(boolean primaryKeepsRunning) {
        SimulatedCluster cluster = new SimulatedCluster(9, 1);
        cluster.bootstrap(3);
        cluster.runUntil(BOOTSTRAP_MS);
        submitAndAwait(cluster);
        Machine restoredMachine = follower(cluster);
        SimulatedDisk copy = restoredMachine.disk.copy();
        String identityBefore = identity(restoredMachine);
        cluster.primary().beginShutdown();
        cluster.runUntil(cluster.nowMs() + REPAIR_MS);
        cluster.machines.stream().filter(machine -> machine != restoredMachine).forEach(Machine::kill);
        cluster.machines.forEach(machine -> machine.start(false));
        cluster.runUntil(cluster.nowMs() + REPAIR_MS);
        submitAndAwait(cluster);
        restoredMachine.kill();
        restoredMachine.disk.restore(copy);
        if (!primaryKeepsRunning) {
            cluster.machines.forEach(Machine::kill);
            cluster.machines.forEach(machine -> machine.start(false));
        } else {
            restoredMachine.start(false);
        }
        cluster.runUntil(cluster.nowMs() + REPAIR_MS);
        assertNotEquals(
                identityBefore, identity(restoredMachine), "the store with the stale promise must get a new identity");
        assertEquals(
                3,
                cluster.primary()
                        .node()
                        .report()
                        .faultTolerance()
                        .currentStores()
                        .orElseThrow());
    }

    /** The settings still state that the system starts for the first time. */
    @Test
    void resetsAFounderWithAnEmptyDisk() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(seed, 1);
            cluster.bootstrap(3);
            cluster.runUntil(BOOTSTRAP_MS);
            submitAndAwait(cluster);
            Machine wipedMachine = follower(cluster);
            String identityBefore = identity(wipedMachine);
            wipedMachine.wipe();
            wipedMachine.start(true);
            cluster.runUntil(cluster.nowMs() + REPAIR_MS);
            assertNotEquals(identityBefore, identity(wipedMachine));
            assertEquals(
                    3,
                    cluster.primary()
                            .node()
                            .report()
                            .faultTolerance()
                            .currentStores()
                            .orElseThrow());
        }
    }
}
