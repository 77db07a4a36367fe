package pinewick.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Fencing tokens increase from order to order, across epochs and lease holders. */
class FencingTokensTest {
    private final FencingTokens first = new FencingTokens("core-1");
    private final FencingTokens second = new FencingTokens("core-2");

    @Test
    void increasesTokensWithinAnEpochAndAcrossLeaseHolders() {
        FencingTokens.Fence firstFence = first.next(Optional.of(4L)).orElseThrow();
        FencingTokens.Fence secondFence = first.next(Optional.of(4L)).orElseThrow();
        FencingTokens.Fence thirdFence = second.next(Optional.of(5L)).orElseThrow();
        FencingTokens.Fence fourthFence = first.next(Optional.of(6L)).orElseThrow();
        assertTrue(firstFence.token() < secondFence.token()
                && secondFence.token() < thirdFence.token()
                && thirdFence.token() < fourthFence.token());
        assertEquals("core-1/4", firstFence.leaseHolder());
        assertEquals("core-2/5", thirdFence.leaseHolder());
    }

    @Test
    void issuesNoTokenWithoutALease() {
        assertEquals(Optional.empty(), first.next(Optional.empty()));
    }

    @Test
    void issuesNoTokenBeyondTheRangeOfAnEpoch() {
        FencingTokens.Fence last = null;
        for (int i = 0; i < 1 << 20; i++) {
            last = first.next(Optional.of(1L)).orElseThrow();
        }
        assertEquals(Optional.empty(), first.next(Optional.of(1L)));
        assertTrue(last.token() < second.next(Optional.of(2L)).orElseThrow().token());
    }
}
