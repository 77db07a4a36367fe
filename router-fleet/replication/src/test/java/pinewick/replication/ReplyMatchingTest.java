package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import pinewick.model.Message;
import pinewick.replication.ReplicationMessages.Accepted;
import pinewick.replication.ReplicationMessages.HeartbeatReply;
import pinewick.replication.ReplicationMessages.Promise;
import pinewick.replication.ReplicationMessages.ReplicationReply;
import pinewick.replication.ReplicationMessages.Status;

/** Replies of every kind are ignored if they carry the request ID of another incarnation. */
class ReplyMatchingTest {
    private static final double BOOTSTRAP_MS = 3_000;

    private static RequestId withOtherIncarnation(RequestId request) {
        return new RequestId(request.incarnation() + 1, request.sequence());
    }

    /** Whether a cluster whose replies are altered in transit accepts a change. */
    private static boolean acceptsChange(UnaryOperator<Message> inTransit) {
        SimulatedCluster cluster = new SimulatedCluster(41, 1);
        cluster.messageInterceptor = (sender, message) -> inTransit.apply(message);
        cluster.bootstrap(3);
        cluster.runUntil(BOOTSTRAP_MS);
        List<ChangeOutcome> outcomes = new ArrayList<>();
        Change change = cluster.checker.newChange(ConfigurationChange.Kind.REPLACE, 0, 1, true);
        cluster.machines.forEach(machine -> machine.submit(change, outcomes::add));
        cluster.runUntil(cluster.nowMs() + cluster.ackMs);
        return outcomes.contains(new ChangeOutcome.Accepted(1));
    }

    @Test
    void acceptsAChangeWithUnalteredReplies() {
        assertTrue(acceptsChange(message -> message));
    }

    @Test
    void ignoresStatusesOfOtherIncarnations() {
        assertFalse(acceptsChange(message -> message instanceof Status status && !status.replyRequested()
                ? new Status(
                        withOtherIncarnation(status.request()),
                        status.self(),
                        status.promised(),
                        status.accepted(),
                        status.stateVersion(),
                        status.leading(),
                        status.hasPrimaryContact(),
                        status.primary(),
                        false)
                : message));
    }

    @Test
    void ignoresPromisesOfOtherIncarnations() {
        assertFalse(acceptsChange(message -> message instanceof Promise promise
                ? new Promise(
                        withOtherIncarnation(promise.request()),
                        promise.number(),
                        promise.self(),
                        promise.accepted(),
                        promise.stateVersion(),
                        promise.shuttingDown())
                : message));
    }

    @Test
    void ignoresAcceptancesOfOtherIncarnations() {
        assertFalse(acceptsChange(message -> message instanceof Accepted accepted
                ? new Accepted(withOtherIncarnation(accepted.request()), accepted.number(), accepted.identity())
                : message));
    }

    /**
     * Without heartbeat replies no round is confirmed, so no read succeeds. A change may still be accepted, because
     * replication replies report the state versions.
     */
    @Test
    void ignoresHeartbeatRepliesOfOtherIncarnations() {
        SimulatedCluster cluster = new SimulatedCluster(41, 1);
        cluster.messageInterceptor = (sender, message) -> heartbeatReplyOfOtherIncarnation(message);
        cluster.bootstrap(3);
        List<ReadOutcome> outcomes = new ArrayList<>();
        for (int count = 0; count < 20; count++) {
            cluster.runUntil(cluster.nowMs() + 200);
            cluster.machines.stream().filter(Machine::running).forEach(machine -> machine.read(outcomes::add));
        }
        assertFalse(outcomes.stream().anyMatch(ReadOutcome.Current.class::isInstance));
    }

    private static Message heartbeatReplyOfOtherIncarnation(Message message) {
        return message instanceof HeartbeatReply reply
                ? new HeartbeatReply(
                        withOtherIncarnation(reply.request()),
                        reply.number(),
                        reply.self(),
                        reply.promised(),
                        reply.accepted(),
                        reply.knowsRecordChosen(),
                        reply.stateVersion(),
                        reply.shuttingDown(),
                        reply.diskHealthy())
                : message;
    }

    /** Both replication replies and heartbeat replies report the state version of a store. */
    @Test
    void ignoresReplicationRepliesOfOtherIncarnations() {
        assertFalse(acceptsChange(message -> message instanceof ReplicationReply reply
                ? new ReplicationReply(
                        withOtherIncarnation(reply.request()),
                        reply.number(),
                        reply.identity(),
                        reply.result(),
                        reply.promised(),
                        reply.stateVersion())
                : heartbeatReplyOfOtherIncarnation(message)));
    }

    @Test
    void ignoresAReplyOvertakenByALaterOne() {
        Follower follower = new Follower(new Member("store-b", pinewick.model.SocketAddress.parse("10.0.0.2:7721")), 0);
        EpochNumber number = new EpochNumber(4, "store-a");
        StateVersion version = new StateVersion(4, 1);
        follower.onHeartbeatReply(reply(2, number, version, true), number, version, 100, 110);
        assertTrue(follower.isShuttingDown());
        follower.onHeartbeatReply(reply(1, number, version, false), number, version, 190, 200);
        assertTrue(follower.isShuttingDown());
        assertEquals(100, follower.sinceContactMs(200));
        follower.onHeartbeatReply(reply(2, number, version, false), number, version, 100, 210);
        assertTrue(follower.isShuttingDown(), "a duplicate of a reply sent before the shutdown began");
        follower.onHeartbeatReply(reply(3, number, version, false), number, version, 290, 300);
        assertFalse(follower.isShuttingDown());
    }

    @Test
    void processesTwoRepliesToOneHeartbeatInEitherOrder() {
        Follower follower = new Follower(new Member("store-b", pinewick.model.SocketAddress.parse("10.0.0.2:7721")), 0);
        EpochNumber number = new EpochNumber(4, "store-a");
        StateVersion version = new StateVersion(4, 1);
        HeartbeatReply later = reply(2, number, version, false);
        HeartbeatReply earlier =
                new HeartbeatReply(later.request(), number, later.self(), number, number, false, version, false, true);
        follower.onHeartbeatReply(later, number, version, 100, 110);
        follower.onHeartbeatReply(earlier, number, version, 100, 111);
        assertTrue(follower.knowsChosen(number), "it reported that the record is chosen");
    }

    private static HeartbeatReply reply(long sequence, EpochNumber number, StateVersion version, boolean shuttingDown) {
        Member self = new Member("store-b", pinewick.model.SocketAddress.parse("10.0.0.2:7721"));
        return new HeartbeatReply(
                new RequestId(9, sequence), number, self, number, number, true, version, shuttingDown, true);
    }
}
