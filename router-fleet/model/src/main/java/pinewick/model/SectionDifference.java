package pinewick.model;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The difference between the items of two versions of a section, including their order: names to remove first, then
 * items that replace those of the same name in place or are appended.
 */
record SectionDifference(List<String> removals, Map<String, JsonObject> upserts) {

    /** The difference from {@code before} to {@code after}. */
    static SectionDifference between(Map<String, JsonObject> before, Map<String, JsonObject> after) {
        Set<String> retained = retainedInPlace(before, after);
        List<String> removals = new ArrayList<>();
        for (String name : before.keySet()) {
            if (!retained.contains(name)) {
                removals.add(name);
            }
        }
        Map<String, JsonObject> upserts = new LinkedHashMap<>();
        after.forEach((name, item) -> {
            if (!retained.contains(name) || !JsonText.isSameText(item, before.get(name))) {
                upserts.put(name, item);
            }
        });
        return new SectionDifference(removals, upserts);
    }

    /** The leading names of {@code after} that are in {@code before} in the same order; all others are appended. */
    private static Set<String> retainedInPlace(Map<String, JsonObject> before, Map<String, JsonObject> after) {
        Set<String> retained = new HashSet<>();
        Iterator<String> rest = before.keySet().iterator();
        for (String name : after.keySet()) {
            if (!before.containsKey(name) || !advanceTo(name, rest)) {
                break;
            }
            retained.add(name);
        }
        return retained;
    }

    /** The names of what changes; without the items, which may contain keys. */
    @Override
    public String toString() {
        return "SectionDifference[removals=" + removals + ", upserts=" + upserts.keySet() + "]";
    }

    private static boolean advanceTo(String name, Iterator<String> names) {
        while (names.hasNext()) {
            if (names.next().equals(name)) {
                return true;
            }
        }
        return false;
    }
}
