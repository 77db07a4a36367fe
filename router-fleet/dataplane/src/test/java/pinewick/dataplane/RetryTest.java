package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pinewick.model.Stage;

/** Which requests are retried at a second replica, and the response if a retry is not allowed. */
class RetryTest {
    private TestRouter router;
    private ScriptedReplica first;
    private ScriptedReplica second;
    private RawSocket client;

    @BeforeEach
    void start() throws Exception {
        router = new TestRouter();
        first = router.replica("i-1", "plain", Stage.NONE);
        second = router.replica("i-2", "plain", Stage.NONE);
        client = router.client();
        router.forceChoices("i-1");
    }

    @AfterEach
    void stop() throws Exception {
        router.close();
    }

    private RawSocket send(String kind, int maxAttempts) throws Exception {
        router.configure(TestRouter.plainRoute(kind, maxAttempts));
        client.send(TestRouter.request("POST", "/plain/x", "q1", "body"));
        RawSocket upstream = first.accept();
        upstream.read();
        return upstream;
    }

    private void assertServedBySecond() throws Exception {
        RawSocket upstream = second.accept();
        HttpText.Message forwarded = upstream.read();
        assertEquals("q1", forwarded.field("X-Pinewick-Request-Id"));
        assertEquals("i-2", forwarded.field("X-Pinewick-Expected-Instance"));
        assertEquals("body", forwarded.body());
        upstream.send(ScriptedReplica.response(200, "q1", "from the second"));
        HttpText.Message response = client.read();
        assertEquals(200, response.status());
        assertEquals("from the second", response.body());
    }

    private void assertRejected() throws Exception {
        HttpText.Message response = client.read();
        assertEquals(503, response.status());
        assertNull(response.field("X-Pinewick-Server-Signature"));
        double seconds = Double.parseDouble(response.field("Retry-After"));
        assertTrue(seconds > 0 && seconds < 1, "Retry-After " + seconds);
    }

    @Test
    void aRejectedRequestGoesToAnotherReplica() throws Exception {
        send("non_idempotent", 2).send(ScriptedReplica.rejection("q1"));
        assertServedBySecond();
    }

    @Test
    void aRejectionWithoutMoreAttemptsIsReturnedAs503() throws Exception {
        send("non_idempotent", 1).send(ScriptedReplica.rejection("q1"));
        assertRejected();
    }

    @Test
    void rejectionsByAllReplicasAreReturnedAs503() throws Exception {
        send("non_idempotent", 3).send(ScriptedReplica.rejection("q1"));
        RawSocket upstream = second.accept();
        upstream.read();
        upstream.send(ScriptedReplica.rejection("q1"));
        assertRejected();
    }

    @Test
    void aMisdirectedRequestIsRetriedAtAnotherReplica() throws Exception {
        send("non_idempotent", 2)
                .send("HTTP/1.1 421 Misdirected Request\r\nX-Pinewick-Request-Id: q1\r\n"
                        + "X-Pinewick-Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n");
        assertServedBySecond();
    }

    @Test
    void aRejectionWithATruncatedBodyIsARejection() throws Exception {
        RawSocket upstream = send("non_idempotent", 2);
        upstream.send("HTTP/1.1 503 Full\r\nX-Pinewick-Request-Id: q1\r\nX-Pinewick-Not-Executed: 1\r\n"
                + "Content-Length: 100\r\n\r\nonly");
        upstream.reset();
        assertServedBySecond();
    }

    @Test
    void aRequestThatMayHaveBeenExecutedIsNotRetriedUnlessIdempotent() throws Exception {
        send("non_idempotent", 2).reset();
        assertEquals(502, client.read().status());
    }

    @Test
    void anIdempotentRequestIsRetriedAfterAReset() throws Exception {
        send("idempotent", 2).reset();
        assertServedBySecond();
    }

    @Test
    void anIdempotentRequestIsRetriedAfterAReplicaFailure() throws Exception {
        send("idempotent", 2).send(ScriptedReplica.response(500, "q1", "failed"));
        assertServedBySecond();
    }

    @Test
    void aNonRetriableFailureIsForwarded() throws Exception {
        send("idempotent", 1).send(ScriptedReplica.response(500, "q1", "failed"));
        HttpText.Message response = client.read();
        assertEquals(500, response.status());
        assertEquals("failed", response.body());
        assertEquals("signature-q1", response.field("X-Pinewick-Server-Signature"));
    }

    @Test
    void aRejectionAfterAPossibleExecutionDoesNotProveNonExecution() throws Exception {
        send("idempotent", 2).reset();
        RawSocket upstream = second.accept();
        upstream.read();
        upstream.send(ScriptedReplica.rejection("q1"));
        assertEquals(502, client.read().status());
    }

    @Test
    void aRefusedConnectionIsNotAnAttempt() throws Exception {
        router.configure(TestRouter.plainRoute("non_idempotent", 1));
        first.close();
        client.send(TestRouter.request("POST", "/plain/x", "q1", "body"));
        assertServedBySecond();
    }

    @Test
    void connectionsRefusedByAllReplicasAreReturnedAs503() throws Exception {
        router.configure(TestRouter.plainRoute("non_idempotent", 1));
        first.close();
        second.close();
        client.send(TestRouter.request("POST", "/plain/x", "q1", "body"));
        assertRejected();
    }

    @Test
    void lapsedReplicasAreTriedWhenThereAreNoOthers() throws Exception {
        router.state.merge(first.record().withLapsed(true));
        router.state.merge(second.record().withLapsed(true));
        send("non_idempotent", 1).send(ScriptedReplica.response(200, "q1", "alive"));
        assertEquals("alive", client.read().body());
    }

    @Test
    void aTrafficSplitSkipsAServiceWithoutReplicas() throws Exception {
        router.configure("{\"name\":\"split\",\"hostname\":\"shop.example\",\"path_prefix\":\"/plain/\","
                + "\"route_kind\":\"non_idempotent\",\"timeout_ms\":5000,\"target_latency_ms\":400,\"priority\":1,"
                + "\"traffic_split\":[{\"service\":\"lm\",\"weight\":99},{\"service\":\"plain\",\"weight\":1}],"
                + "\"max_attempts\":1,\"session_affinity\":false,\"resumable\":false,\"gap_aim_ms\":0}");
        client.send(TestRouter.request("POST", "/plain/x", "q1", "body"));
        RawSocket upstream = first.accept();
        upstream.read();
        upstream.send(ScriptedReplica.response(200, "q1", "from the other"));
        assertEquals("from the other", client.read().body());
    }

    @Test
    void anUnresponsiveReplicaEndsInATimeout() throws Exception {
        router.configure(TestRouter.plainRoute("non_idempotent", 2));
        client.send("POST /plain/x HTTP/1.1\r\nHost: shop.example\r\nX-Pinewick-Request-Id: q1\r\n"
                + "X-Pinewick-Deadline-Ms: 150\r\nContent-Length: 0\r\n\r\n");
        RawSocket upstream = first.accept();
        upstream.read();
        assertEquals(504, client.read().status());
        assertTrue(upstream.isClosedByPeer());
    }

    @Test
    void anUnresponsiveReplicaIsAbandonedForARetriableRequest() throws Exception {
        RawSocket upstream = send("idempotent", 2);
        assertServedBySecond();
        assertTrue(upstream.isClosedByPeer());
    }
}
