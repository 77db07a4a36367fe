package pinewick.dataplane;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import pinewick.dissemination.Confirmation;
import pinewick.dissemination.FleetState;
import pinewick.model.ConfigurationChecks;
import pinewick.model.InvalidConfigurationException;
import pinewick.model.NodeSettings;
import pinewick.model.ReplicaState;
import pinewick.model.SocketAddress;
import pinewick.model.Stage;
import pinewick.quota.QuotaPolicy;
import pinewick.selection.ReplicaSelector;
import pinewick.selection.RetryBudget;

/** A router's data plane on loopback, with a fleet state that the test sets. */
final class TestRouter implements AutoCloseable {
    static final String HOST = "shop.example";
    static final int MAX_CLIENTS = 200;

    final FleetState state = new FleetState();
    final DataPlane dataPlane;
    final HttpFrontend frontend;
    volatile boolean configurationConfirmed = true;
    /** Items of the section {@code tenants} in JSON, separated by commas; if empty, no request needs a key. */
    String tenants = "";

    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("timers", true);
    private final Queue<String> forcedPairs = new ConcurrentLinkedQueue<>();
    private final List<AutoCloseable> closeables = new ArrayList<>();

    TestRouter() throws Exception {
        SerialExecutor serialExecutor = new SerialExecutor();
        scheduler.start();
        JettyTimers timers = new JettyTimers(scheduler, serialExecutor);
        ReplicaSelector selector = new ReplicaSelector(new SplittableRandom(7));
        PairChooser delegate = PairChooser.of(selector);
        dataPlane = new DataPlane(
                serialExecutor,
                timers,
                budget(),
                selector,
                new ScriptedPairChooser(delegate, forcedPairs),
                new SplittableRandom(8),
                tenancy(),
                limits -> {});
        SocketAddress ephemeralAddress = new SocketAddress("127.0.0.1", 0);
        frontend = new HttpFrontend(dataPlane, () -> true, scheduler, ephemeralAddress, ephemeralAddress, MAX_CLIENTS);
        frontend.start();
        dataPlane.follow(state, frontend.upstream());
    }

    private Tenancy tenancy() {
        NodeSettings.Bounds bounds = TestBounds.withTenants();
        ConfigurationStatus status = new ConfigurationStatus() {
            @Override
            public boolean isConfirmedSinceStart() {
                return configurationConfirmed;
            }

            @Override
            public Confirmation lastConfirmation() {
                double confirmedAtMs = configurationConfirmed ? System.nanoTime() / 1e6 : Double.NEGATIVE_INFINITY;
                return new Confirmation(state.configuration().version(), confirmedAtMs);
            }
        };
        return new Tenancy(
                bounds, status, new QuotaPolicy(1_000, 0.1, 1_000), new NoQuotaPeers(), (peer, message) -> {});
    }

    /** A budget whose first window has ended, so that its slack can be spent. */
    private static RetryBudget budget() {
        RetryBudget budget = new RetryBudget(0.2, 50, 10_000);
        budget.onRequest("none", System.nanoTime() / 1e6 - 20_000);
        return budget;
    }

    /** Sets the next choices in order, in place of the selector's: instance ids, or PREFILL+DECODE. */
    void forceChoices(String... pairs) {
        forcedPairs.addAll(List.of(pairs));
    }

    /** Applies a configuration with these routes, in JSON; the rest of the configuration is fixed. */
    void configure(String... routes) throws InvalidConfigurationException {
        configureWithHeaderLimit(16_384, routes);
    }

    void configureWithHeaderLimit(int maxHeaderBytes, String... routes) throws InvalidConfigurationException {
        configureWithLimits(maxHeaderBytes, 65_536, routes);
    }

    void configureWithLimits(int maxHeaderBytes, int maxBodyBytes, String... routes)
            throws InvalidConfigurationException {
        String json =
                """
                {"version":%d,"routes":[%s],"services":[
                {"name":"plain","health_check_path":"/health","max_connections":40,"protocol":"h1","tls":false},
                {"name":"lm","health_check_path":"/health","max_connections":40,"protocol":"h1","tls":false,
                 "engine":{"slots":12,"kv_cache_tokens":500000,"kv_token_bytes":18432,"link_bandwidth_mbps":1000.0,
                 "stride":10,"handle_ttl_s":5.0,"switch_time_s":2.0,"models":[{"name":"m"}]}}],
                "limits":{"max_header_bytes":%d,"max_body_bytes":%d,"header_timeout_ms":3000,
                "idle_timeout_ms":15000}%s}"""
                        .formatted(
                                state.configuration().version() + 1,
                                String.join(",", routes),
                                maxHeaderBytes,
                                maxBodyBytes,
                                tenants.isEmpty() ? "" : ",\"tenants\":[" + tenants + "]");
        state.offer(ConfigurationChecks.parseReplacement(json.getBytes(StandardCharsets.UTF_8)));
    }

    static String route(
            String name, String prefix, String kind, String service, int maxAttempts, String resumableAndOptions) {
        return ("{\"name\":\"%s\",\"hostname\":\"%s\",\"path_prefix\":\"%s\",\"route_kind\":\"%s\",\"timeout_ms\":5000,"
                        + "\"target_latency_ms\":400,\"priority\":1,\"service\":\"%s\",\"max_attempts\":%d,"
                        + "\"session_affinity\":false,\"resumable\":%s,\"gap_aim_ms\":150}")
                .formatted(name, HOST, prefix, kind, service, maxAttempts, resumableAndOptions);
    }

    static String plainRoute(String kind, int maxAttempts) {
        return route("plain", "/plain/", kind, "plain", maxAttempts, "false");
    }

    static String streamRoute(boolean resumable, int maxAttempts) {
        return route("stream", "/lm/", "streaming", "lm", maxAttempts, Boolean.toString(resumable));
    }

    /** A tenant without a limit. */
    static String tenant(String name, String... keys) {
        return "{\"name\":\"%s\",\"api_keys\":[\"%s\"],\"priority\":1}".formatted(name, String.join("\",\"", keys));
    }

    /** The header field that carries an API key. */
    static String keyField(String key) {
        return "Authorization: Bearer " + key;
    }

    /** A ready replica that the router knows. */
    ScriptedReplica replica(String id, String service, Stage stage) throws IOException {
        ScriptedReplica replica = new ScriptedReplica(id, service, stage);
        closeables.add(replica);
        state.merge(replica.record());
        return replica;
    }

    void remove(ScriptedReplica replica) {
        state.merge(replica.record(ReplicaState.GONE));
    }

    RawSocket client() throws IOException {
        RawSocket client = RawSocket.connect(frontend.frontendPort());
        closeables.add(client);
        return client;
    }

    static String request(String method, String target, String id, String body, String... fields) {
        StringBuilder text = new StringBuilder(method + " " + target + " HTTP/1.1\r\nHost: " + HOST + ":80\r\n");
        text.append("X-Pinewick-Request-Id: ").append(id).append("\r\nX-Pinewick-Deadline-Ms: 4000\r\n");
        for (String field : fields) {
            text.append(field).append("\r\n");
        }
        return text.append("Content-Length: ")
                .append(body.length())
                .append("\r\n\r\n")
                .append(body)
                .toString();
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable closeable : closeables) {
            closeable.close();
        }
        frontend.stop();
        scheduler.stop();
    }
}
