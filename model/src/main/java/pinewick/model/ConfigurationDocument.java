package pinewick.model;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A whole configuration as the operator sent it: lists of named items by section ({@code routes}, {@code services}, and
 * any section a later release of the platform adds), and the remaining fields ({@code limits}). Items keep their JSON to
 * the letter, fields that this release does not know included, so that what is read back is what was sent. Immutable:
 * nobody changes the JSON that it hands out.
 */
public final class ConfigurationDocument {
    /** The document before the first change: version 0, nothing in it. */
    public static final ConfigurationDocument EMPTY =
            new ConfigurationDocument(0, Collections.emptyMap(), Collections.emptyMap());

    private final long version;
    private final Map<String, Map<String, JsonObject>> sections;
    private final Map<String, JsonElement> fields;

    /**
     * @param version number of this version, 0 for none
     * @param sections items by section and name, in the operator's order
     * @param fields whatever is not a list of named items, the version left out
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

    /** Fields beside the lists of items, the version left out. */
    public Map<String, JsonElement> fields() {
        return fields;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ConfigurationDocument that
                && version == that.version
                && sections.equals(that.sections)
                && fields.equals(that.fields);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(version) * 31 + sections.hashCode();
    }
}
