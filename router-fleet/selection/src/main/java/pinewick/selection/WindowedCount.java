package pinewick.selection;

import java.util.Arrays;

/** Counts events in a sliding window, divided into buckets; single events are not stored. */
final class WindowedCount {
    private final double bucketMs;
    private final int[] counts;
    private long newestBucket = Long.MIN_VALUE / 2;

    /**
     * @param windowMs length of the longest window that can be queried, milliseconds
     * @param buckets number of buckets of that window
     */
    WindowedCount(double windowMs, int buckets) {
        bucketMs = windowMs / buckets;
        counts = new int[buckets + 2];
    }

    void add(int amount, double nowMs) {
        counts[advance(nowMs)] += amount;
    }

    /** Removes one event added at that time; false if there is none, or if it has left the window. */
    boolean removeOne(double addedAtMs) {
        long bucket = (long) Math.floor(addedAtMs / bucketMs);
        int index = (int) Math.floorMod(bucket, (long) counts.length);
        if (bucket > newestBucket || newestBucket - bucket >= counts.length || counts[index] == 0) {
            return false;
        }
        counts[index]--;
        return true;
    }

    /** An upper bound of the events in the last {@code windowMs}: the bucket at its start counts in full. */
    int upperBound(double windowMs, double nowMs) {
        return sum((int) Math.ceil(windowMs / bucketMs) + 1, nowMs);
    }

    /** A lower bound of the events in the last {@code windowMs}: the bucket at its start is left out. */
    int lowerBound(double windowMs, double nowMs) {
        return sum((int) Math.floor(windowMs / bucketMs), nowMs);
    }

    private int sum(int buckets, double nowMs) {
        advance(nowMs);
        int sum = 0;
        for (int back = 0; back < Math.min(buckets, counts.length); back++) {
            sum += counts[(int) Math.floorMod(newestBucket - back, (long) counts.length)];
        }
        return sum;
    }

    private int advance(double nowMs) {
        long bucket = (long) Math.floor(nowMs / bucketMs);
        if (bucket - newestBucket >= counts.length) {
            Arrays.fill(counts, 0);
            newestBucket = bucket;
        }
        while (newestBucket < bucket) {
            newestBucket++;
            counts[(int) Math.floorMod(newestBucket, (long) counts.length)] = 0;
        }
        return (int) Math.floorMod(newestBucket, (long) counts.length);
    }
}
