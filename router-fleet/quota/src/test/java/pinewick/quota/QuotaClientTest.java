package pinewick.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pinewick.model.Message;
import pinewick.model.QuotaLimit;
import pinewick.model.QuotaUnit;
import pinewick.model.SocketAddress;
import pinewick.quota.QuotaMessages.QuotaReply;
import pinewick.quota.QuotaMessages.QuotaRequest;
import pinewick.quota.QuotaMessages.QuotaVerdict;
import pinewick.quota.QuotaMessages.RelayedQuotaRequest;

class QuotaClientTest {
    private static final SocketAddress PRIMARY = new SocketAddress("10.0.0.9", 7_081);
    private static final SocketAddress BACKUP = new SocketAddress("10.0.0.8", 7_081);
    private static final SocketAddress ROUTER = new SocketAddress("10.0.0.2", 7_080);
    private static final QuotaLimit LIMIT = new QuotaLimit(1_000, 1_000, QuotaUnit.TOKENS, 200);
    private static final QuotaPolicy POLICY = new QuotaPolicy(8_000, 0.1, 10_000);
    private static final double STARTED_MS = 0;
    private static final double NOW_MS = 100_000;

    private record Sent(SocketAddress receiver, Message message) {}

    private final List<Sent> sent = new ArrayList<>();
    private final List<QuotaDecision> decisions = new ArrayList<>();
    private final FallbackAllowance fallback = new FallbackAllowance(POLICY, STARTED_MS);
    private final QuotaClient client = new QuotaClient(
            new QuotaPeers() {
                @Override
                public Optional<SocketAddress> primary() {
                    return Optional.of(PRIMARY);
                }

                @Override
                public List<SocketAddress> controllers() {
                    return List.of(BACKUP);
                }

                @Override
                public List<SocketAddress> routers() {
                    return List.of(ROUTER);
                }
            },
            (receiver, message) -> sent.add(new Sent(receiver, message)),
            fallback,
            new SplittableRandom(3));

    private PendingGrant request(int cost, double nowMs) {
        return client.request("t", LIMIT, cost, decisions::add, nowMs);
    }

    private QuotaRequest firstRequest() {
        return sent.stream()
                .filter(each -> each.message instanceof QuotaRequest)
                .map(each -> (QuotaRequest) each.message)
                .findFirst()
                .orElseThrow();
    }

    private void reply(SocketAddress sender, QuotaVerdict verdict, SocketAddress coordinator, double nowMs) {
        client.onMessage(sender, new QuotaReply(firstRequest().requestId(), verdict, 40, coordinator), nowMs);
    }

    private void suspectCoordinator() {
        client.onTick(NOW_MS + QuotaClient.SUSPECT_AFTER_MS);
        assertTrue(client.isCoordinatorSuspected());
    }

    @Test
    void aGrantOfThePrimaryIsReportedOnce() {
        request(17_000, NOW_MS);
        assertEquals(PRIMARY, sent.get(0).receiver);
        reply(PRIMARY, QuotaVerdict.GRANTED, PRIMARY, NOW_MS + 2);
        reply(PRIMARY, QuotaVerdict.GRANTED, PRIMARY, NOW_MS + 3);
        assertEquals(1, decisions.size());
        assertFalse(client.hasPendingRequests());
    }

    @Test
    void aRefusalCarriesItsRetryDelay() {
        request(17_000, NOW_MS);
        reply(PRIMARY, QuotaVerdict.OVER_LIMIT, PRIMARY, NOW_MS + 2);
        assertEquals(new QuotaDecision.OverLimit(40), decisions.get(0));
    }

    @Test
    void anUnansweredRequestIsResentWithTheSameId() {
        request(17_000, NOW_MS);
        client.onTick(NOW_MS + QuotaClient.RESEND_AFTER_MS);
        assertEquals(2, sent.size());
        assertEquals(sent.get(0), sent.get(1));
    }

    @Test
    void aCancelledRequestIsNotDecided() {
        request(17_000, NOW_MS).cancel();
        reply(PRIMARY, QuotaVerdict.GRANTED, PRIMARY, NOW_MS + 2);
        assertTrue(decisions.isEmpty());
    }

    @Test
    void aSuspectedCoordinatorIsProbedThroughPrimaryControllerAndRouter() {
        request(17_000, NOW_MS);
        sent.clear();
        suspectCoordinator();
        assertEquals(
                List.of(PRIMARY, BACKUP, ROUTER),
                sent.stream().map(Sent::receiver).toList());
        assertInstanceOf(RelayedQuotaRequest.class, sent.get(2).message);
    }

    @Test
    void onlyTheOldestRequestProbesASuspectedCoordinator() {
        request(17_000, NOW_MS);
        suspectCoordinator();
        sent.clear();
        request(17_000, NOW_MS + 130);
        assertTrue(sent.isEmpty());
    }

    @Test
    void requestsAreRelayedThroughTheRouterThatAnsweredTheProbe() {
        request(17_000, NOW_MS);
        suspectCoordinator();
        reply(ROUTER, QuotaVerdict.GRANTED, PRIMARY, NOW_MS + 130);
        assertInstanceOf(QuotaDecision.Granted.class, decisions.get(0));
        sent.clear();
        request(17_000, NOW_MS + 140);
        assertEquals(List.of(ROUTER), sent.stream().map(Sent::receiver).toList());
    }

    @Test
    void whileRequestsAreRelayedTheCoordinatorIsProbedDirectlyAtIntervals() {
        request(17_000, NOW_MS);
        suspectCoordinator();
        reply(ROUTER, QuotaVerdict.GRANTED, PRIMARY, NOW_MS + 130);
        sent.clear();
        request(17_000, NOW_MS + 3_000);
        assertEquals(List.of(ROUTER, PRIMARY), sent.stream().map(Sent::receiver).toList());
        reply(PRIMARY, QuotaVerdict.GRANTED, PRIMARY, NOW_MS + 3_002);
        sent.clear();
        request(17_000, NOW_MS + 3_010);
        assertEquals(List.of(PRIMARY), sent.stream().map(Sent::receiver).toList());
    }

    /** Each request is cancelled before it has waited long enough by itself for the coordinator to be suspected. */
    @Test
    void anUnresponsiveCoordinatorIsSuspectedThoughNoRequestWaitsLong() {
        request(17_000, NOW_MS).cancel();
        request(17_000, NOW_MS + 60).cancel();
        sent.clear();
        request(17_000, NOW_MS + QuotaClient.SUSPECT_AFTER_MS);
        assertTrue(client.isCoordinatorSuspected());
        assertEquals(
                List.of(PRIMARY, BACKUP, ROUTER),
                sent.stream().map(Sent::receiver).toList());
    }

    @Test
    void aRelayedRequestIsForwardedUnderANewIdAndItsReplyReturned() {
        client.onMessage(ROUTER, new RelayedQuotaRequest(new QuotaRequest(5, "t", 9)), NOW_MS);
        assertEquals(PRIMARY, sent.get(0).receiver);
        assertEquals(9, firstRequest().cost());
        reply(PRIMARY, QuotaVerdict.GRANTED, PRIMARY, NOW_MS + 1);
        assertEquals(new Sent(ROUTER, new QuotaReply(5, QuotaVerdict.GRANTED, 40, PRIMARY)), sent.get(1));
        reply(PRIMARY, QuotaVerdict.GRANTED, PRIMARY, NOW_MS + 2);
        assertEquals(2, sent.size(), "returned only once");
    }

    @Test
    void aRedirectIsFollowedOnceButNotInALoop() {
        request(17_000, NOW_MS);
        reply(PRIMARY, QuotaVerdict.NOT_COORDINATOR, BACKUP, NOW_MS + 1);
        assertEquals(BACKUP, sent.get(1).receiver);
        reply(BACKUP, QuotaVerdict.NOT_COORDINATOR, PRIMARY, NOW_MS + 2);
        assertEquals(2, sent.size());
    }

    @Test
    void requestsUseTheFallbackAllowanceWhileTheCoordinatorIsSuspected() {
        fallback.setRouterCount(10, STARTED_MS);
        request(200, NOW_MS);
        suspectCoordinator();
        assertInstanceOf(QuotaDecision.Granted.class, decisions.get(0));
        client.request("t", LIMIT, 260, decisions::add, NOW_MS + 500);
        assertEquals(1, decisions.size(), "no more than the router's share");
    }
}
