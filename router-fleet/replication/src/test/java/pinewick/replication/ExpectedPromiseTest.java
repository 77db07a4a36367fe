package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import pinewick.replication.ReplicationMessages.Promise;

/** A store stays in the in-sync set although one of its messages of a ballot is lost. */
class ExpectedPromiseTest {
    private static final int SEEDS = 20;
    private static final double STABLE_MS = 4_000;
    private static final double DOWNTIME_MS = 1_500;
    private static final double REPAIR_BOUND_MS = 400;

    @Test
    void requestsALostPromiseAgainBeforeProposingTheRecord() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(seed, 2);
            cluster.bootstrap(5);
            cluster.runUntil(STABLE_MS);
            Machine primary = cluster.primary();
            Machine returning = otherThan(cluster, primary, primary);
            Machine promiser = otherThan(cluster, primary, returning);
            returning.kill();
            cluster.runUntil(cluster.nowMs() + DOWNTIME_MS);
            boolean[] dropped = new boolean[1];
            cluster.messageInterceptor = (sender, message) -> {
                if (sender == promiser && message instanceof Promise && !dropped[0]) {
                    dropped[0] = true;
                    return null;
                }
                return message;
            };
            long epochBefore = primary.epoch();
            returning.start(false);
            cluster.runUntil(() -> primary.isPrimary() && primary.epoch() > epochBefore, REPAIR_BOUND_MS);
            assertEquals(5, primary.node().report().inSync(), "in the epoch that admits the store");
        }
    }

    private static Machine otherThan(SimulatedCluster cluster, Machine first, Machine second) {
        return cluster.machines.stream()
                .filter(machine -> machine != first && machine != second)
                .findFirst()
                .orElseThrow();
    }
}
