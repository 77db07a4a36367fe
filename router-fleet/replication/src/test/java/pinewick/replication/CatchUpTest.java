package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A member that missed many changes comes back while more of them go on. */
class CatchUpTest {
    private static final int SEEDS = 20;
    private static final double FOUNDED_MS = 4_000;
    private static final double AWAY_MS = 10_000;
    private static final double BOUND_MS = 3_000;
    private static final double RETRY_MS = 20;
    private static final int MISSED = 2_000;
    private static final double MISSED_EVERY_MS = 5;

    /** Changes one after the other, each to the present primary until it is acknowledged. */
    private static final class ChangeLoad {
        private final SimulatedCluster cluster;
        private double everyMs;
        private int acknowledged;

        ChangeLoad(SimulatedCluster cluster, double everyMs) {
            this.cluster = cluster;
            this.everyMs = everyMs;
            cluster.after(0, this::next);
        }

        private void next() {
            double dueMs = cluster.nowMs() + everyMs;
            send(new Operator(cluster).properChange(), new boolean[1], dueMs);
        }

        private void send(Change change, boolean[] done, double dueMs) {
            if (done[0]) {
                return;
            }
            Machine primary = cluster.primary();
            if (primary != null) {
                primary.submit(change, outcome -> {
                    cluster.checker.answered(change, outcome);
                    if (outcome instanceof ChangeOutcome.Accepted && !done[0]) {
                        done[0] = true;
                        acknowledged++;
                        cluster.at(dueMs, this::next);
                    }
                });
            }
            cluster.after(RETRY_MS, () -> send(change, done, dueMs));
        }
    }

    private static SimulatedCluster founded(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 1);
        cluster.found(3);
        cluster.runUntil(FOUNDED_MS);
        return cluster;
    }

    private static Machine backup(SimulatedCluster cluster) {
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
    void aMemberComesIntoSyncWhileChangesGoOn(double everyMs, double wholeStateMs) {
        double longest = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = founded(seed);
            cluster.wholeStateMs = wholeStateMs;
            ChangeLoad changes = new ChangeLoad(cluster, everyMs);
            Machine away = backup(cluster);
            away.kill();
            cluster.runUntil(cluster.nowMs() + AWAY_MS);
            assertFalse(allInSync(cluster));
            away.start(false);
            longest = Math.max(longest, cluster.runUntil(() -> allInSync(cluster), BOUND_MS));
            int before = changes.acknowledged;
            cluster.runUntil(cluster.nowMs() + 1_000);
            assertTrue(changes.acknowledged > before, "changes go on");
            assertTrue(allInSync(cluster), "it stays in sync");
        }
        System.out.printf(
                "a change every %.0f ms, a whole state takes %.0f ms: in sync after %.0f ms at most%n",
                everyMs, wholeStateMs, longest);
    }

    /** It holds an old, whole state, and its own record says that it was in sync. */
    @Test
    void aMemberThatMissedTwoThousandChangesNeverLeadsBeforeItHasThem() {
        SimulatedCluster cluster = founded(1);
        Machine away = backup(cluster);
        away.kill();
        ChangeLoad changes = new ChangeLoad(cluster, MISSED_EVERY_MS);
        cluster.runUntil(() -> changes.acknowledged >= MISSED, MISSED * 4 * MISSED_EVERY_MS);
        changes.everyMs = Double.POSITIVE_INFINITY;
        cluster.runUntil(cluster.nowMs() + 1_000);
        long newest = cluster.checker.newestAcknowledged();
        cluster.machines.stream().filter(machine -> machine != away).forEach(Machine::kill);
        away.start(false);
        cluster.runUntil(cluster.nowMs() + AWAY_MS);
        assertNotEquals(away, cluster.primary(), "alone");
        Machine other = cluster.machines.stream()
                .filter(machine -> machine != away)
                .findFirst()
                .orElseThrow();
        other.start(false);
        cluster.runUntil(() -> away.newest().version() >= newest, BOUND_MS);
        assertEquals(newest, other.newest().version());
        cluster.runUntil(() -> cluster.primary().node().report().inSync() == 2, BOUND_MS);
    }

    /** The state is being sent, or written, when the process ends; it is sent again. */
    @Test
    void aRestartWhileAStateIsReceivedLosesNothing() {
        for (int atMs = 10; atMs <= 700; atMs += 30) {
            SimulatedCluster cluster = founded(atMs);
            cluster.wholeStateMs = 150;
            ChangeLoad changes = new ChangeLoad(cluster, 200);
            Machine away = backup(cluster);
            away.wipe();
            cluster.runUntil(cluster.nowMs() + AWAY_MS);
            away.start(false);
            cluster.runUntil(cluster.nowMs() + atMs);
            away.kill();
            cluster.runUntil(cluster.nowMs() + 100);
            away.start(false);
            cluster.runUntil(() -> allInSync(cluster), BOUND_MS);
            assertTrue(changes.acknowledged > 0);
        }
    }
}
