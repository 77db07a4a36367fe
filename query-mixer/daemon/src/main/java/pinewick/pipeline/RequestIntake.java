package pinewick.pipeline;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.HashMap;
import java.util.Map;
import pinewick.core.SchedulerHost;
import pinewick.loop.EventLoop;
import pinewick.loop.Limits;
import pinewick.loop.LoadShedder;
import pinewick.protocol.ClientListener;
import pinewick.protocol.QueryJson;
import pinewick.state.Counters;
import pinewick.state.OpenQuery;

/** First stage: validates a client's request and turns it into an open query. */
public final class RequestIntake implements ClientListener.RequestHandler {
    private static final HttpString ID = new HttpString("Req-Id");
    private static final HttpString KIND = new HttpString("Req-Kind");
    private static final HttpString DEADLINE = new HttpString("Req-Deadline");
    private static final HttpString KEY = new HttpString("Idempotency-Key");
    private static final HttpString RETRY = new HttpString("Req-Retry");

    private final SchedulerHost.Deployment deployment;
    private final Limits limits;
    private final Counters counters;
    private final AdmissionController admission;
    private final CompletionHandler completion;
    private final LoadShedder pressure;
    private final EventLoop loop;
    private double latestEnd = Double.POSITIVE_INFINITY;
    private final Map<String, Integer> serviceClassIndexes = new HashMap<>();

    public RequestIntake(
            SchedulerHost.Deployment deployment,
            Limits limits,
            Counters counters,
            AdmissionController admission,
            CompletionHandler completion,
            LoadShedder pressure,
            EventLoop loop) {
        this.deployment = deployment;
        this.limits = limits;
        this.counters = counters;
        this.admission = admission;
        this.completion = completion;
        this.pressure = pressure;
        this.loop = loop;
        deployment
                .serviceClasses()
                .forEach(serviceClass -> serviceClassIndexes.put(serviceClass.name(), serviceClassIndexes.size()));
    }

    @Override
    public OpenQuery onRequest(HttpServerExchange request, byte[] body, OpenQuery.Client client) {
        HeaderMap headers = request.getRequestHeaders();
        String id = header(headers, ID);
        Integer serviceClass = serviceClassIndexes.get(header(headers, KIND));
        rejectIf(serviceClass == null, "kind: unknown Req-Kind");
        String deadline = header(headers, DEADLINE);
        rejectIf(!deadline.matches("[0-9]+(\\.[0-9]*)?|\\.[0-9]+"), "time: Req-Deadline is no number");
        double timeoutSeconds = Double.parseDouble(deadline);
        rejectIf(
                !(timeoutSeconds > 0 && timeoutSeconds <= limits.maxQueryTimeoutSeconds()),
                "time: Req-Deadline out of bounds");
        boolean isDeduplicated =
                deployment.serviceClasses().get(serviceClass).retrySafety() == SchedulerHost.RetrySafety.DEDUPLICATED;
        String key = isDeduplicated ? header(headers, KEY) : null;
        OpenQuery query = new OpenQuery(id, serviceClass, timeoutSeconds, key, client);
        query.clientSeenAt = loop.now();
        if (loop.now() + timeoutSeconds > latestEnd) {
            // A request accepted during shutdown that cannot end before the exit would be lost after taking effect.
            counters.add("turned-away-leaving");
            admission.reject(query, deployment.allowsRetryAfter() ? pressure.retryAfterSeconds() : 0);
            return query;
        }
        if (pressure.shouldReject(
                loop.now(), deployment.serviceClasses().get(serviceClass).value())) {
            // Rejected before the body is parsed: shed load should cost as little as possible.
            counters.add("turned-away-behind");
            admission.reject(query, pressure.retryAfterSeconds());
            return query;
        }
        QueryJson.read(body, query, limits.shardCount());
        query.isRetry = "1".equals(headers.getFirst(RETRY));
        if (query.isRetry) {
            counters.add("taken-marked-retry");
        }
        admission.admit(query);
        return query;
    }

    @Override
    public void onDrain(double time) {
        latestEnd = time;
    }

    @Override
    public void onCancelled(OpenQuery query) {
        completion.onClientLeft(query);
    }

    @Override
    public void onEvicted(String stage) {
        counters.add("places-made-" + stage);
    }

    @Override
    public void onRejected(String reason) {
        counters.add("bad-requests");
        counters.add("bad-" + reason.substring(0, Math.max(0, reason.indexOf(':'))));
    }

    /** Reads a header that is copied into frames: characters that would end a line or a field there are refused. */
    private static String header(HeaderMap headers, HttpString name) {
        String value = headers.getFirst(name);
        rejectIf(value == null || value.isEmpty(), "field: " + name + " is missing");
        rejectIf(headers.count(name) > 1, "field: " + name + " stands twice");
        rejectIf(value.length() > 200, "field: " + name + " is too long");
        for (int index = 0; index < value.length(); index++) {
            char character = value.charAt(index);
            rejectIf(
                    character <= ' ' || character == ',' || character > '~',
                    "field: " + name + " holds an odd character");
        }
        return value;
    }

    private static void rejectIf(boolean invalid, String message) {
        if (invalid) {
            throw new IllegalArgumentException(message);
        }
    }
}
