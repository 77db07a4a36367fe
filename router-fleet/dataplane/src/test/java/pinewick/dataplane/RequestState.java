package pinewick.dataplane;

import pinewick.model.RouteKind;

/** How far a request for a resumable stream has come. */
enum RequestState {
    PREFILL_CONNECTING {
        @Override
        void reach(LifecycleTestContext world) {}
    },
    PREFILL_SENT {
        @Override
        void reach(LifecycleTestContext world) {
            world.calls.last().sent = true;
        }
    },
    DECODE_CONNECTING {
        @Override
        void reach(LifecycleTestContext world) {
            world.calls.last().answer(200, HANDLE);
        }
    },
    DECODE_SENT {
        @Override
        void reach(LifecycleTestContext world) {
            DECODE_CONNECTING.reach(world);
            world.calls.last().sent = true;
        }
    },
    HEAD_CAME {
        @Override
        void reach(LifecycleTestContext world) {
            DECODE_CONNECTING.reach(world);
            world.calls.last().streamHead();
        }
    },
    STREAMING {
        @Override
        void reach(LifecycleTestContext world) {
            HEAD_CAME.reach(world);
            world.calls.last().content("id: 1\ndata: x\n\n");
        }
    },
    AGAIN_AFTER_A_BREAK {
        @Override
        void reach(LifecycleTestContext world) {
            STREAMING.reach(world);
            world.calls.last().breakOff();
        }
    };

    private static final String HANDLE = "{\"prefill_handle\":\"h\",\"tokens\":1,\"version\":1}";

    abstract void reach(LifecycleTestContext world);

    /** A request that has come so far. */
    LifecycleTestContext world() {
        LifecycleTestContext world = new LifecycleTestContext(RouteKind.STREAMING, true, true, 3, 1);
        world.lifecycle.start();
        reach(world);
        return world;
    }

    /** What becomes of it if nothing more happens. */
    RecordedClient.Outcome endingAtTheTimeOut() {
        boolean begun = this == STREAMING || this == AGAIN_AFTER_A_BREAK;
        return begun ? RecordedClient.Outcome.ABORTED : RecordedClient.Outcome.ANSWERED;
    }
}
