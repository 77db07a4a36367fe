package pinewick.dissemination;

import com.google.gson.JsonObject;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import pinewick.model.ConfigurationDocument;

/** Configurations for tests, similar in size to those that operators submit. */
final class TestDocuments {
    private TestDocuments() {}

    /** A document with the given number of routes, whose names and paths depend only on their index. */
    static ConfigurationDocument withRoutes(long version, int routes) {
        return withRoutes(version, routes, 0);
    }

    /** A document with a tenant, for which routers have to confirm that it is the newest version. */
    static ConfigurationDocument withTenants(long version) {
        JsonObject tenant = new JsonObject();
        tenant.addProperty("name", "tenant-1");
        return new ConfigurationDocument(version, Map.of("tenants", Map.of("tenant-1", tenant)), Map.of());
    }

    /** The same, with a time-out derived from the version on the first {@code changed} routes. */
    static ConfigurationDocument withRoutes(long version, int routes, int changed) {
        Map<String, JsonObject> items = new LinkedHashMap<>();
        for (int i = 0; i < routes; i++) {
            JsonObject route = route(i, i < changed ? (int) version : 3_000);
            items.put(route.get("name").getAsString(), route);
        }
        return new ConfigurationDocument(version, Map.of("routes", items), Map.of());
    }

    private static JsonObject route(int number, int timeoutMs) {
        Random random = new Random(number);
        JsonObject route = new JsonObject();
        route.addProperty("name", "r-" + Long.toString(random.nextInt() & 0xFFFFFFFFL, 36));
        route.addProperty("hostname", "host" + number % 7 + ".example");
        route.addProperty("path_prefix", "/" + Long.toString(random.nextInt() & 0xFFFFFFFFL, 36) + "/");
        route.addProperty("route_kind", "streaming");
        route.addProperty("timeout_ms", timeoutMs);
        route.addProperty("target_latency_ms", 500);
        route.addProperty("priority", number % 3);
        route.addProperty("service", "service-" + number % 5);
        route.addProperty("max_attempts", 2);
        route.addProperty("session_affinity", true);
        route.addProperty("resumable", false);
        route.addProperty("gap_aim_ms", 150);
        return route;
    }
}
