package pinewick.model;

/**
 * The quota of a tenant: a token bucket shared by all routers.
 *
 * @param ratePerSecond sustained rate, in {@code unit} per second; 0 for no limit
 * @param burstSize how much the tenant may send at once beyond the sustained rate, in {@code unit}
 * @param unit the unit of the rate and the burst
 * @param uncachedTokens tokens charged for a request that does not state its token count
 */
public record QuotaLimit(double ratePerSecond, double burstSize, QuotaUnit unit, int uncachedTokens) {
    /** No limit. */
    public static final QuotaLimit UNLIMITED = new QuotaLimit(0, 0, QuotaUnit.REQUESTS, 1);

    /** Whether the tenant has no rate limit. */
    public boolean isUnlimited() {
        return ratePerSecond <= 0;
    }
}
