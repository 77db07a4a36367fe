package pinewick.fleet.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What the words of several mixers come to. Each figure is a median over origins, weighted by age, so that one wrong
 * origin, however far off, moves it no further than to the next honest word; a warning needs two origins. Danger:
 * replicated facts are late, wrong or from a mixer that sees another network; so what comes out may only make a mixer
 * more careful than its own observations, never less ({@link #worse}). Harm: with fewer than three origins a single
 * liar can make a searcher look bad to those that never heard it, which costs choice but breaks no rule.
 */
public final class FactAggregator {
    /** Seconds in which a word's weight halves. */
    private static final double HALF_LIFE_SECONDS = 2;
    /** Origins that a warning needs. */
    private static final int MIN_WARNING_ORIGINS = 2;

    private final FactStore store;

    public FactAggregator(FactStore store) {
        this.store = store;
    }

    /** The latency that other mixers see, seconds; NaN where none is known. */
    public double latencySeconds(int key, int self, double now) {
        return median(key, FactKind.LATENCY, self, now, false);
    }

    /** The queue that was reported to them; NaN where none is known. */
    public double queueLength(int key, int self, double now) {
        return median(key, FactKind.LATENCY, self, now, true);
    }

    /**
     * What this mixer may take for a searcher's figure: its own, or the others' if that is worse; theirs if it has
     * none.
     */
    public static double worseOf(double own, double others) {
        return Double.isNaN(own) ? others : Double.isNaN(others) ? own : Math.max(own, others);
    }

    /** Whether two others or more saw it fail of late, and after this time. */
    public boolean isUnhealthy(int key, int self, double now, double since) {
        return isReported(key, FactKind.UNHEALTHY, self, now, since);
    }

    /** Whether two others or more saw it drain or go, after this time. */
    public boolean isLeaving(int key, int self, double now, double since) {
        return isReported(key, FactKind.LEAVING, self, now, since);
    }

    private boolean isReported(int key, FactKind kind, int self, double now, double since) {
        int origins = 0;
        for (Fact each : store.of(key, kind)) {
            origins += each.origin() != self
                            && each.value() > 0
                            && each.ageSeconds(now) <= kind.maxAgeSeconds()
                            && each.stamp() / 1e3 > since
                    ? 1
                    : 0;
        }
        return origins >= MIN_WARNING_ORIGINS;
    }

    /** What others sent to a cold searcher, seconds of work, as far as it is known: a lower bound of the truth. */
    public double coldWorkSeconds(int key, int self, double now) {
        double totalSeconds = 0;
        for (Fact each : store.of(key, FactKind.COLD_WORK)) {
            totalSeconds += each.origin() != self && each.ageSeconds(now) <= each.secondValue() ? each.value() : 0;
        }
        return totalSeconds;
    }

    private double median(int key, FactKind kind, int self, double now, boolean useSecondValue) {
        List<double[]> samples = new ArrayList<>();
        double totalWeight = 0;
        for (Fact each : store.of(key, kind)) {
            double ageSeconds = Math.max(0, each.ageSeconds(now));
            if (each.origin() != self && ageSeconds <= kind.maxAgeSeconds()) {
                double weight = Math.pow(0.5, ageSeconds / HALF_LIFE_SECONDS);
                samples.add(new double[] {useSecondValue ? each.secondValue() : each.value(), weight});
                totalWeight += weight;
            }
        }
        samples.sort(Comparator.comparingDouble(sample -> sample[0]));
        double cumulativeWeight = 0;
        for (double[] each : samples) {
            cumulativeWeight += each[1];
            if (cumulativeWeight >= totalWeight / 2) {
                return each[0];
            }
        }
        return Double.NaN;
    }
}
