package pinewick.quota;

/**
 * The token bucket of one tenant, at the coordinator. It starts empty: what an earlier coordinator granted is not
 * known, and of two buckets that follow each other only the first may have been full. After its first window a request
 * is granted while the bucket is not empty, even if that puts it into debt, so that large requests are granted as often
 * as small ones. In its first window it makes no debt: its grants count together with those of the bucket before, which
 * may have ended in debt.
 *
 * <p>In any window, buckets that follow each other grant at most rate x window + capacity + debt, however many there
 * are.
 */
final class TenantBucket {
    private double ratePerMs;
    private double capacity;
    private double maxDebt;
    private double level;
    private double updatedAtMs;
    private final double startedAtMs;
    private double windowMs = Double.POSITIVE_INFINITY;

    TenantBucket(double nowMs) {
        this.updatedAtMs = nowMs;
        this.startedAtMs = nowMs;
    }

    /** Sets the limit in force from now on. What is above a lowered capacity is lost. */
    void setLimit(double newRatePerMs, double burst, QuotaPolicy policy, double nowMs) {
        advance(nowMs);
        ratePerMs = newRatePerMs;
        capacity = policy.capacity(newRatePerMs, burst);
        maxDebt = policy.maxDebt(newRatePerMs, burst);
        windowMs = policy.windowMs();
        level = Math.min(level, capacity);
    }

    /** Grants {@code cost}, or returns false. */
    boolean tryGrant(double cost, double nowMs) {
        advance(nowMs);
        if (level <= 0 || level - cost < -maxDebt(nowMs)) {
            return false;
        }
        level -= cost;
        return true;
    }

    /** How long until a request of {@code cost} is granted if nothing else is, milliseconds; infinite if never. */
    double waitMs(double cost, double nowMs) {
        advance(nowMs);
        double neededLevel = Math.max(0, cost - maxDebt(nowMs));
        if (neededLevel > capacity) {
            return Double.POSITIVE_INFINITY;
        }
        return Math.max(0, neededLevel - level) / ratePerMs;
    }

    /** Tokens that can be granted now; below 0 in debt. */
    double level(double nowMs) {
        advance(nowMs);
        return level;
    }

    private double maxDebt(double nowMs) {
        return nowMs - startedAtMs > windowMs ? maxDebt : 0;
    }

    private void advance(double nowMs) {
        if (nowMs > updatedAtMs) {
            level = Math.min(capacity, level + ratePerMs * (nowMs - updatedAtMs));
            updatedAtMs = nowMs;
        }
    }
}
