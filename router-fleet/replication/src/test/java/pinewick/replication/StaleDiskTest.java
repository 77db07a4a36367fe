package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An old, whole copy of a disk is put back and its process started, while others know better. */
class StaleDiskTest {
    private static final int SEEDS = 20;
    private static final double FOUNDED_MS = 4_000;
    private static final double SOON_MS = 100;
    private static final double REPAIRED_MS = 4_000;

    private static void take(SimulatedCluster cluster) {
        Change change = new Operator(cluster).properChange();
        boolean[] taken = new boolean[1];
        cluster.primary().submit(change, outcome -> {
            cluster.checker.answered(change, outcome);
            taken[0] = outcome instanceof ChangeOutcome.Accepted;
        });
        cluster.runUntil(() -> taken[0], SOON_MS);
    }

    private static Machine backup(SimulatedCluster cluster) {
        return cluster.machines.stream()
                .filter(machine -> machine != cluster.primary())
                .findFirst()
                .orElseThrow();
    }

    private static String identity(Machine machine) {
        return machine.node().status(false).self().identity();
    }

    /** Within one epoch, so quickly that the store never left the in-sync set; then the primary is lost. */
    @Test
    void ofTheSameEpochDoesNotUndoAcknowledgedChanges() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(seed, 1);
            cluster.found(3);
            cluster.runUntil(FOUNDED_MS);
            take(cluster);
            Machine restored = backup(cluster);
            SimulatedDisk copy = restored.disk.copy();
            take(cluster);
            restored.kill();
            restored.disk.putBack(copy);
            restored.start(false);
            cluster.runUntil(cluster.nowMs() + REPAIRED_MS);
            long acknowledged = cluster.checker.newestAcknowledged();
            cluster.primary().wipe();
            cluster.runUntil(cluster.nowMs() + REPAIRED_MS);
            boolean[] read = new boolean[1];
            cluster.primary().read(outcome -> {
                cluster.checker.read(((ReadOutcome.Current) outcome).document(), acknowledged);
                read[0] = true;
            });
            cluster.runUntil(() -> read[0], SOON_MS);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void ofAnEarlierEpochStartsOver(boolean whileThePrimaryStays) {
        SimulatedCluster cluster = new SimulatedCluster(9, 1);
        cluster.found(3);
        cluster.runUntil(FOUNDED_MS);
        take(cluster);
        Machine restored = backup(cluster);
        SimulatedDisk copy = restored.disk.copy();
        String before = identity(restored);
        cluster.primary().leave();
        cluster.runUntil(cluster.nowMs() + REPAIRED_MS);
        cluster.machines.stream().filter(machine -> machine != restored).forEach(Machine::kill);
        cluster.machines.forEach(machine -> machine.start(false));
        cluster.runUntil(cluster.nowMs() + REPAIRED_MS);
        take(cluster);
        restored.kill();
        restored.disk.putBack(copy);
        if (!whileThePrimaryStays) {
            cluster.machines.forEach(Machine::kill);
            cluster.machines.forEach(machine -> machine.start(false));
        } else {
            restored.start(false);
        }
        cluster.runUntil(cluster.nowMs() + REPAIRED_MS);
        assertNotEquals(before, identity(restored), "its promise is forgotten");
        assertEquals(
                3,
                cluster.primary()
                        .node()
                        .report()
                        .faultTolerance()
                        .currentStores()
                        .orElseThrow());
    }

    /** The settings still say that the whole system starts for the first time. */
    @Test
    void aFounderWhoseDiskIsEmptyAgainIsReset() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(seed, 1);
            cluster.found(3);
            cluster.runUntil(FOUNDED_MS);
            take(cluster);
            Machine wiped = backup(cluster);
            String before = identity(wiped);
            wiped.wipe();
            wiped.start(true);
            cluster.runUntil(cluster.nowMs() + REPAIRED_MS);
            assertNotEquals(before, identity(wiped));
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
