package pinewick.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that the limit of a tenant applies to the fleet: all routers together admit no more than that limit allows. */
class FleetQuotaTest {
    private static final long SEED = 67;
    private static final String SERVICE = "plain";
    private static final String INSTANCE = "i-67";

    /** API keys of a tenant with a limit and of one without, which is used to probe whether the fleet is ready. */
    private static final String LIMITED_KEY = "k67limited";

    private static final String UNLIMITED_KEY = "k67unlimited";

    private static final int RATE_TOKENS_PER_S = 2_000;
    private static final int BURST_TOKENS = 2_000;
    private static final int UNCOUNTED_TOKENS = 200;
    private static final int QUOTA_WINDOW_S = 1;
    private static final double QUOTA_OVERAGE = 0.1;
    private static final int QUOTA_SLACK_TOKENS = 2_000;

    /** Maximum number of tokens that the quota rule allows in any window. */
    private static final double ALLOWED_TOKENS =
            (RATE_TOKENS_PER_S * QUOTA_WINDOW_S + BURST_TOKENS) * (1 + QUOTA_OVERAGE) + QUOTA_SLACK_TOKENS;

    private static final int LOAD_S = 3;
    private static final int REQUESTS_PER_S = 180;
    private static final double MIN_SERVED_SHARE = 0.9;
    private static final double MICROS_PER_S = 1e6;
    private static final long HEARTBEAT_MS = 400;
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(10);
    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;

    @TempDir
    private Path folder;

    private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(4);
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private LoopbackFleet fleet;
    private CountingReplica replica;
    private ScheduledFuture<?> heartbeats;

    /** A request of the tenant with a limit; a non-empty {@code tokenCount} declares its number of tokens. */
    private record PlannedRequest(String id, long atMicros, int router, int tokens, String tokenCount) {}

    /** A request with its response and the time at which it was sent, by {@link System#nanoTime}. */
    private record CompletedRequest(PlannedRequest request, long sentNanos, HttpResponse<Void> response) {
        int status() {
            return response.statusCode();
        }
    }

    /** One execution of a request by the replica. */
    private record ExecutedRequest(long sentNanos, long executedNanos, int tokens) {}

    @BeforeEach
    void start() throws Exception {
        fleet = new LoopbackFleet(
                folder,
                """
                revocation_closed = true
                revoke_ms = 5000
                quota_window_s = %d
                quota_overage = %s
                quota_slack = %d
                """
                        .formatted(QUOTA_WINDOW_S, QUOTA_OVERAGE, QUOTA_SLACK_TOKENS));
        replica = new CountingReplica(INSTANCE);
        fleet.start();
        fleet.configure(configuration());
        AtomicLong callSequence = new AtomicLong();
        heartbeats = executor.scheduleAtFixedRate(
                () -> fleet.sendHeartbeat(INSTANCE, replica.heartbeat(SERVICE, callSequence.incrementAndGet())),
                0,
                HEARTBEAT_MS,
                TimeUnit.MILLISECONDS);
        fleet.awaitReady();
        for (int router = 0; router < LoopbackFleet.ROUTERS; router++) {
            int routerIndex = router;
            LoopbackFleet.await("a router to serve", () -> isServing(routerIndex));
        }
    }

    @AfterEach
    void stop() throws Exception {
        heartbeats.cancel(true);
        executor.shutdownNow();
        fleet.close();
        replica.close();
    }

    @Test
    void routersTogetherServeATenantUpToItsLimit() throws Exception {
        List<CompletedRequest> completedRequests = send(plannedRequests());

        double maxTokens = maxTokensInAWindow(executedRequests(completedRequests));
        assertTrue(
                maxTokens <= ALLOWED_TOKENS,
                "%.0f tokens executed in a window of %d s; limit: %.0f (seed %d)"
                        .formatted(maxTokens, QUOTA_WINDOW_S, ALLOWED_TOKENS, SEED));
        assertRejectedRequestsHaveRetryAfter(completedRequests);
        long servedTokens = completedRequests.stream()
                .filter(completed -> completed.status() == OK)
                .mapToLong(completed -> completed.request().tokens())
                .sum();
        double minServedTokens = MIN_SERVED_SHARE * RATE_TOKENS_PER_S * LOAD_S;
        assertTrue(
                servedTokens >= minServedTokens,
                "%d tokens served; minimum: %.0f (seed %d)".formatted(servedTokens, minServedTokens, SEED));
    }

    private static void assertRejectedRequestsHaveRetryAfter(List<CompletedRequest> completedRequests) {
        for (CompletedRequest completed : completedRequests) {
            if (completed.status() != OK) {
                assertEquals(TOO_MANY_REQUESTS, completed.status());
                String retryAfter =
                        completed.response().headers().firstValue("Retry-After").orElse("0");
                assertTrue(Double.parseDouble(retryAfter) > 0, "Retry-After is " + retryAfter);
            }
        }
    }

    /**
     * Load of many times the limit, at random times, uniformly over the routers; some requests declare their tokens.
     */
    private static List<PlannedRequest> plannedRequests() {
        SplittableRandom random = new SplittableRandom(SEED);
        List<PlannedRequest> planned = new ArrayList<>();
        for (int number = 0; number < REQUESTS_PER_S * LOAD_S; number++) {
            long atMicros = (long) (random.nextDouble() * LOAD_S * MICROS_PER_S);
            int router = random.nextInt(LoopbackFleet.ROUTERS);
            int promptTokens = 50 + random.nextInt(300);
            int outputTokens = 1 + random.nextInt(20);
            planned.add(
                    random.nextBoolean()
                            ? new PlannedRequest("q" + number, atMicros, router, UNCOUNTED_TOKENS, "")
                            : new PlannedRequest(
                                    "q" + number,
                                    atMicros,
                                    router,
                                    promptTokens + outputTokens,
                                    promptTokens + "," + outputTokens));
        }
        return planned;
    }

    private List<CompletedRequest> send(List<PlannedRequest> planned) throws Exception {
        List<CompletableFuture<CompletedRequest>> completedRequests =
                planned.stream().map(this::send).toList();
        CompletableFuture.allOf(completedRequests.toArray(CompletableFuture[]::new))
                .get(LOAD_S + RESPONSE_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        return completedRequests.stream().map(CompletableFuture::join).toList();
    }

    private CompletableFuture<CompletedRequest> send(PlannedRequest planned) {
        HttpRequest.Builder builder = requestBuilder(planned.router(), planned.id(), LIMITED_KEY);
        if (!planned.tokenCount().isEmpty()) {
            builder.header("X-Pinewick-Token-Count", planned.tokenCount());
        }
        HttpRequest request = builder.build();
        Executor delayedExecutor =
                CompletableFuture.delayedExecutor(planned.atMicros(), TimeUnit.MICROSECONDS, executor);
        return CompletableFuture.supplyAsync(System::nanoTime, delayedExecutor)
                .thenCompose(sentNanos -> client.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                        .thenApply(response -> new CompletedRequest(planned, sentNanos, response)));
    }

    private HttpRequest.Builder requestBuilder(int router, String id, String key) {
        return HttpRequest.newBuilder(URI.create("http://" + fleet.frontend(router) + "/plain/x"))
                .timeout(RESPONSE_TIMEOUT)
                .header(CountingReplica.REQUEST_ID, id)
                .header("X-Pinewick-Deadline-Ms", "8000")
                .header("Authorization", "Bearer " + key)
                .POST(HttpRequest.BodyPublishers.ofString("body"));
    }

    private boolean isServing(int router) throws Exception {
        HttpRequest probe = requestBuilder(router, "probe-" + System.nanoTime(), UNLIMITED_KEY)
                .build();
        return client.send(probe, HttpResponse.BodyHandlers.discarding()).statusCode() == OK;
    }

    /** Executions of the requests of the limited tenant; a request that was executed twice occurs twice. */
    private List<ExecutedRequest> executedRequests(List<CompletedRequest> completedRequests) {
        Map<String, CompletedRequest> requestsById = new HashMap<>();
        completedRequests.forEach(
                completed -> requestsById.put(completed.request().id(), completed));
        return replica.runs().stream()
                .filter(run -> requestsById.containsKey(run.requestId()))
                .map(run -> executedRequest(requestsById.get(run.requestId()), run))
                .toList();
    }

    private static ExecutedRequest executedRequest(CompletedRequest completed, CountingReplica.Run run) {
        return new ExecutedRequest(
                completed.sentNanos(), run.atNanos(), completed.request().tokens());
    }

    /** Maximum number of tokens of requests both sent and executed within one window that starts with a request. */
    private static double maxTokensInAWindow(List<ExecutedRequest> runs) {
        long windowNanos = TimeUnit.SECONDS.toNanos(QUOTA_WINDOW_S);
        return runs.stream()
                .mapToLong(windowStart -> runs.stream()
                        .filter(run -> run.sentNanos() >= windowStart.sentNanos()
                                && run.executedNanos() <= windowStart.sentNanos() + windowNanos)
                        .mapToLong(ExecutedRequest::tokens)
                        .sum())
                .max()
                .orElse(0);
    }

    /** One route per router, because clients send the address of the router as the host name. */
    private static String configuration() {
        String routes = IntStream.range(0, LoopbackFleet.ROUTERS)
                .mapToObj(router ->
                        """
                        {"name":"r-%d","hostname":"%s","path_prefix":"/plain/","route_kind":"non_idempotent",\
                        "timeout_ms":8000,"target_latency_ms":4000,"priority":1,"service":"%s","max_attempts":1,\
                        "anonymous":false,"session_affinity":false,"resumable":false}"""
                                .formatted(router, LoopbackFleet.routerHost(router), SERVICE))
                .collect(Collectors.joining(","));
        return """
                {"version":1,"routes":[%s],
                "services":[{"name":"%s","health_check_path":"/health","max_connections":400,"protocol":"h1",
                "tls":false}],
                "limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,
                "idle_timeout_ms":15000},
                "tenants":[{"name":"limited","api_keys":["%s"],"priority":1,"unit":"token_accounting",
                "uncached_tokens":%d,"rate_per_s":%d,"burst_size":%d},
                {"name":"unlimited","api_keys":["%s"],"priority":1,"unit":"token_accounting",
                "uncached_tokens":%d,"rate_per_s":0,"burst_size":0}]}"""
                .formatted(
                        routes,
                        SERVICE,
                        LIMITED_KEY,
                        UNCOUNTED_TOKENS,
                        RATE_TOKENS_PER_S,
                        BURST_TOKENS,
                        UNLIMITED_KEY,
                        UNCOUNTED_TOKENS);
    }
}
