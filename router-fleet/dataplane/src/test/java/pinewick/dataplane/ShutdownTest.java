package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pinewick.model.ReplicaState;
import pinewick.model.Stage;

/** A completely received request gets its complete response, whatever shutdown or change begins in the meantime. */
class ShutdownTest {
    /** More responses in total than the socket buffers between router and client hold. */
    private static final int MAX_RESPONSES = 40;

    private static final int QUIET_MS = 500;
    private static final String BODY = "x".repeat(UpstreamAttempt.MAX_BUFFERED_BYTES - 1);

    private TestRouter router;
    private ScriptedReplica replica;
    private RawSocket client;

    @BeforeEach
    void start() throws Exception {
        router = new TestRouter();
        router.configure(TestRouter.plainRoute("non_idempotent", 1), TestRouter.streamRoute(false, 1));
        replica = router.replica("i-1", "plain", Stage.NONE);
        client = router.client();
    }

    @AfterEach
    void stop() throws Exception {
        router.close();
    }

    @Test
    void aRequestIsInFlightUntilItsResponseIsFullyWritten() throws Exception {
        for (int i = 0; i < MAX_RESPONSES; i++) {
            client.send(TestRouter.request("POST", "/plain/x", "q" + i, ""));
        }
        RawSocket upstream = replica.accept();
        int responseCount = 0;
        do {
            upstream.read();
            upstream.send(ScriptedReplica.response(200, "q" + responseCount, BODY));
            responseCount++;
        } while (responseCount < MAX_RESPONSES && upstream.hasDataWithin(QUIET_MS));
        assertEquals(
                true, responseCount < MAX_RESPONSES, "the client's socket was expected to block the last response");
        CompletableFuture<Void> idle = router.dataPlane.whenIdle();
        assertFalse(idle.isDone(), "the last response is not written completely");
        router.dataPlane.beginStopping();
        for (int i = 0; i < responseCount; i++) {
            assertEquals(BODY.length(), client.read().body().length());
        }
        upstream.read();
        upstream.send(ScriptedReplica.response(200, "q" + responseCount, "the last"));
        HttpText.Message last = client.read();
        assertEquals("the last", last.body());
        assertEquals("close", last.field("Connection"));
        idle.get(10, TimeUnit.SECONDS);
    }

    @Test
    void aRemovedRouteDoesNotEndItsRequestsInFlight() throws Exception {
        client.send(TestRouter.request("POST", "/plain/x", "q1", "body"));
        RawSocket upstream = replica.accept();
        upstream.read();
        router.configure(TestRouter.streamRoute(false, 1));
        upstream.send(ScriptedReplica.response(200, "q1", "done"));
        assertEquals("done", client.read().body());
        client.send(TestRouter.request("POST", "/plain/x", "q2", "body"));
        assertEquals(404, client.read().status());
    }

    @Test
    void aDrainingReplicaCompletesItsResponse() throws Exception {
        client.send(TestRouter.request("POST", "/plain/x", "q1", "body"));
        RawSocket upstream = replica.accept();
        upstream.read();
        router.state.merge(replica.record(ReplicaState.DRAINING));
        router.remove(replica);
        upstream.send(ScriptedReplica.response(200, "q1", "done"));
        assertEquals("done", client.read().body());
    }

    @Test
    void anUnresponsiveReplicaIsAwaitedDuringShutdown() throws Exception {
        client.send(TestRouter.request("POST", "/plain/x", "q1", "body"));
        RawSocket upstream = replica.accept();
        upstream.read();
        router.dataPlane.beginStopping();
        CompletableFuture<Void> idle = router.dataPlane.whenIdle();
        assertFalse(idle.isDone());
        upstream.send(ScriptedReplica.response(200, "q1", "done"));
        HttpText.Message response = client.read();
        assertEquals("done", response.body());
        assertEquals("close", response.field("Connection"));
        idle.get(10, TimeUnit.SECONDS);
    }
}
