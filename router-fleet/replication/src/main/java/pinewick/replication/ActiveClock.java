package pinewick.replication;

/**
 * Two clocks, in milliseconds. Steady time is the monotonic time of the caller. Active time leaves out the spans in
 * which this process did not run, so that after a freeze (a paused machine, a long garbage collection) other processes
 * are not suspected of having failed. Control loop only.
 */
final class ActiveClock {
    /**
     * If more time than this passes between two events, the process was frozen, and active time advances by this much
     * only.
     */
    private static final double MAX_STEP_MS = 150;

    private double steadyMs = Double.NaN;
    private double activeMs;
    private double resumedMs = Double.NEGATIVE_INFINITY;

    void advance(double nowMs) {
        if (!Double.isNaN(steadyMs)) {
            if (nowMs - steadyMs > MAX_STEP_MS) {
                resumedMs = nowMs;
            }
            activeMs += Math.max(0, Math.min(MAX_STEP_MS, nowMs - steadyMs));
        }
        steadyMs = nowMs;
    }

    /** Steady time since the process last resumed from a freeze; infinite if it never was frozen. */
    double sinceResumeMs() {
        return steadyMs - resumedMs;
    }

    double steadyMs() {
        return steadyMs;
    }

    double activeMs() {
        return activeMs;
    }
}
