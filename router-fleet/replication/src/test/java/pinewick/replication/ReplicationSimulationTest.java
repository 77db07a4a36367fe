package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Runs many simulations with random faults, each with its own seed, and checks the invariants. */
class ReplicationSimulationTest {
    /** The number of runs, set by {@code -Dreplication.seeds=N}; {@code -Dreplication.first=N} sets the first seed. */
    private static final int SEEDS = Integer.getInteger("replication.seeds", 2_000);

    private static final int FIRST_SEED = Integer.getInteger("replication.first", 0);
    private static final int SEEDS_PER_MUTANT = 10_000;
    private static final double FAULTS_FROM_MS = 2_000;
    private static final double FAULTS_UNTIL_MS = 14_000;
    private static final double RECOVERED_AT_MS = 20_000;
    private static final double RESPONSE_BOUND_MS = 3_000;

    @Test
    void keepsAcknowledgedChangesAndNeverCommitsRejectedOnes() {
        long acknowledged = 0;
        long rejected = 0;
        long reads = 0;
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            SimulatedCluster cluster = run(seed, Mutant.NONE);
            acknowledged += cluster.checker.acknowledged;
            rejected += cluster.checker.rejected;
            reads += cluster.checker.reads;
        }
        System.out.printf("runs %d, acknowledged %d, rejected %d, reads %d%n", SEEDS, acknowledged, rejected, reads);
        assertTrue(acknowledged > 5L * SEEDS, "too few acknowledged changes: " + acknowledged);
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void detectsMutant(Mutant mutant) {
        for (int seed = 0; seed < SEEDS_PER_MUTANT; seed++) {
            try {
                run(seed, mutant);
            } catch (AssertionError error) {
                if (!(error.getCause() instanceof HistoryChecker.Violation)) {
                    continue;
                }
                String violation = error.getMessage().lines().findFirst().orElse("");
                System.out.println(mutant + " detected with seed " + seed + ": " + violation);
                return;
            }
        }
        fail(mutant + " was not detected");
    }

    static SimulatedCluster run(long seed, Mutant mutant) {
        SimulatedCluster cluster = null;
        try {
            cluster = newCluster(seed, mutant);
            FaultPlan faults = new FaultPlan(cluster, FAULTS_UNTIL_MS);
            faults.eventTriggers = cluster.randomBoolean(0.5);
            faults.unlimitedTransientFaults = cluster.randomBoolean(0.4);
            faults.start(FAULTS_FROM_MS);
            Operator firstOperator = new Operator(cluster);
            Operator secondOperator = new Operator(cluster);
            cluster.scheduleAt(500, () -> firstOperator.sendChanges(FAULTS_UNTIL_MS));
            if (cluster.randomBoolean(0.6)) {
                cluster.scheduleAt(700, () -> secondOperator.sendChanges(FAULTS_UNTIL_MS));
            }
            cluster.runUntil(FAULTS_UNTIL_MS);
            faults.endAllFaults();
            cluster.lossProbability = 0;
            cluster.runUntil(RECOVERED_AT_MS);
            faults.endAllFaults();
            requireNormalOperation(cluster, firstOperator);
            return cluster;
        } catch (HistoryChecker.Violation violation) {
            throw new AssertionError(violation.getMessage() + "; seed " + seed + "\n" + cluster.history(), violation);
        } catch (AssertionError | RuntimeException failure) {
            throw new AssertionError(failure + "; seed " + seed + "\n" + cluster.history(), failure);
        }
    }

    private static SimulatedCluster newCluster(long seed, Mutant mutant) {
        boolean large = seed % 4 == 3;
        SimulatedCluster cluster = new SimulatedCluster(seed, large ? 2 : 1);
        cluster.mutant = mutant;
        cluster.lossProbability = cluster.randomBoolean(0.5) ? 0 : cluster.randomBetween(0, 0.05);
        cluster.duplicateProbability = cluster.randomBetween(0, 0.05);
        cluster.delayProbability = cluster.randomBoolean(0.5) ? 0 : cluster.randomBetween(0, 0.05);
        cluster.bootstrap(large ? 5 : 3 + (seed % 8 == 5 ? 1 : 0));
        return cluster;
    }

    /** Without faults a change is accepted and read back. */
    private static void requireNormalOperation(SimulatedCluster cluster, Operator operator) {
        operator.responseLossProbability = 0;
        boolean[] completed = new boolean[2];
        operator.read(() -> completed[0] = true);
        cluster.runUntil(() -> completed[0], RESPONSE_BOUND_MS);
        operator.submit(operator.validChange(), () -> completed[1] = true);
        cluster.runUntil(() -> completed[1], RESPONSE_BOUND_MS);
        completed[0] = false;
        operator.read(() -> completed[0] = true);
        cluster.runUntil(() -> completed[0], RESPONSE_BOUND_MS);
    }
}
