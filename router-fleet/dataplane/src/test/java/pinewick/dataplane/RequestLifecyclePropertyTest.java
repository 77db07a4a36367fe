package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import pinewick.dataplane.ScriptedUpstreamClient.ScriptedCall;
import pinewick.model.RouteKind;

/** Invariants of a request's lifecycle for any order of events of replicas, connections and clients. */
class RequestLifecyclePropertyTest {
    private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);
    private static final Pattern EVENT_ID = Pattern.compile("id: (\\d+)");
    private static final int MAX_STEPS = 400;
    private static final String HANDLE = "{\"prefill_handle\":\"h\",\"tokens\":1,\"version\":1}";

    @Property(tries = 3_000)
    void keepsInvariantsForAnyOrderOfEvents(
            @ForAll RouteKind kind,
            @ForAll boolean resumable,
            @ForAll boolean generation,
            @ForAll @IntRange(min = 1, max = 4) int maxAttempts,
            @ForAll long seed) {
        LifecycleTestContext context = new LifecycleTestContext(kind, resumable, generation, maxAttempts, seed);
        SplittableRandom random = new SplittableRandom(seed);
        context.lifecycle.start();
        for (int step = 0; step < MAX_STEPS && context.ended.isEmpty(); step++) {
            assertTrue(context.calls.open().size() <= 1, "more than one open call");
            performStep(context, random);
        }
        assertEquals(1, context.ended.size(), "the request ends exactly once");
        assertInvariants(context, maxAttempts);
    }

    private static void performStep(LifecycleTestContext context, SplittableRandom random) {
        List<ScriptedCall> open = context.calls.open();
        int choice = random.nextInt(40);
        if (choice == 0) {
            context.lifecycle.onClientDisconnected();
        } else if (choice == 1) {
            context.lifecycle.onShutdown();
        } else if (choice < 10 || open.isEmpty()) {
            context.timers.advance(random.nextInt(700));
        } else {
            performCallEvent(open.get(0), random);
        }
    }

    private static void performCallEvent(ScriptedCall call, SplittableRandom random) {
        if (call.headReceived) {
            performStreamEvent(call, random);
            return;
        }
        switch (random.nextInt(9)) {
            case 0 -> {
                if (!call.sent) {
                    call.notSent(CallListener.NotSent.values()[random.nextInt(3)]);
                }
            }
            case 1, 2 -> call.sent = true;
            case 3 -> call.reject();
            case 4 -> call.breakConnection();
            case 5 -> call.respond(random.nextBoolean() ? 500 : 429, "reason");
            case 6 -> call.respond(200, call.isPrefill() ? HANDLE : "complete");
            case 7 -> call.head(200, org.eclipse.jetty.http.HttpFields.build());
            default -> call.streamHead();
        }
    }

    private static void performStreamEvent(ScriptedCall call, SplittableRandom random) {
        switch (random.nextInt(8)) {
            case 0 -> call.breakConnection();
            case 1 -> call.complete();
            case 2 -> call.content("id: " + call.nextEvent + "\ndata: partial");
            default -> {
                // Also completes a partial event: it repeats the same id within one event.
                call.content("\nid: " + call.nextEvent + "\ndata: x\n\n");
                call.nextEvent++;
            }
        }
    }

    private static void assertInvariants(LifecycleTestContext context, int maxAttempts) {
        List<ScriptedCall> calls = context.calls.all;
        assertTrue(calls.stream().allMatch(call -> call.finished || call.isRelease()), "a call is still open");
        long executions = calls.stream().filter(ScriptedCall::mayHaveExecuted).count();
        if (!context.route.isRetriable()) {
            assertTrue(executions <= 1, "executed more than once");
        }
        long sent =
                calls.stream().filter(call -> call.sent && !call.isRelease()).count();
        long uncountedPrefills = calls.stream().anyMatch(call -> call.isPrefill() && call.sent) ? 1 : 0;
        assertTrue(sent - uncountedPrefills <= maxAttempts, "attempts sent: " + sent);
        assertClientResponse(context, executions);
        assertHandlesFetchedOrReleased(calls);
        assertTrue(
                context.timers.pending()
                        <= calls.stream().filter(ScriptedCall::isRelease).count(),
                "timers still pending");
    }

    private static void assertClientResponse(LifecycleTestContext context, long executions) {
        RecordedClient client = context.client;
        if (client.outcome == RecordedClient.Outcome.RESPONDED) {
            boolean signed = client.fields.contains(HeaderNames.SERVER_SIGNATURE);
            if (NOT_EXECUTED_STATUSES.contains(client.status)) {
                assertEquals(0, executions, "the status denies an execution that may have happened");
                assertFalse(signed);
            }
            assertEquals(signed, client.body.length() > 0, "only a replica's response has a signature and a body");
        }
        if (client.outcome == RecordedClient.Outcome.STREAMED) {
            assertEquals(200, client.status);
        }
        assertEventsInOrder(client.body.toString(), client.outcome == RecordedClient.Outcome.STREAMED);
    }

    /** Each event arrives once and in order; a partial event only at the end of a complete stream. */
    private static void assertEventsInOrder(String body, boolean complete) {
        int last = 0;
        for (String event : body.split("(?<=\n\n)")) {
            Matcher ids = EVENT_ID.matcher(event);
            int id = 0;
            while (ids.find()) {
                id = Integer.parseInt(ids.group(1));
            }
            if (id > 0) {
                assertEquals(last + 1, id, "order of events");
                assertTrue(event.endsWith("\n\n") || complete, "partial event");
                last = id;
            }
        }
    }

    /** Each prefill handle is fetched by a call that received a response, or released. */
    private static void assertHandlesFetchedOrReleased(List<ScriptedCall> calls) {
        boolean created = calls.stream().anyMatch(call -> call.isPrefill() && call.headReceived && !call.rejected);
        boolean offered = calls.stream().anyMatch(call -> call.request.fields().contains(HeaderNames.KV_FROM));
        boolean released = calls.stream().anyMatch(ScriptedCall::isRelease);
        if (released || offered) {
            assertTrue(created, "a handle that no prefill created");
        }
        boolean fetched = calls.stream()
                .filter(call -> call.request.fields().contains(HeaderNames.KV_FROM))
                .anyMatch(call -> call.headReceived && !call.rejected);
        if (offered && !fetched) {
            assertTrue(released, "a handle that was not fetched must be released");
        }
    }
}
