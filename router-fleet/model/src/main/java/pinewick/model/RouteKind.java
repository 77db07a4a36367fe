package pinewick.model;

/** Determines which requests of a route may be retried. */
public enum RouteKind {
    /** Requests may be executed more than once. */
    IDEMPOTENT,
    /** Requests may be executed at most once per request id. */
    NON_IDEMPOTENT,
    /** The response is a stream of events; like {@link #NON_IDEMPOTENT} unless the route is resumable. */
    STREAMING
}
