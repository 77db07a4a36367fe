package pinewick.dissemination;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import pinewick.dissemination.FleetMessages.SummaryEntry;
import pinewick.model.ReplicaRecord;

/** The sums of the hashes of all replica records, by bucket; recomputed lazily after a change. Control loop only. */
final class ReplicaDigest {
    static final int BUCKETS = 128;

    private final FleetState state;
    private final Tombstones tombstones;
    private final long[] bucketSums = new long[BUCKETS];
    private int count;
    private long totalHash;
    private long computedAtModification = -1;

    ReplicaDigest(FleetState state, Tombstones tombstones) {
        this.state = state;
        this.tombstones = tombstones;
    }

    /** Forces a recomputation: the content of the digest has changed without a change to the records. */
    void invalidate() {
        computedAtModification = -1;
    }

    private void recomputeIfStale(double nowMs) {
        long modification = state.modificationCount();
        if (computedAtModification == modification) {
            return;
        }
        count = 0;
        totalHash = 0;
        Arrays.fill(bucketSums, 0);
        for (ReplicaRecord record : state.replicas()) {
            if (tombstones.belongsInDigest(record, nowMs)) {
                long hash = ReplicaContent.hash(record);
                bucketSums[bucketOf(record.instanceId())] += hash;
                totalHash += hash;
                count++;
            }
        }
        computedAtModification = modification;
    }

    int count(double nowMs) {
        recomputeIfStale(nowMs);
        return count;
    }

    long hash(double nowMs) {
        recomputeIfStale(nowMs);
        return totalHash;
    }

    /** The hash sums of all buckets, 32 bits each. */
    byte[] bucketHashes(double nowMs) {
        recomputeIfStale(nowMs);
        ByteBuffer hashes = ByteBuffer.allocate(BUCKETS * Integer.BYTES);
        for (long sum : bucketSums) {
            hashes.putInt((int) sum);
        }
        return hashes.array();
    }

    /** The buckets whose hash sums differ from those of a peer; empty if {@code hashes} has the wrong length. */
    BitSet differingBuckets(byte[] hashes, double nowMs) {
        BitSet buckets = new BitSet(BUCKETS);
        if (hashes.length != BUCKETS * Integer.BYTES) {
            return buckets;
        }
        recomputeIfStale(nowMs);
        ByteBuffer theirs = ByteBuffer.wrap(hashes);
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            if (theirs.getInt() != (int) bucketSums[bucket]) {
                buckets.set(bucket);
            }
        }
        return buckets;
    }

    /** The hashes of the records in some buckets. */
    List<SummaryEntry> entries(BitSet buckets, double nowMs) {
        List<SummaryEntry> entries = new ArrayList<>();
        for (ReplicaRecord record : state.replicas()) {
            if (buckets.get(bucketOf(record.instanceId())) && tombstones.belongsInDigest(record, nowMs)) {
                entries.add(new SummaryEntry(record.instanceId(), (int) ReplicaContent.hash(record)));
            }
        }
        return entries;
    }

    static BitSet allBuckets() {
        BitSet buckets = new BitSet(BUCKETS);
        buckets.set(0, BUCKETS);
        return buckets;
    }

    static int bucketOf(String instanceId) {
        int hash = instanceId.hashCode() * 0x9E3779B1;
        return (hash >>> 16) & (BUCKETS - 1);
    }
}
