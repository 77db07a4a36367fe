package pinewick.replication;

/** Whether this process is about to end, and since when. */
final class Departure {
    private boolean begun;
    private double sinceMs;

    void begin(double nowMs) {
        if (!begun) {
            begun = true;
            sinceMs = nowMs;
        }
    }

    boolean isBegun() {
        return begun;
    }

    double lastsMs(double nowMs) {
        return nowMs - sinceMs;
    }
}
