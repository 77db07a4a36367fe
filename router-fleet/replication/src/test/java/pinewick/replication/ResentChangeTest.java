package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A resent change that was accepted is acknowledged again, or gets an unknown outcome, but is never rejected. */
class ResentChangeTest {
    private static final double BOOTSTRAP_MS = 3_000;
    private static final double SHORT_WAIT_MS = 100;
    private static final double REPAIR_MS = 4_000;
    private static final int SNAPSHOT_CHANGES = 250;

    private final SimulatedCluster cluster = new SimulatedCluster(31, 1);
    private final List<ChangeOutcome> outcomes = new ArrayList<>();
    private Change firstChange;

    @BeforeEach
    void bootstrapAndSubmitFirst() {
        cluster.bootstrap(3);
        cluster.runUntil(BOOTSTRAP_MS);
        firstChange = nextChange();
        submitAndAwait(firstChange);
    }

    private Change nextChange() {
        long base = cluster.checker.newestCommitted();
        return cluster.checker.newChange(ConfigurationChange.Kind.REPLACE, base, base + 1, true);
    }

    private void submitAndAwait(Change change) {
        boolean[] acknowledged = new boolean[1];
        cluster.primary().submit(change, outcome -> {
            cluster.checker.onChangeOutcome(change, outcome);
            acknowledged[0] = outcome instanceof ChangeOutcome.Accepted;
        });
        cluster.runUntil(() -> acknowledged[0], SHORT_WAIT_MS);
    }

    private ChangeOutcome resend(Machine machine) {
        machine.submit(firstChange, outcome -> {
            cluster.checker.onChangeOutcome(firstChange, outcome);
            outcomes.add(outcome);
        });
        runFor(SHORT_WAIT_MS);
        return outcomes.get(outcomes.size() - 1);
    }

    private void runFor(double durationMs) {
        cluster.runUntil(cluster.nowMs() + durationMs);
    }

    private void assertStillAcknowledged() {
        assertEquals(new ChangeOutcome.Accepted(firstChange.version()), resend(cluster.primary()));
    }

    private void awaitPrimaryOtherThan(Machine lostPrimary) {
        cluster.runUntil(() -> cluster.primary() != null && cluster.primary() != lostPrimary, REPAIR_MS);
        runFor(SHORT_WAIT_MS);
    }

    @Test
    void acknowledgesAfterTheLossOfThePrimaryAndLaterChanges() {
        submitAndAwait(nextChange());
        Machine lostPrimary = cluster.primary();
        lostPrimary.wipe();
        awaitPrimaryOtherThan(lostPrimary);
        submitAndAwait(nextChange());
        assertStillAcknowledged();
    }

    @Test
    void acknowledgesByMembersThatReceivedOnlyASnapshot() {
        for (Machine replacedMachine : List.copyOf(cluster.machines)) {
            Machine successor = cluster.addMachine();
            successor.seeds = cluster.machines.stream()
                    .filter(machine -> machine != replacedMachine)
                    .map(machine -> machine.address)
                    .toList();
            replacedMachine.wipe();
            replacedMachine.removed = true;
            successor.start(false);
            runFor(REPAIR_MS);
            submitAndAwait(nextChange());
        }
        assertStillAcknowledged();
    }

    @Test
    void acknowledgesAfterSnapshotsAndARestartOfEveryProcess() {
        for (int count = 0; count < SNAPSHOT_CHANGES; count++) {
            submitAndAwait(nextChange());
        }
        cluster.machines.forEach(Machine::kill);
        cluster.machines.forEach(machine -> machine.start(false));
        cluster.runUntil(() -> cluster.primary() != null, REPAIR_MS);
        runFor(SHORT_WAIT_MS);
        assertStillAcknowledged();
    }

    @Test
    void reportsAnUnknownOutcomeBeyondTheRetainedChanges() {
        for (int count = 0; count < AcceptedChanges.CAPACITY; count++) {
            submitAndAwait(nextChange());
        }
        assertInstanceOf(ChangeOutcome.Unknown.class, resend(cluster.primary()));
        submitAndAwait(nextChange());
    }

    @Test
    void doesNotRejectAChangeQueuedAtAFrozenPrimaryThatAnotherAccepted() {
        Machine frozenPrimary = cluster.primary();
        Change second = nextChange();
        frozenPrimary.freeze();
        List<ChangeOutcome> lateOutcomes = new ArrayList<>();
        frozenPrimary.submit(second, outcome -> {
            cluster.checker.onChangeOutcome(second, outcome);
            lateOutcomes.add(outcome);
        });
        awaitPrimaryOtherThan(frozenPrimary);
        submitAndAwait(second);
        submitAndAwait(nextChange());
        frozenPrimary.thaw();
        runFor(cluster.ackMs);
        assertEquals(1, lateOutcomes.size());
        assertEquals(false, lateOutcomes.get(0) instanceof ChangeOutcome.VersionConflict);
        assertEquals(false, lateOutcomes.get(0) instanceof ChangeOutcome.Invalid);
    }

    @Test
    void doesNotAcknowledgeByAPrimaryWithoutConfirmation() {
        Machine primary = cluster.primary();
        for (Machine other : cluster.machines) {
            cluster.cutLink(primary, other);
            cluster.cutLink(other, primary);
        }
        runFor(1);
        primary.submit(firstChange, outcomes::add);
        runFor(cluster.ackMs);
        assertEquals(1, outcomes.size());
        assertEquals(false, outcomes.get(0) instanceof ChangeOutcome.Accepted);
    }

    @Test
    void treatsTheSameBodyOfAnotherKindAsAnotherChange() {
        ConfigurationChange asUpdate =
                new ConfigurationChange(ConfigurationChange.Kind.UPDATE, firstChange.base(), firstChange.body());
        cluster.primary().node().submit(asUpdate, outcomes::add);
        runFor(SHORT_WAIT_MS);
        assertInstanceOf(ChangeOutcome.VersionConflict.class, outcomes.get(0));
    }

    @Test
    void acknowledgesTheSameBodyToTwoOperators() {
        Change change = nextChange();
        for (int operator = 0; operator < 2; operator++) {
            cluster.primary().submit(change, outcomes::add);
        }
        runFor(SHORT_WAIT_MS);
        assertEquals(
                List.of(new ChangeOutcome.Accepted(change.version()), new ChangeOutcome.Accepted(change.version())),
                outcomes);
    }
}
