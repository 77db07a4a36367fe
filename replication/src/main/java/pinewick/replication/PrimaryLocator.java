package pinewick.replication;

import java.util.Optional;
import pinewick.model.SocketAddress;
import pinewick.replication.ReplicationMessages.PrimaryHint;

/**
 * The primary that callers are sent to. Known only for a short time after it was heard, by this process or by one that
 * tells of it. Ages are steady time: what was known before a freeze is old after it.
 */
final class PrimaryLocator {
    /** A primary that was last heard longer ago is named to nobody; two lost heartbeats are too many. */
    static final double HINT_VALID_MS = 450;

    /** After a freeze messages that waited in buffers are handed in for this long. */
    static final double RESUME_BACKLOG_MS = 100;

    private final ActiveClock clock;
    private final DurableState durable;
    private EpochNumber number = EpochNumber.NONE;
    private SocketAddress operatorApi = ReplicationMessages.NO_ADDRESS;
    private double observedMs = Double.NEGATIVE_INFINITY;
    private double deniedMs = Double.NEGATIVE_INFINITY;
    private EpochNumber resignedEpoch = EpochNumber.NONE;

    PrimaryLocator(ActiveClock clock, DurableState durable) {
        this.clock = clock;
        this.durable = durable;
    }

    /** A heartbeat came from it. Right after a freeze it may be one that has waited, and tells nothing. */
    void onHeartbeat(EpochNumber epoch, SocketAddress address) {
        if (clock.sinceResumeMs() >= RESUME_BACKLOG_MS) {
            record(epoch, address, clock.steadyMs());
        }
    }

    /**
     * Another process tells of it.
     *
     * @param requestSentMs when it was asked, steady time: the time that its answer took must not make the sighting younger
     */
    void onHint(PrimaryHint hint, double requestSentMs) {
        double observedAtMs = requestSentMs - hint.ageMs();
        boolean known = !hint.operatorApi().equals(ReplicationMessages.NO_ADDRESS);
        if (known && observedAtMs > observedMs && observedAtMs > deniedMs && !hasResigned(hint.number())) {
            record(hint.number(), hint.operatorApi(), observedAtMs);
        }
    }

    private void record(EpochNumber epoch, SocketAddress address, double observedAtMs) {
        number = epoch;
        operatorApi = address;
        observedMs = observedAtMs;
    }

    /** It says itself that it does not lead at present. */
    void onDenial() {
        observedMs = Double.NEGATIVE_INFINITY;
        deniedMs = clock.steadyMs();
    }

    /** It says itself that its epoch is over. */
    void onResigned(EpochNumber epoch) {
        if (epoch.isAfter(resignedEpoch)) {
            resignedEpoch = epoch;
        }
        onDenial();
    }

    /** Whether the primary of this epoch has said that it is over: what else comes of it is late. */
    boolean hasResigned(EpochNumber epoch) {
        return epoch.equals(resignedEpoch);
    }

    /** Its operator API, while it is known. */
    Optional<SocketAddress> operatorApi() {
        return isFresh() ? Optional.of(operatorApi) : Optional.empty();
    }

    /** What this process tells others of it. */
    PrimaryHint hint() {
        return isFresh() ? new PrimaryHint(number, operatorApi, clock.steadyMs() - observedMs) : PrimaryHint.NONE;
    }

    private boolean isFresh() {
        return clock.steadyMs() - observedMs < HINT_VALID_MS && !isSuperseded();
    }

    /** A promise to another proposer may have ended that epoch; one to the same proposer is its next epoch. */
    private boolean isSuperseded() {
        EpochNumber promised = durable.promised();
        return promised.isAfter(number) && !promised.proposer().equals(number.proposer());
    }
}
