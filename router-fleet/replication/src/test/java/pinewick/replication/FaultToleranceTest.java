package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import pinewick.replication.ReplicationReport.FaultTolerance;

/** The number of losses that the primary reports as tolerable, before and after a loss and its repair. */
class FaultToleranceTest {
    private static final double BOOTSTRAP_MS = 4_000;
    private static final double REPLY_DELAY_MS = 900;
    private static final double DETECTION_MS = 1_500;

    private static FaultTolerance atPrimary(SimulatedCluster cluster) {
        return cluster.primary().node().report().faultTolerance();
    }

    private static SimulatedCluster bootstrapped(int machines, int toleratedMachines) {
        SimulatedCluster cluster = new SimulatedCluster(5, toleratedMachines);
        cluster.bootstrap(machines);
        cluster.runUntil(BOOTSTRAP_MS);
        return cluster;
    }

    private static Machine follower(SimulatedCluster cluster) {
        return cluster.machines.stream()
                .filter(machine -> machine != cluster.primary())
                .findFirst()
                .orElseThrow();
    }

    @Test
    void toleratesOneLossWithThreeStores() {
        FaultTolerance tolerance = atPrimary(bootstrapped(3, 1));
        assertEquals(OptionalInt.of(3), tolerance.currentStores());
        assertEquals(OptionalInt.of(1), tolerance.tolerableLosses());
        assertTrue(tolerance.sufficientForMs().orElseThrow() > 0);
    }

    @Test
    void toleratesTwoLossesWithFiveStores() {
        assertEquals(OptionalInt.of(2), atPrimary(bootstrapped(5, 2)).tolerableLosses());
    }

    @Test
    void reportsTheReasonAndThePrimaryOnAFollower() {
        SimulatedCluster cluster = bootstrapped(3, 1);
        ReplicationReport report = follower(cluster).node().report();
        assertEquals(OptionalInt.empty(), report.faultTolerance().tolerableLosses());
        assertFalse(report.faultTolerance().unknownReason().isEmpty());
        assertEquals(cluster.primary().operatorApi, report.primary().orElseThrow());
        assertEquals(cluster.primary().node().report().epoch(), report.epoch());
        assertEquals(3, report.members().size());
    }

    @Test
    void toleratesNoLossUntilTheRepairOfALostStore() {
        SimulatedCluster cluster = bootstrapped(3, 1);
        Machine wipedMachine = follower(cluster);
        wipedMachine.wipe();
        cluster.runUntil(cluster.nowMs() + DETECTION_MS);
        assertEquals(OptionalInt.of(2), atPrimary(cluster).currentStores());
        assertEquals(OptionalInt.of(0), atPrimary(cluster).tolerableLosses());
        assertTrue(atPrimary(cluster).sufficientForMs().isEmpty());
        wipedMachine.start(false);
        cluster.runUntil(() -> atPrimary(cluster).tolerableLosses().equals(OptionalInt.of(1)), 2_000);
        assertTrue(atPrimary(cluster).sufficientForMs().isPresent());
    }

    /** Guards against a fault found by the model: delayed replies made a lost store count as a copy. */
    @Test
    void doesNotCountALostMemberWhoseRepliesAreDelayed() {
        SimulatedCluster cluster = bootstrapped(3, 1);
        Machine lostMachine = follower(cluster);
        Machine primary = cluster.primary();
        cluster.messageInterceptor = (sender, message) -> {
            if (sender == lostMachine && message instanceof ReplicationMessages.HeartbeatReply) {
                cluster.scheduleAfter(REPLY_DELAY_MS, () -> primary.deliver(lostMachine.address, message));
                return null;
            }
            return message;
        };
        cluster.runUntil(cluster.nowMs() + REPLY_DELAY_MS);
        lostMachine.wipe();
        cluster.runUntil(cluster.nowMs() + REPLY_DELAY_MS);
        assertEquals(OptionalInt.of(0), atPrimary(cluster).tolerableLosses());
    }

    @Test
    void doesNotCountAMemberThatIsShuttingDown() {
        SimulatedCluster cluster = bootstrapped(3, 1);
        follower(cluster).beginShutdown();
        cluster.runUntil(cluster.nowMs() + 100);
        assertEquals(OptionalInt.of(0), atPrimary(cluster).tolerableLosses());
    }
}
