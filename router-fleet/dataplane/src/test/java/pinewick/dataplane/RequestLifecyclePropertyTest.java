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

/** Whatever replicas, connections and clients do, in whatever order: what every request's course must keep. */
class RequestLifecyclePropertyTest {
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);
    private static final Pattern EVENT_ID = Pattern.compile("id: (\\d+)");
    private static final int MOST_STEPS = 400;
    private static final String HANDLE = "{\"prefill_handle\":\"h\",\"tokens\":1,\"version\":1}";

    @Property(tries = 3_000)
    void everyCourseKeepsTheRules(
            @ForAll RouteKind kind,
            @ForAll boolean resumable,
            @ForAll boolean generation,
            @ForAll @IntRange(min = 1, max = 4) int maxAttempts,
            @ForAll long seed) {
        LifecycleTestContext context = new LifecycleTestContext(kind, resumable, generation, maxAttempts, seed);
        SplittableRandom random = new SplittableRandom(seed);
        context.lifecycle.start();
        for (int step = 0; step < MOST_STEPS && context.ended.isEmpty(); step++) {
            assertTrue(context.calls.open().size() <= 1, "one call at a time");
            play(context, random);
        }
        assertEquals(1, context.ended.size(), "ended once");
        assertKept(context, maxAttempts);
    }

    private static void play(LifecycleTestContext context, SplittableRandom random) {
        List<ScriptedCall> open = context.calls.open();
        int choice = random.nextInt(40);
        if (choice == 0) {
            context.lifecycle.onClientDisconnected();
        } else if (choice == 1) {
            context.lifecycle.onShutdown();
        } else if (choice < 10 || open.isEmpty()) {
            context.timers.advance(random.nextInt(700));
        } else {
            playCall(open.get(0), random);
        }
    }

    private static void playCall(ScriptedCall call, SplittableRandom random) {
        if (call.headReceived) {
            playStream(call, random);
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
            case 5 -> call.response(random.nextBoolean() ? 500 : 429, "its own");
            case 6 -> call.response(200, call.isPrefill() ? HANDLE : "whole");
            case 7 -> call.head(200, org.eclipse.jetty.http.HttpFields.build());
            default -> call.streamHead();
        }
    }

    private static void playStream(ScriptedCall call, SplittableRandom random) {
        switch (random.nextInt(8)) {
            case 0 -> call.breakConnection();
            case 1 -> call.complete();
            case 2 -> call.content("id: " + call.nextEvent + "\ndata: half");
            default -> {
                // Ends a half event too: the same id again, as one event.
                call.content("\nid: " + call.nextEvent + "\ndata: x\n\n");
                call.nextEvent++;
            }
        }
    }

    private static void assertKept(LifecycleTestContext context, int maxAttempts) {
        List<ScriptedCall> calls = context.calls.all;
        assertTrue(calls.stream().allMatch(call -> call.finished || call.isRelease()), "no call is left open");
        long runs = calls.stream().filter(ScriptedCall::mayHaveExecuted).count();
        if (!context.route.isRetriable()) {
            assertTrue(runs <= 1, "run at most once");
        }
        long sent =
                calls.stream().filter(call -> call.sent && !call.isRelease()).count();
        long freeOfCount = calls.stream().anyMatch(call -> call.isPrefill() && call.sent) ? 1 : 0;
        assertTrue(sent - freeOfCount <= maxAttempts, "within the attempts: " + sent);
        assertAnswerFits(context, runs);
        assertHandles(calls);
        assertTrue(
                context.timers.pending()
                        <= calls.stream().filter(ScriptedCall::isRelease).count(),
                "timers are gone");
    }

    private static void assertAnswerFits(LifecycleTestContext context, long runs) {
        RecordedClient client = context.client;
        if (client.outcome == RecordedClient.Outcome.RESPONDED) {
            boolean signed = client.fields.contains(HeaderNames.SERVER_SIGNATURE);
            if (PROMISES.contains(client.status)) {
                assertEquals(0, runs, "a promise for what may have run");
                assertFalse(signed);
            }
            assertEquals(signed, client.body.length() > 0, "own answers have no stamp and no body");
        }
        if (client.outcome == RecordedClient.Outcome.STREAMED) {
            assertEquals(200, client.status);
        }
        assertEventsFollowEachOther(client.body.toString(), client.outcome == RecordedClient.Outcome.STREAMED);
    }

    /** Each event once and in order; part of one only at the end of a whole stream. */
    private static void assertEventsFollowEachOther(String body, boolean whole) {
        int last = 0;
        for (String event : body.split("(?<=\n\n)")) {
            Matcher ids = EVENT_ID.matcher(event);
            int id = 0;
            while (ids.find()) {
                id = Integer.parseInt(ids.group(1));
            }
            if (id > 0) {
                assertEquals(last + 1, id, "order of events");
                assertTrue(event.endsWith("\n\n") || whole, "part of an event");
                last = id;
            }
        }
    }

    /** Each prompt that was read is fetched by an answered call or freed. */
    private static void assertHandles(List<ScriptedCall> calls) {
        boolean made = calls.stream().anyMatch(call -> call.isPrefill() && call.headReceived && !call.rejected);
        boolean offered = calls.stream().anyMatch(call -> call.request.fields().contains(HeaderNames.KV_FROM));
        boolean freed = calls.stream().anyMatch(ScriptedCall::isRelease);
        if (freed || offered) {
            assertTrue(made, "a handle from nowhere");
        }
        boolean fetched = calls.stream()
                .filter(call -> call.request.fields().contains(HeaderNames.KV_FROM))
                .anyMatch(call -> call.headReceived && !call.rejected);
        if (offered && !fetched) {
            assertTrue(freed, "a handle that nobody fetched is freed");
        }
    }
}
