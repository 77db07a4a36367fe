package pinewick.control;

/**
 * How long this process has heard nothing of any other controller. A span in which this process itself was paused does
 * not count. No I/O; owned by one thread.
 */
final class ControllerContact {
    /** Time between two looks beyond which this process counts as having been paused, milliseconds. */
    static final double PAUSE_MS = 1_500;

    private double silentSinceMs;
    private double lastLookMs;
    private boolean everHeard;

    ControllerContact(double nowMs) {
        silentSinceMs = nowMs;
        lastLookMs = nowMs;
    }

    /** A message of another controller has arrived. */
    void heard(double nowMs) {
        everHeard = true;
        silentSinceMs = nowMs;
        lastLookMs = nowMs;
    }

    /** Whether any other controller was heard since the start. */
    boolean everHeard() {
        return everHeard;
    }

    /** For how long none was heard; to be asked more often than every {@link #PAUSE_MS}. */
    double silenceMs(double nowMs) {
        if (nowMs - lastLookMs > PAUSE_MS) {
            silentSinceMs = nowMs;
        }
        lastLookMs = nowMs;
        return nowMs - silentSinceMs;
    }
}
