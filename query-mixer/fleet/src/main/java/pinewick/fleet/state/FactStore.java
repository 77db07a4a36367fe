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
 * All facts that a router holds: for each replica and kind the newest facts of at most {@link #MAX_ORIGINS}
 * origins. A state-based replicated map (CRDT): a merge keeps the newest fact of each origin, and of those the
 * newest origins. This is commutative, associative and idempotent, as a fact once evicted is older than so many
 * others that it never counts again. So memory is bounded by the number of replicas and independent of the number
 * of routers. Does no I/O and has no clock.
 */
public final class FactStore {
    /** Origins kept for each replica and kind: enough for a median that one wrong origin cannot shift. */
    public static final int MAX_ORIGINS = 3;
    /** Number of key ranges that have a checksum each. */
    static final int RANGES = 32;

    private static final FactKind[] KINDS = FactKind.values();
    private static final Comparator<Fact> NEWEST_FIRST =
            Comparator.comparingLong(Fact::stamp).thenComparing(Fact::origin).reversed();

    /** The facts of one replica: one list per kind, the newest first. */
    private static final class ReplicaFacts {
        final List<List<Fact>> kinds = new ArrayList<>();
        int checksum;

        ReplicaFacts() {
            for (int each = 0; each < KINDS.length; each++) {
                kinds.add(new ArrayList<>(2));
            }
        }
    }

    private final Map<Integer, ReplicaFacts> keys = new HashMap<>();
    private final int[] checksums = new int[RANGES];
    private int size;

    /** Merges a fact. Returns whether it changed the store. */
    public boolean merge(Fact fact) {
        ReplicaFacts replicaFacts = keys.computeIfAbsent(fact.key(), any -> new ReplicaFacts());
        List<Fact> kept = replicaFacts.kinds.get(fact.kind().ordinal());
        for (Fact each : kept) {
            if (each.origin() == fact.origin()) {
                if (each.stamp() >= fact.stamp()) {
                    return false;
                }
                remove(kept, each, replicaFacts);
                insert(kept, fact, replicaFacts);
                return true;
            }
        }
        if (kept.size() < MAX_ORIGINS) {
            insert(kept, fact, replicaFacts);
            return true;
        }
        Fact oldest = kept.get(kept.size() - 1);
        if (NEWEST_FIRST.compare(fact, oldest) > 0) {
            return false;
        }
        remove(kept, oldest, replicaFacts);
        insert(kept, fact, replicaFacts);
        return true;
    }

    private void insert(List<Fact> kept, Fact fact, ReplicaFacts replicaFacts) {
        int at = 0;
        while (at < kept.size() && NEWEST_FIRST.compare(kept.get(at), fact) < 0) {
            at++;
        }
        kept.add(at, fact);
        size++;
        checksums[range(fact.key())] ^= hash(fact);
        replicaFacts.checksum ^= hash(fact);
    }

    private void remove(List<Fact> kept, Fact fact, ReplicaFacts replicaFacts) {
        kept.remove(fact);
        size--;
        checksums[range(fact.key())] ^= hash(fact);
        replicaFacts.checksum ^= hash(fact);
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

    /** Facts about a replica of a kind, the newest first; empty if there are none. */
    public List<Fact> of(int key, FactKind kind) {
        ReplicaFacts kept = keys.get(key);
        return kept == null ? List.of() : kept.kinds.get(kind.ordinal());
    }

    /** Keys of the replicas in a key range, each with the checksum of its facts. */
    public SortedMap<Integer, Integer> keyChecksums(int range) {
        SortedMap<Integer, Integer> found = new TreeMap<>();
        keys.forEach((key, kept) -> {
            if (range(key) == range) {
                found.put(key, kept.checksum);
            }
        });
        return found;
    }

    /** Checksum of the facts about a replica; 0 if there are none. */
    public int checksum(int key) {
        ReplicaFacts kept = keys.get(key);
        return kept == null ? 0 : kept.checksum;
    }

    /** All facts about a replica; empty if there are none. */
    public List<Fact> of(int key) {
        List<Fact> all = new ArrayList<>();
        ReplicaFacts kept = keys.get(key);
        if (kept != null) {
            kept.kinds.forEach(all::addAll);
        }
        return all;
    }

    /** All facts of one key range, or of all ranges for -1, sorted by key, kind and age. */
    public List<Fact> all(int range) {
        List<Fact> all = new ArrayList<>();
        for (Map.Entry<Integer, ReplicaFacts> each : keys.entrySet()) {
            if (range < 0 || range(each.getKey()) == range) {
                each.getValue().kinds.forEach(all::addAll);
            }
        }
        all.sort(Comparator.comparingInt((Fact each) -> each.key())
                .thenComparing(Fact::kind)
                .thenComparing(NEWEST_FIRST));
        return all;
    }

    /** One checksum per key range; equal if the same facts are held. */
    public int[] checksums() {
        return checksums.clone();
    }

    /**
     * Whether a fact is too old to count. Compares whole seconds, so that all members, which share a clock, expire
     * the same facts at the same moment; otherwise copies would differ by facts that only one member has expired
     * yet.
     */
    public static boolean isExpired(Fact fact, double now) {
        return fact.stamp() / 1e3 < Math.floor(now) - fact.kind().maxAgeSeconds();
    }

    /** Removes facts that are too old to count. */
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

    /** Number of facts. */
    public int size() {
        return size;
    }

    /** Digest that is equal for two stores with the same facts. */
    public long digest() {
        return Arrays.hashCode(checksums);
    }
}
