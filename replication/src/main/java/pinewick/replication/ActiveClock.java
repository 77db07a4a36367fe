package pinewick.replication;

/**
 * Two times. The steady one is the caller's. The active one leaves out spans in which this process did not run, so
 * that after a freeze nobody else is taken for silent.
 */
final class ActiveClock {
    /** Longer spans between two events count as this long: the process was frozen. */
    private static final double LONGEST_STEP_MS = 150;

    private double steadyMs = Double.NaN;
    private double activeMs;

    void advance(double nowMs) {
        if (!Double.isNaN(steadyMs)) {
            activeMs += Math.max(0, Math.min(LONGEST_STEP_MS, nowMs - steadyMs));
        }
        steadyMs = nowMs;
    }

    double steadyMs() {
        return steadyMs;
    }

    double activeMs() {
        return activeMs;
    }
}
