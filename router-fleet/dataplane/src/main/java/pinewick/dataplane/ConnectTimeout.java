package pinewick.dataplane;

/**
 * Adaptive connect timeout: a multiple of the longest recent connect time, within bounds, so that an unreachable
 * replica delays a request only briefly. A replica whose accept queue is full drops the first packet, which is
 * retransmitted after one second at the earliest; trying another replica is faster.
 */
final class ConnectTimeout {
    static final int MAX_TIMEOUT_MS = 400;
    static final int MIN_TIMEOUT_MS = 120;

    private static final double RECENT_MAX_FACTOR = 8;
    private static final double DECAY = 0.98;

    private double recentMaxMs = MAX_TIMEOUT_MS / RECENT_MAX_FACTOR;

    /** Records the time that a successful connect took, milliseconds. */
    void onConnected(double tookMs) {
        recentMaxMs = Math.max(tookMs, recentMaxMs * DECAY);
    }

    /** The timeout for the next connect, milliseconds. */
    int timeoutMs() {
        return (int) Math.min(MAX_TIMEOUT_MS, Math.max(MIN_TIMEOUT_MS, RECENT_MAX_FACTOR * recentMaxMs));
    }
}
