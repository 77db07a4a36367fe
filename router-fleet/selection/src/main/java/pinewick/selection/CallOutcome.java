package pinewick.selection;

/** How one call to a replica ended. */
public enum CallOutcome {
    /** A complete response was received. */
    COMPLETED,
    /** The replica responded that it did not execute the request. */
    REJECTED,
    /** The replica responded with an error, or the response was truncated or invalid. */
    FAILED,
    /** No connection could be made. */
    CONNECT_FAILED,
    /** The attempt timeout or the deadline passed. */
    TIMED_OUT,
    /** The caller cancelled the call; does not count against the replica. */
    CANCELLED
}
