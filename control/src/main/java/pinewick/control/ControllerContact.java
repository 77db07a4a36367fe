package pinewick.control;

/**
 * How long this process has heard nothing of any other controller, and how long it has been without contact with a
 * quorum of them. A span in which this process itself was paused counts for neither. No I/O; owned by one thread.
 */
final class ControllerContact {
    /** Time between two looks beyond which this process counts as having been paused, milliseconds. */
    static final double PAUSE_MS = 1_500;

    private double silentSinceMs;
    private double withoutQuorumSinceMs;
    private double lastLookMs;
    private boolean everHeard;

    ControllerContact(double nowMs) {
        silentSinceMs = nowMs;
        withoutQuorumSinceMs = nowMs;
        lastLookMs = nowMs;
    }

    /** A message of another controller has arrived. */
    void heard(double nowMs) {
        look(nowMs);
        everHeard = true;
        silentSinceMs = nowMs;
    }

    /** This process is in contact with a quorum of the controllers, as replication knows it. */
    void quorumConfirmed(double nowMs) {
        look(nowMs);
        withoutQuorumSinceMs = nowMs;
    }

    /** Whether any other controller was heard since the start. */
    boolean everHeard() {
        return everHeard;
    }

    /** For how long no other controller was heard; to be asked more often than every {@link #PAUSE_MS}. */
    double silenceMs(double nowMs) {
        look(nowMs);
        return nowMs - silentSinceMs;
    }

    /** For how long there was no contact with a quorum; to be asked more often than every {@link #PAUSE_MS}. */
    double withoutQuorumMs(double nowMs) {
        look(nowMs);
        return nowMs - withoutQuorumSinceMs;
    }

    private void look(double nowMs) {
        if (nowMs - lastLookMs > PAUSE_MS) {
            silentSinceMs = nowMs;
            withoutQuorumSinceMs = nowMs;
        }
        lastLookMs = nowMs;
    }
}
