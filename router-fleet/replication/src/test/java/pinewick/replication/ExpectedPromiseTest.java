package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import pinewick.replication.ReplicationMessages.Promise;

/** A lost message of a ballot does not cost a store its place in the in-sync set. */
class ExpectedPromiseTest {
    private static final int SEEDS = 20;
    private static final double CALM_MS = 4_000;
    private static final double DOWN_MS = 1_500;
    private static final double REPAIRED_MS = 400;

    @Test
    void aLostPromiseIsAskedForAgainBeforeTheRecordIsProposed() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(seed, 2);
            cluster.found(5);
            cluster.runUntil(CALM_MS);
            Machine primary = cluster.primary();
            Machine returning = otherThan(cluster, primary, primary);
            Machine steady = otherThan(cluster, primary, returning);
            returning.kill();
            cluster.runUntil(cluster.nowMs() + DOWN_MS);
            boolean[] lost = new boolean[1];
            cluster.tamper = (sender, message) -> {
                if (sender == steady && message instanceof Promise && !lost[0]) {
                    lost[0] = true;
                    return null;
                }
                return message;
            };
            long epochBefore = primary.epoch();
            returning.start(false);
            cluster.runUntil(() -> primary.leads() && primary.epoch() > epochBefore, REPAIRED_MS);
            assertEquals(5, primary.node().report().inSync(), "in the epoch that takes the store in");
        }
    }

    private static Machine otherThan(SimulatedCluster cluster, Machine first, Machine second) {
        return cluster.machines.stream()
                .filter(machine -> machine != first && machine != second)
                .findFirst()
                .orElseThrow();
    }
}
