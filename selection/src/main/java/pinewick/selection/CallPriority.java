package pinewick.selection;

/**
 * The priority by which replicas order the calls they hold: the more urgent are let in first, and preempt others.
 *
 * <p>A call has its route's priority as long as its answer can still come within the route's target latency. A late
 * answer earns the same whenever it comes, so a call that cannot be in time any more gives way to all that can, as long
 * as plenty of its own time is left.
 */
public final class CallPriority {
    /** Let in before all others. */
    public static final int HIGHEST = 0;

    /** Let in after all others. */
    public static final int LOWEST = 9;

    /** Levels by which a call is less urgent once it cannot be in time: the most urgent gets a replica's default. */
    static final int LEVELS_DOWN_WHEN_LATE = 5;

    /** A call gives way only while it would be answered within this part of the time it may be held. */
    static final double SHARE_OF_TIME_TO_GIVE_WAY = 0.5;

    private CallPriority() {}

    /**
     * The priority of a call that begins now.
     *
     * @param expectedServiceMs time that the call should take to its first event without waiting
     */
    public static int of(RequestShape request, double expectedServiceMs, double nowMs) {
        int priority = request.route().priority();
        double answeredAfterMs = nowMs - request.arrivedAtMs() + expectedServiceMs;
        double heldMs = request.deadlineAtMs() - request.arrivedAtMs();
        boolean late = answeredAfterMs > request.route().targetLatencyMs();
        if (late && answeredAfterMs < SHARE_OF_TIME_TO_GIVE_WAY * heldMs) {
            priority += LEVELS_DOWN_WHEN_LATE;
        }
        return Math.max(HIGHEST, Math.min(LOWEST, priority));
    }
}
