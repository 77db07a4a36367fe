package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pinewick.replication.ChangeOutcome.Accepted;
import pinewick.replication.ChangeOutcome.Invalid;
import pinewick.replication.ChangeOutcome.NotPrimary;
import pinewick.replication.ChangeOutcome.Unknown;
import pinewick.replication.ChangeOutcome.VersionConflict;

/** The outcome of a change in various states of the system. */
class ChangeHandlingTest {
    private static final double BOOTSTRAP_MS = 3_000;
    private static final double SHORT_WAIT_MS = 100;

    private final SimulatedCluster cluster = new SimulatedCluster(11, 1);
    private final List<ChangeOutcome> outcomes = new ArrayList<>();
    private Machine primary;
    private Machine follower;

    @BeforeEach
    void bootstrap() {
        cluster.bootstrap(3);
        cluster.runUntil(BOOTSTRAP_MS);
        primary = cluster.primary();
        follower = cluster.machines.stream()
                .filter(machine -> machine != primary)
                .findFirst()
                .orElseThrow();
    }

    private Change change(long base, long version) {
        return cluster.checker.newChange(ConfigurationChange.Kind.REPLACE, base, version, true);
    }

    private void submit(Machine machine, Change change) {
        machine.submit(change, outcome -> {
            cluster.checker.onChangeOutcome(change, outcome);
            outcomes.add(outcome);
        });
    }

    private void runFor(double durationMs) {
        cluster.runUntil(cluster.nowMs() + durationMs);
    }

    private long count(Class<? extends ChangeOutcome> kind) {
        return outcomes.stream().filter(kind::isInstance).count();
    }

    @Test
    void acceptsOneOfEightConcurrentChangesOnOneVersion() {
        for (int operator = 0; operator < 8; operator++) {
            submit(primary, change(0, 1 + operator));
        }
        runFor(SHORT_WAIT_MS);
        assertEquals(1, count(Accepted.class));
        assertEquals(7, count(VersionConflict.class));
    }

    @Test
    void acknowledgesTheSameChangeEachTimeItIsSent() {
        Change change = change(0, 5);
        submit(primary, change);
        submit(primary, change);
        runFor(SHORT_WAIT_MS);
        submit(primary, change);
        runFor(SHORT_WAIT_MS);
        assertEquals(List.of(new Accepted(5), new Accepted(5), new Accepted(5)), outcomes);
    }

    @Test
    void acknowledgesAResentChangeAfterLaterChanges() {
        Change first = change(0, 5);
        submit(primary, first);
        runFor(SHORT_WAIT_MS);
        submit(primary, change(5, 6));
        runFor(SHORT_WAIT_MS);
        submit(primary, first);
        runFor(SHORT_WAIT_MS);
        assertEquals(3, count(Accepted.class));
    }

    @Test
    void rejectsAVersionThatDoesNotIncrease() {
        submit(primary, change(0, 5));
        runFor(SHORT_WAIT_MS);
        submit(primary, change(5, 5));
        runFor(SHORT_WAIT_MS);
        assertInstanceOf(Invalid.class, outcomes.get(1));
    }

    @Test
    void redirectsFromAFollowerToThePrimaryAtOnce() {
        submit(follower, change(0, 1));
        assertEquals(List.of(new NotPrimary(Optional.of(primary.operatorApi))), outcomes);
    }

    @Test
    void reportsAnUnknownOutcomeAtTheDeadline() {
        cluster.machines.stream().filter(machine -> machine != primary).forEach(Machine::freeze);
        submit(primary, change(0, 1));
        runFor(cluster.ackMs - SHORT_WAIT_MS);
        assertEquals(1, outcomes.size());
        assertInstanceOf(Unknown.class, outcomes.get(0));
    }

    @Test
    void reportsAnUnknownOutcomeWhenTheDiskIsFullAndAcceptsTheResentChange() {
        primary.disk.mode = SimulatedDisk.Mode.FULL;
        Change change = change(0, 1);
        submit(primary, change);
        runFor(SHORT_WAIT_MS);
        assertInstanceOf(Unknown.class, outcomes.get(0));
        Machine next = cluster.primary();
        assertTrue(next != primary && next != null, "another process is the primary by now");
        submit(next, change);
        runFor(SHORT_WAIT_MS);
        assertEquals(new Accepted(1), outcomes.get(1));
    }

    @Test
    void doesNotRejectAChangeWithoutConfirmation() {
        cluster.machines.stream().filter(machine -> machine != primary).forEach(Machine::freeze);
        submit(primary, change(3, 4));
        runFor(cluster.ackMs);
        assertEquals(0, count(VersionConflict.class));
        assertEquals(1, outcomes.size());
    }
}
