package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;

/**
 * An operator's call waits one second for an answer. A change that it sends to the primary once, at any moment after
 * backups have come to a standstill, is acknowledged within that call: the backups leave the in-sync set meanwhile.
 */
class FirstCallTest {
    private static final int SEEDS = 60;
    private static final double CALM_MS = 4_000;
    private static final double STANDSTILL_MS = 3_000;
    private static final double MAX_CALL_AFTER_MS = 700;

    /** What is left of the second for the way to the primary and back, and a redirection. */
    private static final double ANSWERED_MS = 800;

    /** The longest time from the call to its acknowledgement, with as many backups affected as may be lost. */
    private static double longest(int machines, int tolerated, BiConsumer<SimulatedCluster, Machine> standstill) {
        double longest = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(seed, tolerated);
            cluster.found(machines);
            cluster.runUntil(CALM_MS);
            Machine primary = cluster.primary();
            List<Machine> backups = cluster.machines.stream()
                    .filter(machine -> machine != primary)
                    .limit(tolerated)
                    .toList();
            backups.forEach(backup -> standstill.accept(cluster, backup));
            cluster.runUntil(cluster.nowMs() + MAX_CALL_AFTER_MS * seed / SEEDS);
            longest = Math.max(longest, callOnce(cluster, primary));
        }
        return longest;
    }

    private static double callOnce(SimulatedCluster cluster, Machine primary) {
        Change change = new Operator(cluster).properChange();
        boolean[] acknowledged = new boolean[1];
        primary.submit(change, outcome -> {
            cluster.checker.answered(change, outcome);
            acknowledged[0] = outcome instanceof ChangeOutcome.Accepted;
        });
        return cluster.runUntil(() -> acknowledged[0], STANDSTILL_MS);
    }

    private static void requireAnsweredWithin(String what, BiConsumer<SimulatedCluster, Machine> standstill) {
        double oneOfThree = longest(3, 1, standstill);
        double twoOfFive = longest(5, 2, standstill);
        System.out.printf(
                "%s: first call acknowledged after %.0f ms at most, two of five %.0f ms%n",
                what, oneOfThree, twoOfFive);
        assertTrue(oneOfThree < ANSWERED_MS, "one of three took " + oneOfThree);
        assertTrue(twoOfFive < ANSWERED_MS, "two of five took " + twoOfFive);
    }

    private static void stallDisk(SimulatedCluster cluster, Machine backup) {
        backup.disk.mode = SimulatedDisk.Mode.STALLED;
        cluster.after(STANDSTILL_MS, () -> backup.disk.mode = SimulatedDisk.Mode.HEALTHY);
    }

    private static void cutOff(SimulatedCluster cluster, Machine backup) {
        for (Machine other : cluster.machines) {
            cluster.cut(other, backup);
            cluster.cut(backup, other);
        }
        cluster.after(STANDSTILL_MS, cluster::joinAll);
    }

    @Test
    void besideFrozenBackups() {
        requireAnsweredWithin("backup frozen", (cluster, backup) -> {
            backup.freeze();
            cluster.after(STANDSTILL_MS, backup::thaw);
        });
    }

    @Test
    void besideBackupsThatAreKilled() {
        requireAnsweredWithin("backup killed", (cluster, backup) -> backup.kill());
    }

    @Test
    void besideBackupsWhoseDisksStall() {
        requireAnsweredWithin("backup's disk stalls", FirstCallTest::stallDisk);
    }

    @Test
    void besideBackupsThatAreCutOff() {
        requireAnsweredWithin("backup cut off", FirstCallTest::cutOff);
    }
}
