package pinewick.model;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
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

    /** The difference from {@code from} to {@code to}. */
    public static ConfigurationDelta between(ConfigurationDocument from, ConfigurationDocument to) {
        Map<String, Map<String, JsonObject>> upserts = new LinkedHashMap<>();
        Map<String, List<String>> removals = new LinkedHashMap<>();
        to.sections().forEach((section, items) -> {
            Map<String, JsonObject> before = from.sections().getOrDefault(section, Map.of());
            Map<String, JsonObject> changed = new LinkedHashMap<>();
            items.forEach((name, item) -> {
                if (!item.equals(before.get(name))) {
                    changed.put(name, item);
                }
            });
            if (!changed.isEmpty() || !from.sections().containsKey(section)) {
                upserts.put(section, changed);
            }
        });
        from.sections().forEach((section, items) -> {
            Map<String, JsonObject> after = to.sections().getOrDefault(section, Map.of());
            List<String> gone = new ArrayList<>();
            items.keySet().stream().filter(name -> !after.containsKey(name)).forEach(gone::add);
            if (!gone.isEmpty()) {
                removals.put(section, gone);
            }
        });
        return new ConfigurationDelta(from.version(), to.version(), upserts, removals, to.fields());
    }

    /**
     * Applies this to {@code base}.
     *
     * @throws IllegalArgumentException if {@code base} has another version than {@link #baseVersion}
     */
    public ConfigurationDocument applyTo(ConfigurationDocument base) {
        if (base.version() != baseVersion) {
            throw new IllegalArgumentException(
                    "delta from version " + baseVersion + " does not apply to version " + base.version());
        }
        Map<String, Map<String, JsonObject>> sections = new LinkedHashMap<>();
        base.sections().forEach((section, items) -> sections.put(section, new LinkedHashMap<>(items)));
        removals.forEach((section, names) ->
                names.forEach(sections.computeIfAbsent(section, key -> new LinkedHashMap<>())::remove));
        upserts.forEach((section, items) ->
                sections.computeIfAbsent(section, key -> new LinkedHashMap<>()).putAll(items));
        return new ConfigurationDocument(version, sections, fields);
    }
}
