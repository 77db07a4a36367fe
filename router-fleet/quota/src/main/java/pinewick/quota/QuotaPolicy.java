package pinewick.quota;

/**
 * The platform's rule on limits: over every window, the requests of a tenant that are executed sum up to at most (rate
 * x window + burst) x (1 + overage) + slack. What lies above rate x window + burst is the <em>allowance</em>; it covers
 * what the fleet cannot know in time. Its parts are assigned here, and their sum leaves a quarter of it unused:
 *
 * <ul>
 *   <li>the bucket of the coordinator holds more than the burst;
 *   <li>a request is granted while the bucket is not empty, however large it is, so that the bucket goes into debt by a
 *       part at most;
 *   <li>routers without a coordinator use the rest in equal parts.
 * </ul>
 *
 * @param windowMs length of the sliding windows of the rule, milliseconds
 * @param overage the fraction by which the limit may be exceeded
 * @param slack what may be exceeded in addition, in the unit of the limit
 */
public record QuotaPolicy(double windowMs, double overage, double slack) {
    private static final double BURST_FRACTION = 0.35;
    private static final double DEBT_FRACTION = 0.15;
    private static final double FALLBACK_FRACTION = 0.25;

    /** What may be executed in a window beyond rate x window + burst. */
    public double allowance(double ratePerMs, double burst) {
        return overage * (ratePerMs * windowMs + burst) + slack;
    }

    /** The most that a bucket holds. */
    double capacity(double ratePerMs, double burst) {
        return burst + BURST_FRACTION * allowance(ratePerMs, burst);
    }

    /** By how much a bucket may be in debt after a grant. */
    double maxDebt(double ratePerMs, double burst) {
        return DEBT_FRACTION * allowance(ratePerMs, burst);
    }

    /** What all routers together may use in a window without a grant. */
    double fallback(double ratePerMs, double burst) {
        return FALLBACK_FRACTION * allowance(ratePerMs, burst);
    }
}
