package pinewick.emulator.control;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
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
     */
    static ChangeOrder make(int mark, boolean whole, long base, long version, boolean wellFormed, int paddingBytes) {
        JsonObject service = new JsonObject();
        service.addProperty("name", "s" + mark % SERVICE_NAMES);
        service.addProperty("health_check_path", "/health/" + mark);
        JsonArray services = new JsonArray();
        services.add(service);
        JsonObject sections = new JsonObject();
        sections.add("services", services);
        sections.add("routes", new JsonArray());
        JsonObject body = whole ? sections : new JsonObject();
        body.addProperty("version", version);
        body.addProperty(MARK, mark);
        if (paddingBytes > 0) {
            body.addProperty("padding", "x".repeat(paddingBytes));
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
