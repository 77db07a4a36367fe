package pinewick.dataplane;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pinewick.model.Stage;

/** Limits on requests and connections, and the responses to clients that exceed them. */
class LimitsTest {
    private TestRouter router;

    @BeforeEach
    void start() throws Exception {
        router = new TestRouter();
        router.configure(TestRouter.plainRoute("non_idempotent", 1));
    }

    @AfterEach
    void stop() throws Exception {
        router.close();
    }

    @Test
    void aBodyBeyondTheLimitIsRejectedByItsContentLength() throws Exception {
        RawSocket client = router.client();
        client.send("POST /plain/x HTTP/1.1\r\nHost: shop.example\r\nX-Pinewick-Request-Id: q1\r\n"
                + "Content-Length: 70000\r\n\r\n");
        HttpText.Message response = client.read();
        assertEquals(413, response.status());
        assertEquals("close", response.field("Connection"));
    }

    @Test
    void aChunkedBodyBeyondTheLimitIsRejected() throws Exception {
        RawSocket client = router.client();
        client.send("POST /plain/x HTTP/1.1\r\nHost: shop.example\r\nX-Pinewick-Request-Id: q1\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n" + ScriptedReplica.chunk("x".repeat(65_000)));
        client.send("3e8\r\n" + "x".repeat(1000));
        assertEquals(413, client.read().status());
    }

    @Test
    void aHeadBeyondTheLimitIsRejected() throws Exception {
        RawSocket client = router.client();
        client.send(TestRouter.request("POST", "/plain/x", "q1", "", "X-Large: " + "x".repeat(17_000)));
        assertEquals(431, client.read().status());
    }

    @Test
    void aHeadBeyondTheParserLimitIsRejected() throws Exception {
        RawSocket client = router.client();
        client.send("POST /plain/x HTTP/1.1\r\nHost: shop.example\r\nX-Large: " + "x".repeat(80_000));
        assertEquals(431, client.read().status());
    }

    @Test
    void changedLimitsApplyToOpenConnections() throws Exception {
        ScriptedReplica replica = router.replica("i-1", "plain", Stage.NONE);
        RawSocket client = router.client();
        String large = TestRouter.request("POST", "/plain/x", "q1", "", "X-Large: " + "x".repeat(17_000));
        client.send(large);
        assertEquals(431, client.read().status());
        router.configureWithHeaderLimit(32_768, TestRouter.plainRoute("non_idempotent", 1));
        client.send(large);
        RawSocket upstream = replica.accept();
        upstream.read();
        upstream.send(ScriptedReplica.response(200, "q1", "fits"));
        assertEquals("fits", client.read().body());
    }

    @Test
    void aRequestWithoutAnIdIsRejected() throws Exception {
        RawSocket client = router.client();
        client.send("GET /plain/x HTTP/1.1\r\nHost: shop.example\r\n\r\n");
        assertEquals(400, client.read().status());
        client.send("GET /plain/x HTTP/1.1\r\nHost: shop.example\r\nX-Pinewick-Request-Id: a\r\n"
                + "X-Pinewick-Request-Id: b\r\n\r\n");
        assertEquals(400, client.read().status());
    }

    @Test
    void aSecondRequestCannotBeSmuggledInAFirst() throws Exception {
        RawSocket client = router.client();
        client.send("POST /plain/x HTTP/1.1\r\nHost: shop.example\r\nX-Pinewick-Request-Id: q1\r\n"
                + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /plain/y HTTP/1.1\r\n"
                + "Host: shop.example\r\nX-Pinewick-Request-Id: q2\r\n\r\n");
        assertEquals(400, client.read().status());
        assertTrue(client.isClosedByPeer());
    }

    @Test
    void pathsAreForwardedUnchanged() throws Exception {
        ScriptedReplica replica = router.replica("i-1", "plain", Stage.NONE);
        RawSocket client = router.client();
        RawSocket upstream = null;
        for (String target : new String[] {
            "/plain/../plain/./a//b", "/plain/%2e%2E/%2f%FF", "/plain/a;p=1/..;/b?q=?&r=%zz", "/plain/|{}\\^`"
        }) {
            client.send(TestRouter.request("POST", target, "q1", "b"));
            upstream = upstream == null ? replica.accept() : upstream;
            assertEquals("POST " + target + " HTTP/1.1", upstream.read().firstLine());
            upstream.send(ScriptedReplica.response(200, "q1", ""));
            assertEquals(200, client.read().status());
        }
    }

    @ParameterizedTest
    @CsvSource({"/plain/%00", "/plain/%zz", "*", "/plain/\u00e9", "/plain/x?\u00c3\u00a9"})
    void invalidTargetsAreRejected(String target) throws Exception {
        router.replica("i-1", "plain", Stage.NONE);
        RawSocket client = router.client();
        client.send(TestRouter.request("POST", target, "q1", ""));
        assertEquals(400, client.read().status());
    }

    @ParameterizedTest
    @CsvSource({"GET", "HEAD", "DELETE", "PUT", "OPTIONS", "PATCH", "BREW"})
    void methodsAreForwardedUnchanged(String method) throws Exception {
        ScriptedReplica replica = router.replica("i-1", "plain", Stage.NONE);
        RawSocket client = router.client();
        client.send(method + " /plain/x HTTP/1.1\r\nHost: shop.example\r\nX-Pinewick-Request-Id: q1\r\n\r\n");
        RawSocket upstream = replica.accept();
        HttpText.Message forwarded = upstream.readHead();
        assertEquals(method + " /plain/x HTTP/1.1", forwarded.firstLine());
        String completeResponse = ScriptedReplica.response(200, "q1", "12345");
        upstream.send(
                method.equals("HEAD")
                        ? completeResponse.substring(0, completeResponse.length() - 5)
                        : completeResponse);
        HttpText.Message head = client.readHead();
        assertEquals(200, head.status());
        assertEquals("5", head.field("Content-Length"));
    }

    @Test
    void fieldValuesAreForwardedUnchanged() throws Exception {
        ScriptedReplica replica = router.replica("i-1", "plain", Stage.NONE);
        RawSocket client = router.client();
        String value = "a  b;c=\"\u00e9\u00fc\u00c3\u00a9\", ,x";
        client.send(TestRouter.request("POST", "/plain/x", "q1", "b", "X-Odd: " + value, "X-Odd: second", "X-Empty:"));
        RawSocket upstream = replica.accept();
        HttpText.Message forwarded = upstream.read();
        assertEquals(value, forwarded.field("X-Odd"));
        assertTrue(forwarded.fields().contains("X-Odd: second"));
        assertEquals("", forwarded.field("X-Empty"));
        upstream.send(ScriptedReplica.response(200, "q1", "", "X-Odd: " + value));
        assertEquals(value, client.read().field("X-Odd"));
    }

    @Test
    void connectionsBeyondTheLimitAreClosedUntilOthersClose() throws Exception {
        List<RawSocket> clients = new ArrayList<>();
        for (int i = 0; i < TestRouter.MAX_CLIENTS; i++) {
            RawSocket client = router.client();
            client.send(TestRouter.request("POST", "/elsewhere/x", "c" + i, ""));
            assertEquals(404, client.read().status());
            clients.add(client);
        }
        for (int i = 0; i < 50; i++) {
            assertTrue(router.client().isClosedByPeer());
        }
        clients.get(0).send(TestRouter.request("POST", "/elsewhere/x", "again", ""));
        assertEquals("again", clients.get(0).read().field("X-Pinewick-Request-Id"));
        for (RawSocket client : clients) {
            client.close();
        }
        assertEquals("late", sendUntilServed("late"));
    }

    /** Repeats a request until its connection is accepted; returns the id in the response. */
    private String sendUntilServed(String id) throws Exception {
        for (int iteration = 0; iteration < 10_000; iteration++) {
            try (RawSocket client = RawSocket.connect(router.frontend.frontendPort())) {
                client.send(TestRouter.request("POST", "/elsewhere/x", id, ""));
                return client.read().field("X-Pinewick-Request-Id");
            } catch (IOException e) {
                // The connection was rejected: retry.
            }
        }
        return null;
    }

    @Test
    void admissionIsBoundedByRequestsAndBytes() {
        InFlightLimits admission = new InFlightLimits(2, 100);
        assertTrue(admission.tryAdmit());
        assertTrue(admission.tryAdmit());
        assertFalse(admission.tryAdmit());
        assertTrue(admission.tryReserveBody(80));
        assertFalse(admission.tryReserveBody(30));
        admission.release(80);
        assertTrue(admission.tryAdmit());
        assertTrue(admission.tryReserveBody(30));
    }

    @Test
    void aConnectionAnnouncesItsIdleTimeout() {
        assertEquals(4_000, ResponseParser.idleMs("timeout=5"));
        assertEquals(500, ResponseParser.idleMs("timeout=1, max=100"));
        assertEquals(9_000, ResponseParser.idleMs("max=3, Timeout=10"));
        assertEquals(500, ResponseParser.idleMs("timeout=soon"));
        assertEquals(500, ResponseParser.idleMs(null));
    }

    @Test
    void handleIdsThatCouldEscapeTheirPathAreRejected() {
        assertTrue(PrefillHandle.parse(null, "{\"prefill_handle\":\"a1-b_c\"}".getBytes(UTF_8), 0)
                .isPresent());
        assertTrue(PrefillHandle.parse(null, "{\"prefill_handle\":\"a/../b\"}".getBytes(UTF_8), 0)
                .isEmpty());
        assertTrue(PrefillHandle.parse(null, "{\"prefill_handle\":null}".getBytes(UTF_8), 0)
                .isEmpty());
        assertTrue(PrefillHandle.parse(null, "[1]".getBytes(UTF_8), 0).isEmpty());
        assertTrue(PrefillHandle.parse(null, "{".getBytes(UTF_8), 0).isEmpty());
        assertNull(PrefillHandle.parse(null, new byte[0], 0).orElse(null));
    }
}
