package pinewick.dataplane;

import pinewick.model.RouteKind;

/** The states of a request for a resumable stream. */
enum RequestState {
    PREFILL_CONNECTING {
        @Override
        void reach(LifecycleTestContext context) {}
    },
    PREFILL_SENT {
        @Override
        void reach(LifecycleTestContext context) {
            context.calls.last().sent = true;
        }
    },
    DECODE_CONNECTING {
        @Override
        void reach(LifecycleTestContext context) {
            context.calls.last().respond(200, HANDLE);
        }
    },
    DECODE_SENT {
        @Override
        void reach(LifecycleTestContext context) {
            DECODE_CONNECTING.reach(context);
            context.calls.last().sent = true;
        }
    },
    HEAD_RECEIVED {
        @Override
        void reach(LifecycleTestContext context) {
            DECODE_CONNECTING.reach(context);
            context.calls.last().streamHead();
        }
    },
    STREAMING {
        @Override
        void reach(LifecycleTestContext context) {
            HEAD_RECEIVED.reach(context);
            context.calls.last().content("id: 1\ndata: x\n\n");
        }
    },
    RESUMING_AFTER_FAILURE {
        @Override
        void reach(LifecycleTestContext context) {
            STREAMING.reach(context);
            context.calls.last().breakConnection();
        }
    };

    private static final String HANDLE = "{\"prefill_handle\":\"h\",\"tokens\":1,\"version\":1}";

    abstract void reach(LifecycleTestContext context);

    /** A request in this state. */
    LifecycleTestContext context() {
        LifecycleTestContext context = new LifecycleTestContext(RouteKind.STREAMING, true, true, 3, 1);
        context.lifecycle.start();
        reach(context);
        return context;
    }

    /** The outcome at the timeout if nothing else happens. */
    RecordedClient.Outcome outcomeAtTimeout() {
        boolean streamStarted = this == STREAMING || this == RESUMING_AFTER_FAILURE;
        return streamStarted ? RecordedClient.Outcome.ABORTED : RecordedClient.Outcome.RESPONDED;
    }
}
