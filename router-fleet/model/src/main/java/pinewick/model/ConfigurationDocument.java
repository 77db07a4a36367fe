package pinewick.model;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A full configuration as submitted by the operator: lists of named items by section ({@code routes}, {@code services},
 * and any section that a later release of the platform adds), and the remaining fields ({@code limits}). Items keep
 * their exact JSON, including fields that are unknown to this release, so that a read returns exactly the submitted
 * items. Immutable: callers must not modify the returned JSON.
 */
public final class ConfigurationDocument {
    /** The document before the first change: version 0, empty. */
    public static final ConfigurationDocument EMPTY =
            new ConfigurationDocument(0, Collections.emptyMap(), Collections.emptyMap());

    private final long version;
    private final Map<String, Map<String, JsonObject>> sections;
    private final Map<String, JsonElement> fields;

    /**
     * @param version version number, 0 for the document before the first change
     * @param sections items by section and name, in the operator's order
     * @param fields all fields that are not lists of named items, except the version
     */
    public ConfigurationDocument(
            long version, Map<String, Map<String, JsonObject>> sections, Map<String, JsonElement> fields) {
        this.version = version;
        Map<String, Map<String, JsonObject>> copy = new LinkedHashMap<>();
        sections.forEach((name, items) -> copy.put(name, Collections.unmodifiableMap(new LinkedHashMap<>(items))));
        this.sections = Collections.unmodifiableMap(copy);
        this.fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
    }

    public long version() {
        return version;
    }

    /** Items by section and name, in the operator's order. */
    public Map<String, Map<String, JsonObject>> sections() {
        return sections;
    }

    /** Fields other than the lists of items, except the version. */
    public Map<String, JsonElement> fields() {
        return fields;
    }

    /** Whether both have the same version, and sections and fields with the same JSON text, items in the same order. */
    @Override
    public boolean equals(Object other) {
        return other instanceof ConfigurationDocument that
                && version == that.version
                && sections.keySet().equals(that.sections.keySet())
                && fields.keySet().equals(that.fields.keySet())
                && fields.keySet().stream()
                        .allMatch(name -> JsonText.isSameText(fields.get(name), that.fields.get(name)))
                && sections.keySet().stream()
                        .allMatch(name -> hasSameItems(sections.get(name), that.sections.get(name)));
    }

    @Override
    public int hashCode() {
        return Long.hashCode(version) * 31 + sections.keySet().hashCode();
    }

    private static boolean hasSameItems(Map<String, JsonObject> left, Map<String, JsonObject> right) {
        return left == right
                || (List.copyOf(left.keySet()).equals(List.copyOf(right.keySet()))
                        && left.keySet().stream()
                                .allMatch(name -> JsonText.isSameText(left.get(name), right.get(name))));
    }
}
