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

/** An answer counts once, in time, from the peer that was asked, and for the life of the process that asked. */
class ReplyMatchingTest {
    private static final SocketAddress SELF = new SocketAddress("10.1.0.1", 7_720);
    private static final SocketAddress SEED = new SocketAddress("10.2.0.4", 7_721);
    private static final SocketAddress STRANGER = new SocketAddress("10.2.0.9", 7_721);
    private static final Digest OF_SEED = new Digest(3, 1, 77, true, 0);
    private static final GossipedReplica RECORD = new GossipedReplica(TestRecords.ready("i-1", 1), 0);

    /** One life of a process at one address, with what it has sent. */
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

        void answerDigest(double nowMs) {
            node.onMessage(SEED, new DigestReply(lastSent(DigestRequest.class).requestId(), OF_SEED, 9), nowMs);
        }

        /** Lets the seed become known as a controller. */
        void meetSeed(double nowMs) {
            PeerEntry seed = new PeerEntry(new NodeDescriptor(SEED, 1, NodeRole.CONTROLLER, "zone"), 5);
            long requestId = lastSent(ShuffleRequest.class).requestId();
            node.onMessage(SEED, new ShuffleReply(requestId, seed, List.of(), null), nowMs);
        }
    }

    private static Incarnation router(long randomSeed) {
        return new Incarnation(NodeRole.ROUTER, randomSeed);
    }

    @Test
    void aDigestForAnEarlierIncarnationIsIgnored() {
        Incarnation earlier = router(1);
        Incarnation later = router(2);
        long requestId = earlier.lastSent(DigestRequest.class).requestId();
        later.node.onMessage(SEED, new DigestReply(requestId, OF_SEED, 9), 10);
        assertEquals(0, later.countSent(ConfigurationPull.class));
        later.answerDigest(20);
        assertEquals(1, later.countSent(ConfigurationPull.class));
    }

    @Test
    void duplicateLateAndForeignDigestsAreIgnored() {
        Incarnation life = router(1);
        DigestReply reply = new DigestReply(life.lastSent(DigestRequest.class).requestId(), OF_SEED, 9);
        life.node.onMessage(STRANGER, reply, 10);
        life.node.onMessage(SEED, reply, 2_500);
        assertEquals(0, life.countSent(ConfigurationPull.class));
        life.node.onTick(2_600);
        reply = new DigestReply(life.lastSent(DigestRequest.class).requestId(), OF_SEED, 9);
        life.node.onMessage(SEED, reply, 2_610);
        assertEquals(1, life.countSent(SnapshotRequest.class));
        life.node.onMessage(SEED, reply, 3_200);
        assertEquals(1, life.countSent(SnapshotRequest.class), "a second one is no reason to ask again");
    }

    @Test
    void aSnapshotForAnEarlierIncarnationIsIgnoredAndDoesNotEndTheBootstrap() {
        Incarnation earlier = router(1);
        earlier.answerDigest(10);
        Incarnation later = router(2);
        later.answerDigest(10);
        long ofEarlier = earlier.lastSent(SnapshotRequest.class).requestId();
        later.node.onMessage(SEED, new ReplicaSnapshot(ofEarlier, List.of(RECORD)), 20);
        assertTrue(later.state.findReplica("i-1").isEmpty());
        later.state.offer(TestDocuments.withRoutes(3, 1));
        later.node.onTick(300);
        assertFalse(later.node.isSynchronised());
        long ofLater = later.lastSent(SnapshotRequest.class).requestId();
        later.node.onMessage(SEED, new ReplicaSnapshot(ofLater, List.of(RECORD)), 310);
        later.node.onTick(350);
        assertTrue(later.node.isSynchronised());
    }

    @Test
    void aConfigurationRequestedByAnEarlierIncarnationIsIgnored() {
        Incarnation earlier = router(1);
        earlier.answerDigest(10);
        Incarnation later = router(2);
        later.answerDigest(10);
        later.node.onMessage(SEED, answerTo(earlier.lastSent(ConfigurationPull.class)), 20);
        assertEquals(0, later.state.configuration().version());
        later.node.onMessage(SEED, answerTo(later.lastSent(ConfigurationPull.class)), 30);
        assertEquals(3, later.state.configuration().version());
    }

    private static ConfigurationUpdate answerTo(ConfigurationPull pull) {
        ConfigurationDelta whole =
                ConfigurationDelta.between(ConfigurationDocument.EMPTY, TestDocuments.withRoutes(3, 1));
        return new ConfigurationUpdate(pull.requestId(), 0, 3, ConfigurationChecks.writeDelta(whole));
    }

    @Test
    void aDrainIsConfirmedOnlyByAControllerThatItWasSentToInThisIncarnation() {
        Incarnation earlier = controllerThatKnowsTheSeed(1);
        Incarnation later = controllerThatKnowsTheSeed(2);
        int[] confirmations = {0};
        earlier.node.publishUntilAcknowledged(TestRecords.draining(TestRecords.ready("i-1", 1), 2), () -> {}, 100);
        later.node.publishUntilAcknowledged(
                TestRecords.draining(TestRecords.ready("i-1", 1), 2), () -> confirmations[0]++, 100);
        long ofEarlier = earlier.lastSent(ReplicaUpdate.class).ackId();
        long ofLater = later.lastSent(ReplicaUpdate.class).ackId();
        later.node.onMessage(SEED, new ReplicaUpdateAck(ofEarlier), 110);
        later.node.onMessage(STRANGER, new ReplicaUpdateAck(ofLater), 110);
        assertEquals(0, confirmations[0]);
        later.node.onMessage(SEED, new ReplicaUpdateAck(ofLater), 120);
        later.node.onMessage(SEED, new ReplicaUpdateAck(ofLater), 130);
        assertEquals(1, confirmations[0]);
    }

    @Test
    void aDrainThatIsNoLongerSentIsNotConfirmed() {
        Incarnation life = controllerThatKnowsTheSeed(1);
        int[] confirmations = {0};
        life.node.publishUntilAcknowledged(
                TestRecords.draining(TestRecords.ready("i-1", 1), 2), () -> confirmations[0]++, 100);
        long ackId = life.lastSent(ReplicaUpdate.class).ackId();
        for (double nowMs = 150; nowMs < 1_500; nowMs += FleetNode.TICK_MS) {
            life.node.onTick(nowMs);
        }
        life.node.onMessage(SEED, new ReplicaUpdateAck(ackId), 1_500);
        assertEquals(0, confirmations[0]);
    }

    private static Incarnation controllerThatKnowsTheSeed(long randomSeed) {
        Incarnation life = new Incarnation(NodeRole.CONTROLLER, randomSeed);
        life.meetSeed(10);
        return life;
    }
}
