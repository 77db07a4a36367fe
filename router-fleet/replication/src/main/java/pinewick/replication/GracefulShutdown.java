package pinewick.replication;

/**
 * Progress of the shutdown of this process: whether and when it started, and whether the primary has permitted the
 * process to end. Control loop only.
 */
final class GracefulShutdown {
    private boolean started;
    private double startedMs;
    private EpochNumber permittedIn = EpochNumber.NONE;

    void start(double nowMs) {
        if (!started) {
            started = true;
            startedMs = nowMs;
        }
    }

    boolean isStarted() {
        return started;
    }

    /** The primary of this epoch has permitted this process to end: the other stores no longer need its store. */
    void onPermitted(EpochNumber number) {
        permittedIn = number;
    }

    /** Whether the shutdown has started and the primary of this epoch has permitted this process to end. */
    boolean isPermittedIn(EpochNumber number) {
        return started && permittedIn.equals(number);
    }

    double elapsedMs(double nowMs) {
        return nowMs - startedMs;
    }
}
