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

/** The limit of a tenant holds for the whole fleet: all routers together let through what one tenant may have. */
class FleetQuotaTest {
    private static final long SEED = 67;
    private static final String SERVICE = "plain";
    private static final String INSTANCE = "i-67";

    /** Of the tenant with a limit, and of one without, which asks whether the fleet is ready. */
    private static final String LIMITED_KEY = "k67limited";

    private static final String UNLIMITED_KEY = "k67unlimited";

    private static final int RATE_TOKENS_PER_S = 2_000;
    private static final int BURST_TOKENS = 2_000;
    private static final int UNCOUNTED_TOKENS = 200;
    private static final int QUOTA_WINDOW_S = 1;
    private static final double QUOTA_OVERAGE = 0.1;
    private static final int QUOTA_SLACK_TOKENS = 2_000;

    /** What the rule allows in any window. */
    private static final double ALLOWED_TOKENS =
            (RATE_TOKENS_PER_S * QUOTA_WINDOW_S + BURST_TOKENS) * (1 + QUOTA_OVERAGE) + QUOTA_SLACK_TOKENS;

    private static final int LOAD_S = 3;
    private static final int REQUESTS_PER_S = 180;
    private static final double LEAST_SERVED_SHARE = 0.9;
    private static final double MICROS_PER_S = 1e6;
    private static final long HEARTBEAT_MS = 400;
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(10);
    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;

    @TempDir
    private Path folder;

    private final ScheduledExecutorService threads = Executors.newScheduledThreadPool(4);
    private final HttpClient clients =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private LoopbackFleet fleet;
    private CountingReplica replica;
    private ScheduledFuture<?> heartbeats;

    /** A request of the tenant with a limit; one with {@code tokenCount} says how many tokens it takes. */
    private record PlannedRequest(String id, long atMicros, int router, int tokens, String tokenCount) {}

    /** What became of it; the moment it was sent by {@link System#nanoTime}. */
    private record CompletedRequest(PlannedRequest request, long sentNanos, HttpResponse<Void> response) {
        int status() {
            return response.statusCode();
        }
    }

    /** One run of a request by the replica. */
    private record ExecutedRequest(long sentNanos, long ranNanos, int tokens) {}

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
        heartbeats = threads.scheduleAtFixedRate(
                () -> fleet.sendHeartbeat(INSTANCE, replica.heartbeat(SERVICE, callSequence.incrementAndGet())),
                0,
                HEARTBEAT_MS,
                TimeUnit.MILLISECONDS);
        fleet.awaitReady();
        for (int router = 0; router < LoopbackFleet.ROUTERS; router++) {
            int each = router;
            LoopbackFleet.await("a router to serve", () -> isServing(each));
        }
    }

    @AfterEach
    void stop() throws Exception {
        heartbeats.cancel(true);
        threads.shutdownNow();
        fleet.close();
        replica.close();
    }

    @Test
    void allRoutersTogetherServeATenantUpToItsLimitAndNoFurther() throws Exception {
        List<CompletedRequest> answers = send(plannedRequests());

        double most = mostTokensInAWindow(countedRuns(answers));
        assertTrue(
                most <= ALLOWED_TOKENS,
                "%.0f tokens were run in a window of %d s; allowed are %.0f (seed %d)"
                        .formatted(most, QUOTA_WINDOW_S, ALLOWED_TOKENS, SEED));
        assertOthersAreToldToWait(answers);
        long served = answers.stream()
                .filter(answer -> answer.status() == OK)
                .mapToLong(answer -> answer.request().tokens())
                .sum();
        double owed = LEAST_SERVED_SHARE * RATE_TOKENS_PER_S * LOAD_S;
        assertTrue(served >= owed, "%d tokens were served, owed are %.0f (seed %d)".formatted(served, owed, SEED));
    }

    private static void assertOthersAreToldToWait(List<CompletedRequest> answers) {
        for (CompletedRequest answer : answers) {
            if (answer.status() != OK) {
                assertEquals(TOO_MANY_REQUESTS, answer.status());
                String retryAfter =
                        answer.response().headers().firstValue("Retry-After").orElse("0");
                assertTrue(Double.parseDouble(retryAfter) > 0, "Retry-After is " + retryAfter);
            }
        }
    }

    /** Many times the limit, at random moments, through all routers alike; a part of the requests tell their tokens. */
    private static List<PlannedRequest> plannedRequests() {
        SplittableRandom random = new SplittableRandom(SEED);
        List<PlannedRequest> planned = new ArrayList<>();
        for (int number = 0; number < REQUESTS_PER_S * LOAD_S; number++) {
            long atMicros = (long) (random.nextDouble() * LOAD_S * MICROS_PER_S);
            int router = random.nextInt(LoopbackFleet.ROUTERS);
            int prompt = 50 + random.nextInt(300);
            int output = 1 + random.nextInt(20);
            planned.add(
                    random.nextBoolean()
                            ? new PlannedRequest("q" + number, atMicros, router, UNCOUNTED_TOKENS, "")
                            : new PlannedRequest(
                                    "q" + number, atMicros, router, prompt + output, prompt + "," + output));
        }
        return planned;
    }

    private List<CompletedRequest> send(List<PlannedRequest> planned) throws Exception {
        List<CompletableFuture<CompletedRequest>> answers =
                planned.stream().map(this::send).toList();
        CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                .get(LOAD_S + ANSWER_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        return answers.stream().map(CompletableFuture::join).toList();
    }

    private CompletableFuture<CompletedRequest> send(PlannedRequest planned) {
        HttpRequest.Builder builder = call(planned.router(), planned.id(), LIMITED_KEY);
        if (!planned.tokenCount().isEmpty()) {
            builder.header("X-Pinewick-Token-Count", planned.tokenCount());
        }
        HttpRequest request = builder.build();
        Executor whenDue = CompletableFuture.delayedExecutor(planned.atMicros(), TimeUnit.MICROSECONDS, threads);
        return CompletableFuture.supplyAsync(System::nanoTime, whenDue)
                .thenCompose(sentNanos -> clients.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                        .thenApply(response -> new CompletedRequest(planned, sentNanos, response)));
    }

    private HttpRequest.Builder call(int router, String id, String key) {
        return HttpRequest.newBuilder(URI.create("http://" + fleet.frontend(router) + "/plain/x"))
                .timeout(ANSWER_TIMEOUT)
                .header(CountingReplica.REQUEST_ID, id)
                .header("X-Pinewick-Deadline-Ms", "8000")
                .header("Authorization", "Bearer " + key)
                .POST(HttpRequest.BodyPublishers.ofString("body"));
    }

    private boolean isServing(int router) throws Exception {
        HttpRequest probe =
                call(router, "probe-" + System.nanoTime(), UNLIMITED_KEY).build();
        return clients.send(probe, HttpResponse.BodyHandlers.discarding()).statusCode() == OK;
    }

    /** The runs of the tenant with a limit; a request that was run twice is there twice. */
    private List<ExecutedRequest> countedRuns(List<CompletedRequest> answers) {
        Map<String, CompletedRequest> sent = new HashMap<>();
        answers.forEach(answer -> sent.put(answer.request().id(), answer));
        return replica.runs().stream()
                .filter(run -> sent.containsKey(run.requestId()))
                .map(run -> counted(sent.get(run.requestId()), run))
                .toList();
    }

    private static ExecutedRequest counted(CompletedRequest answer, CountingReplica.Run run) {
        return new ExecutedRequest(
                answer.sentNanos(), run.atNanos(), answer.request().tokens());
    }

    /** The most tokens of requests that were both sent and run within one window, which begins with some request. */
    private static double mostTokensInAWindow(List<ExecutedRequest> runs) {
        long windowNanos = TimeUnit.SECONDS.toNanos(QUOTA_WINDOW_S);
        return runs.stream()
                .mapToLong(first -> runs.stream()
                        .filter(run -> run.sentNanos() >= first.sentNanos()
                                && run.ranNanos() <= first.sentNanos() + windowNanos)
                        .mapToLong(ExecutedRequest::tokens)
                        .sum())
                .max()
                .orElse(0);
    }

    /** One route for each router, since clients name the router's own address as their host. */
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
