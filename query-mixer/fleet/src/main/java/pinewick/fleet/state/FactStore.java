package pinewick.fleet.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * All facts a mixer holds: for each searcher and kind the newest words of some origins, {@link #ORIGINS} at most. A
 * state-based replicated map: merging keeps the newest word of each origin and of those the newest origins, which is
 * commutative, associative and idempotent, as a word once left out is older than so many others that it never counts
 * again. So memory is bounded by the searchers, however many mixers there are. No I/O, no clock.
 */
public final class FactStore {
    /** Origins kept of each searcher and kind: enough for a median that one liar can't drag away. */
    public static final int MAX_ORIGINS = 3;
    /** Stretches of the keys that have a sum each. */
    static final int RANGES = 32;

    private static final FactKind[] KINDS = FactKind.values();
    private static final Comparator<Fact> NEWEST_FIRST =
            Comparator.comparingLong(Fact::stamp).thenComparing(Fact::origin).reversed();

    /** Of one searcher: a list a kind, the newest first. */
    private static final class SearcherFacts {
        final List<List<Fact>> kinds = new ArrayList<>();
        int checksum;

        SearcherFacts() {
            for (int each = 0; each < KINDS.length; each++) {
                kinds.add(new ArrayList<>(2));
            }
        }
    }

    private final Map<Integer, SearcherFacts> keys = new HashMap<>();
    private final int[] checksums = new int[RANGES];
    private int size;

    /** Takes a fact. Returns whether it was news. */
    public boolean merge(Fact fact) {
        SearcherFacts searcher = keys.computeIfAbsent(fact.key(), any -> new SearcherFacts());
        List<Fact> kept = searcher.kinds.get(fact.kind().ordinal());
        for (Fact each : kept) {
            if (each.origin() == fact.origin()) {
                if (each.stamp() >= fact.stamp()) {
                    return false;
                }
                remove(kept, each, searcher);
                insert(kept, fact, searcher);
                return true;
            }
        }
        if (kept.size() < MAX_ORIGINS) {
            insert(kept, fact, searcher);
            return true;
        }
        Fact oldest = kept.get(kept.size() - 1);
        if (NEWEST_FIRST.compare(fact, oldest) > 0) {
            return false;
        }
        remove(kept, oldest, searcher);
        insert(kept, fact, searcher);
        return true;
    }

    private void insert(List<Fact> kept, Fact fact, SearcherFacts searcher) {
        int at = 0;
        while (at < kept.size() && NEWEST_FIRST.compare(kept.get(at), fact) < 0) {
            at++;
        }
        kept.add(at, fact);
        size++;
        checksums[range(fact.key())] ^= hash(fact);
        searcher.checksum ^= hash(fact);
    }

    private void remove(List<Fact> kept, Fact fact, SearcherFacts searcher) {
        kept.remove(fact);
        size--;
        checksums[range(fact.key())] ^= hash(fact);
        searcher.checksum ^= hash(fact);
    }

    private static int hash(Fact fact) {
        return (int) (new SplittableRandom(fact.stamp() << 16
                                ^ (long) fact.key() << 8
                                ^ fact.origin() * 5L + fact.kind().ordinal())
                        .nextLong()
                >>> 32);
    }

    static int range(int key) {
        return key >>> 27;
    }

    /** What is held of a searcher in a kind, the newest first. */
    public List<Fact> of(int key, FactKind kind) {
        SearcherFacts kept = keys.get(key);
        return kept == null ? List.of() : kept.kinds.get(kind.ordinal());
    }

    /** The searchers in a stretch of the keys, each with a sum over what is held of it. */
    public SortedMap<Integer, Integer> keyChecksums(int range) {
        SortedMap<Integer, Integer> found = new TreeMap<>();
        keys.forEach((key, kept) -> {
            if (range(key) == range) {
                found.put(key, kept.checksum);
            }
        });
        return found;
    }

    /** The sum over what is held of a searcher; 0 for nothing. */
    public int checksum(int key) {
        SearcherFacts kept = keys.get(key);
        return kept == null ? 0 : kept.checksum;
    }

    /** All that is held of a searcher. */
    public List<Fact> of(int key) {
        List<Fact> all = new ArrayList<>();
        SearcherFacts kept = keys.get(key);
        if (kept != null) {
            kept.kinds.forEach(all::addAll);
        }
        return all;
    }

    /** All facts, or those of one stretch of the keys; -1 for all. */
    public List<Fact> all(int range) {
        List<Fact> all = new ArrayList<>();
        for (Map.Entry<Integer, SearcherFacts> each : keys.entrySet()) {
            if (range < 0 || range(each.getKey()) == range) {
                each.getValue().kinds.forEach(all::addAll);
            }
        }
        all.sort(Comparator.comparingInt((Fact each) -> each.key())
                .thenComparing(Fact::kind)
                .thenComparing(NEWEST_FIRST));
        return all;
    }

    /** A sum a stretch: the same where the same facts are held. */
    public int[] checksums() {
        return checksums.clone();
    }

    /**
     * Whether a fact is too old to count. By whole seconds, so that all members, which share a clock, forget the same
     * at the same moment; else copies would differ by what one has forgotten and another not yet.
     */
    public static boolean isExpired(Fact fact, double now) {
        return fact.stamp() / 1e3 < Math.floor(now) - fact.kind().maxAgeSeconds();
    }

    /** Forgets what is too old to count. */
    public void removeExpired(double now) {
        keys.values().removeIf(kept -> {
            boolean empty = true;
            for (List<Fact> facts : kept.kinds) {
                for (Fact each : List.copyOf(facts)) {
                    if (isExpired(each, now)) {
                        remove(facts, each, kept);
                    }
                }
                empty &= facts.isEmpty();
            }
            return empty;
        });
    }

    public int size() {
        return size;
    }

    /** The same for two stores that hold the same. */
    public long digest() {
        return Arrays.hashCode(checksums);
    }
}
