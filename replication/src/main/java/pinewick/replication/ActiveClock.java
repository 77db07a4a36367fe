package pinewick.replication;

/**
 * Two times. The steady one is the caller's. The active one leaves out spans in which this process did not run, so
 * that after a freeze nobody else is taken for silent.
 */
final class ActiveClock {
    /** Longer spans between two events count as this long: the process was frozen. */
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

    /** For how long, steady time, this process has run without a longer span in which it did not. */
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
