package pinewick.replication;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import pinewick.model.ConfigurationChecks;
import pinewick.model.ConfigurationDocument;
import pinewick.model.InvalidConfigurationException;

/**
 * A change that a simulated operator sends.
 *
 * @param marker number of the change. It is written into the document, so that the change can be identified there
 */
record Change(int marker, ConfigurationChange.Kind kind, long base, long version, boolean valid, byte[] body) {
    /** Field of the document that contains the marker. */
    static final String MARKER_FIELD = "mark";

    static Change create(int marker, ConfigurationChange.Kind kind, long base, long version, boolean wellFormed) {
        JsonObject service = new JsonObject();
        service.addProperty("name", "s" + marker % 7);
        service.addProperty("health_check_path", "/health/" + marker);
        JsonArray services = new JsonArray();
        services.add(service);
        JsonObject sections = new JsonObject();
        sections.add("services", services);
        sections.add("routes", new JsonArray());
        JsonObject body = kind == ConfigurationChange.Kind.REPLACE ? sections : new JsonObject();
        body.addProperty("version", version);
        body.addProperty(MARKER_FIELD, marker);
        if (kind == ConfigurationChange.Kind.UPDATE) {
            body.add("upserts", sections);
        }
        if (!wellFormed) {
            body.addProperty("limits", "none");
        }
        boolean valid = wellFormed && version > base;
        return new Change(marker, kind, base, version, valid, body.toString().getBytes(StandardCharsets.UTF_8));
    }

    ConfigurationChange asSubmitted() {
        return new ConfigurationChange(kind, base, body);
    }

    ConfigurationDocument applyTo(ConfigurationDocument current) {
        try {
            return kind == ConfigurationChange.Kind.REPLACE
                    ? ConfigurationChecks.parseReplacement(body)
                    : ConfigurationChecks.parseUpdate(current, body);
        } catch (InvalidConfigurationException e) {
            throw new IllegalStateException(e);
        }
    }
}
