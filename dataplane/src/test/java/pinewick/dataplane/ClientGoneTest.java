package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import pinewick.model.RouteKind;

/** A client that leaves in any state of its request: replicas are let go at once, and nothing more is sent for it. */
class ClientGoneTest {
    private static final String HANDLE = "{\"prefill_handle\":\"h\",\"tokens\":1,\"version\":1}";

    /** How far the request has come when its client leaves. */
    private enum State {
        PREFILL_CONNECTING {
            @Override
            void reach(LifecycleWorld world) {}
        },
        PREFILL_SENT {
            @Override
            void reach(LifecycleWorld world) {
                world.calls.last().sent = true;
            }
        },
        DECODE_CONNECTING {
            @Override
            void reach(LifecycleWorld world) {
                world.calls.last().answer(200, HANDLE);
            }
        },
        DECODE_SENT {
            @Override
            void reach(LifecycleWorld world) {
                DECODE_CONNECTING.reach(world);
                world.calls.last().sent = true;
            }
        },
        HEAD_CAME {
            @Override
            void reach(LifecycleWorld world) {
                DECODE_CONNECTING.reach(world);
                world.calls.last().streamHead();
            }
        },
        STREAMING {
            @Override
            void reach(LifecycleWorld world) {
                HEAD_CAME.reach(world);
                world.calls.last().content("id: 1\ndata: x\n\n");
            }
        },
        AGAIN_AFTER_A_BREAK {
            @Override
            void reach(LifecycleWorld world) {
                STREAMING.reach(world);
                world.calls.last().breakOff();
            }
        };

        abstract void reach(LifecycleWorld world);
    }

    @ParameterizedTest
    @EnumSource
    void nothingIsSentForAClientThatHasLeft(State state) {
        LifecycleWorld world = new LifecycleWorld(RouteKind.STREAMING, true, true, 3, 1);
        world.lifecycle.start();
        state.reach(world);
        assertEquals(1, world.calls.open().size());
        long sent = callsOfTheRequest(world);
        world.lifecycle.onClientGone();
        assertEquals(0, world.calls.open().size(), "the replica is let go");
        world.timers.advance(2 * LifecycleWorld.TIMEOUT_MS);
        assertEquals(sent, callsOfTheRequest(world), "nothing more is sent");
        assertTrue(world.ended.contains(world.lifecycle));
        assertEquals(RecordedClient.Ending.NONE, world.client.ending);
    }

    private static long callsOfTheRequest(LifecycleWorld world) {
        return world.calls.all.stream().filter(call -> !call.isRelease()).count();
    }
}
