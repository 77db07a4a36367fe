package pinewick.quota;

/** What came of a router's request for tokens. */
public sealed interface QuotaDecision {
    /** The client's request may be executed. */
    record Granted() implements QuotaDecision {}

    /**
     * The tenant is over its limit.
     *
     * @param retryAfterMs when the request would be granted, milliseconds
     */
    record OverLimit(double retryAfterMs) implements QuotaDecision {}

    /** The coordinator knows a newer configuration, without the tenant. */
    record UnknownTenant() implements QuotaDecision {}
}
