package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;

/**
 * An operator's call waits one second for a response. A change that it sends to the primary once, at any time after a
 * fault of followers, is acknowledged within that call: the followers leave the in-sync set meanwhile.
 */
class FirstCallTest {
    private static final int SEEDS = 60;
    private static final double STABLE_MS = 4_000;
    private static final double FAULT_MS = 3_000;
    private static final double MAX_CALL_AFTER_MS = 700;

    /** The rest of the second is left for a redirect and for the round trip to the primary. */
    private static final double ACKNOWLEDGEMENT_BOUND_MS = 800;

    /** The longest time from the call to its acknowledgement, with a fault of as many followers as may be lost. */
    private static double maxMs(int machines, int toleratedMachines, BiConsumer<SimulatedCluster, Machine> fault) {
        double maxMs = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(seed, toleratedMachines);
            cluster.bootstrap(machines);
            cluster.runUntil(STABLE_MS);
            Machine primary = cluster.primary();
            List<Machine> followers = cluster.machines.stream()
                    .filter(machine -> machine != primary)
                    .limit(toleratedMachines)
                    .toList();
            followers.forEach(follower -> fault.accept(cluster, follower));
            cluster.runUntil(cluster.nowMs() + MAX_CALL_AFTER_MS * seed / SEEDS);
            maxMs = Math.max(maxMs, submitOnce(cluster, primary));
        }
        return maxMs;
    }

    private static double submitOnce(SimulatedCluster cluster, Machine primary) {
        Change change = new Operator(cluster).validChange();
        boolean[] acknowledged = new boolean[1];
        primary.submit(change, outcome -> {
            cluster.checker.onChangeOutcome(change, outcome);
            acknowledged[0] = outcome instanceof ChangeOutcome.Accepted;
        });
        return cluster.runUntil(() -> acknowledged[0], FAULT_MS);
    }

    private static void requireAcknowledgedInTime(String scenario, BiConsumer<SimulatedCluster, Machine> fault) {
        double oneOfThree = maxMs(3, 1, fault);
        double twoOfFive = maxMs(5, 2, fault);
        System.out.printf(
                "%s: first call acknowledged within %.0f ms, two of five %.0f ms%n", scenario, oneOfThree, twoOfFive);
        assertTrue(oneOfThree < ACKNOWLEDGEMENT_BOUND_MS, "one of three took " + oneOfThree);
        assertTrue(twoOfFive < ACKNOWLEDGEMENT_BOUND_MS, "two of five took " + twoOfFive);
    }

    private static void stallDisk(SimulatedCluster cluster, Machine follower) {
        follower.disk.mode = SimulatedDisk.Mode.STALLED;
        cluster.scheduleAfter(FAULT_MS, () -> follower.disk.mode = SimulatedDisk.Mode.HEALTHY);
    }

    private static void isolate(SimulatedCluster cluster, Machine follower) {
        for (Machine other : cluster.machines) {
            cluster.cutLink(other, follower);
            cluster.cutLink(follower, other);
        }
        cluster.scheduleAfter(FAULT_MS, cluster::restoreAllLinks);
    }

    @Test
    void acknowledgesTheFirstCallWhileFollowersAreFrozen() {
        requireAcknowledgedInTime("follower frozen", (cluster, follower) -> {
            follower.freeze();
            cluster.scheduleAfter(FAULT_MS, follower::thaw);
        });
    }

    @Test
    void acknowledgesTheFirstCallAfterFollowersAreKilled() {
        requireAcknowledgedInTime("follower killed", (cluster, follower) -> follower.kill());
    }

    @Test
    void acknowledgesTheFirstCallWhileFollowersDisksStall() {
        requireAcknowledgedInTime("follower's disk stalls", FirstCallTest::stallDisk);
    }

    @Test
    void acknowledgesTheFirstCallWhileFollowersAreIsolated() {
        requireAcknowledgedInTime("follower isolated", FirstCallTest::isolate);
    }
}
