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
        LifecycleTestContext world = new LifecycleTestContext(kind, resumable, generation, maxAttempts, seed);
        SplittableRandom random = new SplittableRandom(seed);
        world.lifecycle.start();
        for (int step = 0; step < MOST_STEPS && world.ended.isEmpty(); step++) {
            assertTrue(world.calls.open().size() <= 1, "one call at a time");
            play(world, random);
        }
        assertEquals(1, world.ended.size(), "ended once");
        assertKept(world, maxAttempts);
    }

    private static void play(LifecycleTestContext world, SplittableRandom random) {
        List<ScriptedCall> open = world.calls.open();
        int choice = random.nextInt(40);
        if (choice == 0) {
            world.lifecycle.onClientDisconnected();
        } else if (choice == 1) {
            world.lifecycle.onShutdown();
        } else if (choice < 10 || open.isEmpty()) {
            world.timers.advance(random.nextInt(700));
        } else {
            playCall(open.get(0), random);
        }
    }

    private static void playCall(ScriptedCall call, SplittableRandom random) {
        if (call.headSeen) {
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
            case 4 -> call.breakOff();
            case 5 -> call.answer(random.nextBoolean() ? 500 : 429, "its own");
            case 6 -> call.answer(200, call.isPrefill() ? HANDLE : "whole");
            case 7 -> call.head(200, org.eclipse.jetty.http.HttpFields.build());
            default -> call.streamHead();
        }
    }

    private static void playStream(ScriptedCall call, SplittableRandom random) {
        switch (random.nextInt(8)) {
            case 0 -> call.breakOff();
            case 1 -> call.complete();
            case 2 -> call.content("id: " + call.nextEvent + "\ndata: half");
            default -> {
                // Ends a half event too: the same id again, as one event.
                call.content("\nid: " + call.nextEvent + "\ndata: x\n\n");
                call.nextEvent++;
            }
        }
    }

    private static void assertKept(LifecycleTestContext world, int maxAttempts) {
        List<ScriptedCall> calls = world.calls.all;
        assertTrue(calls.stream().allMatch(call -> call.over || call.isRelease()), "no call is left open");
        long runs = calls.stream().filter(ScriptedCall::mayHaveExecuted).count();
        if (!world.route.isRetriable()) {
            assertTrue(runs <= 1, "run at most once");
        }
        long sent =
                calls.stream().filter(call -> call.sent && !call.isRelease()).count();
        long freeOfCount = calls.stream().anyMatch(call -> call.isPrefill() && call.sent) ? 1 : 0;
        assertTrue(sent - freeOfCount <= maxAttempts, "within the attempts: " + sent);
        assertAnswerFits(world, runs);
        assertHandles(calls);
        assertTrue(
                world.timers.pending()
                        <= calls.stream().filter(ScriptedCall::isRelease).count(),
                "timers are gone");
    }

    private static void assertAnswerFits(LifecycleTestContext world, long runs) {
        RecordedClient client = world.client;
        if (client.ending == RecordedClient.Outcome.ANSWERED) {
            boolean signed = client.fields.contains(HeaderNames.SERVER_SIGNATURE);
            if (PROMISES.contains(client.status)) {
                assertEquals(0, runs, "a promise for what may have run");
                assertFalse(signed);
            }
            assertEquals(signed, client.body.length() > 0, "own answers have no stamp and no body");
        }
        if (client.ending == RecordedClient.Outcome.STREAMED) {
            assertEquals(200, client.status);
        }
        assertEventsFollowEachOther(client.body.toString(), client.ending == RecordedClient.Outcome.STREAMED);
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
        boolean made = calls.stream().anyMatch(call -> call.isPrefill() && call.headSeen && !call.rejected);
        boolean offered = calls.stream().anyMatch(call -> call.request.fields().contains(HeaderNames.KV_FROM));
        boolean freed = calls.stream().anyMatch(ScriptedCall::isRelease);
        if (freed || offered) {
            assertTrue(made, "a handle from nowhere");
        }
        boolean fetched = calls.stream()
                .filter(call -> call.request.fields().contains(HeaderNames.KV_FROM))
                .anyMatch(call -> call.headSeen && !call.rejected);
        if (offered && !fetched) {
            assertTrue(freed, "a handle that nobody fetched is freed");
        }
    }
}
