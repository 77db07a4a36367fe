package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pinewick.model.Stage;

/** Prefill at one replica, decode at another. */
class PrefillHandoverTest {
    private static final String HANDLE = "{\"prefill_handle\":\"3fa09c41b7d5\",\"tokens\":1460,\"version\":1}";
    private static final String EVENT = "id: 1\ndata: a\n\n";

    private TestRouter router;
    private ScriptedReplica prefill;
    private ScriptedReplica decode;
    private RawSocket client;

    @BeforeEach
    void start() throws Exception {
        router = new TestRouter();
        router.configure(TestRouter.streamRoute(false, 2));
        prefill = router.replica("p-1", "lm", Stage.PREFILL);
        decode = router.replica("d-1", "lm", Stage.DECODE);
        client = router.client();
        router.forceChoices("p-1+d-1");
    }

    @AfterEach
    void stop() throws Exception {
        router.close();
    }

    private RawSocket askPrefill(String... fields) throws Exception {
        client.send(TestRouter.request("POST", "/lm/g", "q1", "prompt", fields));
        RawSocket upstream = prefill.accept();
        HttpText.Message forwarded = upstream.read();
        assertEquals("prefill", forwarded.field("X-Pinewick-Serving-Stage"));
        assertEquals("p-1", forwarded.field("X-Pinewick-Expected-Instance"));
        assertEquals("q1", forwarded.field("X-Pinewick-Request-Id"));
        assertEquals("prompt", forwarded.body());
        assertNull(forwarded.field("Kv-From"));
        return upstream;
    }

    private RawSocket askDecode(ScriptedReplica replica, String kvFrom) throws Exception {
        RawSocket upstream = replica.accept();
        HttpText.Message forwarded = upstream.read();
        assertEquals(kvFrom, forwarded.field("Kv-From"));
        assertNull(forwarded.field("X-Pinewick-Serving-Stage"));
        assertEquals("prompt", forwarded.body());
        return upstream;
    }

    private String handle() {
        return prefill.address() + "/3fa09c41b7d5";
    }

    private void serve(RawSocket upstream) throws Exception {
        upstream.send(ScriptedReplica.streamHead("q1") + ScriptedReplica.chunk(EVENT) + ScriptedReplica.lastChunk());
        HttpText.Message response = client.read();
        assertEquals(200, response.status());
        assertEquals(EVENT, response.body());
        assertEquals("stamp-q1", response.field("X-Pinewick-Server-Signature"));
    }

    private static void assertFreed(RawSocket prefillConnection) throws Exception {
        HttpText.Message forwarded = prefillConnection.read();
        assertEquals("DELETE /kv-handle/3fa09c41b7d5 HTTP/1.1", forwarded.firstLine());
        assertEquals("p-1", forwarded.field("X-Pinewick-Expected-Instance"));
        assertNull(forwarded.field("X-Pinewick-Request-Id"));
        prefillConnection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }

    @Test
    void thePromptIsPrefilledAtOneReplicaAndDecodedAtAnother() throws Exception {
        RawSocket reading = askPrefill();
        reading.send(ScriptedReplica.response(200, "q1", HANDLE));
        serve(askDecode(decode, handle()));
        // Nothing is freed: the next thing on the kept connection is the next prompt.
        router.forceChoices("p-1+d-1");
        client.send(TestRouter.request("POST", "/lm/g", "q2", "prompt"));
        assertEquals("prefill", reading.read().field("X-Pinewick-Serving-Stage"));
    }

    @Test
    void clientsCannotSetRouterHeaders() throws Exception {
        RawSocket reading = askPrefill(
                "Kv-From: 10.0.0.1:1/x",
                "X-Pinewick-Expected-Instance: other",
                "X-Pinewick-Serving-Stage: decode",
                "Connection: X-Pinewick-Request-Id, X-Hop",
                "X-Hop: 1",
                "TE: trailers",
                "Proxy-Connection: keep-alive",
                "Keep-Alive: timeout=3");
        reading.send(ScriptedReplica.response(200, "q1", HANDLE));
        serve(askDecode(decode, handle()));
    }

    @Test
    void aRejectedPrefillIsDoneByTheDecodeReplica() throws Exception {
        askPrefill().send(ScriptedReplica.rejection("q1"));
        serve(askDecode(decode, null));
    }

    @Test
    void aBrokenPrefillIsDoneByTheDecodeReplica() throws Exception {
        askPrefill().reset();
        serve(askDecode(decode, null));
    }

    @Test
    void anAnswerWithoutAHandleCountsAsBroken() throws Exception {
        askPrefill().send(ScriptedReplica.response(200, "q1", "{\"tokens\":3}"));
        serve(askDecode(decode, null));
    }

    @Test
    void theHandleOfAnotherRequestIsNotUsed() throws Exception {
        RawSocket reading = askPrefill();
        reading.send(ScriptedReplica.response(200, "q0", HANDLE.replace("3fa0", "0000")));
        reading.send(ScriptedReplica.response(200, "q1", HANDLE));
        serve(askDecode(decode, handle()));
    }

    @Test
    void aHandleRejectedByADecodeReplicaIsOfferedToAnother() throws Exception {
        RawSocket reading = askPrefill();
        reading.send(ScriptedReplica.response(200, "q1", HANDLE));
        RawSocket decoding = askDecode(decode, handle());
        ScriptedReplica other = router.replica("d-2", "lm", Stage.DECODE);
        decoding.send(ScriptedReplica.rejection("q1"));
        serve(askDecode(other, handle()));
        // It was taken, so it is not freed: the next thing on the kept connection is the next prompt.
        router.forceChoices("p-1+d-1");
        client.send(TestRouter.request("POST", "/lm/g", "q2", "prompt"));
        assertEquals("prefill", reading.read().field("X-Pinewick-Serving-Stage"));
    }

    @Test
    void aHandleRejectedByTwoDecodeReplicasIsReleased() throws Exception {
        router.configure(TestRouter.streamRoute(false, 3));
        RawSocket reading = askPrefill();
        reading.send(ScriptedReplica.response(200, "q1", HANDLE));
        RawSocket decoding = askDecode(decode, handle());
        ScriptedReplica second = router.replica("d-2", "lm", Stage.DECODE);
        decoding.send(ScriptedReplica.rejection("q1"));
        decoding = askDecode(second, handle());
        ScriptedReplica third = router.replica("d-3", "lm", Stage.DECODE);
        decoding.send(ScriptedReplica.rejection("q1"));
        assertFreed(reading);
        serve(askDecode(third, null));
    }

    @Test
    void aHandleIsReleasedWhenNoMoreAttemptsAreAllowed() throws Exception {
        router.configure(TestRouter.streamRoute(false, 1));
        RawSocket reading = askPrefill();
        reading.send(ScriptedReplica.response(200, "q1", HANDLE));
        askDecode(decode, handle()).send(ScriptedReplica.rejection("q1"));
        assertFreed(reading);
        assertEquals(503, client.read().status());
    }

    @Test
    void whileNoTransferSucceedsServingIsAggregated() throws Exception {
        router.configure(TestRouter.streamRoute(false, 1));
        RawSocket decoding = null;
        for (int iteration = 0; iteration < 3; iteration++) {
            RawSocket reading = askPrefill();
            reading.send(ScriptedReplica.response(200, "q1", HANDLE));
            decoding = decoding == null ? decode.accept() : decoding;
            assertEquals(handle(), decoding.read().field("Kv-From"));
            decoding.send(ScriptedReplica.rejection("q1"));
            // Left unanswered, so that the next prompt needs a connection of its own.
            assertEquals(
                    "DELETE /kv-handle/3fa09c41b7d5 HTTP/1.1", reading.read().firstLine());
            assertEquals(503, client.read().status());
            router.forceChoices("p-1+d-1");
        }
        client.send(TestRouter.request("POST", "/lm/g", "q1", "prompt"));
        assertNull(decoding.read().field("Kv-From"));
        serve(decoding);
    }

    @Test
    void aHandleIsReleasedWhenTheDecodeReplicaFails() throws Exception {
        RawSocket reading = askPrefill();
        reading.send(ScriptedReplica.response(200, "q1", HANDLE));
        askDecode(decode, handle()).reset();
        assertFreed(reading);
        assertEquals(502, client.read().status());
    }

    @Test
    void aHandleIsReleasedAtTheTimeout() throws Exception {
        client.send("POST /lm/g HTTP/1.1\r\nHost: shop.example\r\nX-Pinewick-Request-Id: q1\r\n"
                + "X-Pinewick-Deadline-Ms: 400\r\nContent-Length: 6\r\n\r\nprompt");
        RawSocket reading = prefill.accept();
        reading.read();
        reading.send(ScriptedReplica.response(200, "q1", HANDLE));
        askDecode(decode, handle());
        assertFreed(reading);
        assertEquals(504, client.read().status());
    }

    @Test
    void withoutADecodeReplicaThePrefilledPromptIsRejectedAndReleased() throws Exception {
        RawSocket reading = askPrefill();
        router.remove(decode);
        reading.send(ScriptedReplica.response(200, "q1", HANDLE));
        assertFreed(reading);
        assertEquals(503, client.read().status());
    }
}
