package pinewick.emulator.control;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import pinewick.emulator.control.CallHistory.Call;
import pinewick.emulator.control.CallHistory.Finding;

class LinearizabilityCheckerTest {
    private final CallHistory history = new CallHistory();
    private final ChangeOrder first = change(0, 0, 1);
    private final ChangeOrder second = change(1, 1, 2);

    private static ChangeOrder change(int mark, long base, long version) {
        return ChangeOrder.make(mark, true, base, version, true, 0, Optional.empty());
    }

    private void check() {
        LinearizabilityChecker.check(history, List.of(first, second));
    }

    private void take(ChangeOrder change) {
        history.firstSent(change);
        history.acknowledged(change);
    }

    private void read(Call call, long version) {
        history.answered(call, Finding.READ, version);
    }

    @Test
    void aReadMayFindEitherStateWhileAChangeIsUnderWay() {
        take(first);
        history.firstSent(second);
        Call early = history.cameIn(null);
        Call late = history.cameIn(null);
        read(early, 1);
        read(late, 2);
        history.acknowledged(second);
        assertDoesNotThrow(this::check);
    }

    @Test
    void aReadAfterAnAcknowledgementFindsIt() {
        take(first);
        read(history.cameIn(null), 0);
        assertThrows(InvariantViolation.class, this::check);
    }

    @Test
    void readsDoNotGoBack() {
        take(first);
        history.firstSent(second);
        read(history.cameIn(null), 2);
        read(history.cameIn(null), 1);
        history.acknowledged(second);
        assertThrows(InvariantViolation.class, this::check);
    }

    @Test
    void aChangeWithoutAnAnswerMayTakeEffectLater() {
        history.firstSent(first);
        read(history.cameIn(null), 0);
        history.firstSent(second);
        history.acknowledged(second);
        read(history.cameIn(null), 2);
        assertDoesNotThrow(this::check);
    }

    @Test
    void aConflictNeedsAnotherVersionWhileTheCallIsThere() {
        take(first);
        Call upon = history.cameIn(change(2, 1, 5));
        history.answered(upon, Finding.CONFLICT, 0);
        take(second);
        assertThrows(InvariantViolation.class, this::check);
    }

    @Test
    void aConflictFitsIfTheVersionChangesMeanwhile() {
        take(first);
        Call upon = history.cameIn(change(2, 1, 5));
        history.firstSent(second);
        history.answered(upon, Finding.CONFLICT, 0);
        history.acknowledged(second);
        assertDoesNotThrow(this::check);
    }

    @Test
    void anAcknowledgedChangeThatIsNotInForceIsLost() {
        ChangeOrder lost = change(3, 2, 3);
        take(lost);
        assertThrows(InvariantViolation.class, this::check);
    }
}
