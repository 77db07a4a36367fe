package pinewick.dissemination;

import java.util.Optional;

/**
 * When the configuration of this process was last known to be the newest acknowledged one, as a strict lower bound. It
 * is the basis on which a router runs requests whose keys a newer configuration may have taken away, so that nothing
 * counts whose time is an estimate: neither an unsolicited message nor the arrival of one.
 *
 * <p>A proof says that no version above some version was acknowledged before some time. There are two kinds. The
 * primary proves its own configuration for the time at which it sent the newest heartbeat that a quorum has answered.
 * Any process passes a proof on in reply to a request, with its age rounded up; the age was taken after the request was
 * sent, so that the proof holds for the time of the request, in the clock of the process that asked, less that age.
 * Delays, duplicates and pauses can only make a proof older than it is. Steady time only; control loop only, except for
 * {@link #latest}.
 */
final class ConfigurationFreshness {
    /** The age of a configuration that was never confirmed. */
    static final int NEVER = -1;

    private long ownVersion;
    private double confirmedAtMs = Double.NEGATIVE_INFINITY;
    private Optional<Confirmation> awaitingVersion = Optional.empty();
    private volatile Confirmation latest = Confirmation.NONE;

    /** A higher version is in force here. What was proved for the earlier one holds for it as well. */
    void onConfigurationChanged(long version) {
        ownVersion = version;
        awaitingVersion.filter(proof -> proof.version() <= version).ifPresent(proof -> {
            awaitingVersion = Optional.empty();
            confirmedAtMs = Math.max(confirmedAtMs, proof.confirmedAtMs());
        });
        publish();
    }

    /** This process has every configuration that was acknowledged before {@code atMs}. */
    void confirm(double atMs) {
        if (atMs > confirmedAtMs) {
            confirmedAtMs = atMs;
            publish();
        }
    }

    /**
     * A process has replied to a request of this one.
     *
     * @param version the version in force there
     * @param ageMs how long ago it was known to be the newest, {@link #NEVER} if it was not
     * @param requestSentMs when the request was sent, in the steady time of this process
     */
    void onReply(long version, int ageMs, double requestSentMs) {
        if (ageMs < 0) {
            return;
        }
        double provedAtMs = requestSentMs - ageMs;
        if (version <= ownVersion) {
            confirm(provedAtMs);
        } else if (provedAtMs > confirmedAtMs) {
            awaitingVersion = Optional.of(new Confirmation(version, provedAtMs));
        }
    }

    /** How long ago the present configuration was known to be the newest, rounded up, or {@link #NEVER}. */
    int ageMs(double nowMs) {
        if (confirmedAtMs == Double.NEGATIVE_INFINITY) {
            return NEVER;
        }
        return (int) Math.min(Integer.MAX_VALUE, Math.ceil(Math.max(0, nowMs - confirmedAtMs)));
    }

    /** The latest confirmation; any thread. */
    Confirmation latest() {
        return latest;
    }

    private void publish() {
        latest = new Confirmation(ownVersion, confirmedAtMs);
    }
}
