package pinewick.fleet;

/**
 * How far this mixer itself is to blame when others seem silent (Lifeguard, DSN 2018, section IV-A). Its own probes
 * take longer the worse it stands; nothing else changes, so that a healthy fleet is not slowed. No clock of its own.
 */
final class LocalHealth {
    private static final int MAX_SCORE = 8;
    /** A gap between two looks of so many periods is this mixer's own standing still. */
    private static final double PAUSE_THRESHOLD = 0.75;

    private final double probeIntervalSeconds;
    private int score;
    private double lastCheckedAt = Double.NaN;
    private double recentlyPausedUntil = Double.NEGATIVE_INFINITY;

    LocalHealth(double probeIntervalSeconds) {
        this.probeIntervalSeconds = probeIntervalSeconds;
    }

    /** A look; returns for how long this mixer stood still before it, 0 where it did not. */
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

    /** Whether this mixer stood still a moment ago, so that what it missed may be its own fault. */
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

    /** What the times of own probes are multiplied by. */
    double timeoutMultiplier() {
        return 1 + score * 0.25;
    }
}
