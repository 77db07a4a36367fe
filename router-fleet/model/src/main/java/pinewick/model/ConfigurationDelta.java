package pinewick.model;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The difference between two versions of the configuration. Changes are replicated, stored and gossiped only in this
 * form.
 *
 * @param baseVersion the version that this delta applies to; {@link #FULL_DOCUMENT} if it applies to
 *     {@link ConfigurationDocument#EMPTY}
 * @param version the resulting version
 * @param upserts items to add or replace, by section and name
 * @param removals names to remove, by section
 * @param fields all other fields, with their values in the new version
 */
public record ConfigurationDelta(
        long baseVersion,
        long version,
        Map<String, Map<String, JsonObject>> upserts,
        Map<String, List<String>> removals,
        Map<String, JsonElement> fields) {
    /** Base version of a delta that contains a full document. */
    public static final long FULL_DOCUMENT = 0;

    /**
     * Computes the difference from {@code from} to {@code to}, which preserves the exact text and the order of items. A
     * section that {@code to} does not have appears only in the removals; see {@link #applyTo}.
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
     * Applies this delta to {@code base}: first the removals, then the upserts, which replace items in place or append
     * them.
     * A section that is empty after the removals and has no upserts is removed.
     *
     * @throws IllegalArgumentException if the version of {@code base} is not {@link #baseVersion}
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
        upserts.forEach((section, changedItems) -> {
            Map<String, JsonObject> items = new LinkedHashMap<>(sections.getOrDefault(section, Map.of()));
            items.putAll(changedItems);
            sections.put(section, items);
        });
        return new ConfigurationDocument(version, sections, fields);
    }

    /** The versions, and the names of sections and fields; the items are omitted because they may contain keys. */
    @Override
    public String toString() {
        return "ConfigurationDelta[baseVersion=" + baseVersion + ", version=" + version + ", upserts="
                + upserts.keySet() + ", removals=" + removals.keySet() + ", fields=" + fields.keySet() + "]";
    }
}
