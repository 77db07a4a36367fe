package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** As of which time a primary can prove that its configuration is the newest, and when it is the sole authority. */
class ConfirmedConfigurationTest {
    private static final double BOOTSTRAP_MS = 4_000;
    /** A heartbeat every 200 ms, sent at a tick, plus the round trip to a quorum. */
    private static final double MAX_AGE_MS = 260;

    private static final double FROZEN_MS = 20_000;

    private final SimulatedCluster cluster = new SimulatedCluster(31, 1);
    private Machine primary;
    private List<Machine> followers;

    @BeforeEach
    void bootstrap() {
        cluster.bootstrap(3);
        cluster.runUntil(BOOTSTRAP_MS);
        primary = cluster.primary();
        followers =
                cluster.machines.stream().filter(machine -> machine != primary).toList();
    }

    private void runFor(double durationMs) {
        cluster.runUntil(cluster.nowMs() + durationMs);
    }

    private Optional<Long> soleAuthority(Machine machine) {
        return machine.node().soleAuthorityEpoch(cluster.nowMs());
    }

    @Test
    void confirmsTheConfigurationAsOfTheLastHeartbeats() {
        for (int repetition = 0; repetition < 100; repetition++) {
            runFor(17);
            double ageMs = cluster.nowMs()
                    - primary.node().configurationConfirmedAtMs().orElseThrow();
            assertTrue(ageMs > 0 && ageMs <= MAX_AGE_MS, "age " + ageMs);
        }
        followers.forEach(
                follower -> assertEquals(OptionalDouble.empty(), follower.node().configurationConfirmedAtMs()));
    }

    @Test
    void confirmsNothingForTheTimeOfAFreeze() {
        primary.freeze();
        double frozenAtMs = cluster.nowMs();
        runFor(FROZEN_MS);
        double confirmedAtMs = primary.node().configurationConfirmedAtMs().orElse(Double.NEGATIVE_INFINITY);
        assertTrue(confirmedAtMs < frozenAtMs);
        assertEquals(Optional.empty(), soleAuthority(primary));
        primary.thaw();
        runFor(500);
        assertEquals(OptionalDouble.empty(), primary.node().configurationConfirmedAtMs());
    }

    @Test
    void makesASuccessorTheSoleAuthorityOnlyAfterEveryEarlierLease() {
        long counterBefore = soleAuthority(primary).orElseThrow();
        primary.freeze();
        cluster.runUntil(() -> followers.stream().anyMatch(Machine::isPrimary), 4_000);
        Machine successor =
                followers.stream().filter(Machine::isPrimary).findFirst().orElseThrow();
        double waitedMs = cluster.runUntil(() -> soleAuthority(successor).isPresent(), 4_000);
        assertTrue(waitedMs >= EpochLease.LEASE_DURATION_MS + 100, "waited " + waitedMs);
        assertTrue(soleAuthority(successor).orElseThrow() > counterBefore);
    }

    @Test
    void keepsTheSoleAuthorityAcrossEpochsOfOnePrimary() {
        long counterBefore = soleAuthority(primary).orElseThrow();
        long tenure = primary.node().soleAuthorityTenure(cluster.nowMs()).orElseThrow();
        followers.get(0).kill();
        double reconfigurationMs = cluster.runUntil(
                () -> soleAuthority(primary)
                        .filter(current -> current > counterBefore)
                        .isPresent(),
                4_000);
        assertTrue(reconfigurationMs < 2_000, "reconfigured after " + reconfigurationMs);
        long epochAfterRemoval = primary.epoch();
        followers.get(0).start(false);
        cluster.runUntil(() -> primary.epoch() > epochAfterRemoval, 4_000);
        double waitedMs = cluster.runUntil(() -> soleAuthority(primary).isPresent(), 4_000);
        assertTrue(waitedMs < 100, "waited " + waitedMs);
        assertEquals(
                Optional.of(tenure),
                primary.node().soleAuthorityTenure(cluster.nowMs()),
                "no other primary in between");
    }
}
