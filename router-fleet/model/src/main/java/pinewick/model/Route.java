package pinewick.model;

import java.util.List;

/**
 * A validated route of the operator's configuration.
 *
 * @param name unique name
 * @param hostname value of the {@code Host} header, without a port, in lower case
 * @param pathPrefix prefix of the path; starts and ends with a slash
 * @param kind which requests may be retried
 * @param timeoutMs time-out of a request, milliseconds
 * @param targetLatencyMs latency target (SLO), milliseconds
 * @param priority priority of requests; 0 is the highest
 * @param split services and their weights; one entry of weight 1 for a plain {@code service}
 * @param maxAttempts maximum number of replicas to which one request may be sent
 * @param sessionAffinity whether requests list the parts of their prompt, for prefix-cache affinity
 * @param resumable whether an interrupted stream may be resumed on another replica
 * @param targetGapMs target for the longest gap between events, milliseconds; 0 for none
 * @param anonymous whether requests need no API key even if the configuration has tenants
 */
public record Route(
        String name,
        String hostname,
        String pathPrefix,
        RouteKind kind,
        int timeoutMs,
        int targetLatencyMs,
        int priority,
        List<WeightedService> split,
        int maxAttempts,
        boolean sessionAffinity,
        boolean resumable,
        int targetGapMs,
        boolean anonymous) {

    public Route {
        split = List.copyOf(split);
    }

    /** A service and its weight among a route's requests. */
    public record WeightedService(String service, int weight) {}

    /** Returns a copy with another priority. */
    public Route withPriority(int newPriority) {
        return new Route(
                name,
                hostname,
                pathPrefix,
                kind,
                timeoutMs,
                targetLatencyMs,
                newPriority,
                split,
                maxAttempts,
                sessionAffinity,
                resumable,
                targetGapMs,
                anonymous);
    }

    /** Whether a request that may already have been executed can be sent again. */
    public boolean isRetriable() {
        return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && resumable);
    }
}
