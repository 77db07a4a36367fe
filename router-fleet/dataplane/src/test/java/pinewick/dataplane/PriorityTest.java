package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import pinewick.dataplane.ScriptedUpstreamClient.ScriptedCall;
import pinewick.model.RouteKind;
import pinewick.model.Stage;

/** Every call carries the route's priority, which clients cannot set. */
class PriorityTest {
    private static final String HANDLE = "{\"prefill_handle\":\"h\",\"tokens\":1,\"version\":1}";
    private static final String ROUTE_PRIORITY = "1";

    private static String priority(ScriptedCall call) {
        return call.request.fields().get(HeaderNames.PRIORITY);
    }

    @Test
    void prefillAndDecodeCallsCarryTheRoutesPriority() {
        LifecycleTestContext context = new LifecycleTestContext(RouteKind.STREAMING, false, true, 2, 1);
        context.lifecycle.start();
        assertEquals(ROUTE_PRIORITY, priority(context.calls.last()));
        context.calls.last().respond(200, HANDLE);
        assertEquals(ROUTE_PRIORITY, priority(context.calls.last()));
    }

    @Test
    void aPlainCallCarriesTheRoutesPriority() {
        LifecycleTestContext context = new LifecycleTestContext(RouteKind.NON_IDEMPOTENT, false, false, 1, 1);
        context.lifecycle.start();
        assertEquals(ROUTE_PRIORITY, priority(context.calls.last()));
    }

    @Test
    void aShortCallThatHasWaitedKeepsTheRoutesPriority() {
        LifecycleTestContext context = new LifecycleTestContext(RouteKind.STREAMING, false, true, 2, 1);
        context.lifecycle.start();
        context.timers.advance(LifecycleTestContext.TARGET_LATENCY_MS);
        context.calls.last().respond(200, HANDLE);
        assertEquals(ROUTE_PRIORITY, priority(context.calls.last()));
    }

    @Test
    void aClientsPriorityHeaderIsDropped() throws Exception {
        try (TestRouter router = new TestRouter()) {
            router.configure(TestRouter.plainRoute("non_idempotent", 1));
            ScriptedReplica replica = router.replica("i-1", "plain", Stage.NONE);
            RawSocket client = router.client();
            client.send(TestRouter.request("POST", "/plain/x", "q1", "body", "Priority: 0", "priority: 9"));
            HttpText.Message forwarded = replica.accept().read();
            assertEquals(
                    List.of("Priority: " + ROUTE_PRIORITY),
                    forwarded.fields().stream()
                            .filter(field -> field.regionMatches(true, 0, "priority:", 0, "priority:".length()))
                            .toList());
        }
    }
}
