package pinewick.selection;

import java.util.HashMap;
import java.util.Map;

/**
 * This router's part of the retry budget that all routers share: arrivals at a service beyond the first of each
 * request stay under ratio times its requests plus slack, over every window of {@code windowMs}.
 *
 * <p>Each router spends from its own requests and from an equal part of the slack, so the sum holds without a word
 * between routers.
 *
 * <ul>
 *   <li>From requests: over each half window at most half the ratio times the requests in it. A window is two halves,
 *       and the requests of each lie in that window or in the one half a window before it, of which the rule takes the
 *       larger: twice the half of it, however the traffic changes.
 *   <li>From the slack: over each window an equal part by the most routers of the last window. A router that has just
 *   started has none for one window, since what its earlier incarnation, or a router that stopped, spent may still
 * count.
 * </ul>
 */
public final class RetryBudget {
    /**
     * The fraction of the allowance that is used; the rest covers attempts that routers and replicas date differently.
     */
    private static final double MARGIN = 0.9;
    /** Each half window spends half, since a window is covered by two. */
    private static final double HALF = 0.5;

    private static final int BUCKETS = 50;

    private final double ratio;
    private final double slack;
    private final double windowMs;
    private final Map<String, ServiceCounts> services = new HashMap<>();
    private int upperBound = 1;
    private int previousBound = 1;
    private double boundLoweredAtMs = Double.NEGATIVE_INFINITY;
    private double startedAtMs;
    private double lastMs;
    private boolean isFresh = true;

    private final class ServiceCounts {
        private final WindowedCount requests = new WindowedCount(windowMs, BUCKETS);
        private final WindowedCount fromRequests = new WindowedCount(windowMs, BUCKETS);
        private final WindowedCount fromSlack = new WindowedCount(windowMs, BUCKETS);
    }

    public RetryBudget(double ratio, double slack, double windowMs) {
        this.ratio = ratio;
        this.slack = slack;
        this.windowMs = windowMs;
    }

    /** The router has started; without this call it starts with its first request. */
    public void onStarted(double nowMs) {
        advance(nowMs);
    }

    /** The most routers that may be sharing the slack. A lower bound than before counts after one more window. */
    public void setRouterCount(int newBound) {
        int bound = Math.max(1, newBound);
        if (bound < upperBound && !isFresh) {
            previousBound = effectiveBound(lastMs);
            boundLoweredAtMs = lastMs;
        }
        upperBound = bound;
    }

    /** A client's request for a service was accepted. */
    public void onRequest(String service, double nowMs) {
        advance(nowMs);
        counts(service).requests.add(1, nowMs);
    }

    /** Acquires one extra attempt at a service from the budget; false if none is left. */
    public boolean tryAcquire(String service, double nowMs) {
        advance(nowMs);
        ServiceCounts counts = counts(service);
        double earned = MARGIN * HALF * ratio * counts.requests.lowerBound(windowMs / 2, nowMs);
        if (counts.fromRequests.upperBound(windowMs / 2, nowMs) + 1 <= earned) {
            counts.fromRequests.add(1, nowMs);
            return true;
        }
        boolean withheld = nowMs - startedAtMs < windowMs;
        double slackPerRouter = withheld ? 0 : MARGIN * slack / effectiveBound(nowMs);
        if (counts.fromSlack.upperBound(windowMs, nowMs) + 1 <= slackPerRouter) {
            counts.fromSlack.add(1, nowMs);
            return true;
        }
        return false;
    }

    /**
     * Returns what was acquired at {@code acquiredAtMs} for an attempt that did not take place. Which of the two parts
     * it came from does not matter to the sum, as both have the same time.
     */
    public void release(String service, double acquiredAtMs) {
        ServiceCounts counts = counts(service);
        if (!counts.fromSlack.removeOne(acquiredAtMs)) {
            counts.fromRequests.removeOne(acquiredAtMs);
        }
    }

    private int effectiveBound(double nowMs) {
        return nowMs - boundLoweredAtMs < windowMs ? Math.max(previousBound, upperBound) : upperBound;
    }

    private void advance(double nowMs) {
        if (isFresh) {
            isFresh = false;
            startedAtMs = nowMs;
        }
        lastMs = nowMs;
    }

    private ServiceCounts counts(String service) {
        return services.computeIfAbsent(service, name -> new ServiceCounts());
    }
}
