package pinewick.model;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What turns one version of the configuration into another. The one form in which changes are replicated, stored and
 * disseminated.
 *
 * @param baseVersion the version it applies to; {@link #WHOLE} for one that applies to {@link
 *     ConfigurationDocument#EMPTY}
 * @param version the version it leads to
 * @param upserts items to add or replace, by section and name
 * @param removals names to remove, by section
 * @param fields every field beside the sections, as they are in the new version
 */
public record ConfigurationDelta(
        long baseVersion,
        long version,
        Map<String, Map<String, JsonObject>> upserts,
        Map<String, List<String>> removals,
        Map<String, JsonElement> fields) {
    /** Base of a delta that carries a whole document. */
    public static final long WHOLE = 0;

    /**
     * The difference from {@code from} to {@code to}, in which items keep their letter and their order. A section that
     * {@code to} does not have stands among the removals only; see {@link #applyTo}.
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
            boolean emptied = after.isEmpty() && !difference.removals().isEmpty();
            if (before == null || emptied || !difference.upserts().isEmpty()) {
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
     * Applies this to {@code base}: first the removals, then the upserts, which stay in place or go to the end. A
     * section that the removals leave empty and that has no upserts ceases to exist.
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
}
