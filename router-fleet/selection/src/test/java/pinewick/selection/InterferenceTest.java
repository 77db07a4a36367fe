package pinewick.selection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import pinewick.model.Stage;

/** The price of the delay that a prefill causes to other calls at the same replica. */
class InterferenceTest {
    private static final double TOLERANCE = 1e-9;
    private static final int LONG_TARGET_MS = 600;
    private static final double OCCUPIED_MS = 200;

    private static ReplicaPool poolWithCalls(int calls, int targetLatencyMs) {
        ReplicaPool pool = new ReplicaPool(Stage.DECODE);
        for (int each = 0; each < calls; each++) {
            pool.onCallStarted(targetLatencyMs, 0);
        }
        return pool;
    }

    private static double interferenceMs(ReplicaPool pool, double occupiedMs) {
        return pool.interferenceMs(occupiedMs, LONG_TARGET_MS, 1, 0);
    }

    @Test
    void callsWithTheSameTargetCountWithTheirDelay() {
        double callsPerMs = 30 / 3_000.0;

        assertEquals(
                callsPerMs * OCCUPIED_MS * OCCUPIED_MS / 2,
                interferenceMs(poolWithCalls(30, LONG_TARGET_MS), OCCUPIED_MS),
                TOLERANCE);
    }

    @Test
    void aDelayCountsTwiceToACallWithHalfTheTarget() {
        double sameTarget = interferenceMs(poolWithCalls(30, LONG_TARGET_MS), OCCUPIED_MS);

        assertEquals(2 * sameTarget, interferenceMs(poolWithCalls(30, LONG_TARGET_MS / 2), OCCUPIED_MS), TOLERANCE);
        assertEquals(sameTarget / 2, interferenceMs(poolWithCalls(30, 2 * LONG_TARGET_MS), OCCUPIED_MS), TOLERANCE);
    }

    @Test
    void itGrowsWithTheSquareOfTheOccupiedTime() {
        ReplicaPool pool = poolWithCalls(30, LONG_TARGET_MS / 2);

        assertEquals(9 * interferenceMs(pool, 100), interferenceMs(pool, 300), TOLERANCE);
    }

    @Test
    void withoutOtherCallsThereIsNone() {
        assertEquals(0, interferenceMs(new ReplicaPool(Stage.DECODE), OCCUPIED_MS));
    }
}
