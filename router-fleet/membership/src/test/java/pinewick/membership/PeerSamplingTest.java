package pinewick.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pinewick.membership.MembershipMessages.LeaveAnnouncement;
import pinewick.membership.MembershipMessages.PeerEntry;
import pinewick.membership.MembershipMessages.ShuffleReply;
import pinewick.membership.MembershipMessages.ShuffleRequest;
import pinewick.model.Message;
import pinewick.model.SocketAddress;

/** Tests one process by the messages that it receives and sends. */
class PeerSamplingTest {
    private static final SocketAddress SEED = new SocketAddress("10.9.0.1", 7_721);

    private final List<Sent> sent = new ArrayList<>();
    private PeerSampling sampling;
    private double nowMs = 1_000_000;

    private record Sent(SocketAddress peer, Message message) {}

    @BeforeEach
    void start() {
        sampling = new PeerSampling(
                node(0, 5, NodeRole.ROUTER),
                List.of(SEED),
                (peer, message) -> sent.add(new Sent(peer, message)),
                new Random(1));
        sampling.onTick(nowMs);
    }

    private static NodeDescriptor node(int number, long incarnation, NodeRole role) {
        String host = "10.1." + number / 250 + "." + (number % 250 + 1);
        return new NodeDescriptor(new SocketAddress(host, 7_720), incarnation, role, "zone");
    }

    private static PeerEntry router(int number, long heartbeat) {
        return new PeerEntry(node(number, 1, NodeRole.ROUTER), heartbeat);
    }

    private static PeerEntry controller(int number, long heartbeat) {
        return new PeerEntry(node(number, 1, NodeRole.CONTROLLER), heartbeat);
    }

    private void receive(PeerEntry peer, PeerEntry... sample) {
        sampling.onMessage(peer.node().address(), new ShuffleRequest(1, peer, List.of(sample), null), nowMs);
    }

    private void tickFor(double durationMs) {
        double endMs = nowMs + durationMs;
        while (nowMs < endMs) {
            nowMs += 50;
            sampling.onTick(nowMs);
        }
    }

    private Set<SocketAddress> knownAddresses() {
        return Set.copyOf(sampling.peers().stream().map(NodeDescriptor::address).toList());
    }

    private long requestsTo(SocketAddress peer) {
        return sent.stream()
                .filter(each -> each.peer.equals(peer) && each.message instanceof ShuffleRequest)
                .count();
    }

    @Test
    void seedsAreContactedUntilAControllerIsKnown() {
        assertEquals(1, requestsTo(SEED));
        tickFor(1_000);
        assertTrue(requestsTo(SEED) >= 3);
    }

    @Test
    void aPeerThatMissesTwoRepliesIsRemoved() {
        receive(router(1, 100));
        tickFor(400);
        sent.clear();
        tickFor(900);
        assertFalse(knownAddresses().contains(node(1, 1, NodeRole.ROUTER).address()));
    }

    @Test
    void aRemovedPeerReturnsOnlyWithALaterHeartbeat() {
        receive(router(1, 100));
        tickFor(3_000);
        receive(controller(9, 1), router(1, 150));
        assertFalse(knownAddresses().contains(router(1, 0).node().address()));
        receive(controller(9, 2), router(1, 100 + 2_000));
        assertTrue(knownAddresses().contains(router(1, 0).node().address()));
    }

    @Test
    void aRemovedPeerThatSendsAMessageReturns() {
        receive(router(1, 100));
        tickFor(3_000);
        receive(router(1, 120));
        assertTrue(knownAddresses().contains(router(1, 0).node().address()));
    }

    @Test
    void aHigherIncarnationOfARemovedPeerIsAccepted() {
        receive(router(1, 100));
        tickFor(3_000);
        receive(controller(9, 1), new PeerEntry(node(1, 2, NodeRole.ROUTER), 0));
        assertTrue(knownAddresses().contains(router(1, 0).node().address()));
    }

    @Test
    void aPeerThatLeftIsRemovedForTheRestOfItsIncarnation() {
        receive(router(1, 100));
        receive(router(2, 100));
        sent.clear();
        LeaveAnnouncement leaving = new LeaveAnnouncement(node(1, 1, NodeRole.ROUTER));
        sampling.onMessage(leaving.node().address(), leaving, nowMs);
        assertTrue(sent.stream().anyMatch(each -> each.message.equals(leaving)), "forwarded");
        sent.clear();
        sampling.onMessage(leaving.node().address(), leaving, nowMs);
        assertTrue(sent.isEmpty(), "forwarded only once");
        receive(router(1, 5_000));
        receive(router(2, 200), router(1, 6_000));
        assertFalse(knownAddresses().contains(leaving.node().address()));
        receive(new PeerEntry(node(1, 2, NodeRole.ROUTER), 0));
        assertTrue(knownAddresses().contains(leaving.node().address()));
    }

    @Test
    void aLateAnnouncementOfAnEarlierIncarnationDoesNotRemoveTheLaterOne() {
        receive(new PeerEntry(node(1, 2, NodeRole.ROUTER), 10));
        sampling.onMessage(
                node(1, 1, NodeRole.ROUTER).address(), new LeaveAnnouncement(node(1, 1, NodeRole.ROUTER)), nowMs);
        assertTrue(knownAddresses().contains(node(1, 2, NodeRole.ROUTER).address()));
    }

    @Test
    void anEarlierProcessWithAHigherIncarnationIsSuperseded() {
        receive(router(1, 100), new PeerEntry(node(0, 9, NodeRole.ROUTER), 77));
        assertEquals(10, sampling.self().incarnation());
        receive(router(1, 200), new PeerEntry(node(0, 9, NodeRole.ROUTER), 99));
        assertEquals(10, sampling.self().incarnation());
    }

    @Test
    void anEarlierProcessWithTheSameIncarnationIsSuperseded() {
        receive(router(1, 100), new PeerEntry(node(0, 5, NodeRole.ROUTER), 1_000_000));
        assertEquals(6, sampling.self().incarnation());
    }

    @Test
    void aPeerThatKnowsAnEarlierIncarnationIsContactedAtOnceUnderTheLaterOne() {
        sent.clear();
        receive(router(1, 100), new PeerEntry(node(0, 9, NodeRole.ROUTER), 77));
        ShuffleRequest request = sent.stream()
                .map(Sent::message)
                .filter(ShuffleRequest.class::isInstance)
                .map(ShuffleRequest.class::cast)
                .findAny()
                .orElseThrow();
        assertEquals(10, request.self().node().incarnation());
    }

    @Test
    void aControllerContactsAnotherUntilItResponds() {
        sampling = new PeerSampling(
                node(0, 5, NodeRole.CONTROLLER),
                List.of(),
                (peer, message) -> sent.add(new Sent(peer, message)),
                new Random(1));
        sampling.onTick(nowMs);
        SocketAddress other = controller(9, 0).node().address();
        receive(router(1, 100), controller(9, 100));
        assertEquals(1, requestsTo(other));
        nowMs += 600;
        sent.clear();
        sampling.onTick(nowMs);
        assertTrue(requestsTo(other) >= 1);
        receive(controller(9, 200));
        sent.clear();
        receive(router(1, 200), controller(9, 150));
        assertEquals(0, requestsTo(other));
    }

    @Test
    void anOwnEntryOfTheCurrentProcessDoesNotChangeTheIncarnation() {
        tickFor(500);
        receive(router(1, 100), new PeerEntry(node(0, 5, NodeRole.ROUTER), 400));
        assertEquals(5, sampling.self().incarnation());
    }

    @Test
    void aRestartedProcessIsNotifiedOfItsEarlierIncarnation() {
        receive(new PeerEntry(node(1, 7, NodeRole.ROUTER), 50_000));
        sent.clear();
        receive(new PeerEntry(node(1, 6, NodeRole.ROUTER), 10));
        ShuffleReply reply = (ShuffleReply) sent.get(0).message;
        assertTrue(reply.sample().contains(new PeerEntry(node(1, 7, NodeRole.ROUTER), 50_000)));
        sent.clear();
        receive(new PeerEntry(node(1, 7, NodeRole.ROUTER), 10));
        ShuffleReply sameIncarnationReply = (ShuffleReply) sent.get(0).message;
        assertTrue(sameIncarnationReply.sample().contains(new PeerEntry(node(1, 7, NodeRole.ROUTER), 50_000)));
    }

    @Test
    void unreachableControllersAndMissingSeedsAreContactedAgain() {
        receive(controller(9, 100));
        tickFor(8_000);
        assertFalse(knownAddresses().contains(controller(9, 0).node().address()));
        sent.clear();
        tickFor(20_000);
        assertTrue(requestsTo(controller(9, 0).node().address()) > 3);
        assertTrue(requestsTo(SEED) > 3);
    }

    @Test
    void theRouterViewIsBoundedAndDoesNotEvictControllers() {
        receive(controller(999, 1));
        for (int i = 1; i < 200; i++) {
            receive(router(i, i));
        }
        assertEquals(PeerSampling.ROUTER_CAPACITY, sampling.routers().size());
        assertEquals(List.of(controller(999, 0).node().address()), sampling.controllers());
    }

    @Test
    void anEntryWhoseAddressIsNotTheSendersIsIgnored() {
        sampling.onMessage(
                new SocketAddress("10.7.7.7", 1), new ShuffleRequest(1, router(1, 5), List.of(), null), nowMs);
        assertTrue(knownAddresses().isEmpty());
    }

    @Test
    void messagesOfOtherTypesAreNotHandled() {
        record Other() implements Message {}

        assertFalse(sampling.onMessage(SEED, new Other(), nowMs));
    }
}
