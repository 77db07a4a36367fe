package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A member that missed many changes returns while more changes are submitted. */
class CatchUpTest {
    private static final int SEEDS = 20;
    private static final double BOOTSTRAP_MS = 4_000;
    private static final double ABSENCE_MS = 10_000;
    private static final double BOUND_MS = 3_000;
    private static final double RETRY_INTERVAL_MS = 20;
    private static final int MISSED_CHANGES = 2_000;
    private static final double MISSED_INTERVAL_MS = 5;

    /** Submits changes one after the other, each to the current primary until it is acknowledged. */
    private static final class ChangeLoad {
        private final SimulatedCluster cluster;
        private double intervalMs;
        private int acknowledged;

        ChangeLoad(SimulatedCluster cluster, double intervalMs) {
            this.cluster = cluster;
            this.intervalMs = intervalMs;
            cluster.scheduleAfter(0, this::sendNext);
        }

        private void sendNext() {
            double dueMs = cluster.nowMs() + intervalMs;
            send(new Operator(cluster).validChange(), new boolean[1], dueMs);
        }

        private void send(Change change, boolean[] completed, double dueMs) {
            if (completed[0]) {
                return;
            }
            Machine primary = cluster.primary();
            if (primary != null) {
                primary.submit(change, outcome -> {
                    cluster.checker.onChangeOutcome(change, outcome);
                    if (outcome instanceof ChangeOutcome.Accepted && !completed[0]) {
                        completed[0] = true;
                        acknowledged++;
                        cluster.scheduleAt(dueMs, this::sendNext);
                    }
                });
            }
            cluster.scheduleAfter(RETRY_INTERVAL_MS, () -> send(change, completed, dueMs));
        }
    }

    private static SimulatedCluster bootstrapped(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 1);
        cluster.bootstrap(3);
        cluster.runUntil(BOOTSTRAP_MS);
        return cluster;
    }

    private static Machine follower(SimulatedCluster cluster) {
        return cluster.machines.stream()
                .filter(machine -> machine != cluster.primary())
                .findFirst()
                .orElseThrow();
    }

    private static boolean allInSync(SimulatedCluster cluster) {
        Machine primary = cluster.primary();
        return primary != null && primary.node().report().inSync() == 3;
    }

    @ParameterizedTest
    @CsvSource({"200, 150", "200, 500", "33, 150", "33, 500"})
    void bringsAMemberIntoSyncWhileChangesContinue(double intervalMs, double snapshotTransferMs) {
        double maxMs = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = bootstrapped(seed);
            cluster.snapshotTransferMs = snapshotTransferMs;
            ChangeLoad changes = new ChangeLoad(cluster, intervalMs);
            Machine absent = follower(cluster);
            absent.kill();
            cluster.runUntil(cluster.nowMs() + ABSENCE_MS);
            assertFalse(allInSync(cluster));
            absent.start(false);
            maxMs = Math.max(maxMs, cluster.runUntil(() -> allInSync(cluster), BOUND_MS));
            int acknowledgedBefore = changes.acknowledged;
            cluster.runUntil(cluster.nowMs() + 1_000);
            assertTrue(changes.acknowledged > acknowledgedBefore, "changes are still acknowledged");
            assertTrue(allInSync(cluster), "the member stays in sync");
        }
        System.out.printf(
                "change interval %.0f ms, snapshot transfer %.0f ms: in sync within %.0f ms%n",
                intervalMs, snapshotTransferMs, maxMs);
    }

    /** The member has an old but complete state, and by its own epoch record it was in sync. */
    @Test
    void doesNotElectAMemberThatMissedChanges() {
        SimulatedCluster cluster = bootstrapped(1);
        Machine absent = follower(cluster);
        absent.kill();
        ChangeLoad changes = new ChangeLoad(cluster, MISSED_INTERVAL_MS);
        cluster.runUntil(() -> changes.acknowledged >= MISSED_CHANGES, MISSED_CHANGES * 4 * MISSED_INTERVAL_MS);
        changes.intervalMs = Double.POSITIVE_INFINITY;
        cluster.runUntil(cluster.nowMs() + 1_000);
        long newestVersion = cluster.checker.newestAcknowledged();
        cluster.machines.stream().filter(machine -> machine != absent).forEach(Machine::kill);
        absent.start(false);
        cluster.runUntil(cluster.nowMs() + ABSENCE_MS);
        assertNotEquals(absent, cluster.primary(), "a primary without a quorum");
        Machine otherMachine = cluster.machines.stream()
                .filter(machine -> machine != absent)
                .findFirst()
                .orElseThrow();
        otherMachine.start(false);
        cluster.runUntil(() -> absent.newestConfiguration().version() >= newestVersion, BOUND_MS);
        assertEquals(newestVersion, otherMachine.newestConfiguration().version());
        cluster.runUntil(() -> cluster.primary().node().report().inSync() == 2, BOUND_MS);
    }

    /** The process ends while the state is sent or written; the state is sent again. */
    @Test
    void receivesTheStateAgainAfterARestartDuringTheTransfer() {
        for (int restartAtMs = 10; restartAtMs <= 700; restartAtMs += 30) {
            SimulatedCluster cluster = bootstrapped(restartAtMs);
            cluster.snapshotTransferMs = 150;
            ChangeLoad changes = new ChangeLoad(cluster, 200);
            Machine absent = follower(cluster);
            absent.wipe();
            cluster.runUntil(cluster.nowMs() + ABSENCE_MS);
            absent.start(false);
            cluster.runUntil(cluster.nowMs() + restartAtMs);
            absent.kill();
            cluster.runUntil(cluster.nowMs() + 100);
            absent.start(false);
            cluster.runUntil(() -> allInSync(cluster), BOUND_MS);
            assertTrue(changes.acknowledged > 0);
        }
    }
}
