package pinewick.control;

/**
 * Tracks how long ago the last message from another controller arrived, and how long ago this process was last in
 * contact with a quorum. Both times restart after a pause of this process. No I/O; control loop only.
 */
final class ControllerContact {
    /** If two calls are further apart than this, the process was paused in between, milliseconds. */
    static final double PAUSE_THRESHOLD_MS = 1_500;

    private double lastContactMs;
    private double lastQuorumContactMs;
    private double lastCallMs;
    private boolean hadContact;

    ControllerContact(double nowMs) {
        lastContactMs = nowMs;
        lastQuorumContactMs = nowMs;
        lastCallMs = nowMs;
    }

    /** Called when a message from another controller has arrived. */
    void onMessage(double nowMs) {
        resetAfterPause(nowMs);
        hadContact = true;
        lastContactMs = nowMs;
    }

    /** Called while replication is in contact with a quorum of the controllers. */
    void onQuorumContact(double nowMs) {
        resetAfterPause(nowMs);
        lastQuorumContactMs = nowMs;
    }

    /** Whether any message from another controller has arrived since the start. */
    boolean hadContact() {
        return hadContact;
    }

    /**
     * Time since the last message from another controller, milliseconds; to be called more often than every {@link
     * #PAUSE_THRESHOLD_MS}.
     */
    double sinceContactMs(double nowMs) {
        resetAfterPause(nowMs);
        return nowMs - lastContactMs;
    }

    /**
     * Time since the last contact with a quorum, milliseconds; to be called more often than every {@link
     * #PAUSE_THRESHOLD_MS}.
     */
    double sinceQuorumContactMs(double nowMs) {
        resetAfterPause(nowMs);
        return nowMs - lastQuorumContactMs;
    }

    private void resetAfterPause(double nowMs) {
        if (nowMs - lastCallMs > PAUSE_THRESHOLD_MS) {
            lastContactMs = nowMs;
            lastQuorumContactMs = nowMs;
        }
        lastCallMs = nowMs;
    }
}
