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
 * A change that simulated operators submit.
 *
 * @param id identifies the change; part of the document
 * @param replacesAll whether it replaces the full configuration instead of updating items by name
 * @param base the version it is based on
 * @param version the resulting version
 * @param valid whether it is well formed and its version is above its base
 * @param body JSON as sent
 */
record SubmittedChange(int id, boolean replacesAll, long base, long version, boolean valid, byte[] body) {
    /** Field of the document with the id. */
    static final String ID_FIELD = "mark";

    private static final int SERVICE_NAMES = 7;

    /**
     * Creates a change.
     *
     * @param paddingBytes by how many bytes its document is padded; a long change is stored as a snapshot
     * @param routedService a service of the base that a new route refers to, so that the change is valid for the base
     *     and invalid for versions without this service; empty for none
     */
    static SubmittedChange create(
            int id,
            boolean replacesAll,
            long base,
            long version,
            boolean wellFormed,
            int paddingBytes,
            Optional<String> routedService) {
        JsonObject service = new JsonObject();
        service.addProperty("name", "s" + id % SERVICE_NAMES);
        service.addProperty("health_check_path", "/health/" + id);
        JsonArray services = new JsonArray();
        services.add(service);
        JsonObject sections = new JsonObject();
        sections.add("services", services);
        sections.add("tenants", tenants());
        JsonArray routes = new JsonArray();
        routedService.filter(name -> !replacesAll).ifPresent(name -> routes.add(route(id, name)));
        sections.add("routes", routes);
        JsonObject body = replacesAll ? sections : new JsonObject();
        body.addProperty("version", version);
        body.addProperty(ID_FIELD, id);
        if (paddingBytes > 0) {
            body.addProperty("padding", padding(id, paddingBytes));
        }
        if (!replacesAll) {
            body.add("upserts", sections);
        }
        if (!wellFormed) {
            body.addProperty("limits", "none");
        }
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        return new SubmittedChange(id, replacesAll, base, version, wellFormed && version > base, bytes);
    }

    /** Text that hardly compresses. */
    private static String padding(int id, int bytes) {
        byte[] raw = new byte[bytes * 3 / 4];
        new SplittableRandom(id).nextBytes(raw);
        return Base64.getEncoder().encodeToString(raw);
    }

    private static JsonObject route(int id, String service) {
        JsonObject route = new JsonObject();
        route.addProperty("name", "r" + id);
        route.addProperty("hostname", "host.example");
        route.addProperty("path_prefix", "/" + id + "/");
        route.addProperty("route_kind", "idempotent");
        route.addProperty("timeout_ms", 3_000);
        route.addProperty("service", service);
        return route;
    }

    /** With tenants, routers need to know whether their configuration is the newest. */
    private static JsonArray tenants() {
        JsonArray keys = new JsonArray();
        keys.add("key");
        JsonObject tenant = new JsonObject();
        tenant.addProperty("name", "tenant");
        tenant.add("api_keys", keys);
        JsonArray tenants = new JsonArray();
        tenants.add(tenant);
        return tenants;
    }

    /** The id of the change that led to this document. */
    static int idOf(ConfigurationDocument document) {
        return document.fields().get(ID_FIELD).getAsInt();
    }

    ConfigurationDocument applyTo(ConfigurationDocument current) {
        try {
            return replacesAll
                    ? ConfigurationChecks.parseReplacement(body)
                    : ConfigurationChecks.parseUpdate(current, body);
        } catch (InvalidConfigurationException e) {
            throw new IllegalStateException(e);
        }
    }
}
