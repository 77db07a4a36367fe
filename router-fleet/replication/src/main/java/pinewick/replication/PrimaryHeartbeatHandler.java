package pinewick.replication;

import java.util.Optional;
import pinewick.model.SocketAddress;
import pinewick.replication.ReplicationMessages.Heartbeat;
import pinewick.replication.ReplicationMessages.HeartbeatReply;

/** Answers the heartbeats of the primary, and remembers the last one of a current epoch. Control loop only. */
final class PrimaryHeartbeatHandler {
    private final ReplicationContext context;
    private final GracefulShutdown shutdown;
    private final PrimaryLocator primaryLocator;
    private SocketAddress primaryAddress = ReplicationMessages.NO_ADDRESS;
    private Optional<Heartbeat> lastHeartbeat = Optional.empty();
    private double lastHeartbeatSteadyMs;

    PrimaryHeartbeatHandler(ReplicationContext context, GracefulShutdown shutdown, PrimaryLocator primaryLocator) {
        this.context = context;
        this.shutdown = shutdown;
        this.primaryLocator = primaryLocator;
    }

    /** A heartbeat arrived whose epoch is current: no higher number was promised here. */
    void onHeartbeat(SocketAddress sender, Heartbeat heartbeat) {
        primaryLocator.onHeartbeat(heartbeat.number(), heartbeat.operatorApi());
        lastHeartbeat = Optional.of(heartbeat);
        lastHeartbeatSteadyMs = context.clock().steadyMs();
        primaryAddress = sender;
    }

    /** Identity of the store that sent the last heartbeat, or an empty string if there was none. */
    String primaryIdentity() {
        return lastHeartbeat.map(heartbeat -> heartbeat.number().proposer()).orElse("");
    }

    /**
     * The committed version that the last heartbeat reported, if that heartbeat arrived recently in steady time and is
     * of the epoch that was promised last. Empty right after a freeze, when it may be an old one from a buffer.
     */
    Optional<StateVersion> currentCommittedVersion() {
        ActiveClock clock = context.clock();
        boolean isRecent = clock.sinceResumeMs() >= PrimaryLocator.RESUME_BACKLOG_MS
                && clock.steadyMs() - lastHeartbeatSteadyMs < PrimaryLocator.HINT_VALID_MS;
        return lastHeartbeat
                .filter(heartbeat ->
                        isRecent && heartbeat.number().equals(context.durable().promised()))
                .map(Heartbeat::committed);
    }

    void reply(SocketAddress sender, Heartbeat heartbeat) {
        context.peers().send(sender, buildReply(heartbeat));
    }

    /**
     * Replies to the last heartbeat once more: something that the last reply reported has changed, and the primary
     * should learn of it before its next heartbeat.
     */
    void replyAgain() {
        lastHeartbeat.ifPresent(heartbeat -> reply(primaryAddress, heartbeat));
    }

    private HeartbeatReply buildReply(Heartbeat heartbeat) {
        DurableState durable = context.durable();
        return new HeartbeatReply(
                heartbeat.request(),
                heartbeat.number(),
                context.self(),
                durable.promised(),
                durable.accepted().number(),
                durable.accepted().hasSingleQuorum(),
                durable.state().version(),
                shutdown.isStarted(),
                durable.isHealthy());
    }
}
