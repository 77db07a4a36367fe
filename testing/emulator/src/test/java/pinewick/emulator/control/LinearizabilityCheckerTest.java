package pinewick.emulator.control;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import pinewick.emulator.control.CallHistory.Call;
import pinewick.emulator.control.CallHistory.Outcome;

class LinearizabilityCheckerTest {
    private final CallHistory history = new CallHistory();
    private final SubmittedChange first = change(0, 0, 1);
    private final SubmittedChange second = change(1, 1, 2);

    private static SubmittedChange change(int id, long base, long version) {
        return SubmittedChange.create(id, true, base, version, true, 0, Optional.empty());
    }

    private void check() {
        LinearizabilityChecker.check(history, List.of(first, second));
    }

    private void acknowledge(SubmittedChange change) {
        history.onFirstSent(change);
        history.onAcknowledged(change);
    }

    private void read(Call call, long version) {
        history.onAnswered(call, Outcome.READ, version);
    }

    @Test
    void acceptsEitherVersionOfAReadDuringAChange() {
        acknowledge(first);
        history.onFirstSent(second);
        Call early = history.onReceived(null);
        Call late = history.onReceived(null);
        read(early, 1);
        read(late, 2);
        history.onAcknowledged(second);
        assertDoesNotThrow(this::check);
    }

    @Test
    void rejectsAnOldReadAfterAnAcknowledgement() {
        acknowledge(first);
        read(history.onReceived(null), 0);
        assertThrows(InvariantViolation.class, this::check);
    }

    @Test
    void rejectsAReadOfAnEarlierVersionAfterALaterOne() {
        acknowledge(first);
        history.onFirstSent(second);
        read(history.onReceived(null), 2);
        read(history.onReceived(null), 1);
        history.onAcknowledged(second);
        assertThrows(InvariantViolation.class, this::check);
    }

    @Test
    void acceptsALateEffectOfAChangeWithoutAResponse() {
        history.onFirstSent(first);
        read(history.onReceived(null), 0);
        history.onFirstSent(second);
        history.onAcknowledged(second);
        read(history.onReceived(null), 2);
        assertDoesNotThrow(this::check);
    }

    @Test
    void rejectsAConflictIfItsBaseWasCurrentThroughout() {
        acknowledge(first);
        Call call = history.onReceived(change(2, 1, 5));
        history.onAnswered(call, Outcome.CONFLICT, 0);
        acknowledge(second);
        assertThrows(InvariantViolation.class, this::check);
    }

    @Test
    void acceptsAConflictIfTheVersionChangesMeanwhile() {
        acknowledge(first);
        Call call = history.onReceived(change(2, 1, 5));
        history.onFirstSent(second);
        history.onAnswered(call, Outcome.CONFLICT, 0);
        history.onAcknowledged(second);
        assertDoesNotThrow(this::check);
    }

    @Test
    void rejectsAnAcknowledgedChangeThatIsNotInForce() {
        SubmittedChange missing = change(3, 2, 3);
        acknowledge(missing);
        assertThrows(InvariantViolation.class, this::check);
    }
}
