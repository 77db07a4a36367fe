package pinewick.lab.starts;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What became of the starts of each variant. May be used by several threads. */
public final class StartCounts {
    private final Map<String, List<Double>> readyMsByVariant = new TreeMap<>();
    private final List<String> faults = new ArrayList<>();

    synchronized void addReady(String what, double tookMs) {
        readyMsByVariant.computeIfAbsent(what, key -> new ArrayList<>()).add(tookMs);
    }

    synchronized void addFault(String what) {
        faults.add(what);
    }

    /** Starts that ended by themselves or never became ready. */
    public synchronized List<String> faults() {
        return List.copyOf(faults);
    }

    /** A row for each program and variant: starts, milliseconds until ready. */
    public synchronized String table() {
        StringBuilder table = new StringBuilder(
                "| program, variant | starts | median ms | longest ms |\n| --- | --- | --- | --- |\n");
        readyMsByVariant.forEach((what, times) -> {
            List<Double> sorted = new ArrayList<>(times);
            sorted.sort(null);
            table.append(String.format(
                    "| %s | %d | %.0f | %.0f |%n",
                    what, sorted.size(), sorted.get(sorted.size() / 2), sorted.get(sorted.size() - 1)));
        });
        return table.toString();
    }

    /** How many starts became ready. */
    public synchronized int ready() {
        return readyMsByVariant.values().stream().mapToInt(List::size).sum();
    }
}
