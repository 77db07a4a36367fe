package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pinewick.dataplane.ScriptedUpstreamClient.ScriptedCall;
import pinewick.model.RouteKind;

/** The deadline sent to replicas never exceeds what remains of the client's deadline and the route's timeout. */
class DeadlineTest {
    private static final String HANDLE = "{\"prefill_handle\":\"h\",\"tokens\":1,\"version\":1}";

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "1500|1500",
                "1500.5|1500.5",
                "9000|4000",
                "0|1",
                "''|4000",
                "NaN|4000",
                "Infinity|4000",
                "-5|4000",
                "1e3|4000",
                "0x10|4000",
                "soon|4000",
                "2000, 1000|1000",
                "99999999999999999999|4000"
            })
    void usesTheShorterOfTheClientsDeadlineAndTheRoutesTimeout(String headerValue, double expectedMs) {
        HttpFields fields = HttpFields.build().add(HeaderNames.DEADLINE_MS, headerValue);
        assertEquals(expectedMs, ClientDeadline.timeoutMs(fields, 4_000));
    }

    @Test
    void usesTheShortestOfSeveralDeadlineHeaders() {
        HttpFields fields =
                HttpFields.build().add(HeaderNames.DEADLINE_MS, "3000").add(HeaderNames.DEADLINE_MS, "1200");
        assertEquals(1_200, ClientDeadline.timeoutMs(fields, 4_000));
    }

    @Test
    void usesTheRoutesTimeoutWithoutADeadlineHeader() {
        assertEquals(4_000, ClientDeadline.timeoutMs(HttpFields.EMPTY, 4_000));
    }

    @Test
    void everyCallCarriesTheRemainingTime() {
        LifecycleTestContext context = new LifecycleTestContext(RouteKind.STREAMING, true, true, 4, 1);
        context.lifecycle.start();
        assertDeadlineSent(context, 4_000);
        context.timers.advance(300);
        context.calls.last().respond(200, HANDLE);
        assertDeadlineSent(context, 3_700);
        context.timers.advance(400);
        context.calls.last().streamHead();
        context.calls.last().content("id: 1\ndata: x\n\n");
        context.calls.last().breakConnection();
        assertDeadlineSent(context, 3_300);
    }

    @Test
    void aSecondPrefillCallCarriesTheRemainingTime() {
        LifecycleTestContext context = new LifecycleTestContext(RouteKind.STREAMING, false, true, 4, 1);
        context.lifecycle.start();
        context.timers.advance(600);
        ScriptedCall prefill = context.calls.last();
        assertTrue(prefill.isPrefill());
        prefill.reject();
        assertDeadlineSent(context, 3_400);
    }

    @ParameterizedTest
    @CsvSource({"NaN", "''", "-1", "soon", "Infinity"})
    void aMalformedDeadlineHeaderDoesNotFailTheRequest(String headerValue) throws Exception {
        try (TestRouter router = new TestRouter()) {
            router.configure(TestRouter.plainRoute("non_idempotent", 1));
            ScriptedReplica replica = router.replica("i-1", "plain", pinewick.model.Stage.NONE);
            RawSocket client = router.client();
            client.send("POST /plain/x HTTP/1.1\r\nHost: shop.example\r\nX-Pinewick-Request-Id: q1\r\n"
                    + "X-Pinewick-Deadline-Ms: " + headerValue + "\r\nContent-Length: 0\r\n\r\n");
            RawSocket upstream = replica.accept();
            int remainingMs = Integer.parseInt(upstream.read().field("X-Pinewick-Deadline-Ms"));
            assertTrue(remainingMs > 0 && remainingMs <= 5_000, "deadline sent: " + remainingMs);
            upstream.send(ScriptedReplica.response(200, "q1", "served"));
            assertEquals("served", client.read().body());
        }
    }

    private static void assertDeadlineSent(LifecycleTestContext context, int expectedMs) {
        assertEquals(
                Integer.toString(expectedMs),
                context.calls.last().request.fields().get(HeaderNames.DEADLINE_MS));
    }
}
