package pinewick.selection;

import java.util.HashMap;
import java.util.Map;

/**
 * This router's part of the retry budget that all routers share: arrivals at a service beyond the first of each request
 * stay under ratio times its requests plus slack, over every window of {@code windowMs}.
 *
 * <p>Each router spends from its own requests and from an equal part of the slack, so the sum holds without a word between
 * routers. Only requests of the last half window count: every window that holds an arrival covers them, or the window half a
 * window before it does. The part of the slack is by the most routers of the last window, and a router that has just started
 * has none for one window: what its earlier life, or a router that is gone, spent may still lie in the window.
 */
public final class RetryBudget {
    /** Of what the rule allows; the rest is for clocks and for arrivals that routers and replicas time differently. */
    private static final double MARGIN = 0.9;

    private static final int BUCKETS = 50;

    private final double ratio;
    private final double slack;
    private final double windowMs;
    private final Map<String, ServiceCounts> services = new HashMap<>();
    private int upperBound = 1;
    private int boundBefore = 1;
    private double boundFellAtMs = Double.NEGATIVE_INFINITY;
    private double startedAtMs;
    private double lastMs;
    private boolean fresh = true;

    private final class ServiceCounts {
        final WindowCount requests = new WindowCount(windowMs, BUCKETS);
        final WindowCount extras = new WindowCount(windowMs, BUCKETS);
    }

    public RetryBudget(double ratio, double slack, double windowMs) {
        this.ratio = ratio;
        this.slack = slack;
        this.windowMs = windowMs;
    }

    /** The most routers that may be sharing the slack. A lower bound than before counts after one more window. */
    public void setRouterCount(int newBound) {
        int bound = Math.max(1, newBound);
        if (bound < upperBound && !fresh) {
            boundBefore = effectiveBound(lastMs);
            boundFellAtMs = lastMs;
        }
        upperBound = bound;
    }

    /** A client's request for a service was taken in. */
    public void onRequest(String service, double nowMs) {
        advance(nowMs);
        counts(service).requests.add(1, nowMs);
    }

    /** Takes one extra arrival at a service from the budget; false if there is none left. */
    public boolean tryTake(String service, double nowMs) {
        advance(nowMs);
        ServiceCounts counts = counts(service);
        if (counts.extras.atLeast(windowMs, nowMs) + 1 > allowance(counts, nowMs)) {
            return false;
        }
        counts.extras.add(1, nowMs);
        return true;
    }

    /** Returns what was taken at {@code takenAtMs} for an arrival that never happened. */
    public void giveBack(String service, double takenAtMs) {
        counts(service).extras.takeBack(1, takenAtMs);
    }

    private double allowance(ServiceCounts counts, double nowMs) {
        double earned = ratio * counts.requests.atMost(windowMs / 2, nowMs);
        boolean slackWithheld = nowMs - startedAtMs < windowMs;
        return MARGIN * (earned + (slackWithheld ? 0 : slack / effectiveBound(nowMs)));
    }

    private int effectiveBound(double nowMs) {
        return nowMs - boundFellAtMs < windowMs ? Math.max(boundBefore, upperBound) : upperBound;
    }

    private void advance(double nowMs) {
        if (fresh) {
            fresh = false;
            startedAtMs = nowMs;
        }
        lastMs = nowMs;
    }

    private ServiceCounts counts(String service) {
        return services.computeIfAbsent(service, name -> new ServiceCounts());
    }
}
