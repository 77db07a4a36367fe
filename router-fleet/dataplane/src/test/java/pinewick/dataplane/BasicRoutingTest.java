package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pinewick.model.Stage;

/** The common paths of requests: plain requests, and streams served by a single decode replica. */
class BasicRoutingTest {
    private TestRouter router;

    @BeforeEach
    void start() throws Exception {
        router = new TestRouter();
        router.configure(TestRouter.plainRoute("non_idempotent", 1), TestRouter.streamRoute(false, 1));
    }

    @AfterEach
    void stop() throws Exception {
        router.close();
    }

    @Test
    void plainRequestsAreForwardedUnchangedOnPersistentConnections() throws Exception {
        ScriptedReplica replica = router.replica("i-1", "plain", Stage.NONE);
        RawSocket client = router.client();
        RawSocket upstream = null;
        for (int iteration = 1; iteration <= 3; iteration++) {
            client.send(TestRouter.request(
                    "POST", "/plain/a%2Fb;c?x=1&y=%20", "id" + iteration, "body " + iteration, "X-Other: kept"));
            upstream = upstream == null ? replica.accept() : upstream;
            HttpText.Message forwarded = upstream.read();
            assertEquals("POST /plain/a%2Fb;c?x=1&y=%20 HTTP/1.1", forwarded.firstLine());
            assertEquals("body " + iteration, forwarded.body());
            assertEquals("id" + iteration, forwarded.field("X-Pinewick-Request-Id"));
            assertEquals("i-1", forwarded.field("X-Pinewick-Expected-Instance"));
            assertEquals("kept", forwarded.field("X-Other"));
            assertEquals(TestRouter.HOST + ":80", forwarded.field("Host"));
            int remainingMs = Integer.parseInt(forwarded.field("X-Pinewick-Deadline-Ms"));
            assertTrue(remainingMs > 0 && remainingMs <= 4000, "remaining " + remainingMs);
            upstream.send(
                    ScriptedReplica.response(200, "id" + iteration, "response " + iteration, "X-More: passed on"));
            HttpText.Message response = client.read();
            assertEquals(200, response.status());
            assertEquals("response " + iteration, response.body());
            assertEquals("signature-id" + iteration, response.field("X-Pinewick-Server-Signature"));
            assertEquals("id" + iteration, response.field("X-Pinewick-Request-Id"));
            assertEquals("passed on", response.field("X-More"));
        }
    }

    @Test
    void chunkedBodiesArriveComplete() throws Exception {
        ScriptedReplica replica = router.replica("i-1", "plain", Stage.NONE);
        RawSocket client = router.client();
        client.send("POST /plain/x HTTP/1.1\r\nHost: SHOP.example\r\nX-Pinewick-Request-Id: c1\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
        client.send("2\r\nde\r\n0\r\n\r\n");
        RawSocket upstream = replica.accept();
        HttpText.Message forwarded = upstream.read();
        assertEquals("abcde", forwarded.body());
        assertNull(forwarded.field("Transfer-Encoding"));
        upstream.send(ScriptedReplica.response(200, "c1", ""));
        assertEquals(200, client.read().status());
    }

    @Test
    void eventsAreForwardedOneByOne() throws Exception {
        ScriptedReplica replica = router.replica("i-1", "lm", Stage.DECODE);
        RawSocket client = router.client();
        client.send(TestRouter.request("POST", "/lm/g", "s1", "prompt"));
        RawSocket upstream = replica.accept();
        assertNull(upstream.read().field("Kv-From"));
        upstream.send(ScriptedReplica.streamHead("s1"));
        upstream.send(ScriptedReplica.chunk("id: 1\ndata: a\n\n"));
        HttpText.Message head = client.readHead();
        assertEquals(200, head.status());
        assertEquals("signature-s1", head.field("X-Pinewick-Server-Signature"));
        assertEquals("id: 1\ndata: a\n\n", client.readChunk());
        upstream.send(ScriptedReplica.chunk("id: 2\ndata: b"));
        upstream.send(ScriptedReplica.chunk("\n\n"));
        assertEquals("id: 2\ndata: b\n\n", client.readChunk());
        upstream.send(ScriptedReplica.lastChunk());
        assertEquals("", client.readChunk());
    }

    @Test
    void aRequestWithoutARouteGets404() throws Exception {
        RawSocket client = router.client();
        client.send(TestRouter.request("POST", "/elsewhere/x", "n1", "body"));
        HttpText.Message response = client.read();
        assertEquals(404, response.status());
        assertEquals("n1", response.field("X-Pinewick-Request-Id"));
        assertNull(response.field("X-Pinewick-Server-Signature"));
    }

    @Test
    void aRouterWithoutAConfirmedConfigurationDoesNotReturn404() throws Exception {
        router.configurationConfirmed = false;
        RawSocket client = router.client();
        client.send(TestRouter.request("POST", "/elsewhere/x", "n1", "body"));
        assertEquals(503, client.read().status());
    }

    @Test
    void requestsInFlightAtShutdownGetAResponseByTheirState() throws Exception {
        ScriptedReplica replica = router.replica("i-1", "plain", Stage.NONE);
        RawSocket client = router.client();
        client.send(TestRouter.request("POST", "/plain/x", "e1", "body"));
        replica.accept().read();
        router.dataPlane.beginStopping();
        router.dataPlane.failRemainingRequests();
        HttpText.Message response = client.read();
        assertEquals(502, response.status());
        assertEquals("close", response.field("Connection"));
        RawSocket lateClient = router.client();
        lateClient.send(TestRouter.request("POST", "/plain/x", "e2", "body"));
        HttpText.Message rejection = lateClient.read();
        assertEquals(503, rejection.status());
        assertEquals("0.2", rejection.field("Retry-After"), "another router can serve the retry at once");
    }

    @Test
    void withoutReplicasTheRequestIsRejectedAtOnceAsNotExecuted() throws Exception {
        RawSocket client = router.client();
        client.send(TestRouter.request("POST", "/plain/x", "r1", "body"));
        HttpText.Message response = client.read();
        assertEquals(503, response.status());
        assertRetryAfterRecovery(response);
    }

    @Test
    void withoutAConfirmedConfigurationTheRetryComesAfterRecovery() throws Exception {
        router.configurationConfirmed = false;
        RawSocket client = router.client();
        client.send(TestRouter.request("POST", "/elsewhere/x", "n2", "body"));
        assertRetryAfterRecovery(client.read());
    }

    /** A client retries once: not before a primary is elected and the replicas have sent a heartbeat. */
    private static void assertRetryAfterRecovery(HttpText.Message response) {
        double seconds = Double.parseDouble(response.field("Retry-After"));
        assertTrue(seconds >= 0.6 && seconds <= 1.1, "Retry-After " + seconds);
    }
}
