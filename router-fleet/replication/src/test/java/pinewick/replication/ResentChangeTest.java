package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A change that was taken is acknowledged again, or left without a clear answer, whatever happened meanwhile. */
class ResentChangeTest {
    private static final double FOUNDED_MS = 3_000;
    private static final double SOON_MS = 100;
    private static final double REPAIRED_MS = 4_000;
    private static final int FOLDED_CHANGES = 250;

    private final SimulatedCluster cluster = new SimulatedCluster(31, 1);
    private final List<ChangeOutcome> outcomes = new ArrayList<>();
    private Change first;

    @BeforeEach
    void takeOne() {
        cluster.found(3);
        cluster.runUntil(FOUNDED_MS);
        first = nextChange();
        take(first);
    }

    private Change nextChange() {
        long base = cluster.checker.newestCommitted();
        return cluster.checker.make(ConfigurationChange.Kind.REPLACE, base, base + 1, true);
    }

    private void take(Change change) {
        boolean[] taken = new boolean[1];
        cluster.primary().submit(change, outcome -> {
            cluster.checker.answered(change, outcome);
            taken[0] = outcome instanceof ChangeOutcome.Accepted;
        });
        cluster.runUntil(() -> taken[0], SOON_MS);
    }

    private ChangeOutcome resend(Machine machine) {
        machine.submit(first, outcome -> {
            cluster.checker.answered(first, outcome);
            outcomes.add(outcome);
        });
        pass(SOON_MS);
        return outcomes.get(outcomes.size() - 1);
    }

    private void pass(double forMs) {
        cluster.runUntil(cluster.nowMs() + forMs);
    }

    private void assertStillAcknowledged() {
        assertEquals(new ChangeOutcome.Accepted(first.version()), resend(cluster.primary()));
    }

    private void awaitPrimaryOtherThan(Machine lost) {
        cluster.runUntil(() -> cluster.primary() != null && cluster.primary() != lost, REPAIRED_MS);
        pass(SOON_MS);
    }

    @Test
    void afterItsPrimaryWasLostAndLaterChangesFollowed() {
        take(nextChange());
        Machine lost = cluster.primary();
        lost.wipe();
        awaitPrimaryOtherThan(lost);
        take(nextChange());
        assertStillAcknowledged();
    }

    @Test
    void byAMemberThatGotTheStateAsASnapshotOnly() {
        for (Machine founder : List.copyOf(cluster.machines)) {
            Machine successor = cluster.addMachine();
            successor.seeds = cluster.machines.stream()
                    .filter(machine -> machine != founder)
                    .map(machine -> machine.address)
                    .toList();
            founder.wipe();
            founder.removed = true;
            successor.start(false);
            pass(REPAIRED_MS);
            take(nextChange());
        }
        assertStillAcknowledged();
    }

    @Test
    void afterSnapshotsAndARestartOfEveryProcess() {
        for (int count = 0; count < FOLDED_CHANGES; count++) {
            take(nextChange());
        }
        cluster.machines.forEach(Machine::kill);
        cluster.machines.forEach(machine -> machine.start(false));
        cluster.runUntil(() -> cluster.primary() != null, REPAIRED_MS);
        pass(SOON_MS);
        assertStillAcknowledged();
    }

    @Test
    void beyondTheRetainedChangesTheOutcomeIsUnknown() {
        for (int count = 0; count < AcceptedChanges.CAPACITY; count++) {
            take(nextChange());
        }
        assertInstanceOf(ChangeOutcome.Unknown.class, resend(cluster.primary()));
        take(nextChange());
    }

    @Test
    void thatIsStillQueuedAtAFrozenPrimaryWhenAnotherTookIt() {
        Machine old = cluster.primary();
        Change second = nextChange();
        old.freeze();
        List<ChangeOutcome> late = new ArrayList<>();
        old.submit(second, outcome -> {
            cluster.checker.answered(second, outcome);
            late.add(outcome);
        });
        awaitPrimaryOtherThan(old);
        take(second);
        take(nextChange());
        old.thaw();
        pass(cluster.ackMs);
        assertEquals(1, late.size());
        assertEquals(false, late.get(0) instanceof ChangeOutcome.VersionConflict);
        assertEquals(false, late.get(0) instanceof ChangeOutcome.Invalid);
    }

    @Test
    void notByAPrimaryWithoutConfirmation() {
        Machine primary = cluster.primary();
        for (Machine other : cluster.machines) {
            cluster.cut(primary, other);
            cluster.cut(other, primary);
        }
        pass(1);
        primary.submit(first, outcomes::add);
        pass(cluster.ackMs);
        assertEquals(1, outcomes.size());
        assertEquals(false, outcomes.get(0) instanceof ChangeOutcome.Accepted);
    }

    @Test
    void theSameBodyAsTheOtherKindIsAnotherChange() {
        ConfigurationChange asUpdate =
                new ConfigurationChange(ConfigurationChange.Kind.UPDATE, first.base(), first.body());
        cluster.primary().node().submit(asUpdate, outcomes::add);
        pass(SOON_MS);
        assertInstanceOf(ChangeOutcome.VersionConflict.class, outcomes.get(0));
    }

    @Test
    void ofTwoOperatorsWithTheSameBodyBothAreAcknowledged() {
        Change both = nextChange();
        for (int operator = 0; operator < 2; operator++) {
            cluster.primary().submit(both, outcomes::add);
        }
        pass(SOON_MS);
        assertEquals(
                List.of(new ChangeOutcome.Accepted(both.version()), new ChangeOutcome.Accepted(both.version())),
                outcomes);
    }
}
