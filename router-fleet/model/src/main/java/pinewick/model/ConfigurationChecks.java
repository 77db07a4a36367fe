package pinewick.model;

import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/**
 * Parses and validates the operator's bodies. A body is rejected only for what makes a configuration invalid; fields
 * and sections that this release does not know are kept unchanged.
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
        return checked(document, faults);
    }

    /**
     * Reads an update ({@code POST /config/update}) and applies it to {@code base}; the complete result is validated.
     * Names to remove that do not exist are ignored; fields other than {@code upserts} and {@code removals} replace
     * those of {@code base}.
     *
     * @throws InvalidConfigurationException with every fault
     */
    public static ConfigurationDocument parseUpdate(ConfigurationDocument base, byte[] body)
            throws InvalidConfigurationException {
        JsonObject json = parseObject(body);
        FaultList faults = new FaultList();
        ConfigurationDocument document = new DocumentReader(faults).readChanges(base, json);
        return checked(document, faults);
    }

    /**
     * Rejects a document that is not newer than the current one. Not part of the parsing, because only the store knows
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
     * The typed view of a document.
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
     * The tenants of a document.
     *
     * @throws InvalidConfigurationException with every fault of them
     */
    public static List<Tenant> toTenants(ConfigurationDocument document) throws InvalidConfigurationException {
        FaultList faults = new FaultList();
        List<Tenant> tenants = new RoutingTableBuilder(document, faults).tenants();
        faults.throwIfAny();
        return tenants;
    }

    /** The JSON of a document, as {@code GET /config/read} returns it: the version, the sections, the other fields. */
    public static byte[] toJson(ConfigurationDocument document) {
        StringBuilder text = new StringBuilder();
        text.append("{\"version\":").append(document.version());
        document.sections().forEach((section, items) -> appendSection(text, section, items));
        document.fields().forEach((name, value) -> appendKey(text, name).append(value));
        return text.append('}').toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Encodes a delta compactly, for disks and the network; decoded by {@link #readDelta}. */
    public static byte[] writeDelta(ConfigurationDelta delta) {
        return DeltaFormat.write(delta);
    }

    /**
     * Reads what {@link #writeDelta} wrote.
     *
     * @throws IllegalArgumentException if the bytes are something else
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
            throw FaultList.single("", "cannot be read whole: " + e.getMessage());
        }
    }

    private static ConfigurationDocument checked(ConfigurationDocument document, FaultList faults)
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
