package pinewick.selection;

import java.util.HashMap;
import java.util.Map;

/**
 * This router's share of the retry budget of all routers. The budget limits the extra attempts at a service, that is,
 * all arrivals beyond the first of each request: over every window of {@code windowMs} they stay within ratio times the
 * requests of the service plus slack.
 *
 * <p>Each router spends only what its own requests earn and an equal share of the slack, so that the total holds
 * without communication between routers.
 *
 * <ul>
 *   <li>Earned by requests: over each half window, at most half the ratio times the requests in that half window. A
 *       window is covered by two half windows. The requests counted for each lie in that window or in the one that
 *       starts half a window earlier, and the rule takes the larger count of these two windows. So each half spends at
 *       most half the ratio times that count, and both together stay within the rule, however the traffic changes.
 *   <li>Slack: over each window, the slack divided by the highest number of routers in the last window. A router that
 *       has just started has no slack for one window, since attempts by its earlier incarnation, or by a router that
 *       has stopped, may still count.
 * </ul>
 */
public final class RetryBudget {
    /**
     * The fraction of the allowance that is spent. The rest covers attempts that routers and replicas assign to
     * different times.
     */
    private static final double MARGIN = 0.9;
    /** The fraction of the ratio that each half window may spend, since two of them cover a window. */
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

    /** The router has started. Without this call it counts as started at its first request or attempt. */
    public void onStarted(double nowMs) {
        advance(nowMs);
    }

    /**
     * Sets the upper bound of the number of routers that share the slack. A bound lower than the previous one takes
     * effect after one more window.
     */
    public void setRouterCount(int newBound) {
        int bound = Math.max(1, newBound);
        if (bound < upperBound && !isFresh) {
            previousBound = effectiveBound(lastMs);
            boundLoweredAtMs = lastMs;
        }
        upperBound = bound;
    }

    /** Records that a client's request for a service was accepted. */
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
     * Returns to the budget what was acquired at {@code acquiredAtMs} for an attempt that was not made. Whether it was
     * earned or came from the slack does not matter to the total, as both are counted at the same time.
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
