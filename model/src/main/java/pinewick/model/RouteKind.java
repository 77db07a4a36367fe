package pinewick.model;

/** What may be repeated of a route's requests. */
public enum RouteKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** May run at most once for each id. */
    NON_IDEMPOTENT,
    /** Answers with a series of events; as {@link #NON_IDEMPOTENT} unless the route is resumable. */
    STREAMING
}
