package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import pinewick.model.InvalidConfigurationException;
import pinewick.model.Stage;

/** At its route's timeout every request has its final response, whatever it is waiting for. */
class TimeoutTest {
    private static final String HEAD =
            "POST /plain/x HTTP/1.1\r\nHost: shop.example\r\nX-Pinewick-Request-Id: q1\r\nContent-Length: 10\r\n\r\n";

    /** More responses in total than the socket buffers between router and client hold. */
    private static final int MAX_RESPONSES = 40;

    private static final int QUIET_MS = 500;

    private TestRouter router;
    private ScriptedReplica replica;
    private RawSocket client;

    @BeforeEach
    void start() throws Exception {
        router = new TestRouter();
        replica = router.replica("i-1", "plain", Stage.NONE);
        client = router.client();
        configure(200);
    }

    @AfterEach
    void stop() throws Exception {
        router.close();
    }

    private void configure(int timeoutMs) throws InvalidConfigurationException {
        router.configure(TestRouter.plainRoute("non_idempotent", 1)
                .replace("\"timeout_ms\":5000", "\"timeout_ms\":" + timeoutMs));
    }

    @Test
    void anIncompleteBodyTimesOut() throws Exception {
        client.send(HEAD + "half");
        HttpText.Message response = client.read();
        assertEquals(408, response.status());
        assertEquals("close", response.field("Connection"));
        assertTrue(client.isClosedByPeer());
    }

    @RepeatedTest(12)
    void theRestOfALateBodyIsNotParsedAsARequest() throws Exception {
        client.send(HEAD + "half");
        assertEquals(408, client.read().status());
        assertThrows(IOException.class, () -> {
            client.send("rest..GET /plain/y HTTP/1.1\r\nHost: shop.example\r\nX-Pinewick-Request-Id: q2\r\n\r\n");
            client.read();
        });
        RawSocket other = router.client();
        other.send(HEAD.replace("q1", "q3") + "0123456789");
        RawSocket upstream = replica.accept();
        assertEquals("q3", upstream.read().field("X-Pinewick-Request-Id"));
    }

    @Test
    void anUnresponsiveReplicaTimesOut() throws Exception {
        client.send(HEAD + "0123456789");
        RawSocket upstream = replica.accept();
        upstream.read();
        assertEquals(504, client.read().status());
        assertTrue(upstream.isClosedByPeer());
    }

    @Test
    void aChangedTimeoutAppliesToTheNextRequest() throws Exception {
        configure(60_000);
        configure(200);
        client.send(HEAD + "0123456789");
        replica.accept().read();
        assertEquals(504, client.read().status());
    }

    @Test
    void abortsAResponseInProgressAlthoughItsClientDoesNotRead() throws Exception {
        client.send(HEAD + "0123456789");
        RawSocket upstream = replica.accept();
        upstream.read();
        upstream.send("HTTP/1.1 200 OK\r\nX-Pinewick-Request-Id: q1\r\nX-Pinewick-Server-Signature: s\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n");
        upstream.sendUntilBlocked(ScriptedReplica.chunk("x".repeat(256 * 1024)));
        router.dataPlane.whenIdle().get(10, TimeUnit.SECONDS);
        assertEquals(
                0,
                router.frontend.clientConnections(),
                "the connection must be closed although the client reads nothing");
        assertEquals(200, client.readHead().status());
        assertThrows(IOException.class, () -> {
            while (!client.readChunk().isEmpty()) {
                // Received before the abort.
            }
        });
    }

    @Test
    void doesNotRetainTheEndOfAResponseForAClientThatDoesNotRead() throws Exception {
        configure(1_000);
        String body = "x".repeat(UpstreamAttempt.MAX_BUFFERED_BYTES - 1);
        for (int i = 0; i < MAX_RESPONSES; i++) {
            client.send(TestRouter.request("POST", "/plain/x", "q" + i, ""));
        }
        RawSocket upstream = replica.accept();
        int responseCount = 0;
        do {
            upstream.read();
            upstream.send(ScriptedReplica.response(200, "q" + responseCount, body));
            responseCount++;
        } while (responseCount < MAX_RESPONSES && upstream.hasDataWithin(QUIET_MS));
        assertTrue(responseCount < MAX_RESPONSES, "the client's socket was expected to block the last response");
        router.dataPlane.whenIdle().get(10, TimeUnit.SECONDS);
        assertEquals(
                0,
                router.frontend.clientConnections(),
                "the connection must be closed although the client reads nothing");
        assertFalse(upstream.hasDataWithin(QUIET_MS), "a pipelined request was sent");
        assertFalse(replica.hasPendingConnection(), "a pipelined request was sent");
    }
}
