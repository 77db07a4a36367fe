package pinewick.replication;

import java.util.Optional;
import pinewick.model.SocketAddress;
import pinewick.replication.ReplicationMessages.PrimaryHint;

/**
 * Tracks where operators are to be redirected to. The primary counts as known only for a short time after it was
 * observed, by this process or by one that sent a {@link PrimaryHint}. Ages are in steady time: what was known before a
 * freeze is outdated after it. Control loop only.
 */
final class PrimaryLocator {
    /**
     * A primary that was last observed longer ago than this is not named to anyone: at least two heartbeats in a row
     * are missing.
     */
    static final double HINT_VALID_MS = 450;

    /** How long after a freeze messages may still arrive that waited in buffers during it. */
    static final double RESUME_BACKLOG_MS = 100;

    private final ActiveClock clock;
    private final DurableState durable;
    private EpochNumber number = EpochNumber.NONE;
    private SocketAddress operatorApi = ReplicationMessages.NO_ADDRESS;
    private double observedMs = Double.NEGATIVE_INFINITY;
    private double notLeadingMs = Double.NEGATIVE_INFINITY;
    private EpochNumber resignedEpoch = EpochNumber.NONE;

    PrimaryLocator(ActiveClock clock, DurableState durable) {
        this.clock = clock;
        this.durable = durable;
    }

    /**
     * A heartbeat of the primary arrived. It is ignored right after a freeze, when it may be an old one from a buffer.
     */
    void onHeartbeat(EpochNumber epoch, SocketAddress address) {
        if (clock.sinceResumeMs() >= RESUME_BACKLOG_MS) {
            record(epoch, address, clock.steadyMs());
        }
    }

    /**
     * Another process sent a hint. It is ignored if it names no primary or one that has resigned, or is not newer than
     * what is known here.
     *
     * @param requestSentMs when the request for the hint was sent, steady time. The age counts from then, so that the
     *     time that the reply took does not make the hint appear newer
     */
    void onHint(PrimaryHint hint, double requestSentMs) {
        double observedAtMs = requestSentMs - hint.ageMs();
        boolean known = !hint.operatorApi().equals(ReplicationMessages.NO_ADDRESS);
        if (known && observedAtMs > observedMs && observedAtMs > notLeadingMs && !hasResigned(hint.number())) {
            record(hint.number(), hint.operatorApi(), observedAtMs);
        }
    }

    private void record(EpochNumber epoch, SocketAddress address, double observedAtMs) {
        number = epoch;
        operatorApi = address;
        observedMs = observedAtMs;
    }

    /**
     * The primary itself reports that it does not lead at present: forgets it, and ignores hints that are older than
     * this report.
     */
    void onPrimaryNotLeading() {
        observedMs = Double.NEGATIVE_INFINITY;
        notLeadingMs = clock.steadyMs();
    }

    /** The primary of this epoch has resigned. */
    void onResigned(EpochNumber epoch) {
        if (epoch.isAfter(resignedEpoch)) {
            resignedEpoch = epoch;
        }
        onPrimaryNotLeading();
    }

    /**
     * Whether the primary of this epoch has resigned; any other message of the epoch that arrives later was sent
     * before.
     */
    boolean hasResigned(EpochNumber epoch) {
        return epoch.equals(resignedEpoch);
    }

    /** Address of the primary's operator API, empty if it is not known. */
    Optional<SocketAddress> operatorApi() {
        return isFresh() ? Optional.of(operatorApi) : Optional.empty();
    }

    /** The hint that this process sends to others, {@link PrimaryHint#NONE} if the primary is not known. */
    PrimaryHint hint() {
        return isFresh() ? new PrimaryHint(number, operatorApi, clock.steadyMs() - observedMs) : PrimaryHint.NONE;
    }

    private boolean isFresh() {
        return clock.steadyMs() - observedMs < HINT_VALID_MS && !isSuperseded();
    }

    /**
     * Whether the observed epoch may have ended: this process has promised a higher number to another proposer. A
     * promise to the same proposer is for a reconfiguration.
     */
    private boolean isSuperseded() {
        EpochNumber promised = durable.promised();
        return promised.isAfter(number) && !promised.proposer().equals(number.proposer());
    }
}
