package pinewick.dataplane;

/** A call to a replica in flight. */
interface UpstreamCall {
    /** Whether a byte of the request may have been sent. */
    boolean isSent();

    /** Aborts the call; its listener is not invoked again. */
    void abort();

    /** Pauses reading the response until {@link #resumeReading}. */
    void pauseReading();

    void resumeReading();
}
