package pinewick.model;

import java.util.List;

/**
 * One route of the operator's configuration, checked.
 *
 * @param name unique name
 * @param hostname value of the {@code Host} header, without a port, in lower case
 * @param pathPrefix begins the path, begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMs the longest time a request is held, milliseconds
 * @param targetLatencyMs time within which an answer earns its full worth, milliseconds
 * @param priority 0 is the most urgent
 * @param split services and their weights; one entry of weight 1 for a plain {@code service}
 * @param maxAttempts the most replicas that one request may be sent to
 * @param sessionAffinity whether requests name the parts of their prompt
 * @param resumable whether a broken stream may go on at another replica
 * @param gapAimMs the longest pause between events that keeps an answer in time, 0 if not told
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
        int gapAimMs) {

    public Route {
        split = List.copyOf(split);
    }

    /** A service and its share of a route's requests. */
    public record WeightedService(String service, int weight) {}

    /** Whether a request that may have run can be sent again. */
    public boolean repeatable() {
        return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && resumable);
    }
}
