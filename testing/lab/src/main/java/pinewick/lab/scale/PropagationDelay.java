package pinewick.lab.scale;

import com.google.gson.JsonObject;
import java.util.List;

/**
 * How long an update took to reach the processes of a fleet.
 *
 * @param medianMs median over the processes that received it, milliseconds; NaN if none did
 * @param lastMs maximum over the processes that received it, milliseconds; NaN if none did
 * @param missing number of processes that did not receive it before the time-out
 */
record PropagationDelay(double medianMs, double lastMs, int missing) {
    private static final double NS_PER_MS = 1e6;

    static PropagationDelay of(List<Long> timesNs, long fromNs, int missing) {
        double[] sorted = timesNs.stream()
                .filter(time -> time != 0)
                .mapToDouble(time -> (time - fromNs) / NS_PER_MS)
                .sorted()
                .toArray();
        if (sorted.length == 0) {
            return new PropagationDelay(Double.NaN, Double.NaN, missing);
        }
        return new PropagationDelay(sorted[sorted.length / 2], sorted[sorted.length - 1], missing);
    }

    /** The maximum of each delay, and the total of missing processes. */
    static PropagationDelay max(List<PropagationDelay> delays) {
        return new PropagationDelay(
                delays.stream().mapToDouble(PropagationDelay::medianMs).max().orElse(Double.NaN),
                delays.stream().mapToDouble(PropagationDelay::lastMs).max().orElse(Double.NaN),
                delays.stream().mapToInt(PropagationDelay::missing).sum());
    }

    JsonObject toJson() {
        JsonObject json = new JsonObject();
        json.addProperty("medianMs", Math.round(medianMs));
        json.addProperty("lastMs", Math.round(lastMs));
        json.addProperty("missing", missing);
        return json;
    }
}
