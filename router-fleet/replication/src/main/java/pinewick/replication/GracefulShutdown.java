package pinewick.replication;

/** Whether this process is shutting down, and since when. Control loop only. */
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

    /** The primary of this epoch no longer needs this store. */
    void onPermitted(EpochNumber number) {
        permittedIn = number;
    }

    /** Whether the primary of this epoch no longer needs this store. */
    boolean isPermittedIn(EpochNumber number) {
        return started && permittedIn.equals(number);
    }

    double elapsedMs(double nowMs) {
        return nowMs - startedMs;
    }
}
