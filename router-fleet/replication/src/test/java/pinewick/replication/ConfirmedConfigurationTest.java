package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** As of when a primary can prove that its configuration is the newest, and when it is the only primary for sure. */
class ConfirmedConfigurationTest {
    private static final double FOUNDED_MS = 4_000;
    /** A heartbeat every 200 ms, sent at a tick, and its way to a quorum and back. */
    private static final double MAX_AGE_MS = 260;

    private static final double FROZEN_MS = 20_000;

    private final SimulatedCluster cluster = new SimulatedCluster(31, 1);
    private Machine primary;
    private List<Machine> backups;

    @BeforeEach
    void found() {
        cluster.found(3);
        cluster.runUntil(FOUNDED_MS);
        primary = cluster.primary();
        backups =
                cluster.machines.stream().filter(machine -> machine != primary).toList();
    }

    private void pass(double forMs) {
        cluster.runUntil(cluster.nowMs() + forMs);
    }

    private Optional<Long> soleAuthority(Machine machine) {
        return machine.node().soleAuthorityEpoch(cluster.nowMs());
    }

    @Test
    void aPrimaryInTouchProvesItsConfigurationAsOfItsLastHeartbeats() {
        for (int moment = 0; moment < 100; moment++) {
            pass(17);
            double ageMs = cluster.nowMs()
                    - primary.node().configurationConfirmedAtMs().orElseThrow();
            assertTrue(ageMs > 0 && ageMs <= MAX_AGE_MS, "age " + ageMs);
        }
        backups.forEach(
                backup -> assertEquals(OptionalDouble.empty(), backup.node().configurationConfirmedAtMs()));
    }

    @Test
    void aPrimaryThatWasFrozenProvesNothingOfThatTime() {
        primary.freeze();
        double frozenAtMs = cluster.nowMs();
        pass(FROZEN_MS);
        double confirmedAtMs = primary.node().configurationConfirmedAtMs().orElse(Double.NEGATIVE_INFINITY);
        assertTrue(confirmedAtMs < frozenAtMs);
        assertEquals(Optional.empty(), soleAuthority(primary));
        primary.thaw();
        pass(500);
        assertEquals(OptionalDouble.empty(), primary.node().configurationConfirmedAtMs());
    }

    @Test
    void aSuccessorIsTheSoleAuthorityOnlyAfterEveryEarlierLease() {
        long counter = soleAuthority(primary).orElseThrow();
        primary.freeze();
        cluster.runUntil(() -> backups.stream().anyMatch(Machine::leads), 4_000);
        Machine successor = backups.stream().filter(Machine::leads).findFirst().orElseThrow();
        double waitedMs = cluster.runUntil(() -> soleAuthority(successor).isPresent(), 4_000);
        assertTrue(waitedMs >= EpochLease.LEASE_DURATION_MS + 100, "waited " + waitedMs);
        assertTrue(soleAuthority(successor).orElseThrow() > counter);
    }

    @Test
    void aPrimaryThatChangesItsEpochDoesNotWaitAgain() {
        long counter = soleAuthority(primary).orElseThrow();
        long tenure = primary.node().soleAuthorityTenure(cluster.nowMs()).orElseThrow();
        backups.get(0).kill();
        double changedMs = cluster.runUntil(
                () -> soleAuthority(primary).filter(now -> now > counter).isPresent(), 4_000);
        assertTrue(changedMs < 2_000, "changed after " + changedMs);
        long changed = primary.epoch();
        backups.get(0).start(false);
        cluster.runUntil(() -> primary.epoch() > changed, 4_000);
        double waitedMs = cluster.runUntil(() -> soleAuthority(primary).isPresent(), 4_000);
        assertTrue(waitedMs < 100, "waited " + waitedMs);
        assertEquals(Optional.of(tenure), primary.node().soleAuthorityTenure(cluster.nowMs()), "no other in between");
    }
}
