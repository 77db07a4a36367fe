package pinewick.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pinewick.membership.MembershipMessages.PeerEntry;
import pinewick.membership.MembershipMessages.ShuffleReply;
import pinewick.membership.MembershipMessages.ShuffleRequest;
import pinewick.model.SocketAddress;

/** A reply is accepted once, in time, from the peer that was asked, and by the incarnation that asked. */
class ShuffleReplyTest {
    private static final SocketAddress SELF = new SocketAddress("10.1.0.1", 7_720);
    private static final SocketAddress SEED = new SocketAddress("10.2.0.4", 7_721);
    private static final PeerEntry SEED_ENTRY = new PeerEntry(new NodeDescriptor(SEED, 1, NodeRole.CONTROLLER, "z"), 5);

    private final List<ShuffleRequest> requests = new ArrayList<>();
    private PeerSampling sampling;

    @BeforeEach
    void start() {
        sampling = startedWith(1);
    }

    private PeerSampling startedWith(long randomSeed) {
        PeerSampling started = new PeerSampling(
                new NodeDescriptor(SELF, 1, NodeRole.ROUTER, "z"),
                List.of(SEED),
                (peer, message) -> requests.add((ShuffleRequest) message),
                new Random(randomSeed));
        started.onTick(0);
        return started;
    }

    private static PeerEntry router(int number) {
        SocketAddress address = new SocketAddress("10.1.0." + number, 7_720);
        return new PeerEntry(new NodeDescriptor(address, 1, NodeRole.ROUTER, "z"), 5);
    }

    private static ShuffleReply reply(ShuffleRequest request, PeerEntry... sample) {
        return new ShuffleReply(request.requestId(), SEED_ENTRY, List.of(sample), null);
    }

    @Test
    void aReplyInTimeIsAccepted() {
        sampling.onMessage(SEED, reply(requests.get(0), router(7)), 100);
        assertEquals(2, sampling.viewSize());
    }

    @Test
    void aReplyToAnEarlierIncarnationIsIgnored() {
        ShuffleRequest requestOfEarlierIncarnation = requests.get(0);
        PeerSampling laterIncarnation = startedWith(2);
        laterIncarnation.onMessage(SEED, reply(requestOfEarlierIncarnation, router(7)), 100);
        assertEquals(0, laterIncarnation.viewSize());
    }

    @Test
    void aDuplicateReplyIsIgnored() {
        sampling.onMessage(SEED, reply(requests.get(0)), 100);
        sampling.onMessage(SEED, reply(requests.get(0), router(7)), 100);
        assertEquals(1, sampling.viewSize());
    }

    @Test
    void aLateReplyIsIgnored() {
        sampling.onMessage(SEED, reply(requests.get(0), router(7)), 2_100);
        assertEquals(0, sampling.viewSize());
    }

    @Test
    void aReplyFromAnotherPeerIsIgnored() {
        PeerEntry other = router(9);
        ShuffleReply reply = new ShuffleReply(requests.get(0).requestId(), other, List.of(router(7)), null);
        sampling.onMessage(other.node().address(), reply, 100);
        assertEquals(0, sampling.viewSize());
    }

    @Test
    void requestIdsAreNotReused() {
        sampling.onTick(400);
        sampling.onTick(800);
        long distinct =
                requests.stream().map(ShuffleRequest::requestId).distinct().count();
        assertTrue(requests.size() > 1);
        assertEquals(requests.size(), distinct);
        assertFalse(requests.stream().anyMatch(request -> request.requestId() == OutstandingRequests.NO_REQUEST));
    }
}
