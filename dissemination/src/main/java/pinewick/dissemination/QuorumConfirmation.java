package pinewick.dissemination;

import pinewick.dissemination.FleetMessages.Digest;

/**
 * When the configuration of this process was last known to be the newest. Controllers in contact with a quorum know it
 * of theirs; the others learn it from digests, whose ages add up along the way. A process that reaches only controllers
 * without a quorum, or peers that reach no others, thereby notices that what it took at its start may be old.
 *
 * <p>The time of a digest that was asked for counts from the question, so that it is never too late. That of an
 * unasked one is too late by the time that it took on its way; what may have waited through a pause of this process is
 * left out. Owned by one thread.
 */
final class QuorumConfirmation {
    /** The age of a confirmation that there never was. */
    static final int NEVER = -1;

    /** Time between two events beyond which this process counts as having been paused, milliseconds. */
    private static final double PAUSE_MS = 1_000;

    private double startedAtMs = Double.NaN;
    private double lastEventMs = Double.NaN;
    private double distrustUntilMs = Double.NEGATIVE_INFINITY;
    private double confirmedAtMs = Double.NEGATIVE_INFINITY;

    /** Time has passed, or a message has come; to be called first. */
    void advance(double nowMs) {
        if (Double.isNaN(startedAtMs)) {
            startedAtMs = nowMs;
        } else if (nowMs - lastEventMs > PAUSE_MS) {
            distrustUntilMs = nowMs + PAUSE_MS;
        }
        lastEventMs = nowMs;
    }

    /** This process is a controller in contact with a quorum, and holds the newest configuration. */
    void confirmHere(double nowMs) {
        if (nowMs >= distrustUntilMs) {
            confirmedAtMs = nowMs;
        }
    }

    /** A peer has told its digest unasked. */
    void onStatement(Digest theirs, long ownVersion, double nowMs) {
        if (nowMs >= distrustUntilMs) {
            onAnswer(theirs, ownVersion, nowMs);
        }
    }

    /** A peer has answered with its digest what was asked at {@code askedAtMs}. */
    void onAnswer(Digest theirs, long ownVersion, double askedAtMs) {
        if (theirs.confirmedAgeMs() >= 0 && theirs.configurationVersion() <= ownVersion) {
            confirmedAtMs = Math.max(confirmedAtMs, askedAtMs - theirs.confirmedAgeMs());
        }
    }

    /** How long ago the configuration held now was known to be the newest, or {@link #NEVER}. */
    int ageMs(double nowMs) {
        boolean ever = confirmedAtMs > Double.NEGATIVE_INFINITY;
        return ever ? (int) Math.min(Integer.MAX_VALUE, Math.ceil(Math.max(0, nowMs - confirmedAtMs))) : NEVER;
    }

    /** Whether that was so at any time since the start of this process. */
    boolean sinceStart() {
        return confirmedAtMs >= startedAtMs;
    }
}
