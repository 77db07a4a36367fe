package pinewick.emulator.control;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Optional;
import java.util.SplittableRandom;
import pinewick.model.ConfigurationChecks;
import pinewick.model.ConfigurationDocument;
import pinewick.model.InvalidConfigurationException;

/**
 * A change that operators send.
 *
 * @param mark stands in the document, so that it is known whose it is
 * @param whole whether it replaces the configuration, or changes items by name
 * @param base the version it builds upon
 * @param version the version it leads to
 * @param valid whether it is well formed and its version is above its base
 * @param body JSON as sent
 */
record ChangeOrder(int mark, boolean whole, long base, long version, boolean valid, byte[] body) {
    /** Field of the document that holds the mark. */
    static final String MARK = "mark";

    private static final int SERVICE_NAMES = 7;

    /**
     * Makes a change.
     *
     * @param paddingBytes how much longer its document is made; a long change is stored as a snapshot
     * @param routedService a service that the base has and that a new route names, so that the change is valid upon the
     *     base and invalid upon other versions; empty for none
     */
    static ChangeOrder make(
            int mark,
            boolean whole,
            long base,
            long version,
            boolean wellFormed,
            int paddingBytes,
            Optional<String> routedService) {
        JsonObject service = new JsonObject();
        service.addProperty("name", "s" + mark % SERVICE_NAMES);
        service.addProperty("health_check_path", "/health/" + mark);
        JsonArray services = new JsonArray();
        services.add(service);
        JsonObject sections = new JsonObject();
        sections.add("services", services);
        JsonArray routes = new JsonArray();
        routedService.filter(name -> !whole).ifPresent(name -> routes.add(route(mark, name)));
        sections.add("routes", routes);
        JsonObject body = whole ? sections : new JsonObject();
        body.addProperty("version", version);
        body.addProperty(MARK, mark);
        if (paddingBytes > 0) {
            body.addProperty("padding", padding(mark, paddingBytes));
        }
        if (!whole) {
            body.add("upserts", sections);
        }
        if (!wellFormed) {
            body.addProperty("limits", "none");
        }
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        return new ChangeOrder(mark, whole, base, version, wellFormed && version > base, bytes);
    }

    /** Text that cannot be compressed much. */
    private static String padding(int mark, int bytes) {
        byte[] raw = new byte[bytes * 3 / 4];
        new SplittableRandom(mark).nextBytes(raw);
        return Base64.getEncoder().encodeToString(raw);
    }

    private static JsonObject route(int mark, String service) {
        JsonObject route = new JsonObject();
        route.addProperty("name", "r" + mark);
        route.addProperty("hostname", "host.example");
        route.addProperty("path_prefix", "/" + mark + "/");
        route.addProperty("route_kind", "idempotent");
        route.addProperty("timeout_ms", 3_000);
        route.addProperty("service", service);
        return route;
    }

    /** The change whose document this is, by its mark. */
    static int markOf(ConfigurationDocument document) {
        return document.fields().get(MARK).getAsInt();
    }

    ConfigurationDocument applyTo(ConfigurationDocument current) {
        try {
            return whole ? ConfigurationChecks.parseReplacement(body) : ConfigurationChecks.parseUpdate(current, body);
        } catch (InvalidConfigurationException e) {
            throw new IllegalStateException(e);
        }
    }
}
