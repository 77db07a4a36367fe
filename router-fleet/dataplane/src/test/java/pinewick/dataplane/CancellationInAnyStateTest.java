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
        LifecycleTestContext world = state.world();
        assertEquals(1, world.calls.open().size());
        long sent = callsOfTheRequest(world);
        world.lifecycle.onClientDisconnected();
        assertEquals(0, world.calls.open().size(), "the replica is let go");
        world.timers.advance(2 * LifecycleTestContext.TIMEOUT_MS);
        assertEquals(sent, callsOfTheRequest(world), "nothing more is sent");
        assertTrue(world.ended.contains(world.lifecycle));
        assertEquals(RecordedClient.Outcome.NONE, world.client.ending);
    }

    @ParameterizedTest
    @EnumSource
    void atTheTimeOutTheClientHasItsFinalAnswerAndTheReplicaIsLetGo(RequestState state) {
        LifecycleTestContext world = state.world();
        world.timers.advance(LifecycleTestContext.TIMEOUT_MS);
        assertEquals(0, world.calls.open().size(), "the replica is let go");
        assertTrue(world.ended.contains(world.lifecycle));
        assertEquals(state.endingAtTheTimeOut(), world.client.ending);
    }

    private static long callsOfTheRequest(LifecycleTestContext world) {
        return world.calls.all.stream().filter(call -> !call.isRelease()).count();
    }
}
