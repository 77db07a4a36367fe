package pinewick.fleet.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Aggregates the facts of several routers. Each figure is a median over origins, weighted by age, so that one wrong
 * origin, however far off, moves it no further than to the next honest value; a warning needs two origins.
 * Replicated facts may be late, wrong or from a router that sees a different network; so the result may only make a
 * router more careful than its own observations, never less ({@link #worseOf}). The cost is that with fewer than
 * three origins one wrong origin can make a replica look bad to routers that have no observation of it, which
 * reduces their choice but breaks no rule.
 */
public final class FactAggregator {
    /** Seconds in which the weight of a fact halves. */
    private static final double HALF_LIFE_SECONDS = 2;
    /** Minimum number of origins for a warning. */
    private static final int MIN_WARNING_ORIGINS = 2;

    private final FactStore store;

    public FactAggregator(FactStore store) {
        this.store = store;
    }

    /** Latency that other routers observe, in seconds; NaN if none is known. */
    public double latencySeconds(int key, int self, double now) {
        return median(key, FactKind.LATENCY, self, now, false);
    }

    /** Queue length that was reported to other routers; NaN if none is known. */
    public double queueLength(int key, int self, double now) {
        return median(key, FactKind.LATENCY, self, now, true);
    }

    /**
     * Returns the figure to use for a replica: the worse of this router's own and the others', or the only one
     * that is known.
     */
    public static double worseOf(double own, double others) {
        return Double.isNaN(own) ? others : Double.isNaN(others) ? own : Math.max(own, others);
    }

    /** Whether at least two other routers recently saw the replica fail, after the given time. */
    public boolean isUnhealthy(int key, int self, double now, double since) {
        return isReported(key, FactKind.UNHEALTHY, self, now, since);
    }

    /** Whether at least two other routers saw the replica drain or disappear, after the given time. */
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

    /** Work in seconds that other routers sent to a cold replica, as far as known: a lower bound. */
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
