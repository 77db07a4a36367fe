package pinewick.replication;

import java.util.Optional;
import pinewick.model.SocketAddress;
import pinewick.replication.ReplicationMessages.PrimarySighting;

/**
 * The primary that callers are sent to. Known only for a short time after it was heard, by this process or by one that
 * tells of it. Ages are steady time: what was known before a freeze is old after it.
 */
final class KnownPrimary {
    /** A primary that was last heard longer ago is named to nobody; two lost heartbeats are too many. */
    static final double FRESH_MS = 450;

    /** After a freeze messages that waited in buffers are handed in for this long. */
    static final double BACKLOG_MS = 100;

    private final ActiveClock clock;
    private final DurableState durable;
    private EpochNumber number = EpochNumber.NONE;
    private SocketAddress operatorApi = ReplicationMessages.NO_ADDRESS;
    private double heardMs = Double.NEGATIVE_INFINITY;
    private double deniedMs = Double.NEGATIVE_INFINITY;
    private EpochNumber resigned = EpochNumber.NONE;

    KnownPrimary(ActiveClock clock, DurableState durable) {
        this.clock = clock;
        this.durable = durable;
    }

    /** A heartbeat came from it. Right after a freeze it may be one that has waited, and tells nothing. */
    void heard(EpochNumber epoch, SocketAddress address) {
        if (clock.sinceThawMs() >= BACKLOG_MS) {
            note(epoch, address, clock.steadyMs());
        }
    }

    /**
     * Another process tells of it.
     *
     * @param askedMs when it was asked, steady time: the time that its answer took must not make the sighting younger
     */
    void told(PrimarySighting sighting, double askedMs) {
        double seenMs = askedMs - sighting.ageMs();
        boolean known = !sighting.operatorApi().equals(ReplicationMessages.NO_ADDRESS);
        if (known && seenMs > heardMs && seenMs > deniedMs && !hasResigned(sighting.number())) {
            note(sighting.number(), sighting.operatorApi(), seenMs);
        }
    }

    private void note(EpochNumber epoch, SocketAddress address, double seenMs) {
        number = epoch;
        operatorApi = address;
        heardMs = seenMs;
    }

    /** It says itself that it does not lead at present. */
    void denied() {
        heardMs = Double.NEGATIVE_INFINITY;
        deniedMs = clock.steadyMs();
    }

    /** It says itself that its epoch is over. */
    void onResigned(EpochNumber epoch) {
        if (epoch.isAfter(resigned)) {
            resigned = epoch;
        }
        denied();
    }

    /** Whether the primary of this epoch has said that it is over: what else comes of it is late. */
    boolean hasResigned(EpochNumber epoch) {
        return epoch.equals(resigned);
    }

    /** Its operator API, while it is known. */
    Optional<SocketAddress> operatorApi() {
        return isFresh() ? Optional.of(operatorApi) : Optional.empty();
    }

    /** What this process tells others of it. */
    PrimarySighting sighting() {
        return isFresh() ? new PrimarySighting(number, operatorApi, clock.steadyMs() - heardMs) : PrimarySighting.NONE;
    }

    private boolean isFresh() {
        return clock.steadyMs() - heardMs < FRESH_MS && !isSuperseded();
    }

    /** A promise to another proposer may have ended that epoch; one to the same proposer is its next epoch. */
    private boolean isSuperseded() {
        EpochNumber promised = durable.promised();
        return promised.isAfter(number) && !promised.proposer().equals(number.proposer());
    }
}
