package pinewick.replication;

import java.util.Optional;
import pinewick.model.SocketAddress;
import pinewick.replication.ReplicationMessages.Heartbeat;
import pinewick.replication.ReplicationMessages.HeartbeatReply;

/** Answers the primary's heartbeats, and keeps the last one. Control loop only. */
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

    /** A heartbeat of an epoch that is not superseded here. */
    void onHeartbeat(SocketAddress sender, Heartbeat heartbeat) {
        primaryLocator.onHeartbeat(heartbeat.number(), heartbeat.operatorApi());
        lastHeartbeat = Optional.of(heartbeat);
        lastHeartbeatSteadyMs = context.clock().steadyMs();
        primaryAddress = sender;
    }

    /** Identity of the store that sent the last heartbeat, or empty. */
    String primaryIdentity() {
        return lastHeartbeat.map(heartbeat -> heartbeat.number().proposer()).orElse("");
    }

    /** The state that the primary called committed, if its heartbeat arrived recently in steady time. */
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

    /** The state that the last reply reported has changed: reports it without waiting for the next heartbeat. */
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
