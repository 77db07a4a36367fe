package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How long to wait for an unresponsive replica before the request is retried at another one. */
class AttemptTimeoutTest {
    private static final double TARGET_LATENCY_MS = 400;

    @Test
    void aLongPromptExtendsTheAttemptTimeout() {
        double remainingMs = 2_900;
        double usualTimeoutMs = UpstreamAttempt.attemptTimeoutMs(remainingMs, TARGET_LATENCY_MS, 100);
        assertEquals(1_015, usualTimeoutMs, 1);
        assertEquals(2_500, UpstreamAttempt.attemptTimeoutMs(remainingMs, TARGET_LATENCY_MS, 1_000), 1e-9);
    }

    @Test
    void noAttemptTimeoutExceedsTheDeadline() {
        assertEquals(2_900, UpstreamAttempt.attemptTimeoutMs(2_900, TARGET_LATENCY_MS, 10_000), 1e-9);
        assertTrue(UpstreamAttempt.attemptTimeoutMs(100, TARGET_LATENCY_MS, 1) <= 100);
    }
}
