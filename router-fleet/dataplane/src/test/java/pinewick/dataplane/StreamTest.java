package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pinewick.model.Stage;

/** Streams that fail before, within and between events, and clients that disconnect or read slowly. */
class StreamTest {
    private static final int QUIET_MS = 300;
    private static final int JUNK_CHUNK_BYTES = 128 * 1024;

    private TestRouter router;
    private ScriptedReplica first;
    private ScriptedReplica second;
    private RawSocket client;

    @BeforeEach
    void start() throws Exception {
        router = new TestRouter();
        first = router.replica("i-1", "lm", Stage.DECODE);
        second = router.replica("i-2", "lm", Stage.DECODE);
        client = router.client();
        router.forceChoices("i-1");
    }

    @AfterEach
    void stop() throws Exception {
        router.close();
    }

    private static String event(int id) {
        return "id: " + id + "\ndata: token " + id + "\n\n";
    }

    private RawSocket startStream(boolean resumable, int maxAttempts, String... fields) throws Exception {
        router.configure(TestRouter.streamRoute(resumable, maxAttempts));
        client.send(TestRouter.request("POST", "/lm/g", "q1", "prompt", fields));
        RawSocket upstream = first.accept();
        upstream.read();
        upstream.send(ScriptedReplica.streamHead("q1"));
        return upstream;
    }

    private void forwardOneEvent(RawSocket upstream) throws Exception {
        upstream.send(ScriptedReplica.chunk(event(1)));
        HttpText.Message head = client.readHead();
        assertEquals(200, head.status());
        assertEquals("signature-q1", head.field("X-Pinewick-Server-Signature"));
        assertEquals(event(1), client.readChunk());
    }

    private void assertAborted() {
        assertThrows(IOException.class, client::readChunk);
    }

    @Test
    void aStreamThatFailsBeforeItsFirstEventReturns502() throws Exception {
        RawSocket upstream = startStream(false, 2);
        upstream.send(ScriptedReplica.chunk("id: 1\ndata: par"));
        upstream.reset();
        assertEquals(502, client.read().status());
    }

    @Test
    void aBrokenStreamDoesNotLookComplete() throws Exception {
        RawSocket upstream = startStream(false, 2);
        forwardOneEvent(upstream);
        upstream.send(ScriptedReplica.chunk("id: 2\ndata: par"));
        upstream.close();
        assertAborted();
    }

    @Test
    void aResumableStreamContinuesAtAnotherReplicaAfterTheLastCompleteEvent() throws Exception {
        RawSocket upstream = startStream(true, 2);
        forwardOneEvent(upstream);
        upstream.send(ScriptedReplica.chunk("id: 2\ndata: par"));
        upstream.reset();
        RawSocket next = second.accept();
        HttpText.Message forwarded = next.read();
        assertEquals("1", forwarded.field("Last-Event-Id"));
        assertEquals("prompt", forwarded.body());
        next.send(ScriptedReplica.streamHead("q1", "X-Second: head"));
        next.send(ScriptedReplica.chunk(event(1) + event(2)));
        assertEquals(event(2), client.readChunk());
        next.send(ScriptedReplica.chunk(event(3)) + ScriptedReplica.lastChunk());
        assertEquals(event(3), client.readChunk());
        assertEquals("", client.readChunk());
    }

    /** One spoilt stream ended the router, and with it every request that it had passed on. */
    @Test
    void aStreamOfBytesThatAreNoEventIsBrokenOffAndContinuesAtAnotherReplica() throws Exception {
        RawSocket upstream = startStream(true, 2);
        forwardOneEvent(upstream);
        String junk = ScriptedReplica.chunk("x".repeat(JUNK_CHUNK_BYTES));
        int[] sentBytes = {0};
        assertTrue(upstream.isClosedByPeerWhileSending(iteration -> {
            sentBytes[0] += JUNK_CHUNK_BYTES;
            return junk;
        }));
        assertTrue(
                sentBytes[0] <= 2 * EventStreamReader.MAX_EVENT_BYTES,
                "the stream was broken off after " + sentBytes[0] + " bytes");
        RawSocket next = second.accept();
        assertEquals("1", next.read().field("Last-Event-Id"));
        next.send(ScriptedReplica.streamHead("q1") + ScriptedReplica.chunk(event(2)) + ScriptedReplica.lastChunk());
        assertEquals(event(2), client.readChunk());
        assertEquals("", client.readChunk());
    }

    @Test
    void aResumableStreamWithoutAnEventRestartsAfterTheClientsOwnLastEvent() throws Exception {
        RawSocket upstream = startStream(true, 2, "Last-Event-Id: 12");
        upstream.reset();
        RawSocket next = second.accept();
        assertEquals("12", next.read().field("Last-Event-Id"));
        next.send(ScriptedReplica.streamHead("q1") + ScriptedReplica.chunk(event(13)) + ScriptedReplica.lastChunk());
        HttpText.Message response = client.read();
        assertEquals(200, response.status());
        assertEquals(event(13), response.body());
    }

    @Test
    void withoutMoreAttemptsABrokenResumableStreamIsAborted() throws Exception {
        RawSocket upstream = startStream(true, 1);
        forwardOneEvent(upstream);
        upstream.reset();
        assertAborted();
    }

    @Test
    void whenTheSecondReplicaRejectsItTheStreamIsAborted() throws Exception {
        RawSocket upstream = startStream(true, 2);
        forwardOneEvent(upstream);
        upstream.reset();
        RawSocket next = second.accept();
        next.read();
        next.send(ScriptedReplica.rejection("q1"));
        assertAborted();
    }

    @Test
    void aStreamWithoutAnyEventIsForwardedCompletely() throws Exception {
        RawSocket upstream = startStream(false, 1);
        upstream.send(ScriptedReplica.lastChunk());
        HttpText.Message response = client.read();
        assertEquals(200, response.status());
        assertEquals("", response.body());
    }

    /** Starts a stream that has neither a length nor chunks, so that the end of the connection ends it. */
    private RawSocket startStreamWithoutChunks(boolean resumable, int maxAttempts) throws Exception {
        router.configure(TestRouter.streamRoute(resumable, maxAttempts));
        client.send(TestRouter.request("POST", "/lm/g", "q1", "prompt"));
        RawSocket upstream = first.accept();
        upstream.read();
        upstream.send("HTTP/1.1 200 OK\r\nX-Pinewick-Request-Id: q1\r\nX-Pinewick-Server-Signature: signature-q1\r\n"
                + "Content-Type: text/event-stream\r\n\r\n");
        return upstream;
    }

    @Test
    void aStreamWithoutChunksClosedAfterAnEventIsComplete() throws Exception {
        RawSocket upstream = startStreamWithoutChunks(false, 1);
        upstream.send(event(1) + event(2));
        upstream.close();
        HttpText.Message response = client.read();
        assertEquals(200, response.status());
        assertEquals(event(1) + event(2), response.body());
    }

    @Test
    void aStreamWithoutChunksThatIsClosedWithinAnEventIsAborted() throws Exception {
        RawSocket upstream = startStreamWithoutChunks(false, 1);
        upstream.send(event(1) + "id: 2\ndata: tok");
        upstream.close();
        client.readHead();
        assertEquals(event(1), client.readChunk());
        assertAborted();
    }

    @Test
    void aStreamWithoutChunksThatIsResetIsAborted() throws Exception {
        RawSocket upstream = startStreamWithoutChunks(false, 1);
        upstream.send(event(1));
        client.readHead();
        assertEquals(event(1), client.readChunk());
        upstream.reset();
        assertAborted();
    }

    @Test
    void aStreamWithoutChunksThatIsClosedBeforeItsFirstEventReturns502() throws Exception {
        startStreamWithoutChunks(false, 1).close();
        assertEquals(502, client.read().status());
    }

    @Test
    void aResumableStreamWithoutChunksThatIsResetContinuesAtAnotherReplica() throws Exception {
        RawSocket upstream = startStreamWithoutChunks(true, 2);
        upstream.send(event(1));
        client.readHead();
        assertEquals(event(1), client.readChunk());
        upstream.reset();
        RawSocket next = second.accept();
        assertEquals("1", next.read().field("Last-Event-Id"));
        next.send(ScriptedReplica.streamHead("q1") + ScriptedReplica.chunk(event(2)) + ScriptedReplica.lastChunk());
        assertEquals(event(2), client.readChunk());
        assertEquals("", client.readChunk());
    }

    @Test
    void anUnsignedStreamIsNotForwarded() throws Exception {
        router.configure(TestRouter.streamRoute(false, 1));
        client.send(TestRouter.request("POST", "/lm/g", "q1", "prompt"));
        RawSocket upstream = first.accept();
        upstream.read();
        upstream.send("HTTP/1.1 200 OK\r\nX-Pinewick-Request-Id: q1\r\nContent-Type: text/event-stream\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n" + ScriptedReplica.chunk(event(1)));
        HttpText.Message response = client.read();
        assertEquals(502, response.status());
        assertNull(response.field("X-Pinewick-Server-Signature"));
    }

    @Test
    void aClientDisconnectClosesTheReplicaConnection() throws Exception {
        RawSocket upstream = startStream(false, 1);
        forwardOneEvent(upstream);
        client.reset();
        assertTrue(upstream.isClosedByPeerWhileSending(iteration -> ScriptedReplica.chunk(event(iteration + 2))));
    }

    @Test
    void noMoreRequestsOfADisconnectedClientAreSent() throws Exception {
        router.configure(TestRouter.streamRoute(false, 1));
        client.send(TestRouter.request("POST", "/lm/g", "q1", "prompt")
                + TestRouter.request("POST", "/lm/g", "q2", "prompt"));
        RawSocket upstream = first.accept();
        upstream.read();
        client.close();
        upstream.send(ScriptedReplica.response(200, "q1", "response"));
        router.dataPlane.whenIdle().get(10, TimeUnit.SECONDS);
        assertFalse(upstream.hasDataWithin(QUIET_MS), "the second request was sent");
        assertFalse(first.hasPendingConnection() || second.hasPendingConnection(), "the second request was sent");
    }

    @Test
    void aStalledResumableStreamContinuesAtAnotherReplica() throws Exception {
        RawSocket upstream = startStream(true, 2);
        forwardOneEvent(upstream);
        RawSocket next = second.accept();
        assertEquals("1", next.read().field("Last-Event-Id"));
        assertTrue(upstream.isClosedByPeer());
        next.send(ScriptedReplica.streamHead("q1") + ScriptedReplica.chunk(event(2)) + ScriptedReplica.lastChunk());
        assertEquals(event(2), client.readChunk());
        assertEquals("", client.readChunk());
    }

    @Test
    void aDisconnectBeforeTheFirstEventIsDetected() throws Exception {
        RawSocket upstream = startStream(false, 1);
        client.close();
        assertTrue(upstream.isClosedByPeerWhile(router.dataPlane::checkDisconnects));
    }

    @Test
    void aDisconnectAfterAPipelinedRequestIsDetected() throws Exception {
        RawSocket upstream = startStream(false, 1);
        client.send(TestRouter.request("POST", "/elsewhere/x", "q2", "a separate body"));
        router.dataPlane.checkDisconnects();
        router.dataPlane.checkDisconnects();
        client.close();
        assertTrue(upstream.isClosedByPeerWhile(router.dataPlane::checkDisconnects));
    }

    @Test
    void aPipelinedRequestIsNotADisconnect() throws Exception {
        RawSocket upstream = startStream(false, 1);
        client.send(TestRouter.request("POST", "/elsewhere/x", "q2", ""));
        router.dataPlane.checkDisconnects();
        router.dataPlane.checkDisconnects();
        upstream.send(ScriptedReplica.chunk(event(1)) + ScriptedReplica.lastChunk());
        assertEquals(event(1), client.read().body());
        HttpText.Message second = client.read();
        assertEquals(404, second.status());
        assertEquals("q2", second.field("X-Pinewick-Request-Id"));
    }

    @Test
    void aSlowClientAppliesBackpressureToItsReplicaOnly() throws Exception {
        RawSocket upstream = startStream(false, 1);
        forwardOneEvent(upstream);
        String large = "data: " + "x".repeat(64 * 1024) + "\n\n";
        upstream.sendUntilBlocked(ScriptedReplica.chunk(large));
        // Another client is served in the meantime.
        router.forceChoices("i-2");
        RawSocket other = router.client();
        other.send(TestRouter.request("POST", "/lm/g", "q2", "prompt"));
        RawSocket next = second.accept();
        next.read();
        next.send(ScriptedReplica.streamHead("q2") + ScriptedReplica.chunk(event(1)) + ScriptedReplica.lastChunk());
        assertEquals(event(1), other.read().body());
        // The events arrive once the first client reads.
        assertEquals(large, client.readChunk().substring(0, large.length()));
    }
}
