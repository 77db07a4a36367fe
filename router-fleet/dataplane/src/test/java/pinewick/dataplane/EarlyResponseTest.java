package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pinewick.model.Stage;

/**
 * Replicas that respond before they have read a long body: the response is valid, and after a partly sent body no
 * other bytes are sent on that connection.
 */
class EarlyResponseTest {
    /** More than the socket buffers of both sides hold. */
    private static final int LONG_BODY_BYTES = 24 * 1024 * 1024;

    private static final String LONG_BODY = "b".repeat(LONG_BODY_BYTES);

    private TestRouter router;
    private ScriptedReplica first;
    private ScriptedReplica second;
    private RawSocket client;

    @BeforeEach
    void start() throws Exception {
        router = new TestRouter();
        router.configureWithLimits(16_384, LONG_BODY_BYTES, TestRouter.plainRoute("non_idempotent", 2));
        first = router.replica("i-1", "plain", Stage.NONE);
        second = router.replica("i-2", "plain", Stage.NONE);
        client = router.client();
    }

    @AfterEach
    void stop() throws Exception {
        router.close();
    }

    private RawSocket acceptHead(String body) throws Exception {
        router.forceChoices("i-1");
        client.send(TestRouter.request("POST", "/plain/x", "q1", body));
        RawSocket upstream = first.accept();
        assertEquals("q1", upstream.readHead().field("X-Pinewick-Request-Id"));
        return upstream;
    }

    private static void assertOnlyPartOfTheBody(String received) {
        assertTrue(received.length() < LONG_BODY_BYTES, "the body of the test is too short to block the sender");
        assertTrue(LONG_BODY.startsWith(received), "other bytes were sent in place of the rest of the body");
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 413, 500})
    void anEarlyResponseIsForwardedAndNothingFollowsTheUnfinishedBody(int status) throws Exception {
        RawSocket upstream = acceptHead(LONG_BODY);
        upstream.send(ScriptedReplica.response(status, "q1", "early"));
        HttpText.Message response = client.read();
        assertEquals(status, response.status());
        assertEquals("early", response.body());
        serveNext("q2");
        assertOnlyPartOfTheBody(upstream.readUntilEnd());
    }

    @Test
    void anEarlyRejectionIsRetriedAndTheConnectionIsNotReused() throws Exception {
        RawSocket upstream = acceptHead(LONG_BODY);
        router.forceChoices("i-2");
        upstream.send(ScriptedReplica.rejection("q1"));
        assertServedBySecond();
        assertOnlyPartOfTheBody(upstream.readUntilEnd());
    }

    @Test
    void anEarlyRejectionIsRetriedAlthoughTheConnectionIsReset() throws Exception {
        RawSocket upstream = acceptHead(LONG_BODY);
        router.forceChoices("i-2");
        upstream.sendAndReset(ScriptedReplica.rejection("q1"));
        assertServedBySecond();
    }

    @Test
    void aConnectionWithAnAbortedBodyIsNotReused() throws Exception {
        RawSocket upstream = acceptHead(LONG_BODY);
        client.close();
        router.dataPlane.whenIdle().get(10, TimeUnit.SECONDS);
        assertOnlyPartOfTheBody(upstream.readUntilEnd());
    }

    @Test
    void aConnectionWithACompletelySentBodyIsReused() throws Exception {
        RawSocket upstream = acceptHead("short body");
        upstream.send(ScriptedReplica.response(200, "q1", "early"));
        assertEquals("early", client.read().body());
        router.forceChoices("i-1");
        client.send(TestRouter.request("POST", "/plain/x", "q2", "second body"));
        assertEquals("short body", upstream.readBytes("short body".length()));
        HttpText.Message next = upstream.read();
        assertEquals("q2", next.field("X-Pinewick-Request-Id"));
        assertEquals("second body", next.body());
        upstream.send(ScriptedReplica.response(200, "q2", "second"));
        assertEquals("second", client.read().body());
    }

    private void assertServedBySecond() throws Exception {
        RawSocket next = second.accept();
        HttpText.Message forwarded = next.read();
        assertEquals("q1", forwarded.field("X-Pinewick-Request-Id"));
        assertEquals(LONG_BODY_BYTES, forwarded.body().length());
        next.send(ScriptedReplica.response(200, "q1", "second"));
        assertEquals("second", client.read().body());
    }

    private void serveNext(String id) throws Exception {
        router.forceChoices("i-1");
        client.send(TestRouter.request("POST", "/plain/x", id, "next"));
        RawSocket upstream = first.accept();
        assertEquals("next", upstream.read().body());
        upstream.send(ScriptedReplica.response(200, id, "served"));
        assertEquals("served", client.read().body());
    }
}
