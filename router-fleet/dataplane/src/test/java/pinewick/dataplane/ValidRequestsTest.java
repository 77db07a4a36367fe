package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pinewick.model.Stage;

/** Unusual requests that HTTP and the configured limits allow are served. */
class ValidRequestsTest {
    private static final int MAX_HEAD_BYTES = 16_384;
    private static final int MAX_BODY_BYTES = 65_536;
    private static final String ID = "X-Pinewick-Request-Id: q1\r\n";

    private TestRouter router;
    private ScriptedReplica replica;
    private RawSocket client;

    @BeforeEach
    void start() throws Exception {
        router = new TestRouter();
        router.configure(TestRouter.plainRoute("non_idempotent", 1));
        replica = router.replica("i-1", "plain", Stage.NONE);
        client = router.client();
    }

    @AfterEach
    void stop() throws Exception {
        router.close();
    }

    private HttpText.Message serve() throws Exception {
        RawSocket upstream = replica.accept();
        HttpText.Message forwarded = upstream.read();
        upstream.send(ScriptedReplica.response(200, "q1", "served"));
        assertEquals("served", client.read().body());
        return forwarded;
    }

    @Test
    void servesAHeadOfExactlyTheMaximumLength() throws Exception {
        String head = "POST /plain/x HTTP/1.1\r\nHost: shop.example\r\n" + ID + "Content-Length: 0\r\nX-Fill: ";
        String end = "\r\n\r\n";
        client.send(head + "x".repeat(MAX_HEAD_BYTES - head.length() - end.length()) + end);
        serve();
    }

    @Test
    void servesABodyOfExactlyTheMaximumLength() throws Exception {
        client.send(TestRouter.request("POST", "/plain/x", "q1", "b".repeat(MAX_BODY_BYTES)));
        assertEquals(MAX_BODY_BYTES, serve().body().length());
    }

    @Test
    void servesAChunkedBodyOfExactlyTheMaximumLengthWithExtensionsAndTrailers() throws Exception {
        client.send("POST /plain/x HTTP/1.1\r\nHost: shop.example\r\n" + ID + "Transfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(MAX_BODY_BYTES) + ";name=value\r\n" + "b".repeat(MAX_BODY_BYTES)
                + "\r\n0\r\nX-Checksum: 1\r\n\r\n");
        assertEquals(MAX_BODY_BYTES, serve().body().length());
    }

    @Test
    void servesABodyThatWaitsFor100Continue() throws Exception {
        client.send("POST /plain/x HTTP/1.1\r\nHost: shop.example\r\n" + ID
                + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n");
        assertEquals(100, client.readHead().status());
        client.send("body");
        assertEquals("body", serve().body());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "POST http://shop.example/plain/x HTTP/1.1\r\nHost: shop.example\r\n",
                "POST /plain/x HTTP/1.1\r\nhost:SHOP.example:8080\r\n",
                "POST /plain/x? HTTP/1.1\r\nHost: shop.example\r\n",
                "POST /plain/ HTTP/1.1\r\nHost: shop.example\r\n",
                "POST /plain/x HTTP/1.1\r\nHost: shop.example\r\nAccept:\r\nCookie: a=1; b=\"2,3\"\r\n",
                "POST /plain/x HTTP/1.1\r\nHost: shop.example\r\nConnection: keep-alive\r\nTE: trailers\r\n",
                "POST /plain/x HTTP/1.1\r\nHost: shop.example\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n",
                "POST /plain/x HTTP/1.1\r\nHost: shop.example\r\nRange: bytes=0-1\r\nIf-None-Match: *\r\n",
                "POST /plain/x HTTP/1.1\r\nHost: shop.example\r\nContent-Type: text/\u00e9; charset=\"\r\n"
            })
    void servesUnusualHeads(String head) throws Exception {
        client.send(head + ID + "Content-Length: 4\r\n\r\nbody");
        assertEquals("body", serve().body());
    }
}
