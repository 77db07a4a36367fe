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

/** What becomes of a change, by what state the system is in. */
class ChangeHandlingTest {
    private static final double FOUNDED_MS = 3_000;
    private static final double SOON_MS = 100;

    private final SimulatedCluster cluster = new SimulatedCluster(11, 1);
    private final List<ChangeOutcome> outcomes = new ArrayList<>();
    private Machine primary;
    private Machine backup;

    @BeforeEach
    void found() {
        cluster.found(3);
        cluster.runUntil(FOUNDED_MS);
        primary = cluster.primary();
        backup = cluster.machines.stream()
                .filter(machine -> machine != primary)
                .findFirst()
                .orElseThrow();
    }

    private Change change(long base, long version) {
        return cluster.checker.make(ConfigurationChange.Kind.REPLACE, base, version, true);
    }

    private void submit(Machine machine, Change change) {
        machine.submit(change, outcome -> {
            cluster.checker.answered(change, outcome);
            outcomes.add(outcome);
        });
    }

    private void pass(double forMs) {
        cluster.runUntil(cluster.nowMs() + forMs);
    }

    private long count(Class<? extends ChangeOutcome> kind) {
        return outcomes.stream().filter(kind::isInstance).count();
    }

    @Test
    void ofEightConcurrentChangesOfOneVersionOneWins() {
        for (int operator = 0; operator < 8; operator++) {
            submit(primary, change(0, 1 + operator));
        }
        pass(SOON_MS);
        assertEquals(1, count(Accepted.class));
        assertEquals(7, count(VersionConflict.class));
    }

    @Test
    void theSameChangeSentTwiceAtATimeIsAcknowledgedTwice() {
        Change change = change(0, 5);
        submit(primary, change);
        submit(primary, change);
        pass(SOON_MS);
        submit(primary, change);
        pass(SOON_MS);
        assertEquals(List.of(new Accepted(5), new Accepted(5), new Accepted(5)), outcomes);
    }

    @Test
    void aResentChangeIsAcknowledgedAfterLaterChanges() {
        Change first = change(0, 5);
        submit(primary, first);
        pass(SOON_MS);
        submit(primary, change(5, 6));
        pass(SOON_MS);
        submit(primary, first);
        pass(SOON_MS);
        assertEquals(3, count(Accepted.class));
    }

    @Test
    void aVersionThatDoesNotRiseIsInvalid() {
        submit(primary, change(0, 5));
        pass(SOON_MS);
        submit(primary, change(5, 5));
        pass(SOON_MS);
        assertInstanceOf(Invalid.class, outcomes.get(1));
    }

    @Test
    void aFollowerNamesThePrimaryAtOnce() {
        submit(backup, change(0, 1));
        assertEquals(List.of(new NotPrimary(Optional.of(primary.operatorApi))), outcomes);
    }

    @Test
    void aChangeWithoutAnOutcomeExpiresAtItsDeadline() {
        cluster.machines.stream().filter(machine -> machine != primary).forEach(Machine::freeze);
        submit(primary, change(0, 1));
        pass(cluster.ackMs - SOON_MS);
        assertEquals(1, outcomes.size());
        assertInstanceOf(Unknown.class, outcomes.get(0));
    }

    @Test
    void aChangeInFlightWhenTheDiskFillsIsUnknownAndCanBeResent() {
        primary.disk.mode = SimulatedDisk.Mode.FULL;
        Change change = change(0, 1);
        submit(primary, change);
        pass(SOON_MS);
        assertInstanceOf(Unknown.class, outcomes.get(0));
        Machine next = cluster.primary();
        assertTrue(next != primary && next != null, "another leads by now");
        submit(next, change);
        pass(SOON_MS);
        assertEquals(new Accepted(1), outcomes.get(1));
    }

    @Test
    void aPrimaryWithoutConfirmationRejectsNothing() {
        cluster.machines.stream().filter(machine -> machine != primary).forEach(Machine::freeze);
        submit(primary, change(3, 4));
        pass(cluster.ackMs);
        assertEquals(0, count(VersionConflict.class));
        assertEquals(1, outcomes.size());
    }
}
