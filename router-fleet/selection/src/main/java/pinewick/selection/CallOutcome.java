package pinewick.selection;

/** How one call to a replica ended. */
public enum CallOutcome {
    /** A complete response was received. */
    COMPLETED,
    /** The replica responded that it had not executed the request. */
    REJECTED,
    /** The replica responded with an error, or the response was truncated or invalid. */
    FAILED,
    /** No connection could be made. */
    CONNECT_FAILED,
    /** The attempt timeout or the deadline passed. */
    TIMED_OUT,
    /** The caller cancelled the call. This counts against the replica only if the response was overdue. */
    CANCELLED
}
