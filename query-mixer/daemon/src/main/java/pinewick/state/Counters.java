package pinewick.state;

import java.util.LinkedHashMap;
import java.util.Map;

/** Counters by name, in the order of their first use. */
public final class Counters {
    private final Map<String, long[]> counts = new LinkedHashMap<>();

    public void add(String name) {
        add(name, 1);
    }

    public void add(String name, long amount) {
        counts.computeIfAbsent(name, any -> new long[1])[0] += amount;
    }

    /** Raises the counter to this value if it is higher. */
    public void peak(String name, long value) {
        long[] count = counts.computeIfAbsent(name, any -> new long[1]);
        count[0] = Math.max(count[0], value);
    }

    /** The counter's value; 0 if it was never used. */
    public long get(String name) {
        return counts.containsKey(name) ? counts.get(name)[0] : 0;
    }

    /** One line for each counter: name, space, value. */
    public String text() {
        StringBuilder text = new StringBuilder();
        counts.forEach(
                (name, count) -> text.append(name).append(' ').append(count[0]).append('\n'));
        return text.toString();
    }
}
