package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Which controllers may say that their configuration is the newest. */
class QuorumContactTest {
    /** A primary without a quorum resigns after 900 ms; its last heartbeat counts for 450 ms. */
    private static final double LOST_MS = 1_400;

    private static final double BOUND_MS = 6_000;

    private final SimulatedCluster cluster = new SimulatedCluster(11, 1);

    @BeforeEach
    void found() {
        cluster.found(3);
        cluster.runUntil(3_000);
    }

    private List<Machine> backups() {
        Machine primary = cluster.primary();
        return cluster.machines.stream().filter(machine -> machine != primary).toList();
    }

    private void isolate(Machine machine) {
        for (Machine other : cluster.machines) {
            cluster.cut(machine, other);
            cluster.cut(other, machine);
        }
    }

    private void runFor(double durationMs) {
        cluster.runUntil(cluster.nowMs() + durationMs);
    }

    private static boolean holdsNewest(Machine machine) {
        return machine.node().isUpToDate();
    }

    @Test
    void everyControllerOfAHealthyQuorumIsUpToDate() {
        cluster.machines.forEach(machine -> assertTrue(holdsNewest(machine)));
    }

    @Test
    void aFollowerThatIsCutOffIsNot() {
        Machine alone = backups().get(0);
        isolate(alone);
        runFor(LOST_MS);
        assertFalse(holdsNewest(alone));
        runFor(20_000 - LOST_MS);
        assertFalse(holdsNewest(alone));
        long others = cluster.machines.stream()
                .filter(machine -> machine != alone && holdsNewest(machine))
                .count();
        assertEquals(2, others);
        cluster.joinAll();
        assertTrue(cluster.runUntil(() -> holdsNewest(alone), BOUND_MS) < BOUND_MS);
    }

    @Test
    void aPrimaryThatIsCutOffIsNot() {
        Machine alone = cluster.primary();
        isolate(alone);
        runFor(LOST_MS);
        assertFalse(holdsNewest(alone));
        runFor(20_000 - LOST_MS);
        assertFalse(holdsNewest(alone));
    }

    @Test
    void aPrimaryThatSendsButReceivesNothingIsNot() {
        Machine primary = cluster.primary();
        for (Machine other : backups()) {
            cluster.cut(other, primary);
        }
        runFor(LOST_MS);
        assertFalse(holdsNewest(primary));
    }

    @Test
    void aStoreWhoseDiskWasLostIsUpToDateOnlyOnceItHasTheState() {
        Change change = new Operator(cluster).properChange();
        cluster.primary().submit(change, outcome -> {});
        runFor(1_000);
        Machine wiped = backups().get(0);
        wiped.wipe();
        runFor(500);
        wiped.start(false);
        assertFalse(holdsNewest(wiped));
        cluster.runUntil(() -> holdsNewest(wiped), BOUND_MS);
        Machine primary = cluster.primary();
        assertEquals(
                primary.node().status(false).stateVersion(),
                wiped.node().status(false).stateVersion());
    }
}
