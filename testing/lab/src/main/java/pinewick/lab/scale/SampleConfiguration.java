package pinewick.lab.scale;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import pinewick.model.ConfigurationChecks;
import pinewick.model.ConfigurationDocument;
import pinewick.model.InvalidConfigurationException;

/** Configurations like those of operators: one route per tenant, one service per model. */
public final class SampleConfiguration {
    /** Number of services with replicas, one per model. */
    static final int SERVICES = 3;

    /** The service without replicas. */
    static final String IDLE_SERVICE = "idle";

    /** The host of the routes whose paths {@link #probePath} returns. */
    static final String PROBE_HOST = "probe.example";

    private static final long TOUCHED_TIMEOUT_MS = 1_000;

    private SampleConfiguration() {}

    static String service(int number) {
        return "lm-" + number % SERVICES;
    }

    /** The path of the probe route that a version adds. */
    static String probePath(long version) {
        return "/probe" + version + "/";
    }

    /** The request body of a complete configuration. */
    public static byte[] replacement(long version, int routes) {
        JsonArray list = new JsonArray();
        SplittableRandom random = new SplittableRandom(routes);
        for (int number = 0; number < routes - 1; number++) {
            String name = Long.toString(random.nextLong(1L << 36), 36);
            list.add(route("r-" + name, "tenant" + number + ".example", "/" + name + "/", service(number)));
        }
        list.add(probe(version));
        JsonArray services = new JsonArray();
        for (int number = 0; number < SERVICES; number++) {
            services.add(service(service(number), number));
        }
        services.add(plainService());
        JsonObject document = new JsonObject();
        document.addProperty("version", version);
        document.add("routes", list);
        document.add("services", services);
        document.add("limits", limits());
        return bytes(document);
    }

    /** The request body of an update that adds the probe route of a version. */
    static byte[] update(long version) {
        JsonArray routes = new JsonArray();
        routes.add(probe(version));
        JsonObject upserts = new JsonObject();
        upserts.add("routes", routes);
        JsonObject document = new JsonObject();
        document.addProperty("version", version);
        document.add("upserts", upserts);
        return bytes(document);
    }

    /** The request body of an update that always changes the same route, so that the document does not grow. */
    public static byte[] touch(long version) {
        JsonObject route = route("touched", PROBE_HOST, "/touched/", IDLE_SERVICE);
        route.addProperty("timeout_ms", TOUCHED_TIMEOUT_MS + version);
        JsonArray routes = new JsonArray();
        routes.add(route);
        JsonObject upserts = new JsonObject();
        upserts.add("routes", routes);
        JsonObject document = new JsonObject();
        document.addProperty("version", version);
        document.add("upserts", upserts);
        return bytes(document);
    }

    /** The document that results from a request body. */
    static ConfigurationDocument apply(ConfigurationDocument base, byte[] body, boolean replacement) {
        try {
            return replacement
                    ? ConfigurationChecks.parseReplacement(body)
                    : ConfigurationChecks.parseUpdate(base, body);
        } catch (InvalidConfigurationException e) {
            throw new IllegalStateException(e);
        }
    }

    private static JsonObject probe(long version) {
        return route("probe-" + version, PROBE_HOST, probePath(version), IDLE_SERVICE);
    }

    private static JsonObject route(String name, String host, String prefix, String service) {
        JsonObject route = new JsonObject();
        route.addProperty("name", name);
        route.addProperty("hostname", host);
        route.addProperty("path_prefix", prefix);
        route.addProperty("route_kind", "streaming");
        route.addProperty("timeout_ms", 3_000);
        route.addProperty("target_latency_ms", 500);
        route.addProperty("priority", 1);
        route.addProperty("service", service);
        route.addProperty("max_attempts", 2);
        route.addProperty("session_affinity", true);
        route.addProperty("resumable", false);
        route.addProperty("gap_aim_ms", 150);
        return route;
    }

    private static JsonObject service(String name, int number) {
        JsonObject model = new JsonObject();
        model.addProperty("name", "m" + number);
        JsonArray models = new JsonArray();
        models.add(model);
        JsonObject engine = new JsonObject();
        engine.addProperty("slots", 24);
        engine.addProperty("kv_cache_tokens", 610_342);
        engine.addProperty("kv_token_bytes", 18_432);
        engine.addProperty("link_bandwidth_mbps", 180_000.0);
        engine.addProperty("stride", 10);
        engine.addProperty("handle_ttl_s", 5.0);
        engine.addProperty("switch_time_s", 3.6);
        engine.add("models", models);
        JsonObject service = plain(name);
        service.add("engine", engine);
        return service;
    }

    private static JsonObject plainService() {
        return plain(IDLE_SERVICE);
    }

    private static JsonObject plain(String name) {
        JsonObject service = new JsonObject();
        service.addProperty("name", name);
        service.addProperty("health_check_path", "/health");
        service.addProperty("max_connections", 210);
        service.addProperty("protocol", "h1");
        service.addProperty("tls", false);
        return service;
    }

    private static JsonObject limits() {
        JsonObject limits = new JsonObject();
        limits.addProperty("max_header_bytes", 16_384);
        limits.addProperty("max_body_bytes", 4_194_304);
        limits.addProperty("header_timeout_ms", 3_000);
        limits.addProperty("idle_timeout_ms", 15_000);
        return limits;
    }

    private static byte[] bytes(JsonObject object) {
        return object.toString().getBytes(StandardCharsets.UTF_8);
    }
}
