package pinewick.lab.starts;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Results of the starts of each variant. Thread-safe. */
public final class StartCounts {
    private final Map<String, List<Double>> readyMsByVariant = new TreeMap<>();
    private final List<String> faults = new ArrayList<>();

    synchronized void addReady(String label, double durationMs) {
        readyMsByVariant.computeIfAbsent(label, key -> new ArrayList<>()).add(durationMs);
    }

    synchronized void addFault(String label) {
        faults.add(label);
    }

    /** Starts that exited unexpectedly or did not become ready in time. */
    public synchronized List<String> faults() {
        return List.copyOf(faults);
    }

    /** A Markdown table with a row per program and variant: number of starts, milliseconds until ready. */
    public synchronized String table() {
        StringBuilder table = new StringBuilder(
                "| program, variant | starts | median ms | longest ms |\n| --- | --- | --- | --- |\n");
        readyMsByVariant.forEach((label, times) -> {
            List<Double> sorted = new ArrayList<>(times);
            sorted.sort(null);
            table.append(String.format(
                    "| %s | %d | %.0f | %.0f |%n",
                    label, sorted.size(), sorted.get(sorted.size() / 2), sorted.get(sorted.size() - 1)));
        });
        return table.toString();
    }

    /** Number of starts that became ready. */
    public synchronized int ready() {
        return readyMsByVariant.values().stream().mapToInt(List::size).sum();
    }
}
