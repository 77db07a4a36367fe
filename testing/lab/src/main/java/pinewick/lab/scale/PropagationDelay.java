package pinewick.lab.scale;

import com.google.gson.JsonObject;
import java.util.List;

/**
 * After how long something was known to the processes of a fleet.
 *
 * @param medianMs half of them knew it by then
 * @param lastMs all who ever did knew it by then
 * @param missing how many did not learn of it while it was waited for
 */
record PropagationDelay(double medianMs, double lastMs, int missing) {
    private static final double NS_A_MS = 1e6;

    static PropagationDelay of(List<Long> timesNs, long fromNs, int missing) {
        double[] sorted = timesNs.stream()
                .filter(time -> time != 0)
                .mapToDouble(time -> (time - fromNs) / NS_A_MS)
                .sorted()
                .toArray();
        if (sorted.length == 0) {
            return new PropagationDelay(Double.NaN, Double.NaN, missing);
        }
        return new PropagationDelay(sorted[sorted.length / 2], sorted[sorted.length - 1], missing);
    }

    /** The worst of several. */
    static PropagationDelay worst(List<PropagationDelay> spreads) {
        return new PropagationDelay(
                spreads.stream().mapToDouble(PropagationDelay::medianMs).max().orElse(Double.NaN),
                spreads.stream().mapToDouble(PropagationDelay::lastMs).max().orElse(Double.NaN),
                spreads.stream().mapToInt(PropagationDelay::missing).sum());
    }

    JsonObject toJson() {
        JsonObject json = new JsonObject();
        json.addProperty("medianMs", Math.round(medianMs));
        json.addProperty("lastMs", Math.round(lastMs));
        json.addProperty("missing", missing);
        return json;
    }
}
