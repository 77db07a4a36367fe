package pinewick.selection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    private static final double WINDOW_MS = 10_000;
    private static final String SERVICE = "lm";

    @Test
    void aRouterThatHasJustStartedHasNoSlack() {
        RetryBudget budget = new RetryBudget(0.2, 50, WINDOW_MS);
        assertFalse(budget.tryAcquire(SERVICE, 0));
        assertFalse(budget.tryAcquire(SERVICE, 9_999));
        assertTrue(budget.tryAcquire(SERVICE, 10_000));
    }

    @Test
    void theSlackIsDividedByTheUpperBoundOfRouters() {
        RetryBudget budget = new RetryBudget(0, 50, WINDOW_MS);
        budget.setRouterCount(9);
        budget.onRequest(SERVICE, 0);
        assertEquals(5, acquireAll(budget, 20_000));
        assertEquals(0, acquireAll(budget, 29_000));
        assertEquals(5, acquireAll(budget, 31_000));
    }

    @Test
    void fewerRoutersThanBeforeCountAfterOneMoreWindow() {
        RetryBudget budget = new RetryBudget(0, 50, WINDOW_MS);
        budget.setRouterCount(9);
        budget.onStarted(0);
        budget.onRequest(SERVICE, 20_000);
        budget.setRouterCount(3);
        assertEquals(5, acquireAll(budget, 29_000));
        assertEquals(10, acquireAll(budget, 30_300));
    }

    @Test
    void requestsEarnAtBothHalvesOfTheWindow() {
        RetryBudget budget = new RetryBudget(0.2, 0, WINDOW_MS);
        int acquired = 0;
        for (int at = 0; at < 60_000; at += 10) {
            budget.onRequest(SERVICE, at);
            if (at >= 40_000 && at < 50_000) {
                acquired += budget.tryAcquire(SERVICE, at) ? 1 : 0;
            }
        }
        assertTrue(acquired > 70 && acquired <= 100, "the rule allows 200 with 1,000 requests, acquired " + acquired);
    }

    @Test
    void servicesHaveBudgetsOfTheirOwn() {
        RetryBudget budget = new RetryBudget(0.5, 0, WINDOW_MS);
        for (int at = 0; at < 4_000; at += 10) {
            budget.onRequest(SERVICE, at);
        }
        assertFalse(budget.tryAcquire("other", 4_000));
        assertTrue(budget.tryAcquire(SERVICE, 4_000));
    }

    @Test
    void anUnusedAttemptIsReleased() {
        RetryBudget budget = new RetryBudget(0, 50, WINDOW_MS);
        budget.setRouterCount(9);
        budget.onStarted(0);
        assertEquals(5, acquireAll(budget, 20_000));
        budget.release(SERVICE, 20_000);
        assertEquals(1, acquireAll(budget, 25_000));
        assertEquals(0, acquireAll(budget, 29_000));
        budget.release(SERVICE, 4_000);
        assertEquals(0, acquireAll(budget, 29_000), "it has left the window");
        assertEquals(4, acquireAll(budget, 30_500), "the attempt at 25,000 is still in the window");
    }

    private static int acquireAll(RetryBudget budget, double nowMs) {
        int acquired = 0;
        while (budget.tryAcquire(SERVICE, nowMs)) {
            acquired++;
        }
        return acquired;
    }

    /**
     * Routers that start, stop and restart, each acquiring all that it can, under bursty traffic with gaps: the total
     * of all of them stays within the rule in every window.
     */
    @Property(tries = 150)
    void theTotalOfAllRoutersStaysWithinTheRule(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 30) int maxRouters,
            @ForAll @DoubleRange(min = 0, max = 0.5) double ratio,
            @ForAll @IntRange(min = 0, max = 80) int slack) {
        Random random = new Random(seed);
        List<Double> requests = new ArrayList<>();
        List<Double> extraAttempts = new ArrayList<>();
        RetryBudget[] routers = new RetryBudget[maxRouters];
        double rate = 1;
        for (double now = 0; now < 60_000; now += 50) {
            if (random.nextInt(60) == 0) {
                rate = random.nextInt(3) == 0 ? 0 : 12 * random.nextDouble();
            }
            int router = random.nextInt(maxRouters);
            if (random.nextInt(100) == 0) {
                routers[router] = null;
            }
            if (routers[router] == null) {
                routers[router] = new RetryBudget(ratio, slack, WINDOW_MS);
            }
            for (RetryBudget each : routers) {
                if (each != null && random.nextInt(20) == 0) {
                    each.setRouterCount(maxRouters + random.nextInt(3));
                }
            }
            for (int count = (int) (rate * random.nextDouble() * 2); count > 0; count--) {
                RetryBudget receiver = routers[random.nextInt(maxRouters)];
                if (receiver != null) {
                    receiver.onRequest(SERVICE, now);
                    requests.add(now);
                }
            }
            boolean acquiresAll = random.nextInt(10) == 0;
            for (RetryBudget each : routers) {
                while (acquiresAll && each != null && each.tryAcquire(SERVICE, now)) {
                    if (random.nextInt(8) == 0) {
                        each.release(SERVICE, now);
                        break;
                    }
                    extraAttempts.add(now);
                }
            }
        }
        for (double end : extraAttempts) {
            double from = end - WINDOW_MS;
            double counted = Math.max(
                    within(requests, from, end),
                    Math.max(
                            within(requests, from - WINDOW_MS, from),
                            within(requests, from - WINDOW_MS / 2, end - WINDOW_MS / 2)));
            int attempts = within(extraAttempts, from, end);
            assertTrue(
                    attempts <= ratio * counted + slack,
                    attempts + " extra attempts with " + counted + " requests at " + end);
        }
    }

    private static int within(List<Double> times, double after, double until) {
        int count = 0;
        for (double each : times) {
            count += each > after && each <= until ? 1 : 0;
        }
        return count;
    }
}
