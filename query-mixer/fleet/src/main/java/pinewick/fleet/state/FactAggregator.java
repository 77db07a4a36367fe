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
    private static final double HALVES = 2;
    /** Origins that a warning needs. */
    private static final int WARNED = 2;

    private final FactStore store;

    public FactAggregator(FactStore store) {
        this.store = store;
    }

    /** The latency that other mixers see, seconds; NaN where none is known. */
    public double pace(int key, int self, double now) {
        return median(key, FactKind.PACE, self, now, false);
    }

    /** The queue that was reported to them; NaN where none is known. */
    public double queue(int key, int self, double now) {
        return median(key, FactKind.PACE, self, now, true);
    }

    /**
     * What this mixer may take for a searcher's figure: its own, or the others' if that is worse; theirs if it has
     * none.
     */
    public static double worse(double own, double others) {
        return Double.isNaN(own) ? others : Double.isNaN(others) ? own : Math.max(own, others);
    }

    /** Whether two others or more saw it fail of late, and after this time. */
    public boolean ill(int key, int self, double now, double since) {
        return warned(key, FactKind.ILL, self, now, since);
    }

    /** Whether two others or more saw it drain or go, after this time. */
    public boolean leaves(int key, int self, double now, double since) {
        return warned(key, FactKind.LEAVES, self, now, since);
    }

    private boolean warned(int key, FactKind kind, int self, double now, double since) {
        int origins = 0;
        for (Fact each : store.of(key, kind)) {
            origins += each.origin() != self
                            && each.first() > 0
                            && each.age(now) <= kind.most()
                            && each.stamp() / 1e3 > since
                    ? 1
                    : 0;
        }
        return origins >= WARNED;
    }

    /** What others sent to a cold searcher, seconds of work, as far as it is known: a lower bound of the truth. */
    public double spent(int key, int self, double now) {
        double spent = 0;
        for (Fact each : store.of(key, FactKind.SPENT)) {
            spent += each.origin() != self && each.age(now) <= each.second() ? each.first() : 0;
        }
        return spent;
    }

    private double median(int key, FactKind kind, int self, double now, boolean second) {
        List<double[]> words = new ArrayList<>();
        double total = 0;
        for (Fact each : store.of(key, kind)) {
            double age = Math.max(0, each.age(now));
            if (each.origin() != self && age <= kind.most()) {
                double weight = Math.pow(0.5, age / HALVES);
                words.add(new double[] {second ? each.second() : each.first(), weight});
                total += weight;
            }
        }
        words.sort(Comparator.comparingDouble(word -> word[0]));
        double passed = 0;
        for (double[] each : words) {
            passed += each[1];
            if (passed >= total / 2) {
                return each[0];
            }
        }
        return Double.NaN;
    }
}
