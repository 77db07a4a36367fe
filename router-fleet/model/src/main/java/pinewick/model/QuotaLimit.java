package pinewick.model;

/**
 * The quota of a tenant: a token bucket shared by all routers.
 *
 * @param ratePerSecond what the tenant may send per second, counted in {@code unit}; 0 for no limit
 * @param burstSize what it may send beyond that at once, counted in {@code unit}
 * @param unit what is counted
 * @param uncachedTokens how many tokens a request counts that does not tell its token count
 */
public record QuotaLimit(double ratePerSecond, double burstSize, QuotaUnit unit, int uncachedTokens) {
    /** No limit. */
    public static final QuotaLimit UNLIMITED = new QuotaLimit(0, 0, QuotaUnit.REQUESTS, 1);

    /** Whether the tenant may send without any limit. */
    public boolean isUnlimited() {
        return ratePerSecond <= 0;
    }
}
