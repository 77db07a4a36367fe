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
 * What turns the items of one section into others, order included: names to remove first, then items that replace
 * those of their name in place or go to the end.
 */
record SectionDifference(List<String> removals, Map<String, JsonObject> upserts) {

    /** The difference from {@code before} to {@code after}. */
    static SectionDifference between(Map<String, JsonObject> before, Map<String, JsonObject> after) {
        Set<String> keptInPlace = keptInPlace(before, after);
        List<String> removals = new ArrayList<>();
        for (String name : before.keySet()) {
            if (!keptInPlace.contains(name)) {
                removals.add(name);
            }
        }
        Map<String, JsonObject> upserts = new LinkedHashMap<>();
        after.forEach((name, item) -> {
            if (!keptInPlace.contains(name) || !JsonText.alike(item, before.get(name))) {
                upserts.put(name, item);
            }
        });
        return new SectionDifference(removals, upserts);
    }

    /** The leading names of {@code after} that stand in {@code before} in the same order; all others go to the end. */
    private static Set<String> keptInPlace(Map<String, JsonObject> before, Map<String, JsonObject> after) {
        Set<String> kept = new HashSet<>();
        Iterator<String> rest = before.keySet().iterator();
        for (String name : after.keySet()) {
            if (!before.containsKey(name) || !advanceTo(name, rest)) {
                break;
            }
            kept.add(name);
        }
        return kept;
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
