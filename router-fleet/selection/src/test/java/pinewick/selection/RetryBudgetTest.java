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
        assertEquals(5, takeAll(budget, 20_000));
        assertEquals(0, takeAll(budget, 29_000));
        assertEquals(5, takeAll(budget, 31_000));
    }

    @Test
    void fewerRoutersThanBeforeCountAfterOneMoreWindow() {
        RetryBudget budget = new RetryBudget(0, 50, WINDOW_MS);
        budget.setRouterCount(9);
        budget.onStarted(0);
        budget.onRequest(SERVICE, 20_000);
        budget.setRouterCount(3);
        assertEquals(5, takeAll(budget, 29_000));
        assertEquals(10, takeAll(budget, 30_300));
    }

    @Test
    void requestsEarnAtBothHalvesOfTheWindow() {
        RetryBudget budget = new RetryBudget(0.2, 0, WINDOW_MS);
        int taken = 0;
        for (int at = 0; at < 60_000; at += 10) {
            budget.onRequest(SERVICE, at);
            if (at >= 40_000 && at < 50_000) {
                taken += budget.tryAcquire(SERVICE, at) ? 1 : 0;
            }
        }
        assertTrue(taken > 70 && taken <= 100, "of 200 that the rule allows with 1,000 requests, took " + taken);
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
        assertEquals(5, takeAll(budget, 20_000));
        budget.release(SERVICE, 20_000);
        assertEquals(1, takeAll(budget, 25_000));
        assertEquals(0, takeAll(budget, 29_000));
        budget.release(SERVICE, 4_000);
        assertEquals(0, takeAll(budget, 29_000), "long gone from the window");
        assertEquals(4, takeAll(budget, 30_500), "the one of 25,000 is still in it");
    }

    private static int takeAll(RetryBudget budget, double nowMs) {
        int taken = 0;
        while (budget.tryAcquire(SERVICE, nowMs)) {
            taken++;
        }
        return taken;
    }

    /**
     * Greedy routers that come, go and start again, in traffic that comes in bursts with holes: the sum over all of
     * them stays within the rule in every window.
     */
    @Property(tries = 150)
    void theSumOfAllRoutersStaysWithinTheRule(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 30) int most,
            @ForAll @DoubleRange(min = 0, max = 0.5) double ratio,
            @ForAll @IntRange(min = 0, max = 80) int slack) {
        Random random = new Random(seed);
        List<Double> requests = new ArrayList<>();
        List<Double> extras = new ArrayList<>();
        RetryBudget[] routers = new RetryBudget[most];
        double rate = 1;
        for (double now = 0; now < 60_000; now += 50) {
            if (random.nextInt(60) == 0) {
                rate = random.nextInt(3) == 0 ? 0 : 12 * random.nextDouble();
            }
            int router = random.nextInt(most);
            if (random.nextInt(100) == 0) {
                routers[router] = null;
            }
            if (routers[router] == null) {
                routers[router] = new RetryBudget(ratio, slack, WINDOW_MS);
            }
            for (RetryBudget each : routers) {
                if (each != null && random.nextInt(20) == 0) {
                    each.setRouterCount(most + random.nextInt(3));
                }
            }
            for (int count = (int) (rate * random.nextDouble() * 2); count > 0; count--) {
                RetryBudget taker = routers[random.nextInt(most)];
                if (taker != null) {
                    taker.onRequest(SERVICE, now);
                    requests.add(now);
                }
            }
            boolean spree = random.nextInt(10) == 0;
            for (RetryBudget each : routers) {
                while (spree && each != null && each.tryAcquire(SERVICE, now)) {
                    if (random.nextInt(8) == 0) {
                        each.release(SERVICE, now);
                        break;
                    }
                    extras.add(now);
                }
            }
        }
        for (double end : extras) {
            double from = end - WINDOW_MS;
            double counted = Math.max(
                    within(requests, from, end),
                    Math.max(
                            within(requests, from - WINDOW_MS, from),
                            within(requests, from - WINDOW_MS / 2, end - WINDOW_MS / 2)));
            int spent = within(extras, from, end);
            assertTrue(spent <= ratio * counted + slack, spent + " extras with " + counted + " requests at " + end);
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
