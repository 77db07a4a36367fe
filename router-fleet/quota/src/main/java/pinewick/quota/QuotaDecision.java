package pinewick.quota;

/** The outcome of a router's request for tokens. */
public sealed interface QuotaDecision {
    /** The client's request may be executed. */
    record Granted() implements QuotaDecision {}

    /**
     * The tenant is over its limit.
     *
     * @param retryAfterMs time until the request would be granted if no other were, milliseconds
     */
    record OverLimit(double retryAfterMs) implements QuotaDecision {}

    /** The coordinator's configuration, which is newer than the router's, does not contain the tenant. */
    record UnknownTenant() implements QuotaDecision {}
}
