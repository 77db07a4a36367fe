package pinewick.quota;

/**
 * The platform's rule on limits: in every sliding window, the executed requests of a tenant sum up to at most (rate x
 * window + burst) x (1 + overage) + slack. The part above rate x window + burst is the <em>allowance</em>; it covers
 * what the processes of the fleet cannot know of each other in time. Three fractions of it are assigned here, and a
 * quarter stays unused as a margin:
 *
 * <ul>
 *   <li>the coordinator's bucket holds more than the burst, by {@code BURST_FRACTION};
 *   <li>a request is granted while the bucket is not empty, even if it costs more than the level; the bucket may go
 *       into debt by {@code DEBT_FRACTION};
 *   <li>routers that reach no coordinator share {@code FALLBACK_FRACTION} in equal parts.
 * </ul>
 *
 * @param windowMs length of the sliding windows of the rule, milliseconds
 * @param overage the fraction by which the limit may be exceeded
 * @param slack excess that is allowed in addition, in the unit of the limit
 */
public record QuotaPolicy(double windowMs, double overage, double slack) {
    private static final double BURST_FRACTION = 0.35;
    private static final double DEBT_FRACTION = 0.15;
    private static final double FALLBACK_FRACTION = 0.25;

    /** Cost that may be executed in a window beyond rate x window + burst. */
    public double allowance(double ratePerMs, double burst) {
        return overage * (ratePerMs * windowMs + burst) + slack;
    }

    /** Capacity of the coordinator's bucket. */
    double capacity(double ratePerMs, double burst) {
        return burst + BURST_FRACTION * allowance(ratePerMs, burst);
    }

    /** Maximum debt of the coordinator's bucket after a grant. */
    double maxDebt(double ratePerMs, double burst) {
        return DEBT_FRACTION * allowance(ratePerMs, burst);
    }

    /** Cost that all routers together may execute in a window without a grant. */
    double fallback(double ratePerMs, double burst) {
        return FALLBACK_FRACTION * allowance(ratePerMs, burst);
    }
}
