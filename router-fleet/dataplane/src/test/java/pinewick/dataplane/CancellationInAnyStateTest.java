package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** In any state of a request, a client disconnect or the timeout ends its calls to replicas at once. */
class CancellationInAnyStateTest {
    @ParameterizedTest
    @EnumSource
    void sendsNothingAfterAClientDisconnect(RequestState state) {
        LifecycleTestContext context = state.context();
        assertEquals(1, context.calls.open().size());
        long sent = callsOfTheRequest(context);
        context.lifecycle.onClientDisconnected();
        assertEquals(0, context.calls.open().size(), "a call is still open");
        context.timers.advance(2 * LifecycleTestContext.TIMEOUT_MS);
        assertEquals(sent, callsOfTheRequest(context), "another call was sent");
        assertTrue(context.ended.contains(context.lifecycle));
        assertEquals(RecordedClient.Outcome.NONE, context.client.outcome);
    }

    @ParameterizedTest
    @EnumSource
    void respondsAndEndsTheCallAtTheTimeout(RequestState state) {
        LifecycleTestContext context = state.context();
        context.timers.advance(LifecycleTestContext.TIMEOUT_MS);
        assertEquals(0, context.calls.open().size(), "a call is still open");
        assertTrue(context.ended.contains(context.lifecycle));
        assertEquals(state.outcomeAtTimeout(), context.client.outcome);
    }

    private static long callsOfTheRequest(LifecycleTestContext context) {
        return context.calls.all.stream().filter(call -> !call.isRelease()).count();
    }
}
