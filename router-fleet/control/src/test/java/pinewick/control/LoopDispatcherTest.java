package pinewick.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tasks that fail on the control loop. */
class LoopDispatcherTest {
    @Test
    void respondsToAFailedTaskAndRethrowsOnTheLoop() {
        ManualLoop loop = new ManualLoop(0);
        List<Integer> statuses = new ArrayList<>();
        LoopDispatcher.dispatch(loop, response -> statuses.add(response.status()), () -> {
            throw new IllegalStateException("simulated fault");
        });
        assertThrows(IllegalStateException.class, () -> loop.advance(0));
        assertEquals(List.of(500), statuses);
    }
}
