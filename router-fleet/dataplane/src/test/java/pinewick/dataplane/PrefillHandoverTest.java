package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pinewick.model.Stage;

/** Prefill at one replica and decode at another. */
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

    private RawSocket startPrefill(String... fields) throws Exception {
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

    private RawSocket acceptDecode(ScriptedReplica replica, String kvFrom) throws Exception {
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
        assertEquals("signature-q1", response.field("X-Pinewick-Server-Signature"));
    }

    private static void assertHandleReleased(RawSocket connection) throws Exception {
        HttpText.Message forwarded = connection.read();
        assertEquals("DELETE /kv-handle/3fa09c41b7d5 HTTP/1.1", forwarded.firstLine());
        assertEquals("p-1", forwarded.field("X-Pinewick-Expected-Instance"));
        assertNull(forwarded.field("X-Pinewick-Request-Id"));
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }

    @Test
    void prefillsAtOneReplicaAndDecodesAtAnother() throws Exception {
        RawSocket prefillConnection = startPrefill();
        prefillConnection.send(ScriptedReplica.response(200, "q1", HANDLE));
        serve(acceptDecode(decode, handle()));
        // No handle is released: the next request on the persistent connection is the next prompt.
        router.forceChoices("p-1+d-1");
        client.send(TestRouter.request("POST", "/lm/g", "q2", "prompt"));
        assertEquals("prefill", prefillConnection.read().field("X-Pinewick-Serving-Stage"));
    }

    @Test
    void clientsCannotSetRouterHeaders() throws Exception {
        RawSocket prefillConnection = startPrefill(
                "Kv-From: 10.0.0.1:1/x",
                "X-Pinewick-Expected-Instance: other",
                "X-Pinewick-Serving-Stage: decode",
                "Connection: X-Pinewick-Request-Id, X-Hop",
                "X-Hop: 1",
                "TE: trailers",
                "Proxy-Connection: keep-alive",
                "Keep-Alive: timeout=3");
        prefillConnection.send(ScriptedReplica.response(200, "q1", HANDLE));
        serve(acceptDecode(decode, handle()));
    }

    @Test
    void afterARejectedPrefillTheDecodeReplicaPrefills() throws Exception {
        startPrefill().send(ScriptedReplica.rejection("q1"));
        serve(acceptDecode(decode, null));
    }

    @Test
    void afterAFailedPrefillTheDecodeReplicaPrefills() throws Exception {
        startPrefill().reset();
        serve(acceptDecode(decode, null));
    }

    @Test
    void aPrefillResponseWithoutAHandleIsAFailure() throws Exception {
        startPrefill().send(ScriptedReplica.response(200, "q1", "{\"tokens\":3}"));
        serve(acceptDecode(decode, null));
    }

    @Test
    void theHandleOfAnotherRequestIsNotUsed() throws Exception {
        RawSocket prefillConnection = startPrefill();
        prefillConnection.send(ScriptedReplica.response(200, "q0", HANDLE.replace("3fa0", "0000")));
        prefillConnection.send(ScriptedReplica.response(200, "q1", HANDLE));
        serve(acceptDecode(decode, handle()));
    }

    @Test
    void aHandleRejectedByADecodeReplicaIsOfferedToAnother() throws Exception {
        RawSocket prefillConnection = startPrefill();
        prefillConnection.send(ScriptedReplica.response(200, "q1", HANDLE));
        RawSocket decodeConnection = acceptDecode(decode, handle());
        ScriptedReplica other = router.replica("d-2", "lm", Stage.DECODE);
        decodeConnection.send(ScriptedReplica.rejection("q1"));
        serve(acceptDecode(other, handle()));
        // The handle was used, so it is not released: the next request on the persistent connection is the next prompt.
        router.forceChoices("p-1+d-1");
        client.send(TestRouter.request("POST", "/lm/g", "q2", "prompt"));
        assertEquals("prefill", prefillConnection.read().field("X-Pinewick-Serving-Stage"));
    }

    @Test
    void aHandleRejectedByTwoDecodeReplicasIsReleased() throws Exception {
        router.configure(TestRouter.streamRoute(false, 3));
        RawSocket prefillConnection = startPrefill();
        prefillConnection.send(ScriptedReplica.response(200, "q1", HANDLE));
        RawSocket decodeConnection = acceptDecode(decode, handle());
        ScriptedReplica second = router.replica("d-2", "lm", Stage.DECODE);
        decodeConnection.send(ScriptedReplica.rejection("q1"));
        decodeConnection = acceptDecode(second, handle());
        ScriptedReplica third = router.replica("d-3", "lm", Stage.DECODE);
        decodeConnection.send(ScriptedReplica.rejection("q1"));
        assertHandleReleased(prefillConnection);
        serve(acceptDecode(third, null));
    }

    @Test
    void aHandleIsReleasedWhenNoMoreAttemptsAreAllowed() throws Exception {
        router.configure(TestRouter.streamRoute(false, 1));
        RawSocket prefillConnection = startPrefill();
        prefillConnection.send(ScriptedReplica.response(200, "q1", HANDLE));
        acceptDecode(decode, handle()).send(ScriptedReplica.rejection("q1"));
        assertHandleReleased(prefillConnection);
        assertEquals(503, client.read().status());
    }

    @Test
    void servingIsAggregatedAfterConsecutiveFailedTransfers() throws Exception {
        router.configure(TestRouter.streamRoute(false, 1));
        RawSocket decodeConnection = null;
        for (int iteration = 0; iteration < 3; iteration++) {
            RawSocket prefillConnection = startPrefill();
            prefillConnection.send(ScriptedReplica.response(200, "q1", HANDLE));
            decodeConnection = decodeConnection == null ? decode.accept() : decodeConnection;
            assertEquals(handle(), decodeConnection.read().field("Kv-From"));
            decodeConnection.send(ScriptedReplica.rejection("q1"));
            // No response is sent, so that the next prompt needs a new connection.
            assertEquals(
                    "DELETE /kv-handle/3fa09c41b7d5 HTTP/1.1",
                    prefillConnection.read().firstLine());
            assertEquals(503, client.read().status());
            router.forceChoices("p-1+d-1");
        }
        client.send(TestRouter.request("POST", "/lm/g", "q1", "prompt"));
        assertNull(decodeConnection.read().field("Kv-From"));
        serve(decodeConnection);
    }

    @Test
    void aHandleIsReleasedWhenTheDecodeReplicaFails() throws Exception {
        RawSocket prefillConnection = startPrefill();
        prefillConnection.send(ScriptedReplica.response(200, "q1", HANDLE));
        acceptDecode(decode, handle()).reset();
        assertHandleReleased(prefillConnection);
        assertEquals(502, client.read().status());
    }

    @Test
    void aHandleIsReleasedAtTheTimeout() throws Exception {
        client.send("POST /lm/g HTTP/1.1\r\nHost: shop.example\r\nX-Pinewick-Request-Id: q1\r\n"
                + "X-Pinewick-Deadline-Ms: 400\r\nContent-Length: 6\r\n\r\nprompt");
        RawSocket prefillConnection = prefill.accept();
        prefillConnection.read();
        prefillConnection.send(ScriptedReplica.response(200, "q1", HANDLE));
        acceptDecode(decode, handle());
        assertHandleReleased(prefillConnection);
        assertEquals(504, client.read().status());
    }

    @Test
    void withoutADecodeReplicaThePrefilledPromptIsRejectedAndReleased() throws Exception {
        RawSocket prefillConnection = startPrefill();
        router.remove(decode);
        prefillConnection.send(ScriptedReplica.response(200, "q1", HANDLE));
        assertHandleReleased(prefillConnection);
        assertEquals(503, client.read().status());
    }
}
