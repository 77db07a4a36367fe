package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pinewick.model.Stage;

/** The ordinary way of a request: a plain one, and a stream that one decode replica makes whole. */
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
        for (int turn = 1; turn <= 3; turn++) {
            client.send(TestRouter.request(
                    "POST", "/plain/a%2Fb;c?x=1&y=%20", "id" + turn, "body " + turn, "X-Other: kept"));
            upstream = upstream == null ? replica.accept() : upstream;
            HttpText.Message seen = upstream.read();
            assertEquals("POST /plain/a%2Fb;c?x=1&y=%20 HTTP/1.1", seen.firstLine());
            assertEquals("body " + turn, seen.body());
            assertEquals("id" + turn, seen.field("X-Pinewick-Request-Id"));
            assertEquals("i-1", seen.field("X-Pinewick-Expected-Instance"));
            assertEquals("kept", seen.field("X-Other"));
            assertEquals(TestRouter.HOST + ":80", seen.field("Host"));
            int left = Integer.parseInt(seen.field("X-Pinewick-Deadline-Ms"));
            assertTrue(left > 0 && left <= 4000, "left " + left);
            upstream.send(ScriptedReplica.answer(200, "id" + turn, "answer " + turn, "X-More: passed on"));
            HttpText.Message answer = client.read();
            assertEquals(200, answer.status());
            assertEquals("answer " + turn, answer.body());
            assertEquals("stamp-id" + turn, answer.field("X-Pinewick-Server-Signature"));
            assertEquals("id" + turn, answer.field("X-Pinewick-Request-Id"));
            assertEquals("passed on", answer.field("X-More"));
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
        HttpText.Message seen = upstream.read();
        assertEquals("abcde", seen.body());
        assertNull(seen.field("Transfer-Encoding"));
        upstream.send(ScriptedReplica.answer(200, "c1", ""));
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
        assertEquals("stamp-s1", head.field("X-Pinewick-Server-Signature"));
        assertEquals("id: 1\ndata: a\n\n", client.readChunk());
        upstream.send(ScriptedReplica.chunk("id: 2\ndata: b"));
        upstream.send(ScriptedReplica.chunk("\n\n"));
        assertEquals("id: 2\ndata: b\n\n", client.readChunk());
        upstream.send(ScriptedReplica.lastChunk());
        assertEquals("", client.readChunk());
    }

    @Test
    void whatHasNoRouteIsNotFound() throws Exception {
        RawSocket client = router.client();
        client.send(TestRouter.request("POST", "/elsewhere/x", "n1", "body"));
        HttpText.Message answer = client.read();
        assertEquals(404, answer.status());
        assertEquals("n1", answer.field("X-Pinewick-Request-Id"));
        assertNull(answer.field("X-Pinewick-Server-Signature"));
    }

    @Test
    void aRouterWithoutAConfirmedConfigurationAnswersNo404() throws Exception {
        router.informed = false;
        RawSocket client = router.client();
        client.send(TestRouter.request("POST", "/elsewhere/x", "n1", "body"));
        assertEquals(503, client.read().status());
    }

    @Test
    void requestsInFlightAtShutdownAreAnsweredByTheirState() throws Exception {
        ScriptedReplica replica = router.replica("i-1", "plain", Stage.NONE);
        RawSocket client = router.client();
        client.send(TestRouter.request("POST", "/plain/x", "e1", "body"));
        replica.accept().read();
        router.dataPlane.beginStopping();
        router.dataPlane.failRemainingRequests();
        HttpText.Message answer = client.read();
        assertEquals(502, answer.status());
        assertEquals("close", answer.field("Connection"));
        RawSocket late = router.client();
        late.send(TestRouter.request("POST", "/plain/x", "e2", "body"));
        HttpText.Message rejection = late.read();
        assertEquals(503, rejection.status());
        assertEquals("0.2", rejection.field("Retry-After"), "another router takes it at once");
    }

    @Test
    void withoutReplicasTheRequestIsRejectedAtOnceAsNotExecuted() throws Exception {
        RawSocket client = router.client();
        client.send(TestRouter.request("POST", "/plain/x", "r1", "body"));
        HttpText.Message answer = client.read();
        assertEquals(503, answer.status());
        assertComesBackAfterRecovery(answer);
    }

    @Test
    void aRouterThatDoesNotKnowTheConfigurationSendsClientsBackAfterRecovery() throws Exception {
        router.informed = false;
        RawSocket client = router.client();
        client.send(TestRouter.request("POST", "/elsewhere/x", "n2", "body"));
        assertComesBackAfterRecovery(client.read());
    }

    /** A client retries once: not before controllers are elected and replicas have sent a heartbeat. */
    private static void assertComesBackAfterRecovery(HttpText.Message answer) {
        double seconds = Double.parseDouble(answer.field("Retry-After"));
        assertTrue(seconds >= 0.6 && seconds <= 1.1, "Retry-After " + seconds);
    }
}
