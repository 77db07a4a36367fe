package pinewick.model;

import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/**
 * Parses and validates the request bodies of the operator's API. A body is rejected only if it makes the configuration
 * invalid; fields and sections that are unknown to this release are kept unchanged.
 */
public final class ConfigurationChecks {
    private ConfigurationChecks() {}

    /**
     * Parses and validates a full configuration ({@code POST /config/replace}).
     *
     * @throws InvalidConfigurationException with every fault
     */
    public static ConfigurationDocument parseReplacement(byte[] body) throws InvalidConfigurationException {
        JsonObject json = parseObject(body);
        FaultList faults = new FaultList();
        ConfigurationDocument document = new DocumentReader(faults).readDocument(json);
        return requireValid(document, faults);
    }

    /**
     * Parses an update ({@code POST /config/update}), applies it to {@code base} and validates the complete result.
     * Removals of names that do not exist are ignored. Fields other than {@code upserts} and {@code removals} replace
     * those of {@code base}.
     *
     * @throws InvalidConfigurationException with every fault
     */
    public static ConfigurationDocument parseUpdate(ConfigurationDocument base, byte[] body)
            throws InvalidConfigurationException {
        JsonObject json = parseObject(body);
        FaultList faults = new FaultList();
        ConfigurationDocument document = new DocumentReader(faults).readChanges(base, json);
        return requireValid(document, faults);
    }

    /**
     * Rejects a document that is not newer than the current one. Separate from parsing, because only the store knows
     * the current version.
     *
     * @throws InvalidConfigurationException if the document's version is not higher than {@code currentVersion}
     */
    public static void requireNewer(ConfigurationDocument document, long currentVersion)
            throws InvalidConfigurationException {
        if (document.version() <= currentVersion) {
            throw FaultList.single(
                    "version", document.version() + " is not higher than the current version " + currentVersion);
        }
    }

    /**
     * Builds the typed view of a document.
     *
     * @throws InvalidConfigurationException with every fault of the document
     */
    public static RoutingTable toRoutingTable(ConfigurationDocument document) throws InvalidConfigurationException {
        FaultList faults = new FaultList();
        RoutingTable table = new RoutingTableBuilder(document, faults).build();
        faults.throwIfAny();
        return table;
    }

    /**
     * Reads the tenants of a document.
     *
     * @throws InvalidConfigurationException with every fault of the tenants
     */
    public static List<Tenant> toTenants(ConfigurationDocument document) throws InvalidConfigurationException {
        FaultList faults = new FaultList();
        List<Tenant> tenants = new RoutingTableBuilder(document, faults).tenants();
        faults.throwIfAny();
        return tenants;
    }

    /** Encodes a document as JSON, as {@code GET /config/read} returns it: version, sections, other fields. */
    public static byte[] toJson(ConfigurationDocument document) {
        StringBuilder text = new StringBuilder();
        text.append("{\"version\":").append(document.version());
        document.sections().forEach((section, items) -> appendSection(text, section, items));
        document.fields().forEach((name, value) -> appendKey(text, name).append(value));
        return text.append('}').toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Encodes a delta in the compact binary format for disk and network; {@link #readDelta} decodes it. */
    public static byte[] writeDelta(ConfigurationDelta delta) {
        return DeltaFormat.write(delta);
    }

    /**
     * Decodes the output of {@link #writeDelta}.
     *
     * @throws IllegalArgumentException if the bytes are not an encoded delta, or are corrupt
     */
    public static ConfigurationDelta readDelta(byte[] bytes) {
        return DeltaFormat.read(bytes);
    }

    private static JsonObject parseObject(byte[] body) throws InvalidConfigurationException {
        try {
            if (JsonText.parse(body) instanceof JsonObject object) {
                return object;
            }
            throw FaultList.single("", "is not a JSON object");
        } catch (JsonText.UnreadableException e) {
            throw FaultList.single("", "cannot be parsed: " + e.getMessage());
        }
    }

    private static ConfigurationDocument requireValid(ConfigurationDocument document, FaultList faults)
            throws InvalidConfigurationException {
        new RoutingTableBuilder(document, faults).build();
        faults.throwIfAny();
        return document;
    }

    private static void appendSection(StringBuilder text, String section, Map<String, JsonObject> items) {
        appendKey(text, section).append('[');
        String separator = "";
        for (JsonObject item : items.values()) {
            text.append(separator).append(item);
            separator = ",";
        }
        text.append(']');
    }

    private static StringBuilder appendKey(StringBuilder text, String name) {
        return text.append(',').append(new JsonPrimitive(name)).append(':');
    }
}
