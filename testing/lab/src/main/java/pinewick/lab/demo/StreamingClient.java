package pinewick.lab.demo;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import pinewick.model.SocketAddress;

/**
 * Client that requests streams sequentially, through the routers in round-robin order. A rejection guarantees that the
 * request was not executed, so the client retries at the next router after the Retry-After time; any other incomplete
 * response counts as a failed request.
 */
final class StreamingClient {
    /** Maximum time until a response, including retries. */
    static final Duration DEADLINE = Duration.ofSeconds(5);

    private static final int OK = 200;
    private static final int PROMPT_TOKENS = 9_000;
    private static final int SHARED_TOKENS = 800;
    private static final String SHARED_PREFIX = "5c1e07a2:" + SHARED_TOKENS;
    private static final Set<Integer> RETRYABLE_STATUSES = Set.of(408, 421, 429, 503);
    private static final double DEFAULT_RETRY_SECONDS = 0.2;
    private static final double MS_PER_SECOND = 1_000;

    private final HttpClient http;
    private final List<SocketAddress> routers;
    private final RequestTally tally;

    StreamingClient(HttpClient http, List<SocketAddress> routers, RequestTally tally) {
        this.http = http;
        this.routers = routers;
        this.tally = tally;
    }

    /**
     * Sends one request, with retries, and records its outcome in the tally.
     *
     * @param firstRouter index of the router for the first attempt
     */
    void send(String requestId, String path, int firstRouter) throws InterruptedException {
        long deadlineNs = System.nanoTime() + DEADLINE.toNanos();
        for (int attempt = 0; System.nanoTime() < deadlineNs; attempt++) {
            SocketAddress router = routers.get((firstRouter + attempt) % routers.size());
            HttpResponse<String> response;
            try {
                Duration remaining = Duration.ofNanos(Math.max(1, deadlineNs - System.nanoTime()));
                response = http.send(request(router, requestId, path, remaining), HttpResponse.BodyHandlers.ofString());
            } catch (IOException e) {
                tally.failed(requestId, "no response from " + router + ": " + e);
                return;
            }
            if (!RETRYABLE_STATUSES.contains(response.statusCode())) {
                recordResponse(requestId, response);
                return;
            }
            tally.retried();
            Thread.sleep(retryAfterMs(response, deadlineNs - System.nanoTime()));
        }
        tally.failed(requestId, "rejected until its deadline");
    }

    private void recordResponse(String requestId, HttpResponse<String> response) {
        if (response.statusCode() != OK) {
            tally.failed(requestId, "status " + response.statusCode());
        } else if (!EventStream.isComplete(response.body())) {
            tally.failed(requestId, "incomplete event stream");
        } else if (response.headers().firstValue("X-Pinewick-Server-Signature").isEmpty()) {
            tally.failed(requestId, "response without a replica signature");
        } else {
            tally.completed();
        }
    }

    /** The Retry-After time, limited to a third of the time until the deadline, milliseconds. */
    private static long retryAfterMs(HttpResponse<String> response, long remainingNs) {
        double seconds = response.headers()
                .firstValue("Retry-After")
                .map(Double::parseDouble)
                .orElse(DEFAULT_RETRY_SECONDS);
        long maxMs = Math.max(0, Duration.ofNanos(remainingNs).toMillis() / 3);
        return Math.min(maxMs, Math.round(seconds * MS_PER_SECOND));
    }

    private static HttpRequest request(SocketAddress router, String requestId, String path, Duration remaining) {
        return HttpRequest.newBuilder(URI.create("http://" + router + path))
                .timeout(remaining)
                .header("Host", DemoConfiguration.HOST)
                .header("X-Pinewick-Request-Id", requestId)
                .header("X-Pinewick-Deadline-Ms", Long.toString(Math.max(1, remaining.toMillis())))
                .header("X-Pinewick-Model", DemoConfiguration.MODEL)
                .header("X-Pinewick-Token-Count", PROMPT_TOKENS + "," + EventStream.EVENTS)
                .header("X-Pinewick-Prompt-Prefix", SHARED_PREFIX + "," + uniquePart(requestId))
                .POST(HttpRequest.BodyPublishers.ofString("a prompt"))
                .build();
    }

    /** Prefix entry of the part of the prompt that is unique to this request. */
    private static String uniquePart(String requestId) {
        return String.format("%08x:%d", requestId.hashCode(), PROMPT_TOKENS - SHARED_TOKENS);
    }
}
