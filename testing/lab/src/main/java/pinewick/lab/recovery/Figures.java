package pinewick.lab.recovery;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Measured values of each run by name, and the faults that occurred. */
public final class Figures {
    private static final double ROUNDING = 10;

    private final Map<String, List<Double>> values = new LinkedHashMap<>();
    private final Map<String, Double> targets = new LinkedHashMap<>();
    private final List<String> faults = new ArrayList<>();

    /** Adds the value of one run. */
    void add(String name, double value) {
        values.computeIfAbsent(name, key -> new ArrayList<>()).add(Math.round(value * ROUNDING) / ROUNDING);
    }

    /** Adds the value of one run for a figure whose median must stay below a target. */
    void add(String name, double value, double target) {
        add(name, value);
        targets.put(name, target);
    }

    /** Records that something required did not happen. */
    void addFault(String description) {
        faults.add(description);
    }

    /** The recorded faults, and the figures whose median is not below the target. */
    public List<String> faults() {
        List<String> all = new ArrayList<>(faults);
        targets.forEach((name, target) -> {
            double median = median(values.get(name));
            if (median >= target) {
                all.add(String.format(Locale.ROOT, "%s: median %.1f, aim below %.0f", name, median, target));
            }
        });
        return all;
    }

    /** A Markdown table with the minimum, median and maximum of each figure. */
    public String table() {
        StringBuilder table =
                new StringBuilder("| figure | runs | least | median | most |\n| --- | --- | --- | --- | --- |\n");
        values.forEach((name, runs) -> table.append(String.format(
                Locale.ROOT,
                "| %s | %d | %.1f | %.1f | %.1f |%n",
                name,
                runs.size(),
                runs.stream().mapToDouble(Double::doubleValue).min().orElse(Double.NaN),
                median(runs),
                runs.stream().mapToDouble(Double::doubleValue).max().orElse(Double.NaN))));
        return table.toString();
    }

    /** All values, in the order of the runs. */
    public JsonObject toJson() {
        JsonObject json = new JsonObject();
        values.forEach((name, runs) -> {
            JsonArray array = new JsonArray();
            runs.forEach(array::add);
            json.add(name, array);
        });
        return json;
    }

    private static double median(List<Double> runs) {
        double[] sorted = runs.stream().mapToDouble(Double::doubleValue).toArray();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }
}
