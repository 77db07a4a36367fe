package pinewick.state;

import java.util.LinkedHashMap;
import java.util.Map;

/** Counts by name, in the order in which the names first came; figures of the moment are added on request. */
public final class Counters {
    private final Map<String, long[]> counts = new LinkedHashMap<>();

    public void add(String name) {
        add(name, 1);
    }

    public void add(String name, long amount) {
        counts.computeIfAbsent(name, any -> new long[1])[0] += amount;
    }

    /** Keeps the highest value seen. */
    public void peak(String name, long value) {
        long[] count = counts.computeIfAbsent(name, any -> new long[1]);
        count[0] = Math.max(count[0], value);
    }

    public long get(String name) {
        return counts.containsKey(name) ? counts.get(name)[0] : 0;
    }

    /** A line for each: name, blank, figure. */
    public String text() {
        StringBuilder text = new StringBuilder();
        counts.forEach(
                (name, count) -> text.append(name).append(' ').append(count[0]).append('\n'));
        return text.toString();
    }
}
