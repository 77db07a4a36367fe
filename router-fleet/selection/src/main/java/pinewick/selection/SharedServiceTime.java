package pinewick.selection;

/**
 * The service time that one router has measured for one kind of call, sent to routers that have too few samples of
 * their own: a linear function of the tokens prefilled or transferred.
 *
 * @param service the service of the replicas
 * @param kind the kind of call
 * @param fixedMs the part that does not depend on tokens, milliseconds
 * @param perTokenMs time of one token, milliseconds
 * @param samples number of calls measured
 */
public record SharedServiceTime(String service, CallKind kind, double fixedMs, double perTokenMs, int samples) {
    /** Expected time without queueing, milliseconds. */
    double predict(double tokens) {
        return fixedMs + perTokenMs * tokens;
    }

    /** Whether the values are ones that a router can have measured: finite, not negative, from at least one sample. */
    boolean isValid() {
        return isTime(fixedMs) && isTime(perTokenMs) && samples > 0;
    }

    private static boolean isTime(double value) {
        return Double.isFinite(value) && value >= 0;
    }
}
