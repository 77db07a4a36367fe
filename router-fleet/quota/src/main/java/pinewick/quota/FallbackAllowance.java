package pinewick.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import pinewick.model.QuotaLimit;

/**
 * The cost that this router may execute without a grant while it reaches no coordinator. The policy sets an amount
 * aside per window for all routers together; the share of each is that amount divided by the upper bound of the number
 * of routers. So the total holds without communication between routers, however many of them are partitioned. A router
 * has no share in the first window after its start, since what its earlier incarnation used may still count.
 *
 * <p>Not thread-safe.
 */
public final class FallbackAllowance {
    private static final double MS_PER_SECOND = 1_000;

    private final QuotaPolicy policy;
    private final double startedAtMs;
    private final Map<String, Usage> usageByTenant = new HashMap<>();
    private int routerBound = Integer.MAX_VALUE;
    private int previousRouterBound;
    private double boundLoweredAtMs = Double.NEGATIVE_INFINITY;

    /** What one tenant used, oldest first. */
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

    /**
     * Sets the upper bound of the number of routers. Until it is first set, the share is practically 0. A bound that is
     * lower than before takes effect after one window, since what the stopped routers used may still count.
     */
    public void setRouterCount(int upperBound, double nowMs) {
        int bound = Math.max(1, upperBound);
        if (bound < routerBound) {
            previousRouterBound = effectiveRouterBound(nowMs);
            boundLoweredAtMs = nowMs;
        }
        routerBound = bound;
    }

    /** Uses the share for a request of {@code cost}; returns false, and uses nothing, if it does not suffice. */
    boolean tryUse(String tenant, QuotaLimit limit, int cost, double nowMs) {
        if (nowMs - startedAtMs < policy.windowMs()) {
            return false;
        }
        double share =
                policy.fallback(limit.ratePerSecond() / MS_PER_SECOND, limit.burstSize()) / effectiveRouterBound(nowMs);
        Usage usage = usageByTenant.computeIfAbsent(tenant, name -> new Usage());
        if (usage.since(nowMs - policy.windowMs()) + cost > share) {
            return false;
        }
        usage.add(nowMs, cost);
        return true;
    }

    private int effectiveRouterBound(double nowMs) {
        boolean isRecentlyLowered = nowMs - boundLoweredAtMs < policy.windowMs();
        return isRecentlyLowered ? Math.max(previousRouterBound, routerBound) : routerBound;
    }
}
