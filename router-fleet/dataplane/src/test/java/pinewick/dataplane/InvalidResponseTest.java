package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pinewick.model.Stage;

/** Replicas that truncate responses, send invalid ones, or send more than was requested. */
class InvalidResponseTest {
    private TestRouter router;
    private ScriptedReplica replica;
    private RawSocket client;

    @BeforeEach
    void start() throws Exception {
        router = new TestRouter();
        router.configure(TestRouter.plainRoute("non_idempotent", 2));
        replica = router.replica("i-1", "plain", Stage.NONE);
        client = router.client();
    }

    @AfterEach
    void stop() throws Exception {
        router.close();
    }

    private RawSocket firstRequest(String id) throws Exception {
        client.send(TestRouter.request("POST", "/plain/x", id, "body"));
        RawSocket upstream = replica.accept();
        assertEquals(id, upstream.read().field("X-Pinewick-Request-Id"));
        return upstream;
    }

    private RawSocket completedRequest(String id) throws Exception {
        RawSocket upstream = firstRequest(id);
        upstream.send(ScriptedReplica.response(200, id, "response to " + id));
        assertEquals("response to " + id, client.read().body());
        return upstream;
    }

    private void assertFailsAsPossiblyExecuted() throws Exception {
        HttpText.Message response = client.read();
        assertEquals(502, response.status());
        assertNull(response.field("X-Pinewick-Server-Signature"));
        assertEquals("", response.body());
    }

    /** The next request is served on a new connection. */
    private void assertNextUsesANewConnection(RawSocket previous, String id) throws Exception {
        assertTrue(previous.isClosedByPeer());
        completedRequest(id);
    }

    @Test
    void aLateResponseToAnEarlierRequestIsDiscarded() throws Exception {
        RawSocket upstream = completedRequest("q1");
        client.send(TestRouter.request("POST", "/plain/x", "q2", "body"));
        upstream.read();
        upstream.send(ScriptedReplica.response(200, "q1", "response to q1, again"));
        upstream.send(ScriptedReplica.response(200, "q2", "response to q2"));
        HttpText.Message response = client.read();
        assertEquals("response to q2", response.body());
        assertEquals("signature-q2", response.field("X-Pinewick-Server-Signature"));
        assertNextUsesANewConnection(upstream, "q3");
    }

    @Test
    void aLateResponseAloneIsNotForwarded() throws Exception {
        RawSocket upstream = completedRequest("q1");
        client.send(TestRouter.request("POST", "/plain/x", "q2", "body"));
        upstream.read();
        upstream.send(ScriptedReplica.response(200, "q1", "response to q1, again"));
        upstream.close();
        assertFailsAsPossiblyExecuted();
    }

    @Test
    void aDuplicateResponseClosesTheConnection() throws Exception {
        RawSocket upstream = firstRequest("q1");
        upstream.send(ScriptedReplica.response(200, "q1", "complete") + ScriptedReplica.response(200, "q1", "extra"));
        assertEquals("complete", client.read().body());
        assertNextUsesANewConnection(upstream, "q2");
    }

    @ParameterizedTest
    @ValueSource(strings = {"\r\n", "garbage", "HTTP/1.1 200 OK\r\nX-Pinewick-Request-Id: q1\r\n"})
    void bytesOnAnIdleConnectionCloseIt(String bytes) throws Exception {
        RawSocket upstream = completedRequest("q1");
        upstream.send(bytes);
        assertNextUsesANewConnection(upstream, "q2");
    }

    @Test
    void aResetOfAnIdleConnectionFailsNoRequest() throws Exception {
        RawSocket upstream = completedRequest("q1");
        upstream.reset();
        completedRequest("q2");
    }

    @Test
    void connectionCloseEndsReuseOfTheConnection() throws Exception {
        RawSocket upstream = firstRequest("q1");
        upstream.send(ScriptedReplica.response(200, "q1", "last", "Connection: close"));
        assertEquals("last", client.read().body());
        assertNextUsesANewConnection(upstream, "q2");
    }

    @Test
    void aTruncatedResponseIsNotForwarded() throws Exception {
        RawSocket upstream = firstRequest("q1");
        String completeResponse = ScriptedReplica.response(200, "q1", "0123456789");
        upstream.send(completeResponse.substring(0, completeResponse.length() - 4));
        upstream.close();
        assertFailsAsPossiblyExecuted();
    }

    @Test
    void aTruncatedChunkedResponseIsNotForwarded() throws Exception {
        RawSocket upstream = firstRequest("q1");
        upstream.send("HTTP/1.1 200 OK\r\nX-Pinewick-Request-Id: q1\r\nX-Pinewick-Server-Signature: s\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
        upstream.close();
        assertFailsAsPossiblyExecuted();
    }

    /** A response whose body has neither a length nor chunks, so that the end of the connection ends it. */
    private static String responseWithoutLength(int status, String requestId, String body) {
        return "HTTP/1.1 " + status + " Status\r\nX-Pinewick-Request-Id: " + requestId
                + "\r\nX-Pinewick-Server-Signature: signature-" + requestId + "\r\n\r\n" + body;
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "bytes"})
    void aResponseWithoutLengthIsCompleteOnceItsConnectionIsClosed(String body) throws Exception {
        RawSocket upstream = firstRequest("q1");
        upstream.send(responseWithoutLength(200, "q1", body));
        upstream.close();
        HttpText.Message response = client.read();
        assertEquals(200, response.status());
        assertEquals("signature-q1", response.field("X-Pinewick-Server-Signature"));
        assertEquals(body, response.body());
        completedRequest("q2");
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 400, 500})
    void aResponseWithoutLengthThatIsResetIsNotForwarded(int status) throws Exception {
        RawSocket upstream = firstRequest("q1");
        upstream.sendAndReset(responseWithoutLength(status, "q1", "bytes"));
        assertFailsAsPossiblyExecuted();
    }

    @Test
    void aLongResponseWithoutLengthIsCompleteOnceItsConnectionIsClosed() throws Exception {
        String body = "x".repeat(UpstreamAttempt.MAX_BUFFERED_BYTES + 1);
        RawSocket upstream = firstRequest("q1");
        upstream.send(responseWithoutLength(200, "q1", body));
        upstream.close();
        assertEquals(body, client.read().body());
    }

    @Test
    void aLongResponseWithoutLengthThatIsResetDoesNotLookComplete() throws Exception {
        RawSocket upstream = firstRequest("q1");
        upstream.send(responseWithoutLength(200, "q1", "x".repeat(UpstreamAttempt.MAX_BUFFERED_BYTES + 1)));
        client.readHead();
        upstream.reset();
        assertThrows(IOException.class, () -> {
            while (!client.readChunk().isEmpty()) {
                // Received before the reset.
            }
        });
    }

    @Test
    void aRequestMayHaveBeenExecutedAfterAResetWithoutAResponse() throws Exception {
        firstRequest("q1").reset();
        assertFailsAsPossiblyExecuted();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "garbage that is no response\r\n\r\n",
                "HTTP/1.1 banana\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX-Pinewick-Server-Signature: s\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX-Pinewick-Request-Id: q1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX-Pinewick-Request-Id: q1\r\nX-Pinewick-Server-Signature: s\r\n"
                        + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nab",
                "HTTP/1.1 101 Switching Protocols\r\nX-Pinewick-Request-Id: q1\r\n\r\n",
                "HTTP/1.1 503 Service Unavailable\r\nX-Pinewick-Request-Id: q1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 429 Too Many Requests\r\nX-Pinewick-Request-Id: q1\r\n"
                        + "X-Pinewick-Server-Signature: s\r\nContent-Length: 0\r\n\r\n"
            })
    void anInvalidResponseIsNotForwarded(String response) throws Exception {
        RawSocket upstream = firstRequest("q1");
        upstream.send(response);
        assertFailsAsPossiblyExecuted();
    }

    @Test
    void anInterimResponseIsNotTheFinalResponse() throws Exception {
        RawSocket upstream = firstRequest("q1");
        upstream.send("HTTP/1.1 100 Continue\r\n\r\n" + ScriptedReplica.response(200, "q1", "final"));
        assertEquals("final", client.read().body());
    }

    @ParameterizedTest
    @ValueSource(ints = {400, 404, 500, 504, 301})
    void anErrorResponseOfTheReplicaIsForwardedUnchanged(int status) throws Exception {
        RawSocket upstream = firstRequest("q1");
        upstream.send(ScriptedReplica.response(status, "q1", "its reason"));
        HttpText.Message response = client.read();
        assertEquals(status, response.status());
        assertEquals("signature-q1", response.field("X-Pinewick-Server-Signature"));
        assertEquals("its reason", response.body());
    }

    @Test
    void aNewInstanceAtAnAddressGetsNewConnections() throws Exception {
        RawSocket upstream = completedRequest("q1");
        router.remove(replica);
        assertTrue(upstream.isClosedByPeer());
        router.state.merge(replica.successor("i-2").record());
        client.send(TestRouter.request("POST", "/plain/x", "q2", "body"));
        RawSocket next = replica.accept();
        assertEquals("i-2", next.read().field("X-Pinewick-Expected-Instance"));
        next.send(ScriptedReplica.response(200, "q2", "second"));
        assertEquals("second", client.read().body());
    }
}
