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
    public static final int ORIGINS = 3;
    /** Stretches of the keys that have a sum each. */
    static final int STRETCHES = 32;

    private static final FactKind[] KINDS = FactKind.values();
    private static final Comparator<Fact> NEWEST =
            Comparator.comparingLong(Fact::stamp).thenComparing(Fact::origin).reversed();

    /** Of one searcher: a list a kind, the newest first. */
    private static final class Kept {
        final List<List<Fact>> kinds = new ArrayList<>();
        int sum;

        Kept() {
            for (int each = 0; each < KINDS.length; each++) {
                kinds.add(new ArrayList<>(2));
            }
        }
    }

    private final Map<Integer, Kept> keys = new HashMap<>();
    private final int[] sums = new int[STRETCHES];
    private int size;

    /** Takes a fact. Returns whether it was news. */
    public boolean merge(Fact fact) {
        Kept of = keys.computeIfAbsent(fact.key(), any -> new Kept());
        List<Fact> kept = of.kinds.get(fact.kind().ordinal());
        for (Fact each : kept) {
            if (each.origin() == fact.origin()) {
                if (each.stamp() >= fact.stamp()) {
                    return false;
                }
                remove(kept, each, of);
                insert(kept, fact, of);
                return true;
            }
        }
        if (kept.size() < ORIGINS) {
            insert(kept, fact, of);
            return true;
        }
        Fact oldest = kept.get(kept.size() - 1);
        if (NEWEST.compare(fact, oldest) > 0) {
            return false;
        }
        remove(kept, oldest, of);
        insert(kept, fact, of);
        return true;
    }

    private void insert(List<Fact> kept, Fact fact, Kept of) {
        int at = 0;
        while (at < kept.size() && NEWEST.compare(kept.get(at), fact) < 0) {
            at++;
        }
        kept.add(at, fact);
        size++;
        sums[stretch(fact.key())] ^= mark(fact);
        of.sum ^= mark(fact);
    }

    private void remove(List<Fact> kept, Fact fact, Kept of) {
        kept.remove(fact);
        size--;
        sums[stretch(fact.key())] ^= mark(fact);
        of.sum ^= mark(fact);
    }

    private static int mark(Fact fact) {
        return (int) (new SplittableRandom(fact.stamp() << 16
                                ^ (long) fact.key() << 8
                                ^ fact.origin() * 5L + fact.kind().ordinal())
                        .nextLong()
                >>> 32);
    }

    static int stretch(int key) {
        return key >>> 27;
    }

    /** What is held of a searcher in a kind, the newest first. */
    public List<Fact> of(int key, FactKind kind) {
        Kept kept = keys.get(key);
        return kept == null ? List.of() : kept.kinds.get(kind.ordinal());
    }

    /** The searchers in a stretch of the keys, each with a sum over what is held of it. */
    public SortedMap<Integer, Integer> keySums(int stretch) {
        SortedMap<Integer, Integer> of = new TreeMap<>();
        keys.forEach((key, kept) -> {
            if (stretch(key) == stretch) {
                of.put(key, kept.sum);
            }
        });
        return of;
    }

    /** The sum over what is held of a searcher; 0 for nothing. */
    public int sum(int key) {
        Kept kept = keys.get(key);
        return kept == null ? 0 : kept.sum;
    }

    /** All that is held of a searcher. */
    public List<Fact> of(int key) {
        List<Fact> all = new ArrayList<>();
        Kept kept = keys.get(key);
        if (kept != null) {
            kept.kinds.forEach(all::addAll);
        }
        return all;
    }

    /** All facts, or those of one stretch of the keys; -1 for all. */
    public List<Fact> all(int stretch) {
        List<Fact> all = new ArrayList<>();
        for (Map.Entry<Integer, Kept> each : keys.entrySet()) {
            if (stretch < 0 || stretch(each.getKey()) == stretch) {
                each.getValue().kinds.forEach(all::addAll);
            }
        }
        all.sort(Comparator.comparingInt((Fact each) -> each.key())
                .thenComparing(Fact::kind)
                .thenComparing(NEWEST));
        return all;
    }

    /** A sum a stretch: the same where the same facts are held. */
    public int[] sums() {
        return sums.clone();
    }

    /**
     * Whether a fact is too old to count. By whole seconds, so that all members, which share a clock, forget the same
     * at the same moment; else copies would differ by what one has forgotten and another not yet.
     */
    public static boolean old(Fact fact, double now) {
        return fact.stamp() / 1e3 < Math.floor(now) - fact.kind().most();
    }

    /** Forgets what is too old to count. */
    public void forget(double now) {
        keys.values().removeIf(kept -> {
            boolean empty = true;
            for (List<Fact> facts : kept.kinds) {
                for (Fact each : List.copyOf(facts)) {
                    if (old(each, now)) {
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
        return Arrays.hashCode(sums);
    }
}
