package pinewick.registry;

import java.util.ArrayDeque;

/**
 * Estimates how many mixers share the searchers, from the keys in a registry. No I/O; times are in seconds. A higher
 * count takes effect at once, a lower one only after it has persisted for the configured delay. A registry that loses
 * mixers' keys (leases lost in bulk, a restored backup) would otherwise raise each mixer's share of a cold searcher's
 * warm-up budget, and together the mixers would overload it. The cost: after a real loss of mixers the others keep
 * their smaller share for the length of the delay.
 */
public final class MixerCount {
    private final double decreaseDelaySeconds;
    /** Pairs of time and count in decreasing order of count; the first one is the highest that still applies. */
    private final ArrayDeque<double[]> candidates = new ArrayDeque<>();

    /**
     * @param initialCount the count that the deployment states, taken as observed at {@code now}
     * @param decreaseDelaySeconds how long a lower count must have persisted
     */
    public MixerCount(int initialCount, double now, double decreaseDelaySeconds) {
        if (initialCount < 1) {
            throw new IllegalArgumentException("mixers: at least one is expected");
        }
        this.decreaseDelaySeconds = decreaseDelaySeconds;
        candidates.add(new double[] {now, initialCount});
    }

    /** Records an observed number of mixers; a count of 0 is taken as 1, since this mixer exists. */
    public void observe(double now, int count) {
        double observed = Math.max(1, count);
        // The previous count applied until now, so any lower count starts at this time.
        double[] newest = candidates.peekLast();
        newest[0] = Math.max(newest[0], now);
        while (!candidates.isEmpty() && candidates.peekLast()[1] <= observed) {
            candidates.pollLast();
        }
        candidates.addLast(new double[] {now, observed});
    }

    /** The number of mixers to assume. */
    public int count(double now) {
        while (candidates.size() > 1 && now - candidates.peekFirst()[0] >= decreaseDelaySeconds) {
            candidates.pollFirst();
        }
        return (int) candidates.peekFirst()[1];
    }
}
