package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A request that ends in any of its states, as its client leaves or its time is out: replicas are let go at once. */
class CancellationInAnyStateTest {
    @ParameterizedTest
    @EnumSource
    void nothingIsSentForAClientThatHasLeft(RequestState state) {
        LifecycleTestContext context = state.context();
        assertEquals(1, context.calls.open().size());
        long sent = callsOfTheRequest(context);
        context.lifecycle.onClientDisconnected();
        assertEquals(0, context.calls.open().size(), "the replica is let go");
        context.timers.advance(2 * LifecycleTestContext.TIMEOUT_MS);
        assertEquals(sent, callsOfTheRequest(context), "nothing more is sent");
        assertTrue(context.ended.contains(context.lifecycle));
        assertEquals(RecordedClient.Outcome.NONE, context.client.outcome);
    }

    @ParameterizedTest
    @EnumSource
    void atTheTimeOutTheClientHasItsFinalAnswerAndTheReplicaIsLetGo(RequestState state) {
        LifecycleTestContext context = state.context();
        context.timers.advance(LifecycleTestContext.TIMEOUT_MS);
        assertEquals(0, context.calls.open().size(), "the replica is let go");
        assertTrue(context.ended.contains(context.lifecycle));
        assertEquals(state.outcomeAtTimeout(), context.client.outcome);
    }

    private static long callsOfTheRequest(LifecycleTestContext context) {
        return context.calls.all.stream().filter(call -> !call.isRelease()).count();
    }
}
