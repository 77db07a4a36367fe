package pinewick.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Calls whose part on the loop fails. */
class LoopDispatcherTest {
    @Test
    void aTaskThatFailsIsAnsweredAndSeenByTheLoop() {
        ManualLoop loop = new ManualLoop(0);
        List<Integer> statuses = new ArrayList<>();
        LoopDispatcher.dispatch(loop, answer -> statuses.add(answer.status()), () -> {
            throw new IllegalStateException("a fault that the test makes");
        });
        assertThrows(IllegalStateException.class, () -> loop.advance(0));
        assertEquals(List.of(500), statuses);
    }
}
