package pinewick.selection;

/**
 * What one router has learnt of the service time of one kind of call, for routers that have not: a line over the tokens
 * prefilled or transferred.
 *
 * @param service the service of the replicas
 * @param kind the kind of call
 * @param fixedMs the part that does not depend on tokens, milliseconds
 * @param perTokenMs time of one token, milliseconds
 * @param samples the number of calls from which it was learnt
 */
public record SharedServiceTime(String service, CallKind kind, double fixedMs, double perTokenMs, int samples) {
    /** Expected time without queueing, milliseconds. */
    double predict(double tokens) {
        return fixedMs + perTokenMs * tokens;
    }

    /** Whether it is a line that a router can have learnt. */
    boolean isValid() {
        return isTime(fixedMs) && isTime(perTokenMs) && samples > 0;
    }

    private static boolean isTime(double value) {
        return Double.isFinite(value) && value >= 0;
    }
}
