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

/** Answers that bear the number of a question of another life count for nothing, whatever their kind. */
class ReplyMatchingTest {
    private static final double FOUNDED_MS = 3_000;

    private static RequestId another(RequestId request) {
        return new RequestId(request.incarnation() + 1, request.sequence());
    }

    /** Whether a system whose answers are changed on their way takes a change. */
    private static boolean works(UnaryOperator<Message> onItsWay) {
        SimulatedCluster cluster = new SimulatedCluster(41, 1);
        cluster.tamper = (sender, message) -> onItsWay.apply(message);
        cluster.found(3);
        cluster.runUntil(FOUNDED_MS);
        List<ChangeOutcome> outcomes = new ArrayList<>();
        Change change = cluster.checker.make(ConfigurationChange.Kind.REPLACE, 0, 1, true);
        cluster.machines.forEach(machine -> machine.submit(change, outcomes::add));
        cluster.runUntil(cluster.nowMs() + cluster.ackMs);
        return outcomes.contains(new ChangeOutcome.Accepted(1));
    }

    @Test
    void withUnalteredRepliesAChangeIsAccepted() {
        assertTrue(works(message -> message));
    }

    @Test
    void statuses() {
        assertFalse(works(message -> message instanceof Status status && !status.replyRequested()
                ? new Status(
                        another(status.request()),
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
    void promises() {
        assertFalse(works(message -> message instanceof Promise promise
                ? new Promise(
                        another(promise.request()),
                        promise.number(),
                        promise.self(),
                        promise.accepted(),
                        promise.stateVersion(),
                        promise.shuttingDown())
                : message));
    }

    @Test
    void acceptances() {
        assertFalse(works(message -> message instanceof Accepted accepted
                ? new Accepted(another(accepted.request()), accepted.number(), accepted.identity())
                : message));
    }

    /** Without them no round is confirmed, so nothing is read; a change may be taken by what the states tell. */
    @Test
    void heartbeatReplies() {
        SimulatedCluster cluster = new SimulatedCluster(41, 1);
        cluster.tamper = (sender, message) -> ofAnotherLife(message);
        cluster.found(3);
        List<ReadOutcome> outcomes = new ArrayList<>();
        for (int count = 0; count < 20; count++) {
            cluster.runUntil(cluster.nowMs() + 200);
            cluster.machines.stream().filter(Machine::running).forEach(machine -> machine.read(outcomes::add));
        }
        assertFalse(outcomes.stream().anyMatch(ReadOutcome.Current.class::isInstance));
    }

    private static Message ofAnotherLife(Message message) {
        return message instanceof HeartbeatReply reply
                ? new HeartbeatReply(
                        another(reply.request()),
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

    /** What is held is told by the answers to states and to heartbeats. */
    @Test
    void replicationReplies() {
        assertFalse(works(message -> message instanceof ReplicationReply reply
                ? new ReplicationReply(
                        another(reply.request()),
                        reply.number(),
                        reply.identity(),
                        reply.result(),
                        reply.promised(),
                        reply.stateVersion())
                : ofAnotherLife(message)));
    }

    @Test
    void aReplyThatALaterOneOvertookIsIgnored() {
        Follower replica = new Follower(new Member("store-b", pinewick.model.SocketAddress.parse("10.0.0.2:7721")), 0);
        EpochNumber number = new EpochNumber(4, "store-a");
        StateVersion tag = new StateVersion(4, 1);
        replica.onHeartbeatReply(reply(2, number, tag, true), number, tag, 100, 110);
        assertTrue(replica.isShuttingDown());
        replica.onHeartbeatReply(reply(1, number, tag, false), number, tag, 190, 200);
        assertTrue(replica.isShuttingDown());
        assertEquals(100, replica.sinceContactMs(200));
        replica.onHeartbeatReply(reply(2, number, tag, false), number, tag, 100, 210);
        assertTrue(replica.isShuttingDown(), "a copy of an answer given before it was asked to end");
        replica.onHeartbeatReply(reply(3, number, tag, false), number, tag, 290, 300);
        assertFalse(replica.isShuttingDown());
    }

    @Test
    void twoRepliesToOneHeartbeatMayArriveInEitherOrder() {
        Follower replica = new Follower(new Member("store-b", pinewick.model.SocketAddress.parse("10.0.0.2:7721")), 0);
        EpochNumber number = new EpochNumber(4, "store-a");
        StateVersion tag = new StateVersion(4, 1);
        HeartbeatReply later = reply(2, number, tag, false);
        HeartbeatReply earlier =
                new HeartbeatReply(later.request(), number, later.self(), number, number, false, tag, false, true);
        replica.onHeartbeatReply(later, number, tag, 100, 110);
        replica.onHeartbeatReply(earlier, number, tag, 100, 111);
        assertTrue(replica.knowsChosen(number), "it said that the record stands");
    }

    private static HeartbeatReply reply(long round, EpochNumber number, StateVersion tag, boolean leaving) {
        Member self = new Member("store-b", pinewick.model.SocketAddress.parse("10.0.0.2:7721"));
        return new HeartbeatReply(new RequestId(9, round), number, self, number, number, true, tag, leaving, true);
    }
}
