package pinewick.dissemination;

import pinewick.dissemination.FleetMessages.Digest;

/**
 * Tracks when the configuration of this process was last known to be the newest. A controller in contact with a
 * quorum knows this for its own configuration; other processes learn it from digests, adding up the ages from hop to
 * hop. A process that reaches only controllers without a quorum, or only peers in the same partition, thereby
 * notices that the configuration of its bootstrap may be outdated.
 *
 * <p>The age in a requested digest is counted from the time of the request, so that the confirmation is never dated
 * too late. The age in an unsolicited digest is counted from its arrival, so that the confirmation is dated too late
 * by the transit time; unsolicited digests that may have been buffered during a pause of this process are ignored.
 * Control loop only.
 */
final class QuorumConfirmation {
    /** The age if there has been no confirmation. */
    static final int NEVER = -1;

    /** If two events are further apart than this, the process was paused in between, milliseconds. */
    private static final double PAUSE_THRESHOLD_MS = 1_000;

    private double startedAtMs = Double.NaN;
    private double lastEventMs = Double.NaN;
    private double distrustUntilMs = Double.NEGATIVE_INFINITY;
    private double confirmedAtMs = Double.NEGATIVE_INFINITY;

    /** Detects pauses; to be called first on each tick and message. */
    void advance(double nowMs) {
        if (Double.isNaN(startedAtMs)) {
            startedAtMs = nowMs;
        } else if (nowMs - lastEventMs > PAUSE_THRESHOLD_MS) {
            distrustUntilMs = nowMs + PAUSE_THRESHOLD_MS;
        }
        lastEventMs = nowMs;
    }

    /**
     * Confirms the configuration of this process, a controller in contact with a quorum that has the newest
     * configuration.
     */
    void confirmLocally(double nowMs) {
        if (nowMs >= distrustUntilMs) {
            confirmedAtMs = nowMs;
        }
    }

    /** Called when a peer has sent a digest without a request. */
    void onUnsolicitedDigest(Digest theirs, long ownVersion, double nowMs) {
        if (nowMs >= distrustUntilMs) {
            onDigestReply(theirs, ownVersion, nowMs);
        }
    }

    /** Called when a peer has replied with its digest to a request that was sent at {@code requestSentMs}. */
    void onDigestReply(Digest theirs, long ownVersion, double requestSentMs) {
        if (theirs.confirmedAgeMs() >= 0 && theirs.configurationVersion() <= ownVersion) {
            confirmedAtMs = Math.max(confirmedAtMs, requestSentMs - theirs.confirmedAgeMs());
        }
    }

    /**
     * Time since the current configuration was last known to be the newest, milliseconds, rounded up, or {@link
     * #NEVER}.
     */
    int ageMs(double nowMs) {
        boolean wasConfirmed = confirmedAtMs > Double.NEGATIVE_INFINITY;
        return wasConfirmed ? (int) Math.min(Integer.MAX_VALUE, Math.ceil(Math.max(0, nowMs - confirmedAtMs))) : NEVER;
    }

    /** Whether the configuration was known to be the newest at some time since the start of this process. */
    boolean isConfirmedSinceStart() {
        return confirmedAtMs >= startedAtMs;
    }
}
