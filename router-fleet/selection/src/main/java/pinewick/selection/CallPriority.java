package pinewick.selection;

/**
 * The priority by which replicas order their calls: calls of higher priority are scheduled first and preempt others.
 *
 * <p>A call has its route's priority as long as its service time is within the route's target latency. Otherwise its
 * priority is lowered, as long as enough time to its deadline is left: a late response counts the same however late it
 * is, so the call would delay others for nothing. Time spent in queues does not lower the priority, since a short call
 * delays others little and would itself miss its target.
 */
public final class CallPriority {
    /** The highest priority that can be sent to a replica. */
    public static final int HIGHEST = 0;

    /** The lowest priority that can be sent to a replica. */
    public static final int LOWEST = 9;

    /** Number of levels by which a priority is lowered: the highest one becomes a replica's default. */
    static final int LOWERED_LEVELS = 5;

    /** The priority is lowered only if the response is expected within this fraction of the time to the deadline. */
    static final double MAX_LOWERED_TIME_FRACTION = 0.5;

    private CallPriority() {}

    /**
     * The priority of a call that starts at {@code nowMs}.
     *
     * @param expectedServiceMs expected time to the first event of the call without queueing, milliseconds
     */
    public static int of(RequestShape request, double expectedServiceMs, double nowMs) {
        int priority = request.route().priority();
        double expectedResponseMs = nowMs - request.arrivedAtMs() + expectedServiceMs;
        double allowedMs = request.deadlineAtMs() - request.arrivedAtMs();
        boolean exceedsTarget = expectedServiceMs > request.route().targetLatencyMs();
        if (exceedsTarget && expectedResponseMs < MAX_LOWERED_TIME_FRACTION * allowedMs) {
            priority += LOWERED_LEVELS;
        }
        return Math.max(HIGHEST, Math.min(LOWEST, priority));
    }
}
