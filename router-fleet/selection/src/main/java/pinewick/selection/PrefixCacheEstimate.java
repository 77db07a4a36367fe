package pinewick.selection;

import java.util.Arrays;

/**
 * Estimates the content of one replica's prefix cache: prompt parts in the order of their last use, evicted least
 * recently used first once they exceed the usable part of the KV cache. The entries are a linked list and a hash table
 * over parallel arrays, so that a lookup allocates nothing.
 */
final class PrefixCacheEstimate {
    private static final int NONE = -1;
    private static final int INITIAL_ENTRIES = 64;
    /** Smallest fraction of the KV cache that is assumed to be usable for cached prefixes. */
    private static final double MIN_USABLE_FRACTION = 0.2;

    private static final double USABLE_FRACTION_DECREASE = 0.9;
    private static final double USABLE_FRACTION_INCREASE = 1.01;

    private final int maxEntries;
    private long capacityTokens;
    private double usableFraction = 1;
    private long usedTokens;
    private int size;

    private long[] hashes = new long[INITIAL_ENTRIES];
    private int[] tokens = new int[INITIAL_ENTRIES];
    private double[] usedAt = new double[INITIAL_ENTRIES];
    private boolean[] advertised = new boolean[INITIAL_ENTRIES];
    private int[] newer = new int[INITIAL_ENTRIES];
    private int[] older = new int[INITIAL_ENTRIES];
    private int[] nextInBucket = new int[INITIAL_ENTRIES];
    private int[] buckets = new int[2 * INITIAL_ENTRIES];
    private int newest = NONE;
    private int oldest = NONE;
    private int firstFree = NONE;
    private int allocatedEntries;

    PrefixCacheEstimate(int maxEntries) {
        this.maxEntries = maxEntries;
        Arrays.fill(buckets, NONE);
    }

    /** Sets the size of the replica's KV cache, tokens; 0 means that nothing is cached. */
    void setCapacity(long capacity) {
        if (capacity != capacityTokens) {
            capacityTokens = capacity;
            evict();
        }
    }

    int size() {
        return size;
    }

    long usedTokens() {
        return usedTokens;
    }

    /** Number of leading parts of the chain that are estimated to be cached. */
    int cachedParts(PromptChain chain) {
        int part = 0;
        while (part < chain.length() && find(chain.hash(part)) != NONE) {
            part++;
        }
        return part;
    }

    /** Tokens of the leading parts that are estimated to be cached. */
    int cachedTokens(PromptChain chain) {
        int sum = 0;
        for (int part = 0; part < chain.length() && find(chain.hash(part)) != NONE; part++) {
            sum += chain.tokens(part);
        }
        return sum;
    }

    /** The earliest last use among the first {@code parts} parts of the chain, milliseconds; infinite without any. */
    double leastRecentUse(PromptChain chain, int parts) {
        double earliestMs = Double.POSITIVE_INFINITY;
        for (int part = 0; part < parts; part++) {
            int entry = find(chain.hash(part));
            earliestMs = entry == NONE ? earliestMs : Math.min(earliestMs, usedAt[entry]);
        }
        return earliestMs;
    }

    /** When the prefix with this hash was last used, milliseconds; negative infinity if it is not cached. */
    double lastUseMs(long hash) {
        int entry = find(hash);
        return entry == NONE ? Double.NEGATIVE_INFINITY : usedAt[entry];
    }

    /** Records that the replica has cached the whole chain. Later parts count as older: they are evicted first. */
    void recordUse(PromptChain chain, double nowMs) {
        boolean isAdvertised = chain.isAdvertised();
        for (int part = chain.length() - 1; part >= 0; part--) {
            recordUse(chain.hash(part), chain.tokens(part), isAdvertised && part < chain.length() - 1, nowMs);
        }
        evict();
    }

    /**
     * Records that one part was used at {@code atMs}, which may be in the past. Ignored if a later use is known.
     *
     * @param isAdvertised whether the part is advertised to other routers
     */
    void recordUse(long hash, int partTokens, boolean isAdvertised, double atMs) {
        int entry = find(hash);
        if (entry != NONE) {
            if (usedAt[entry] > atMs) {
                return;
            }
            unlink(entry);
        } else {
            entry = add(hash, partTokens);
        }
        usedAt[entry] = atMs;
        advertised[entry] |= isAdvertised;
        link(entry);
    }

    /** Visits the cached parts, most recently used first, until the visitor returns false. */
    void visitNewest(Visitor visitor) {
        int entry = newest;
        while (entry != NONE && visitor.visit(hashes[entry], tokens[entry], advertised[entry], usedAt[entry])) {
            entry = older[entry];
        }
    }

    /** Receives one cached part; returns false to stop. */
    interface Visitor {
        boolean visit(long hash, int partTokens, boolean isAdvertised, double usedAtMs);
    }

    /** Evicts the least recently used parts until the rest fits into the capacity and the maximum number of entries. */
    void evict() {
        long capacity = (long) (capacityTokens * usableFraction);
        while (size > 0 && (usedTokens > capacity || size > maxEntries)) {
            remove(oldest);
        }
    }

    /**
     * A part last used at {@code lastUsedMs} turned out not to be cached. Removes it and every part used earlier, which
     * the replica must have evicted too, and lowers the fraction of the KV cache that is assumed to be usable.
     */
    void onMiss(double lastUsedMs) {
        while (size > 0 && usedAt[oldest] <= lastUsedMs) {
            remove(oldest);
        }
        usableFraction = Math.max(MIN_USABLE_FRACTION, usableFraction * USABLE_FRACTION_DECREASE);
    }

    /** A part was cached as estimated: raises the fraction of the KV cache that is assumed to be usable. */
    void onHit() {
        usableFraction = Math.min(1, usableFraction * USABLE_FRACTION_INCREASE);
    }

    void clear() {
        while (size > 0) {
            remove(oldest);
        }
    }

    private int bucket(long hash) {
        return (int) (hash >>> 20) & (buckets.length - 1);
    }

    private int find(long hash) {
        int entry = buckets[bucket(hash)];
        while (entry != NONE && hashes[entry] != hash) {
            entry = nextInBucket[entry];
        }
        return entry;
    }

    private int add(long hash, int partTokens) {
        int entry = firstFree;
        if (entry != NONE) {
            firstFree = nextInBucket[entry];
        } else {
            if (allocatedEntries == hashes.length) {
                grow();
            }
            entry = allocatedEntries++;
        }
        hashes[entry] = hash;
        tokens[entry] = partTokens;
        advertised[entry] = false;
        int bucket = bucket(hash);
        nextInBucket[entry] = buckets[bucket];
        buckets[bucket] = entry;
        usedTokens += partTokens;
        size++;
        return entry;
    }

    private void remove(int entry) {
        unlink(entry);
        int bucket = bucket(hashes[entry]);
        if (buckets[bucket] == entry) {
            buckets[bucket] = nextInBucket[entry];
        } else {
            int before = buckets[bucket];
            while (nextInBucket[before] != entry) {
                before = nextInBucket[before];
            }
            nextInBucket[before] = nextInBucket[entry];
        }
        nextInBucket[entry] = firstFree;
        firstFree = entry;
        usedTokens -= tokens[entry];
        size--;
    }

    /** Inserts an entry into the LRU list at the position given by its last use. */
    private void link(int entry) {
        int above = NONE;
        int below = newest;
        while (below != NONE && usedAt[below] > usedAt[entry]) {
            above = below;
            below = older[below];
        }
        newer[entry] = above;
        older[entry] = below;
        if (above == NONE) {
            newest = entry;
        } else {
            older[above] = entry;
        }
        if (below == NONE) {
            oldest = entry;
        } else {
            newer[below] = entry;
        }
    }

    private void unlink(int entry) {
        if (newer[entry] == NONE) {
            newest = older[entry];
        } else {
            older[newer[entry]] = older[entry];
        }
        if (older[entry] == NONE) {
            oldest = newer[entry];
        } else {
            newer[older[entry]] = newer[entry];
        }
    }

    private void grow() {
        int length = 2 * hashes.length;
        hashes = Arrays.copyOf(hashes, length);
        tokens = Arrays.copyOf(tokens, length);
        usedAt = Arrays.copyOf(usedAt, length);
        advertised = Arrays.copyOf(advertised, length);
        newer = Arrays.copyOf(newer, length);
        older = Arrays.copyOf(older, length);
        nextInBucket = Arrays.copyOf(nextInBucket, length);
        buckets = new int[2 * length];
        Arrays.fill(buckets, NONE);
        for (int entry = newest; entry != NONE; entry = older[entry]) {
            int bucket = bucket(hashes[entry]);
            nextInBucket[entry] = buckets[bucket];
            buckets[bucket] = entry;
        }
    }
}
