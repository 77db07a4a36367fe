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
 * The difference between the items of two versions of a section, including their order. The removals are applied first;
 * each upsert then replaces the item of the same name in place, or is appended.
 */
record SectionDifference(List<String> removals, Map<String, JsonObject> upserts) {

    /** Computes the difference from {@code before} to {@code after}. */
    static SectionDifference between(Map<String, JsonObject> before, Map<String, JsonObject> after) {
        Set<String> retainedNames = namesRetainedInPlace(before, after);
        List<String> removals = new ArrayList<>();
        for (String name : before.keySet()) {
            if (!retainedNames.contains(name)) {
                removals.add(name);
            }
        }
        Map<String, JsonObject> upserts = new LinkedHashMap<>();
        after.forEach((name, item) -> {
            if (!retainedNames.contains(name) || !JsonText.isSameText(item, before.get(name))) {
                upserts.put(name, item);
            }
        });
        return new SectionDifference(removals, upserts);
    }

    /** The leading names of {@code after} that {@code before} has in the same order; all others have to be appended. */
    private static Set<String> namesRetainedInPlace(Map<String, JsonObject> before, Map<String, JsonObject> after) {
        Set<String> retainedNames = new HashSet<>();
        Iterator<String> remainingNames = before.keySet().iterator();
        for (String name : after.keySet()) {
            if (!before.containsKey(name) || !advanceTo(name, remainingNames)) {
                break;
            }
            retainedNames.add(name);
        }
        return retainedNames;
    }

    /** The names of the changed items; their contents are omitted because they may contain keys. */
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
