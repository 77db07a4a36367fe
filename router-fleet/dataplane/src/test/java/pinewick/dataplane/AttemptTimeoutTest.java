package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How long a silent replica is waited for before another one is asked. */
class AttemptTimeoutTest {
    private static final double TARGET_MS = 400;

    @Test
    void aLongPromptExtendsTheAttemptTimeout() {
        double leftMs = 2_900;
        double usual = UpstreamAttempt.attemptTimeoutMs(leftMs, TARGET_MS, 100);
        assertEquals(1_015, usual, 1);
        assertEquals(2_500, UpstreamAttempt.attemptTimeoutMs(leftMs, TARGET_MS, 1_000), 1e-9);
    }

    @Test
    void noAttemptTimeoutExceedsTheDeadline() {
        assertEquals(2_900, UpstreamAttempt.attemptTimeoutMs(2_900, TARGET_MS, 10_000), 1e-9);
        assertTrue(UpstreamAttempt.attemptTimeoutMs(100, TARGET_MS, 1) <= 100);
    }
}
