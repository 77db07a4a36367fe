package pinewick.dissemination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import pinewick.dissemination.FleetMessages.ConfigurationPull;
import pinewick.dissemination.FleetMessages.ConfigurationUpdate;
import pinewick.dissemination.FleetMessages.Digest;
import pinewick.dissemination.FleetMessages.DigestReply;
import pinewick.dissemination.FleetMessages.DigestRequest;
import pinewick.dissemination.FleetMessages.GossipedReplica;
import pinewick.dissemination.FleetMessages.ReplicaSnapshot;
import pinewick.dissemination.FleetMessages.ReplicaUpdate;
import pinewick.dissemination.FleetMessages.ReplicaUpdateAck;
import pinewick.dissemination.FleetMessages.SnapshotRequest;
import pinewick.membership.MembershipMessages.PeerEntry;
import pinewick.membership.MembershipMessages.ShuffleReply;
import pinewick.membership.MembershipMessages.ShuffleRequest;
import pinewick.membership.NodeDescriptor;
import pinewick.membership.NodeRole;
import pinewick.model.ConfigurationChecks;
import pinewick.model.ConfigurationDelta;
import pinewick.model.ConfigurationDocument;
import pinewick.model.Message;
import pinewick.model.SocketAddress;

/**
 * Tests that a reply is accepted once, in time, from the peer to which the request was sent, and only by the
 * incarnation that sent the request.
 */
class ReplyMatchingTest {
    private static final SocketAddress SELF = new SocketAddress("10.1.0.1", 7_720);
    private static final SocketAddress SEED = new SocketAddress("10.2.0.4", 7_721);
    private static final SocketAddress STRANGER = new SocketAddress("10.2.0.9", 7_721);
    private static final Digest SEED_DIGEST = new Digest(3, 1, 77, true, 0);
    private static final GossipedReplica RECORD = new GossipedReplica(TestRecords.ready("i-1", 1), 0);

    /** One incarnation of a process at a fixed address, with the messages that it has sent. */
    private static final class Incarnation {
        final List<Message> sent = new ArrayList<>();
        final FleetState state = new FleetState();
        final FleetNode node;

        Incarnation(NodeRole role, long randomSeed) {
            NodeDescriptor self = new NodeDescriptor(SELF, 1, role, "zone");
            node = new FleetNode(
                    self, List.of(SEED), state, (peer, message) -> sent.add(message), new Random(randomSeed));
            node.onTick(0);
        }

        <T> T lastSent(Class<T> type) {
            return sent.stream()
                    .filter(type::isInstance)
                    .map(type::cast)
                    .reduce((first, second) -> second)
                    .orElseThrow();
        }

        <T> long countSent(Class<T> type) {
            return sent.stream().filter(type::isInstance).count();
        }

        void replyToDigestRequest(double nowMs) {
            node.onMessage(SEED, new DigestReply(lastSent(DigestRequest.class).requestId(), SEED_DIGEST, 9), nowMs);
        }

        /** Makes the seed known as a controller. */
        void addSeed(double nowMs) {
            PeerEntry seed = new PeerEntry(new NodeDescriptor(SEED, 1, NodeRole.CONTROLLER, "zone"), 5);
            long requestId = lastSent(ShuffleRequest.class).requestId();
            node.onMessage(SEED, new ShuffleReply(requestId, seed, List.of(), null), nowMs);
        }
    }

    private static Incarnation router(long randomSeed) {
        return new Incarnation(NodeRole.ROUTER, randomSeed);
    }

    @Test
    void ignoresADigestForAnEarlierIncarnation() {
        Incarnation earlierIncarnation = router(1);
        Incarnation laterIncarnation = router(2);
        long requestId = earlierIncarnation.lastSent(DigestRequest.class).requestId();
        laterIncarnation.node.onMessage(SEED, new DigestReply(requestId, SEED_DIGEST, 9), 10);
        assertEquals(0, laterIncarnation.countSent(ConfigurationPull.class));
        laterIncarnation.replyToDigestRequest(20);
        assertEquals(1, laterIncarnation.countSent(ConfigurationPull.class));
    }

    @Test
    void ignoresDuplicateLateAndForeignDigests() {
        Incarnation incarnation = router(1);
        DigestReply reply =
                new DigestReply(incarnation.lastSent(DigestRequest.class).requestId(), SEED_DIGEST, 9);
        incarnation.node.onMessage(STRANGER, reply, 10);
        incarnation.node.onMessage(SEED, reply, 2_500);
        assertEquals(0, incarnation.countSent(ConfigurationPull.class));
        incarnation.node.onTick(2_600);
        reply = new DigestReply(incarnation.lastSent(DigestRequest.class).requestId(), SEED_DIGEST, 9);
        incarnation.node.onMessage(SEED, reply, 2_610);
        assertEquals(1, incarnation.countSent(SnapshotRequest.class));
        incarnation.node.onMessage(SEED, reply, 3_200);
        assertEquals(
                1,
                incarnation.countSent(SnapshotRequest.class),
                "a duplicate digest triggers no second snapshot request");
    }

    @Test
    void snapshotForAnEarlierIncarnationDoesNotCompleteTheBootstrap() {
        Incarnation earlierIncarnation = router(1);
        earlierIncarnation.replyToDigestRequest(10);
        Incarnation laterIncarnation = router(2);
        laterIncarnation.replyToDigestRequest(10);
        long earlierRequestId =
                earlierIncarnation.lastSent(SnapshotRequest.class).requestId();
        laterIncarnation.node.onMessage(SEED, new ReplicaSnapshot(earlierRequestId, List.of(RECORD)), 20);
        assertTrue(laterIncarnation.state.findReplica("i-1").isEmpty());
        laterIncarnation.state.offer(TestDocuments.withRoutes(3, 1));
        laterIncarnation.node.onTick(300);
        assertFalse(laterIncarnation.node.isSynchronised());
        long laterRequestId = laterIncarnation.lastSent(SnapshotRequest.class).requestId();
        laterIncarnation.node.onMessage(SEED, new ReplicaSnapshot(laterRequestId, List.of(RECORD)), 310);
        laterIncarnation.node.onTick(350);
        assertTrue(laterIncarnation.node.isSynchronised());
    }

    @Test
    void ignoresAConfigurationRequestedByAnEarlierIncarnation() {
        Incarnation earlierIncarnation = router(1);
        earlierIncarnation.replyToDigestRequest(10);
        Incarnation laterIncarnation = router(2);
        laterIncarnation.replyToDigestRequest(10);
        laterIncarnation.node.onMessage(SEED, replyTo(earlierIncarnation.lastSent(ConfigurationPull.class)), 20);
        assertEquals(0, laterIncarnation.state.configuration().version());
        laterIncarnation.node.onMessage(SEED, replyTo(laterIncarnation.lastSent(ConfigurationPull.class)), 30);
        assertEquals(3, laterIncarnation.state.configuration().version());
    }

    private static ConfigurationUpdate replyTo(ConfigurationPull pull) {
        ConfigurationDelta fullDocument =
                ConfigurationDelta.between(ConfigurationDocument.EMPTY, TestDocuments.withRoutes(3, 1));
        return new ConfigurationUpdate(pull.requestId(), 0, 3, ConfigurationChecks.writeDelta(fullDocument));
    }

    @Test
    void acceptsADrainAcknowledgementOnlyFromAControllerItWasSentToInThisIncarnation() {
        Incarnation earlierIncarnation = controllerKnowingTheSeed(1);
        Incarnation laterIncarnation = controllerKnowingTheSeed(2);
        int[] acknowledgementCount = {0};
        earlierIncarnation.node.publishUntilAcknowledged(
                TestRecords.draining(TestRecords.ready("i-1", 1), 2), () -> {}, 100);
        laterIncarnation.node.publishUntilAcknowledged(
                TestRecords.draining(TestRecords.ready("i-1", 1), 2), () -> acknowledgementCount[0]++, 100);
        long earlierRequestId = earlierIncarnation.lastSent(ReplicaUpdate.class).ackId();
        long laterRequestId = laterIncarnation.lastSent(ReplicaUpdate.class).ackId();
        laterIncarnation.node.onMessage(SEED, new ReplicaUpdateAck(earlierRequestId), 110);
        laterIncarnation.node.onMessage(STRANGER, new ReplicaUpdateAck(laterRequestId), 110);
        assertEquals(0, acknowledgementCount[0]);
        laterIncarnation.node.onMessage(SEED, new ReplicaUpdateAck(laterRequestId), 120);
        laterIncarnation.node.onMessage(SEED, new ReplicaUpdateAck(laterRequestId), 130);
        assertEquals(1, acknowledgementCount[0]);
    }

    /** A controller acknowledged a removal that only its memory had; a loss of all processes then lost it. */
    @Test
    void acknowledgesARemovalToAnotherControllerOnlyOnceItIsDurable() {
        Incarnation incarnation = controllerKnowingTheSeed(1);
        List<Runnable> writes = new ArrayList<>();
        incarnation.node.setRemovalDurability((records, onDurable) -> writes.add(onDurable));
        GossipedReplica draining = new GossipedReplica(TestRecords.draining(TestRecords.ready("i-1", 1), 2), 0);
        incarnation.node.onMessage(SEED, new ReplicaUpdate(77, List.of(draining)), 100);
        assertEquals(0, incarnation.countSent(ReplicaUpdateAck.class));
        writes.get(0).run();
        assertEquals(new ReplicaUpdateAck(77), incarnation.lastSent(ReplicaUpdateAck.class));
    }

    @Test
    void ignoresADrainAcknowledgementAfterTheLastAttemptTimedOut() {
        Incarnation incarnation = controllerKnowingTheSeed(1);
        int[] acknowledgementCount = {0};
        incarnation.node.publishUntilAcknowledged(
                TestRecords.draining(TestRecords.ready("i-1", 1), 2), () -> acknowledgementCount[0]++, 100);
        long ackId = incarnation.lastSent(ReplicaUpdate.class).ackId();
        for (double nowMs = 150; nowMs < 1_500; nowMs += FleetNode.TICK_MS) {
            incarnation.node.onTick(nowMs);
        }
        incarnation.node.onMessage(SEED, new ReplicaUpdateAck(ackId), 1_500);
        assertEquals(0, acknowledgementCount[0]);
    }

    private static Incarnation controllerKnowingTheSeed(long randomSeed) {
        Incarnation incarnation = new Incarnation(NodeRole.CONTROLLER, randomSeed);
        incarnation.addSeed(10);
        return incarnation;
    }
}
