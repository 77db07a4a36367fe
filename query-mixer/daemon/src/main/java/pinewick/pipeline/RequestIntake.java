package pinewick.pipeline;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.HashMap;
import java.util.Map;
import pinewick.core.SchedulerHost;
import pinewick.loop.Limits;
import pinewick.loop.Loop;
import pinewick.loop.Pressure;
import pinewick.state.Counters;
import pinewick.state.OpenQuery;
import pinewick.wire.ClientDoor;
import pinewick.wire.QueryText;

/** First stage: makes an open query of a client's request, or says what is wrong with that. */
public final class RequestIntake implements ClientDoor.Taker {
    private static final HttpString ID = new HttpString("Req-Id");
    private static final HttpString KIND = new HttpString("Req-Kind");
    private static final HttpString DEADLINE = new HttpString("Req-Deadline");
    private static final HttpString KEY = new HttpString("Idempotency-Key");
    private static final HttpString RETRY = new HttpString("Req-Retry");

    private final SchedulerHost.Deployment given;
    private final Limits limits;
    private final Counters counters;
    private final AdmissionController admit;
    private final CompletionHandler book;
    private final Pressure pressure;
    private final Loop loop;
    private double lastEnd = Double.POSITIVE_INFINITY;
    private final Map<String, Integer> gradeRows = new HashMap<>();

    public RequestIntake(
            SchedulerHost.Deployment given,
            Limits limits,
            Counters counters,
            AdmissionController admit,
            CompletionHandler book,
            Pressure pressure,
            Loop loop) {
        this.given = given;
        this.limits = limits;
        this.counters = counters;
        this.admit = admit;
        this.book = book;
        this.pressure = pressure;
        this.loop = loop;
        given.serviceClasses().forEach(grade -> gradeRows.put(grade.name(), gradeRows.size()));
    }

    @Override
    public OpenQuery take(HttpServerExchange request, byte[] body, OpenQuery.Client asker) {
        HeaderMap headers = request.getRequestHeaders();
        String id = header(headers, ID);
        Integer grade = gradeRows.get(header(headers, KIND));
        wrongIf(grade == null, "kind: unknown Req-Kind");
        String wait = header(headers, DEADLINE);
        wrongIf(!wait.matches("[0-9]+(\\.[0-9]*)?|\\.[0-9]+"), "time: Req-Deadline is no number");
        double ttl = Double.parseDouble(wait);
        wrongIf(!(ttl > 0 && ttl <= limits.longestWait()), "time: Req-Deadline out of bounds");
        boolean keyed = given.serviceClasses().get(grade).retrySafety() == SchedulerHost.RetrySafety.DEDUPLICATED;
        String key = keyed ? header(headers, KEY) : null;
        OpenQuery query = new OpenQuery(id, grade, ttl, key, asker);
        query.clientSeenAt = loop.now();
        if (loop.now() + ttl > lastEnd) {
            // Danger: a request taken while leaving that can't end before the exit would be lost with its effects.
            counters.add("turned-away-leaving");
            admit.turnAway(query, given.allowsRetryAfter() ? pressure.comeBack() : 0);
            return query;
        }
        if (pressure.turnsAway(loop.now(), given.serviceClasses().get(grade).value())) {
            // Before the body is parsed: what can't be served in time should cost as little as it can.
            counters.add("turned-away-behind");
            admit.turnAway(query, pressure.comeBack());
            return query;
        }
        QueryText.read(body, query, limits.shards());
        query.isRetry = "1".equals(headers.getFirst(RETRY));
        if (query.isRetry) {
            counters.add("taken-marked-retry");
        }
        admit.admit(query);
        return query;
    }

    @Override
    public void leavesBy(double time) {
        lastEnd = time;
    }

    @Override
    public void withdrawn(OpenQuery query) {
        book.withdrawn(query);
    }

    @Override
    public void madeRoom(String stage) {
        counters.add("places-made-" + stage);
    }

    @Override
    public void turnedAway(String why) {
        counters.add("bad-requests");
        counters.add("bad-" + why.substring(0, Math.max(0, why.indexOf(':'))));
    }

    /** Words that go on into frames, so nothing that would end a line or a field there. */
    private static String header(HeaderMap headers, HttpString name) {
        String value = headers.getFirst(name);
        wrongIf(value == null || value.isEmpty(), "field: " + name + " is missing");
        wrongIf(headers.count(name) > 1, "field: " + name + " stands twice");
        wrongIf(value.length() > 200, "field: " + name + " is too long");
        for (int at = 0; at < value.length(); at++) {
            char one = value.charAt(at);
            wrongIf(one <= ' ' || one == ',' || one > '~', "field: " + name + " holds an odd character");
        }
        return value;
    }

    private static void wrongIf(boolean wrong, String what) {
        if (wrong) {
            throw new IllegalArgumentException(what);
        }
    }
}
