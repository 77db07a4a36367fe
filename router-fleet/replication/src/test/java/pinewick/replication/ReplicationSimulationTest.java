package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Plays many days of trouble, each from a seed, and holds what was seen against what must hold. */
class ReplicationSimulationTest {
    /** How many days are played; more with {@code -Dreplication.seeds=N}, from {@code -Dreplication.first=N} on. */
    private static final int SEEDS = Integer.getInteger("replication.seeds", 2_000);

    private static final int FIRST = Integer.getInteger("replication.first", 0);
    private static final int SEEDS_FOR_A_VARIANT = 10_000;
    private static final double TROUBLE_FROM_MS = 2_000;
    private static final double TROUBLE_UNTIL_MS = 14_000;
    private static final double CALM_AT_MS = 20_000;
    private static final double ANSWER_MS = 3_000;

    @Test
    void acknowledgedChangesStayAndRejectedOnesNeverTakeEffect() {
        long acknowledged = 0;
        long refused = 0;
        long reads = 0;
        for (int seed = FIRST; seed < FIRST + SEEDS; seed++) {
            SimulatedCluster cluster = play(seed, Mutant.NONE);
            acknowledged += cluster.checker.acknowledged;
            refused += cluster.checker.refused;
            reads += cluster.checker.reads;
        }
        System.out.printf("days %d, acknowledged %d, refused %d, reads %d%n", SEEDS, acknowledged, refused, reads);
        assertTrue(acknowledged > 5L * SEEDS, "too little happened: " + acknowledged);
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void aBrokenVariantIsCaught(Mutant variant) {
        for (int seed = 0; seed < SEEDS_FOR_A_VARIANT; seed++) {
            try {
                play(seed, variant);
            } catch (AssertionError caught) {
                if (!(caught.getCause() instanceof HistoryChecker.Violation)) {
                    continue;
                }
                String what = caught.getMessage().lines().findFirst().orElse("");
                System.out.println(variant + " caught by seed " + seed + ": " + what);
                return;
            }
        }
        fail(variant + " was not caught");
    }

    static SimulatedCluster play(long seed, Mutant variant) {
        SimulatedCluster cluster = null;
        try {
            cluster = newWorld(seed, variant);
            FaultPlan faults = new FaultPlan(cluster, TROUBLE_UNTIL_MS);
            faults.eventTriggers = cluster.chance(0.5);
            faults.wild = cluster.chance(0.4);
            faults.begin(TROUBLE_FROM_MS);
            Operator first = new Operator(cluster);
            Operator second = new Operator(cluster);
            cluster.at(500, () -> first.work(TROUBLE_UNTIL_MS));
            if (cluster.chance(0.6)) {
                cluster.at(700, () -> second.work(TROUBLE_UNTIL_MS));
            }
            cluster.runUntil(TROUBLE_UNTIL_MS);
            faults.heal();
            cluster.lossShare = 0;
            cluster.runUntil(CALM_AT_MS);
            faults.heal();
            endCalmly(cluster, first);
            return cluster;
        } catch (HistoryChecker.Violation violation) {
            throw new AssertionError(violation.getMessage() + "; seed " + seed + "\n" + cluster.history(), violation);
        } catch (AssertionError | RuntimeException stuck) {
            throw new AssertionError(stuck + "; seed " + seed + "\n" + cluster.history(), stuck);
        }
    }

    private static SimulatedCluster newWorld(long seed, Mutant variant) {
        boolean large = seed % 4 == 3;
        SimulatedCluster cluster = new SimulatedCluster(seed, large ? 2 : 1);
        cluster.variant = variant;
        cluster.lossShare = cluster.chance(0.5) ? 0 : cluster.between(0, 0.05);
        cluster.duplicateShare = cluster.between(0, 0.05);
        cluster.lateShare = cluster.chance(0.5) ? 0 : cluster.between(0, 0.05);
        cluster.found(large ? 5 : 3 + (seed % 8 == 5 ? 1 : 0));
        return cluster;
    }

    /** When nothing is amiss any more, a change is taken and read back. */
    private static void endCalmly(SimulatedCluster cluster, Operator operator) {
        operator.answerLossShare = 0;
        boolean[] ended = new boolean[2];
        operator.read(() -> ended[0] = true);
        cluster.runUntil(() -> ended[0], ANSWER_MS);
        operator.submit(operator.properChange(), () -> ended[1] = true);
        cluster.runUntil(() -> ended[1], ANSWER_MS);
        ended[0] = false;
        operator.read(() -> ended[0] = true);
        cluster.runUntil(() -> ended[0], ANSWER_MS);
    }
}
