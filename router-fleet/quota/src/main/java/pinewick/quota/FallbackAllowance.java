package pinewick.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import pinewick.model.QuotaLimit;

/**
 * What this router may let through without a grant while it reaches no coordinator: in each window an equal part, by
 * the most routers that may run, of what the policy sets aside for all routers together. So the routers' sum holds
 * without a word between them, however many of them are cut off. A router that has just started has no part for one
 * window, since what its earlier incarnation used may still count.
 */
public final class FallbackAllowance {
    private static final double MS_PER_SECOND = 1_000;

    private final QuotaPolicy policy;
    private final double startedAtMs;
    private final Map<String, Usage> usageByTenant = new HashMap<>();
    private int currentBound = Integer.MAX_VALUE;
    private int previousBound;
    private double boundLoweredAtMs = Double.NEGATIVE_INFINITY;

    /** What was used, oldest first. */
    private static final class Usage {
        private final Deque<Use> uses = new ArrayDeque<>();
        private double sum;

        private record Use(double atMs, double cost) {}

        void add(double atMs, double cost) {
            uses.addLast(new Use(atMs, cost));
            sum += cost;
        }

        double since(double fromMs) {
            while (!uses.isEmpty() && uses.peekFirst().atMs < fromMs) {
                sum -= uses.removeFirst().cost;
            }
            return uses.isEmpty() ? 0 : sum;
        }
    }

    public FallbackAllowance(QuotaPolicy policy, double nowMs) {
        this.policy = policy;
        this.startedAtMs = nowMs;
    }

    /** The most routers that may be running. A lower bound than before counts after one more window. */
    public void setRouterCount(int upperBound, double nowMs) {
        int bound = Math.max(1, upperBound);
        if (bound < currentBound) {
            previousBound = effectiveBound(nowMs);
            boundLoweredAtMs = nowMs;
        }
        currentBound = bound;
    }

    /** Uses the allowance for a request; false if it does not suffice. */
    boolean tryUse(String tenant, QuotaLimit limit, int cost, double nowMs) {
        if (nowMs - startedAtMs < policy.windowMs()) {
            return false;
        }
        double part = policy.fallback(limit.ratePerSecond() / MS_PER_SECOND, limit.burstSize()) / effectiveBound(nowMs);
        Usage usage = usageByTenant.computeIfAbsent(tenant, name -> new Usage());
        if (usage.since(nowMs - policy.windowMs()) + cost > part) {
            return false;
        }
        usage.add(nowMs, cost);
        return true;
    }

    private int effectiveBound(double nowMs) {
        boolean isRecentlyLowered = nowMs - boundLoweredAtMs < policy.windowMs();
        return isRecentlyLowered ? Math.max(previousBound, currentBound) : currentBound;
    }
}
