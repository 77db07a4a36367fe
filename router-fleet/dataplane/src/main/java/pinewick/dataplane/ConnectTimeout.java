package pinewick.dataplane;

/**
 * The connect timeout: a multiple of the longest recent connect time, within bounds, so that an unreachable replica
 * costs little. A replica whose accept queue is full drops the first packet, which is retransmitted after a second at
 * the earliest; another replica is faster.
 */
final class ConnectTimeout {
    static final int MAX_TIMEOUT_MS = 400;
    static final int MIN_TIMEOUT_MS = 120;

    private static final double RECENT_MAX_FACTOR = 8;
    private static final double DECAY = 0.98;

    private double recentMaxMs = MAX_TIMEOUT_MS / RECENT_MAX_FACTOR;

    /** A connection was established. */
    void onConnected(double tookMs) {
        recentMaxMs = Math.max(tookMs, recentMaxMs * DECAY);
    }

    /** The timeout of the next connection, milliseconds. */
    int timeoutMs() {
        return (int) Math.min(MAX_TIMEOUT_MS, Math.max(MIN_TIMEOUT_MS, RECENT_MAX_FACTOR * recentMaxMs));
    }
}
