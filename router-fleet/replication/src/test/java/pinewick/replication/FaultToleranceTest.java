package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import pinewick.replication.ReplicationReport.FaultTolerance;

/** What a primary tells of the losses that the system bears, through a loss and its repair. */
class FaultToleranceTest {
    private static final double FOUNDED_MS = 4_000;
    private static final double LATE_MS = 900;
    private static final double UNTIL_NOTICED_MS = 1_500;

    private static FaultTolerance atPrimary(SimulatedCluster cluster) {
        return cluster.primary().node().report().faultTolerance();
    }

    private static SimulatedCluster founded(int machines, int tolerated) {
        SimulatedCluster cluster = new SimulatedCluster(5, tolerated);
        cluster.found(machines);
        cluster.runUntil(FOUNDED_MS);
        return cluster;
    }

    private static Machine backup(SimulatedCluster cluster) {
        return cluster.machines.stream()
                .filter(machine -> machine != cluster.primary())
                .findFirst()
                .orElseThrow();
    }

    @Test
    void threeStoresTolerateOneLoss() {
        FaultTolerance tolerance = atPrimary(founded(3, 1));
        assertEquals(OptionalInt.of(3), tolerance.currentStores());
        assertEquals(OptionalInt.of(1), tolerance.tolerableLosses());
        assertTrue(tolerance.sufficientForMs().orElseThrow() > 0);
    }

    @Test
    void fiveStoresTolerateTwoLosses() {
        assertEquals(OptionalInt.of(2), atPrimary(founded(5, 2)).tolerableLosses());
    }

    @Test
    void followersNameTheReasonAndThePrimary() {
        SimulatedCluster cluster = founded(3, 1);
        ReplicationReport report = backup(cluster).node().report();
        assertEquals(OptionalInt.empty(), report.faultTolerance().tolerableLosses());
        assertFalse(report.faultTolerance().unknownReason().isEmpty());
        assertEquals(cluster.primary().operatorApi, report.primary().orElseThrow());
        assertEquals(cluster.primary().node().report().epoch(), report.epoch());
        assertEquals(3, report.members().size());
    }

    @Test
    void afterALossNoneIsTolerableUntilTheRepair() {
        SimulatedCluster cluster = founded(3, 1);
        Machine wiped = backup(cluster);
        wiped.wipe();
        cluster.runUntil(cluster.nowMs() + UNTIL_NOTICED_MS);
        assertEquals(OptionalInt.of(2), atPrimary(cluster).currentStores());
        assertEquals(OptionalInt.of(0), atPrimary(cluster).tolerableLosses());
        assertTrue(atPrimary(cluster).sufficientForMs().isEmpty());
        wiped.start(false);
        cluster.runUntil(() -> atPrimary(cluster).tolerableLosses().equals(OptionalInt.of(1)), 2_000);
        assertTrue(atPrimary(cluster).sufficientForMs().isPresent());
    }

    /** The model's finding: answers that were long on their way kept a lost store among the copies. */
    @Test
    void aLostMemberWhoseRepliesAreDelayedDoesNotCount() {
        SimulatedCluster cluster = founded(3, 1);
        Machine lost = backup(cluster);
        Machine primary = cluster.primary();
        cluster.tamper = (sender, message) -> {
            if (sender == lost && message instanceof ReplicationMessages.HeartbeatReply) {
                cluster.after(LATE_MS, () -> primary.deliver(lost.address, message));
                return null;
            }
            return message;
        };
        cluster.runUntil(cluster.nowMs() + LATE_MS);
        lost.wipe();
        cluster.runUntil(cluster.nowMs() + LATE_MS);
        assertEquals(OptionalInt.of(0), atPrimary(cluster).tolerableLosses());
    }

    @Test
    void aMemberThatIsShuttingDownDoesNotCount() {
        SimulatedCluster cluster = founded(3, 1);
        backup(cluster).leave();
        cluster.runUntil(cluster.nowMs() + 100);
        assertEquals(OptionalInt.of(0), atPrimary(cluster).tolerableLosses());
    }
}
