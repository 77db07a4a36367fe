package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Which controllers may claim that their configuration is the newest. */
class QuorumContactTest {
    /** A primary without a quorum resigns after 900 ms; its last heartbeat counts for 450 ms. */
    private static final double QUORUM_LOSS_MS = 1_400;

    private static final double BOUND_MS = 6_000;

    private final SimulatedCluster cluster = new SimulatedCluster(11, 1);

    @BeforeEach
    void bootstrap() {
        cluster.bootstrap(3);
        cluster.runUntil(3_000);
    }

    private List<Machine> followers() {
        Machine primary = cluster.primary();
        return cluster.machines.stream().filter(machine -> machine != primary).toList();
    }

    private void isolate(Machine machine) {
        for (Machine other : cluster.machines) {
            cluster.cutLink(machine, other);
            cluster.cutLink(other, machine);
        }
    }

    private void runFor(double durationMs) {
        cluster.runUntil(cluster.nowMs() + durationMs);
    }

    private static boolean isUpToDate(Machine machine) {
        return machine.node().isUpToDate();
    }

    @Test
    void reportsAllControllersOfAHealthyQuorumAsUpToDate() {
        cluster.machines.forEach(machine -> assertTrue(isUpToDate(machine)));
    }

    @Test
    void reportsAnIsolatedFollowerAsNotUpToDate() {
        Machine isolatedMachine = followers().get(0);
        isolate(isolatedMachine);
        runFor(QUORUM_LOSS_MS);
        assertFalse(isUpToDate(isolatedMachine));
        runFor(20_000 - QUORUM_LOSS_MS);
        assertFalse(isUpToDate(isolatedMachine));
        long upToDateOthers = cluster.machines.stream()
                .filter(machine -> machine != isolatedMachine && isUpToDate(machine))
                .count();
        assertEquals(2, upToDateOthers);
        cluster.restoreAllLinks();
        assertTrue(cluster.runUntil(() -> isUpToDate(isolatedMachine), BOUND_MS) < BOUND_MS);
    }

    @Test
    void reportsAnIsolatedPrimaryAsNotUpToDate() {
        Machine isolatedMachine = cluster.primary();
        isolate(isolatedMachine);
        runFor(QUORUM_LOSS_MS);
        assertFalse(isUpToDate(isolatedMachine));
        runFor(20_000 - QUORUM_LOSS_MS);
        assertFalse(isUpToDate(isolatedMachine));
    }

    @Test
    void reportsAPrimaryThatReceivesNothingAsNotUpToDate() {
        Machine primary = cluster.primary();
        for (Machine other : followers()) {
            cluster.cutLink(other, primary);
        }
        runFor(QUORUM_LOSS_MS);
        assertFalse(isUpToDate(primary));
    }

    @Test
    void reportsAWipedStoreAsUpToDateOnlyOnceItHasTheState() {
        Change change = new Operator(cluster).validChange();
        cluster.primary().submit(change, outcome -> {});
        runFor(1_000);
        Machine wipedMachine = followers().get(0);
        wipedMachine.wipe();
        runFor(500);
        wipedMachine.start(false);
        assertFalse(isUpToDate(wipedMachine));
        cluster.runUntil(() -> isUpToDate(wipedMachine), BOUND_MS);
        Machine primary = cluster.primary();
        assertEquals(
                primary.node().status(false).stateVersion(),
                wipedMachine.node().status(false).stateVersion());
    }
}
