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

/** Replicas that cut answers off, send what is no answer, or send more than was asked for. */
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

    private RawSocket answeredRequest(String id) throws Exception {
        RawSocket upstream = firstRequest(id);
        upstream.send(ScriptedReplica.response(200, id, "answer to " + id));
        assertEquals("answer to " + id, client.read().body());
        return upstream;
    }

    private void assertFailsAsPossiblyRun() throws Exception {
        HttpText.Message response = client.read();
        assertEquals(502, response.status());
        assertNull(response.field("X-Pinewick-Server-Signature"));
        assertEquals("", response.body());
    }

    /** The next request is served on a connection of its own. */
    private void assertNextUsesAnotherConnection(RawSocket before, String id) throws Exception {
        assertTrue(before.isClosedByPeer());
        answeredRequest(id);
    }

    @Test
    void aLateAnswerToAnEarlierRequestIsSkipped() throws Exception {
        RawSocket upstream = answeredRequest("q1");
        client.send(TestRouter.request("POST", "/plain/x", "q2", "body"));
        upstream.read();
        upstream.send(ScriptedReplica.response(200, "q1", "answer to q1, again"));
        upstream.send(ScriptedReplica.response(200, "q2", "answer to q2"));
        HttpText.Message response = client.read();
        assertEquals("answer to q2", response.body());
        assertEquals("stamp-q2", response.field("X-Pinewick-Server-Signature"));
        assertNextUsesAnotherConnection(upstream, "q3");
    }

    @Test
    void aLateResponseAloneIsDiscarded() throws Exception {
        RawSocket upstream = answeredRequest("q1");
        client.send(TestRouter.request("POST", "/plain/x", "q2", "body"));
        upstream.read();
        upstream.send(ScriptedReplica.response(200, "q1", "answer to q1, again"));
        upstream.close();
        assertFailsAsPossiblyRun();
    }

    @Test
    void aDuplicateResponseClosesTheConnection() throws Exception {
        RawSocket upstream = firstRequest("q1");
        upstream.send(ScriptedReplica.response(200, "q1", "whole") + ScriptedReplica.response(200, "q1", "extra"));
        assertEquals("whole", client.read().body());
        assertNextUsesAnotherConnection(upstream, "q2");
    }

    @ParameterizedTest
    @ValueSource(strings = {"\r\n", "garbage", "HTTP/1.1 200 OK\r\nX-Pinewick-Request-Id: q1\r\n"})
    void bytesOnAConnectionAtRestCloseIt(String bytes) throws Exception {
        RawSocket upstream = answeredRequest("q1");
        upstream.send(bytes);
        assertNextUsesAnotherConnection(upstream, "q2");
    }

    @Test
    void aResetAtRestCostsNothing() throws Exception {
        RawSocket upstream = answeredRequest("q1");
        upstream.reset();
        answeredRequest("q2");
    }

    @Test
    void aReplicaThatAsksForItGetsNoSecondRequestOnTheConnection() throws Exception {
        RawSocket upstream = firstRequest("q1");
        upstream.send(ScriptedReplica.response(200, "q1", "last", "Connection: close"));
        assertEquals("last", client.read().body());
        assertNextUsesAnotherConnection(upstream, "q2");
    }

    @Test
    void aTruncatedResponseIsNotForwarded() throws Exception {
        RawSocket upstream = firstRequest("q1");
        String whole = ScriptedReplica.response(200, "q1", "0123456789");
        upstream.send(whole.substring(0, whole.length() - 4));
        upstream.close();
        assertFailsAsPossiblyRun();
    }

    @Test
    void aTruncatedChunkedResponseIsNotForwarded() throws Exception {
        RawSocket upstream = firstRequest("q1");
        upstream.send("HTTP/1.1 200 OK\r\nX-Pinewick-Request-Id: q1\r\nX-Pinewick-Server-Signature: s\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
        upstream.close();
        assertFailsAsPossiblyRun();
    }

    /** The beginning of an answer whose body has neither a length nor chunks. */
    private static String answerWithoutLength(int status, String requestId, String body) {
        return "HTTP/1.1 " + status + " Status\r\nX-Pinewick-Request-Id: " + requestId
                + "\r\nX-Pinewick-Server-Signature: stamp-" + requestId + "\r\n\r\n" + body;
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "bytes"})
    void anAnswerWithoutLengthIsWholeOnceItsConnectionIsClosed(String body) throws Exception {
        RawSocket upstream = firstRequest("q1");
        upstream.send(answerWithoutLength(200, "q1", body));
        upstream.close();
        HttpText.Message response = client.read();
        assertEquals(200, response.status());
        assertEquals("stamp-q1", response.field("X-Pinewick-Server-Signature"));
        assertEquals(body, response.body());
        answeredRequest("q2");
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 400, 500})
    void anAnswerWithoutLengthThatIsResetIsNotPassedOn(int status) throws Exception {
        RawSocket upstream = firstRequest("q1");
        upstream.sendAndReset(answerWithoutLength(status, "q1", "bytes"));
        assertFailsAsPossiblyRun();
    }

    @Test
    void aLongResponseWithoutLengthIsCompleteOnceItsConnectionIsClosed() throws Exception {
        String body = "x".repeat(UpstreamAttempt.MAX_BUFFERED_BYTES + 1);
        RawSocket upstream = firstRequest("q1");
        upstream.send(answerWithoutLength(200, "q1", body));
        upstream.close();
        assertEquals(body, client.read().body());
    }

    @Test
    void aLongAnswerWithoutLengthThatIsResetDoesNotLookComplete() throws Exception {
        RawSocket upstream = firstRequest("q1");
        upstream.send(answerWithoutLength(200, "q1", "x".repeat(UpstreamAttempt.MAX_BUFFERED_BYTES + 1)));
        client.readHead();
        upstream.reset();
        assertThrows(IOException.class, () -> {
            while (!client.readChunk().isEmpty()) {
                // all that came before the reset
            }
        });
    }

    @Test
    void aResetWithoutAnAnswerMayHaveRun() throws Exception {
        firstRequest("q1").reset();
        assertFailsAsPossiblyRun();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "garbage that is no answer\r\n\r\n",
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
    void whatIsNotTheRequestsAnswerIsNotPassedOn(String response) throws Exception {
        RawSocket upstream = firstRequest("q1");
        upstream.send(response);
        assertFailsAsPossiblyRun();
    }

    @Test
    void anInterimAnswerIsNotTheAnswer() throws Exception {
        RawSocket upstream = firstRequest("q1");
        upstream.send("HTTP/1.1 100 Continue\r\n\r\n" + ScriptedReplica.response(200, "q1", "final"));
        assertEquals("final", client.read().body());
    }

    @ParameterizedTest
    @ValueSource(ints = {400, 404, 500, 504, 301})
    void aReplicasOwnFailureIsPassedOnUnchanged(int status) throws Exception {
        RawSocket upstream = firstRequest("q1");
        upstream.send(ScriptedReplica.response(status, "q1", "its reason"));
        HttpText.Message response = client.read();
        assertEquals(status, response.status());
        assertEquals("stamp-q1", response.field("X-Pinewick-Server-Signature"));
        assertEquals("its reason", response.body());
    }

    @Test
    void anAddressThatWentToAnotherInstanceHasConnectionsOfItsOwn() throws Exception {
        RawSocket upstream = answeredRequest("q1");
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
