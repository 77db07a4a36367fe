package pinewick.quota;

/**
 * The token bucket of one tenant at the coordinator. It starts empty, because the grants of an earlier coordinator are
 * not known: of consecutive buckets, only the first may have been full. After the bucket's first window a request is
 * granted while the bucket is not empty, even if that puts it into debt, so that large requests are granted as often as
 * small ones. In its first window the bucket does not go into debt, since its grants add to those of the previous
 * bucket, which may have ended in debt.
 *
 * <p>In any window, consecutive buckets together grant at most rate x window + capacity + maximum debt, however many
 * buckets there are.
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

    /** Sets the limit from now on. Tokens above a lowered capacity are discarded. */
    void setLimit(double newRatePerMs, double burst, QuotaPolicy policy, double nowMs) {
        advance(nowMs);
        ratePerMs = newRatePerMs;
        capacity = policy.capacity(newRatePerMs, burst);
        maxDebt = policy.maxDebt(newRatePerMs, burst);
        windowMs = policy.windowMs();
        level = Math.min(level, capacity);
    }

    /** Takes {@code cost} tokens from the bucket; returns false, and takes none, if they are not granted. */
    boolean tryGrant(double cost, double nowMs) {
        advance(nowMs);
        if (level <= 0 || level - cost < -maxDebt(nowMs)) {
            return false;
        }
        level -= cost;
        return true;
    }

    /** Time until a request of {@code cost} is granted if no other is, milliseconds; infinite if it never is. */
    double waitMs(double cost, double nowMs) {
        advance(nowMs);
        double neededLevel = Math.max(0, cost - maxDebt(nowMs));
        if (neededLevel > capacity) {
            return Double.POSITIVE_INFINITY;
        }
        return Math.max(0, neededLevel - level) / ratePerMs;
    }

    /** Tokens in the bucket; negative while it is in debt. */
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
