package pinewick.selection;

/** The result of admission control for one request. */
public sealed interface AdmissionDecision {
    /** The request is admitted. */
    record Admit() implements AdmissionDecision {}

    /**
     * The request is rejected before anything of it was sent.
     *
     * @param retryAfterSeconds when the client should retry, seconds
     */
    record Reject(double retryAfterSeconds) implements AdmissionDecision {}

    /** The only {@link Admit} that is needed. */
    AdmissionDecision ADMIT = new Admit();
}
