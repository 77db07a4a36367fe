package pinewick.selection;

/**
 * The priority by which replicas order their calls: calls of higher priority are scheduled first and preempt others.
 *
 * <p>A call has its route's priority as long as it can be served within the route's target latency. A late response
 * counts the same whenever it comes, so the priority of a call whose service time exceeds the target is lowered, since
 * it would delay others for nothing, as long as much of its own time is left. Time spent in queues does not lower it: a
 * short call delays others little, and would itself miss its target.
 */
public final class CallPriority {
    /** The highest priority on the wire. */
    public static final int HIGHEST = 0;

    /** The lowest priority on the wire. */
    public static final int LOWEST = 9;

    /** Levels by which a priority is lowered: the highest becomes a replica's default. */
    static final int LOWERED_LEVELS = 5;

    /** The priority is lowered only while the response is expected within this fraction of the allowed time. */
    static final double MAX_LOWERED_TIME_FRACTION = 0.5;

    private CallPriority() {}

    /**
     * The priority of a call that begins now.
     *
     * @param expectedServiceMs time that the call should take to its first event without waiting
     */
    public static int of(RequestShape request, double expectedServiceMs, double nowMs) {
        int priority = request.route().priority();
        double answeredAfterMs = nowMs - request.arrivedAtMs() + expectedServiceMs;
        double allowedMs = request.deadlineAtMs() - request.arrivedAtMs();
        boolean exceedsTarget = expectedServiceMs > request.route().targetLatencyMs();
        if (exceedsTarget && answeredAfterMs < MAX_LOWERED_TIME_FRACTION * allowedMs) {
            priority += LOWERED_LEVELS;
        }
        return Math.max(HIGHEST, Math.min(LOWEST, priority));
    }
}
