package pinewick.fleet.state;

/**
 * Kinds of facts that are replicated about a replica, with the age up to which they count. The order of the
 * values is part of the wire format.
 */
public enum FactKind {
    /**
     * Smoothed latency in seconds and reported queue length as observed by one router, so that a restarted router
     * need not measure them again.
     */
    LATENCY(65),
    /**
     * Consecutive failures at one router, and 0: otherwise each router would have to fail to detect the same bad
     * replica.
     */
    UNHEALTHY(3),
    /** Observed draining (1) or gone (2) by one router: only an early warning, the own list decides. */
    LEAVING(10),
    /**
     * Work in seconds that one router sent to a cold replica in the window of rule 4, and the length of the window
     * in seconds.
     */
    COLD_WORK(5);

    private final double maxAgeSeconds;

    FactKind(double maxAgeSeconds) {
        this.maxAgeSeconds = maxAgeSeconds;
    }

    /** Seconds after which a fact of this kind expires. */
    public double maxAgeSeconds() {
        return maxAgeSeconds;
    }
}
