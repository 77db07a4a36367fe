package pinewick.replication;

import java.util.Optional;
import pinewick.model.SocketAddress;
import pinewick.replication.ReplicationMessages.Heartbeat;
import pinewick.replication.ReplicationMessages.HeartbeatReply;

/** Answers the primary's heartbeats, and remembers the last one. */
final class PrimaryListener {
    private final Context context;
    private final Departure departure;
    private final KnownPrimary knownPrimary;
    private SocketAddress address = ReplicationMessages.NO_ADDRESS;
    private Optional<Heartbeat> last = Optional.empty();
    private double lastMs;

    PrimaryListener(Context context, Departure departure, KnownPrimary knownPrimary) {
        this.context = context;
        this.departure = departure;
        this.knownPrimary = knownPrimary;
    }

    /** A heartbeat of an epoch that is not over here. */
    void onHeartbeat(SocketAddress sender, Heartbeat heartbeat) {
        knownPrimary.heard(heartbeat.number(), heartbeat.operatorApi());
        last = Optional.of(heartbeat);
        lastMs = context.clock().steadyMs();
        address = sender;
    }

    /** Who sent the last heartbeat, or nobody. */
    String identity() {
        return last.map(heartbeat -> heartbeat.number().proposer()).orElse("");
    }

    /** The state that the primary called committed, if it was heard just now: steady time, so that a freeze counts. */
    Optional<StateTag> committedNow() {
        ActiveClock clock = context.clock();
        boolean fresh =
                clock.sinceThawMs() >= KnownPrimary.BACKLOG_MS && clock.steadyMs() - lastMs < KnownPrimary.FRESH_MS;
        return last.filter(heartbeat ->
                        fresh && heartbeat.number().equals(context.durable().promised()))
                .map(Heartbeat::committed);
    }

    /** Only the primary of a record that stands sends heartbeats under its number. */
    boolean isKnownToStand(EpochRecord record) {
        return last.filter(heartbeat -> heartbeat.number().equals(record.number()))
                .isPresent();
    }

    void answer(SocketAddress sender, Heartbeat heartbeat) {
        context.peers().send(sender, reply(heartbeat));
    }

    /** What the last heartbeat was told has changed: the primary need not wait for its next one. */
    void answerAgain() {
        last.ifPresent(heartbeat -> answer(address, heartbeat));
    }

    private HeartbeatReply reply(Heartbeat heartbeat) {
        DurableState durable = context.durable();
        return new HeartbeatReply(
                heartbeat.request(),
                heartbeat.number(),
                context.self(),
                durable.promised(),
                durable.accepted().number(),
                durable.accepted().isSettled(),
                durable.state().tag(),
                departure.isBegun(),
                durable.ready());
    }
}
