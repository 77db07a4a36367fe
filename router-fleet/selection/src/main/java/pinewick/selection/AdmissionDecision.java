package pinewick.selection;

/** The result of admission control for one request. */
public sealed interface AdmissionDecision {
    /** The request is admitted. */
    record Admit() implements AdmissionDecision {}

    /**
     * The request is rejected before anything of it was sent.
     *
     * @param retryAfterSeconds how long the client should wait before it retries, seconds
     */
    record Reject(double retryAfterSeconds) implements AdmissionDecision {}

    /** Shared instance of {@link Admit}. */
    AdmissionDecision ADMIT = new Admit();
}
