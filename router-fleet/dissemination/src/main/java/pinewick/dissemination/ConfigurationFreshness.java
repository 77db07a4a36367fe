package pinewick.dissemination;

import java.util.Optional;

/**
 * Tracks when the configuration of this process was last known to be the newest acknowledged one, as a strict lower
 * bound. A router relies on it when it runs requests whose API keys a newer configuration may have revoked.
 * Estimated times are therefore not accepted: neither from unsolicited messages nor from the arrival time of a
 * message.
 *
 * <p>A proof states that no version above a given version was acknowledged before a given time. There are two
 * sources. The primary has a proof for its own configuration at the time when it sent the newest heartbeat that a
 * quorum has answered. Any process passes on its proof in reply to a request, with its age rounded up. That age is
 * measured after the request was sent, so at the requesting process the proof holds for the time at which it sent
 * the request, by its own clock, minus the age. Delays, duplicates and pauses can only make a proof look older than
 * it is. Uses monotonic time only. Control loop only, except for {@link #latest}.
 */
final class ConfigurationFreshness {
    /** The age of a configuration that was never confirmed. */
    static final int NEVER = -1;

    private long ownVersion;
    private double confirmedAtMs = Double.NEGATIVE_INFINITY;
    private Optional<Confirmation> pendingConfirmation = Optional.empty();
    private volatile Confirmation latest = Confirmation.NONE;

    /** Called when a higher version is in force at this process. Proofs for the previous version also hold for it. */
    void onConfigurationChanged(long version) {
        ownVersion = version;
        pendingConfirmation.filter(proof -> proof.version() <= version).ifPresent(proof -> {
            pendingConfirmation = Optional.empty();
            confirmedAtMs = Math.max(confirmedAtMs, proof.confirmedAtMs());
        });
        publish();
    }

    /** Records the proof that this process has every configuration that was acknowledged before {@code atMs}. */
    void confirm(double atMs) {
        if (atMs > confirmedAtMs) {
            confirmedAtMs = atMs;
            publish();
        }
    }

    /**
     * Called when a peer has replied to a request. A proof for a version that is not in force here yet is kept until
     * it is.
     *
     * @param version the version in force at the peer
     * @param ageMs how long ago that version was known to be the newest, milliseconds, {@link #NEVER} if it never was
     * @param requestSentMs when the request was sent, in the monotonic time of this process, milliseconds
     */
    void onReply(long version, int ageMs, double requestSentMs) {
        if (ageMs < 0) {
            return;
        }
        double provedAtMs = requestSentMs - ageMs;
        if (version <= ownVersion) {
            confirm(provedAtMs);
        } else if (provedAtMs > confirmedAtMs) {
            pendingConfirmation = Optional.of(new Confirmation(version, provedAtMs));
        }
    }

    /**
     * Time since the current configuration was last known to be the newest, milliseconds, rounded up, or {@link
     * #NEVER}.
     */
    int ageMs(double nowMs) {
        if (confirmedAtMs == Double.NEGATIVE_INFINITY) {
            return NEVER;
        }
        return (int) Math.min(Integer.MAX_VALUE, Math.ceil(Math.max(0, nowMs - confirmedAtMs)));
    }

    /** The latest confirmation. Any thread. */
    Confirmation latest() {
        return latest;
    }

    private void publish() {
        latest = new Confirmation(ownVersion, confirmedAtMs);
    }
}
