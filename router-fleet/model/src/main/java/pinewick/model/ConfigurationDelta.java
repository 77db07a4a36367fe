package pinewick.model;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The difference between two versions of the configuration. The only form in which changes are replicated, stored and
 * gossiped.
 *
 * @param baseVersion the version it applies to; {@link #FULL_DOCUMENT} for one that applies to
 *     {@link ConfigurationDocument#EMPTY}
 * @param version the resulting version
 * @param upserts items to add or replace, by section and name
 * @param removals names to remove, by section
 * @param fields all other fields, as they are in the new version
 */
public record ConfigurationDelta(
        long baseVersion,
        long version,
        Map<String, Map<String, JsonObject>> upserts,
        Map<String, List<String>> removals,
        Map<String, JsonElement> fields) {
    /** Base of a delta that carries a full document. */
    public static final long FULL_DOCUMENT = 0;

    /**
     * The difference from {@code from} to {@code to}, in which items keep their exact text and their order. A section
     * that {@code to} does not have is in the removals only; see {@link #applyTo}.
     */
    public static ConfigurationDelta between(ConfigurationDocument from, ConfigurationDocument to) {
        Map<String, Map<String, JsonObject>> upserts = new LinkedHashMap<>();
        Map<String, List<String>> removals = new LinkedHashMap<>();
        to.sections().forEach((section, after) -> {
            Map<String, JsonObject> before = from.sections().get(section);
            SectionDifference difference = SectionDifference.between(before == null ? Map.of() : before, after);
            if (!difference.removals().isEmpty()) {
                removals.put(section, difference.removals());
            }
            boolean isEmptied = after.isEmpty() && !difference.removals().isEmpty();
            if (before == null || isEmptied || !difference.upserts().isEmpty()) {
                upserts.put(section, difference.upserts());
            }
        });
        from.sections().forEach((section, items) -> {
            if (!to.sections().containsKey(section)) {
                removals.put(section, List.copyOf(items.keySet()));
            }
        });
        return new ConfigurationDelta(from.version(), to.version(), upserts, removals, to.fields());
    }

    /**
     * Applies this to {@code base}: first the removals, then the upserts, which replace items in place or are appended.
     * A section that is empty after the removals and has no upserts is removed.
     *
     * @throws IllegalArgumentException if {@code base} has another version than {@link #baseVersion}
     */
    public ConfigurationDocument applyTo(ConfigurationDocument base) {
        if (base.version() != baseVersion) {
            throw new IllegalArgumentException(
                    "delta from version " + baseVersion + " does not apply to version " + base.version());
        }
        Map<String, Map<String, JsonObject>> sections = new LinkedHashMap<>(base.sections());
        removals.forEach((section, names) -> {
            Map<String, JsonObject> items = new LinkedHashMap<>(sections.getOrDefault(section, Map.of()));
            names.forEach(items::remove);
            sections.put(section, items);
            if (items.isEmpty() && !upserts.containsKey(section)) {
                sections.remove(section);
            }
        });
        upserts.forEach((section, changed) -> {
            Map<String, JsonObject> items = new LinkedHashMap<>(sections.getOrDefault(section, Map.of()));
            items.putAll(changed);
            sections.put(section, items);
        });
        return new ConfigurationDocument(version, sections, fields);
    }

    /** The versions and the names of what changes; without the items, which may contain keys. */
    @Override
    public String toString() {
        return "ConfigurationDelta[baseVersion=" + baseVersion + ", version=" + version + ", upserts="
                + upserts.keySet() + ", removals=" + removals.keySet() + ", fields=" + fields.keySet() + "]";
    }
}
