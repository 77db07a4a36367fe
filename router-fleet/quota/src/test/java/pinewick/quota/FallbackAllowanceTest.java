package pinewick.quota;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import pinewick.model.QuotaLimit;
import pinewick.model.QuotaUnit;

class FallbackAllowanceTest {
    /** Rate x window + burst is 9,000, the allowance 900 + 9,100, a quarter of it 2,500. */
    private static final QuotaLimit LIMIT = new QuotaLimit(1_000, 1_000, QuotaUnit.TOKENS, 200);

    private static final QuotaPolicy POLICY = new QuotaPolicy(8_000, 0.1, 9_100);

    private final FallbackAllowance allowance = new FallbackAllowance(POLICY, 0);

    @Test
    void eachRouterHasAnEqualShareInAWindow() {
        allowance.setRouterCount(10, 0);
        assertTrue(allowance.tryUse("t", LIMIT, 200, 8_000));
        assertFalse(allowance.tryUse("t", LIMIT, 51, 8_000));
        assertTrue(allowance.tryUse("t", LIMIT, 50, 8_000));
        assertFalse(allowance.tryUse("t", LIMIT, 1, 16_000), "the window includes its edge");
        assertTrue(allowance.tryUse("t", LIMIT, 250, 16_001));
    }

    @Test
    void aRouterHasNoShareInItsFirstWindow() {
        allowance.setRouterCount(1, 0);
        assertFalse(allowance.tryUse("t", LIMIT, 1, 7_999));
    }

    @Test
    void aRouterHasNoShareBeforeTheRouterCountIsSet() {
        assertFalse(allowance.tryUse("t", LIMIT, 1, 8_000));
    }

    @Test
    void aLowerRouterCountTakesEffectAfterOneWindow() {
        allowance.setRouterCount(10, 0);
        allowance.setRouterCount(5, 8_000);
        assertFalse(allowance.tryUse("t", LIMIT, 500, 15_999));
        assertTrue(allowance.tryUse("t", LIMIT, 500, 16_000));
    }

    @Test
    void tenantsHaveSeparateShares() {
        allowance.setRouterCount(10, 0);
        assertTrue(allowance.tryUse("t", LIMIT, 250, 8_000));
        assertTrue(allowance.tryUse("u", LIMIT, 250, 8_000));
    }
}
