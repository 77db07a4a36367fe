package pinewick.dissemination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import pinewick.dissemination.FleetMessages.ConfigurationPull;
import pinewick.dissemination.FleetMessages.ConfirmationReply;
import pinewick.dissemination.FleetMessages.ConfirmationRequest;
import pinewick.membership.MembershipMessages.PeerEntry;
import pinewick.membership.MembershipMessages.ShuffleRequest;
import pinewick.membership.NodeDescriptor;
import pinewick.membership.NodeRole;
import pinewick.model.Message;
import pinewick.model.SocketAddress;

/** Tests which peers a router polls for confirmation, when, and which replies it accepts. */
class ConfirmationPollerTest {
    private static final SocketAddress SELF = new SocketAddress("10.1.0.1", 7_720);
    private static final SocketAddress PRIMARY = new SocketAddress("10.2.0.1", 7_721);
    private static final SocketAddress OTHER_CONTROLLER = new SocketAddress("10.2.0.2", 7_721);
    private static final SocketAddress PEER = new SocketAddress("10.1.0.2", 7_720);
    private static final long VERSION = 3;

    private record Sent(SocketAddress to, ConfirmationRequest request) {}

    /** One incarnation of a process at a fixed address, with the messages that it has sent. */
    private static final class Incarnation {
        final List<Sent> requests = new ArrayList<>();
        final List<Message> otherMessages = new ArrayList<>();
        final FleetState state = new FleetState();
        final FleetNode node;

        Incarnation(NodeRole role, long randomSeed) {
            node = new FleetNode(
                    new NodeDescriptor(SELF, 1, role, "zone"),
                    List.of(PRIMARY),
                    state,
                    this::onSent,
                    new Random(randomSeed));
            addPeer(PRIMARY, NodeRole.CONTROLLER);
            addPeer(OTHER_CONTROLLER, NodeRole.CONTROLLER);
            addPeer(PEER, NodeRole.ROUTER);
        }

        private void onSent(SocketAddress to, Message message) {
            if (message instanceof ConfirmationRequest request) {
                requests.add(new Sent(to, request));
            } else {
                otherMessages.add(message);
            }
        }

        private void addPeer(SocketAddress address, NodeRole role) {
            PeerEntry entry = new PeerEntry(new NodeDescriptor(address, 1, role, "zone"), 5);
            node.onMessage(address, new ShuffleRequest(7, entry, List.of(), null), 0);
        }

        Incarnation withTenants() {
            state.offer(TestDocuments.withTenants(VERSION));
            return this;
        }

        /** Runs a tick; returns the peers to which it sent requests. */
        List<SocketAddress> tick(double nowMs) {
            int before = requests.size();
            node.onTick(nowMs);
            return requests.subList(before, requests.size()).stream()
                    .map(Sent::to)
                    .toList();
        }

        ConfirmationRequest lastRequestTo(SocketAddress peer) {
            return requests.stream()
                    .filter(sent -> sent.to.equals(peer))
                    .reduce((first, second) -> second)
                    .orElseThrow()
                    .request;
        }

        void reply(SocketAddress from, long version, int ageMs, SocketAddress primary, double nowMs) {
            reply(lastRequestTo(from), from, version, ageMs, primary, nowMs);
        }

        void reply(
                ConfirmationRequest request,
                SocketAddress from,
                long version,
                int ageMs,
                SocketAddress primary,
                double nowMs) {
            node.onMessage(from, new ConfirmationReply(request.requestId(), version, ageMs, primary), nowMs);
        }

        double confirmedAtMs() {
            return node.freshness().confirmedAtMs();
        }
    }

    private static Incarnation router(long randomSeed) {
        return new Incarnation(NodeRole.ROUTER, randomSeed).withTenants();
    }

    /** A router that has learned at time 10 which controller is the primary. */
    private static Incarnation routerWithPrimary() {
        Incarnation router = router(1);
        router.tick(0);
        router.reply(OTHER_CONTROLLER, VERSION, ConfigurationFreshness.NEVER, PRIMARY, 10);
        router.reply(PRIMARY, VERSION, 100, PRIMARY, 12);
        return router;
    }

    @Test
    void doesNotPollWithoutTenantsOrOnControllers() {
        Incarnation router = new Incarnation(NodeRole.ROUTER, 1);
        assertEquals(List.of(), router.tick(0));
        Incarnation controller = new Incarnation(NodeRole.CONTROLLER, 1).withTenants();
        assertEquals(List.of(), controller.tick(0));
        router.withTenants();
        assertTrue(router.node.nextTickMs() <= FleetNode.TICK_MS);
        assertFalse(router.tick(FleetNode.TICK_MS).isEmpty());
    }

    @Test
    void pollsControllersAndRoutersUntilAPrimaryIsKnown() {
        Incarnation router = router(1);
        assertEquals(3, router.tick(0).size());
        assertEquals(Optional.empty(), router.node.knownPrimary());
        router.reply(OTHER_CONTROLLER, VERSION, ConfigurationFreshness.NEVER, PRIMARY, 10);
        assertEquals(Optional.of(PRIMARY), router.node.knownPrimary());
        assertEquals(PRIMARY, router.requests.get(router.requests.size() - 1).to, "the primary is polled at once");
        router.reply(PRIMARY, VERSION, 100, PRIMARY, 12);
        assertEquals(10 - 100, router.confirmedAtMs());
    }

    @Test
    void pollsOnlyThePrimaryWhileItConfirms() {
        Incarnation router = routerWithPrimary();
        for (double nowMs = 600; nowMs < 5_000; nowMs += 600) {
            assertEquals(List.of(PRIMARY), router.tick(nowMs));
            router.reply(PRIMARY, VERSION, 100, PRIMARY, nowMs + 2);
            assertEquals(List.of(), router.tick(nowMs + 300));
            assertEquals(nowMs - 100, router.confirmedAtMs());
        }
    }

    @Test
    void pollsOthersWithoutARecentConfirmationByThePrimary() {
        Incarnation router = routerWithPrimary();
        assertEquals(List.of(PRIMARY), router.tick(600));
        assertTrue(router.node.nextTickMs() <= 600 + 250);
        assertEquals(2, router.tick(850).size());
        router.reply(PEER, VERSION, 300, PRIMARY, 900);
        assertEquals(850 - 300, router.confirmedAtMs());
    }

    @Test
    void pollsOthersWhenThePrimaryHasLostItsQuorum() {
        Incarnation router = routerWithPrimary();
        router.tick(600);
        router.reply(PRIMARY, VERSION, 4_000, PRIMARY, 610);
        assertEquals(2, router.tick(850).size());
    }

    @Test
    void adoptsThePrimaryReportedByAControllerButNotByARouter() {
        Incarnation router = routerWithPrimary();
        router.tick(600);
        router.tick(850);
        router.reply(PEER, VERSION, 300, OTHER_CONTROLLER, 860);
        assertEquals(Optional.of(PRIMARY), router.node.knownPrimary());
        router.reply(OTHER_CONTROLLER, VERSION, 20, OTHER_CONTROLLER, 870);
        assertEquals(Optional.of(OTHER_CONTROLLER), router.node.knownPrimary());
    }

    @Test
    void ignoresDuplicateForeignAndUnsolicitedReplies() {
        Incarnation router = routerWithPrimary();
        ConfirmationRequest answeredRequest = router.lastRequestTo(PRIMARY);
        router.reply(answeredRequest, PRIMARY, VERSION, 0, PRIMARY, 20);
        router.tick(600);
        router.reply(router.lastRequestTo(PRIMARY), PEER, VERSION, 0, PRIMARY, 610);
        router.node.onMessage(PRIMARY, new ConfirmationReply(77, VERSION, 0, PRIMARY), 620);
        assertEquals(10 - 100, router.confirmedAtMs());
    }

    @Test
    void ignoresAReplyToAnEarlierIncarnation() {
        Incarnation earlierIncarnation = router(1);
        earlierIncarnation.tick(0);
        Incarnation laterIncarnation = router(2);
        laterIncarnation.tick(0);
        laterIncarnation.reply(earlierIncarnation.lastRequestTo(PRIMARY), PRIMARY, VERSION, 0, PRIMARY, 10);
        assertFalse(laterIncarnation.node.freshness().isKnown());
    }

    /**
     * The same applies to a reply whose sender was paused before sending it, or that arrives while the receiver is
     * paused.
     */
    @Test
    void countsALateReplyFromItsRequestAndIgnoresAVeryLateOne() {
        Incarnation router = routerWithPrimary();
        router.tick(600);
        ConfirmationRequest second = router.lastRequestTo(PRIMARY);
        router.tick(1_200);
        router.reply(second, PRIMARY, VERSION, 50, PRIMARY, 2_500);
        assertEquals(600 - 50, router.confirmedAtMs());
        router.reply(router.lastRequestTo(PRIMARY), PRIMARY, VERSION, 50, PRIMARY, 9_000);
        assertEquals(600 - 50, router.confirmedAtMs());
    }

    @Test
    void pullsAHigherVersionAndConfirmsItOnceInForce() {
        Incarnation router = routerWithPrimary();
        router.tick(600);
        router.reply(PRIMARY, VERSION + 1, 30, PRIMARY, 610);
        assertEquals(10 - 100, router.confirmedAtMs());
        assertTrue(router.otherMessages.stream().anyMatch(ConfigurationPull.class::isInstance));
        router.state.offer(TestDocuments.withTenants(VERSION + 1));
        assertEquals(new Confirmation(VERSION + 1, 600 - 30), router.node.freshness());
    }

    @Test
    void confirmsAVersionInstalledBetweenRequestAndReply() {
        Incarnation router = routerWithPrimary();
        router.tick(600);
        router.state.offer(TestDocuments.withTenants(VERSION + 1));
        router.reply(PRIMARY, VERSION, 30, PRIMARY, 610);
        assertEquals(new Confirmation(VERSION + 1, 600 - 30), router.node.freshness());
    }

    @Test
    void repliesWithTheAgeAtTheTimeOfTheRequest() {
        Incarnation controller = new Incarnation(NodeRole.CONTROLLER, 1).withTenants();
        controller.node.onMessage(PEER, new ConfirmationRequest(1), 100);
        controller.node.confirmConfigurationUnderLease(150.5);
        controller.node.setKnownPrimary(Optional.of(SELF));
        controller.node.onMessage(PEER, new ConfirmationRequest(2), 9_000);
        assertEquals(
                List.of(
                        new ConfirmationReply(1, VERSION, ConfigurationFreshness.NEVER, null),
                        new ConfirmationReply(2, VERSION, 8_850, SELF)),
                controller.otherMessages.stream()
                        .filter(ConfirmationReply.class::isInstance)
                        .toList());
    }
}
