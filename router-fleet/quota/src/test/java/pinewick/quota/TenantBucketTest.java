package pinewick.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class TenantBucketTest {
    private static final QuotaPolicy POLICY = new QuotaPolicy(8_000, 0.1, 190_000);
    private static final double RATE_PER_MS = 47;
    private static final double BURST = 47_000;

    private static TenantBucket bucket(double nowMs) {
        TenantBucket bucket = new TenantBucket(nowMs);
        bucket.setLimit(RATE_PER_MS, BURST, POLICY, nowMs);
        return bucket;
    }

    @Test
    void aNewBucketIsEmpty() {
        TenantBucket bucket = bucket(0);
        assertFalse(bucket.tryGrant(1, 0));
        assertTrue(bucket.tryGrant(1, 1));
    }

    /** A bucket past its first window, with less than one token left. */
    private static TenantBucket drained(double nowMs) {
        TenantBucket bucket = bucket(nowMs - 2 * POLICY.windowMs());
        while (bucket.level(nowMs) >= 1) {
            assertTrue(bucket.tryGrant(1, nowMs));
        }
        return bucket;
    }

    @Test
    void aLongRequestIsGrantedFromABucketThatIsNotEmpty() {
        TenantBucket bucket = drained(100_000);
        double levelBefore = bucket.level(100_001);
        assertTrue(bucket.tryGrant(17_000, 100_001), "into debt");
        assertFalse(bucket.tryGrant(1, 100_002), "in debt");
        assertEquals((17_000 - levelBefore) / RATE_PER_MS - 1, bucket.waitMs(1, 100_002), 1e-6);
    }

    @Test
    void aRequestBeyondTheMaximumDebtWaitsForTheDifference() {
        TenantBucket bucket = drained(100_000);
        double cost = POLICY.maxDebt(RATE_PER_MS, BURST) + 4_700 + bucket.level(100_000);
        assertFalse(bucket.tryGrant(cost, 100_050));
        assertEquals(50, bucket.waitMs(cost, 100_050), 1e-6);
        assertTrue(bucket.tryGrant(cost, 100_100.1));
    }

    @Test
    void aBucketDoesNotGoIntoDebtInItsFirstWindow() {
        TenantBucket bucket = bucket(0);
        assertFalse(bucket.tryGrant(17_000, 300));
        assertTrue(bucket.tryGrant(17_000, 362));
    }

    /** The first bucket is full, each is drained as far into debt as it may go, and the next one follows at once. */
    @Test
    void anyNumberOfCoordinatorsInOneWindowStaysWithinTheBound() {
        double granted = 0;
        double nowMs = 100_000;
        TenantBucket bucket = bucket(0);
        for (int index = 0; index < 50; index++) {
            int cost = 60_000;
            while (cost > 0) {
                if (bucket.tryGrant(cost, nowMs)) {
                    granted += cost;
                } else {
                    cost /= 2;
                }
            }
            bucket = bucket(nowMs);
            nowMs += 100;
        }
        double bound = RATE_PER_MS * (nowMs - 100_000)
                + POLICY.capacity(RATE_PER_MS, BURST)
                + POLICY.maxDebt(RATE_PER_MS, BURST);
        assertTrue(granted <= bound, granted + " of " + bound);
    }

    @Test
    void aLoweredLimitDiscardsTokensAboveItsCapacity() {
        TenantBucket bucket = bucket(0);
        bucket.setLimit(1, 1_000, POLICY, 60_000);
        assertEquals(POLICY.capacity(1, 1_000), bucket.level(60_000), 1e-6);
    }

    @Test
    void timeThatGoesBackwardsAddsNoTokens() {
        TenantBucket bucket = bucket(1_000);
        double level = bucket.level(2_000);
        assertEquals(level, bucket.level(500), 0);
        assertEquals(level, bucket.level(2_000), 0);
    }

    private record Grant(double atMs, int cost) {}

    /** Checks the bound of docs/quotas.md on the buckets of consecutive coordinators under any demand. */
    @Property(tries = 200)
    void noWindowExceedsItsBoundAcrossCoordinators(
            @ForAll long seed,
            @ForAll @DoubleRange(min = 0.5, max = 400) double ratePerMs,
            @ForAll @IntRange(min = 1, max = 6) int coordinators) {
        SplittableRandom random = new SplittableRandom(seed);
        double burst = ratePerMs * 1_000;
        List<Grant> grants = new ArrayList<>();
        double nowMs = 0;
        for (int index = 0; index < coordinators; index++) {
            TenantBucket bucket = new TenantBucket(nowMs);
            bucket.setLimit(ratePerMs, burst, POLICY, nowMs);
            double endsAtMs = nowMs + random.nextDouble(20_000);
            while (nowMs < endsAtMs) {
                nowMs += random.nextDouble(200);
                int cost = random.nextInt(random.nextBoolean() ? 400 : 60_000);
                if (bucket.tryGrant(cost, nowMs)) {
                    grants.add(new Grant(nowMs, cost));
                }
            }
        }
        double bound =
                ratePerMs * POLICY.windowMs() + POLICY.capacity(ratePerMs, burst) + POLICY.maxDebt(ratePerMs, burst);
        assertTrue(highestSum(grants) <= bound + 1e-6, highestSum(grants) + " of " + bound);
    }

    private static double highestSum(List<Grant> grants) {
        double highest = 0;
        for (Grant first : grants) {
            double sum = grants.stream()
                    .filter(each -> each.atMs >= first.atMs && each.atMs <= first.atMs + POLICY.windowMs())
                    .mapToDouble(Grant::cost)
                    .sum();
            highest = Math.max(highest, sum);
        }
        return highest;
    }
}
