package pinewick.fleet;

/**
 * How far this mixer itself is to blame when others seem silent (Lifeguard, DSN 2018, section IV-A). Its own probes
 * take longer the worse it stands; nothing else changes, so that a healthy fleet is not slowed. No clock of its own.
 */
final class LocalHealth {
    private static final int WORST = 8;
    /** A gap between two looks of so many periods is this mixer's own standing still. */
    private static final double STILL = 0.75;

    private final double period;
    private int score;
    private double lookedAt = Double.NaN;
    private double stoodStillUntil = Double.NEGATIVE_INFINITY;

    LocalHealth(double period) {
        this.period = period;
    }

    /** A look; returns for how long this mixer stood still before it, 0 where it did not. */
    double look(double now) {
        double gap = now - lookedAt;
        lookedAt = now;
        if (gap > STILL * period) {
            worse();
            stoodStillUntil = now + period;
            return gap;
        }
        return 0;
    }

    /** Whether this mixer stood still a moment ago, so that what it missed may be its own fault. */
    boolean stoodStill(double now) {
        return now < stoodStillUntil;
    }

    void worse() {
        score = Math.min(WORST, score + 1);
    }

    void better() {
        score = Math.max(0, score - 1);
    }

    int score() {
        return score;
    }

    /** What the times of own probes are multiplied by. */
    double stretch() {
        return 1 + score * 0.25;
    }
}
