package pinewick.fleet;

/**
 * Score of this router's own slowness, which may be the reason why others seem silent (Lifeguard, DSN 2018, section
 * IV-A). A worse score lengthens this router's own probes and changes nothing else, so that a healthy fleet is not
 * slowed down. Has no clock of its own.
 */
final class LocalHealth {
    private static final int MAX_SCORE = 8;
    /** A gap between two checks of at least this many probe intervals means that this router itself was paused. */
    private static final double PAUSE_THRESHOLD = 0.75;

    private final double probeIntervalSeconds;
    private int score;
    private double lastCheckedAt = Double.NaN;
    private double recentlyPausedUntil = Double.NEGATIVE_INFINITY;

    LocalHealth(double probeIntervalSeconds) {
        this.probeIntervalSeconds = probeIntervalSeconds;
    }

    /**
     * Checks for a pause of this router since the previous check; returns its length in seconds, 0 if there was
     * none.
     */
    double checkForPause(double now) {
        double gap = now - lastCheckedAt;
        lastCheckedAt = now;
        if (gap > PAUSE_THRESHOLD * probeIntervalSeconds) {
            degrade();
            recentlyPausedUntil = now + probeIntervalSeconds;
            return gap;
        }
        return 0;
    }

    /**
     * Whether this router was paused less than one probe interval ago, so that missed datagrams may be its own
     * fault.
     */
    boolean wasRecentlyPaused(double now) {
        return now < recentlyPausedUntil;
    }

    void degrade() {
        score = Math.min(MAX_SCORE, score + 1);
    }

    void improve() {
        score = Math.max(0, score - 1);
    }

    int score() {
        return score;
    }

    /** Factor for the timeouts of this router's own probes. */
    double timeoutMultiplier() {
        return 1 + score * 0.25;
    }
}
