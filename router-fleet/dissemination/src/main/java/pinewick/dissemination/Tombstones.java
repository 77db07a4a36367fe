package pinewick.dissemination;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;

/**
 * Tracks since when replicas have been gone. Their records are kept as tombstones for some time, so that no stale
 * record revives them, and are then removed. The ids of expired tombstones are kept, so that a peer whose tombstones
 * expire later cannot bring the records back. Control loop only, except for {@link #ageMs}.
 */
final class Tombstones {
    /** How long a tombstone is kept, milliseconds. */
    static final double RETENTION_MS = 60_000;
    /**
     * How long a tombstone is included in digests, milliseconds; shorter than the retention, because processes do
     * not remove a tombstone at the same time.
     */
    static final double DIGEST_RETENTION_MS = 50_000;

    private static final int MAX_EXPIRED_IDS = 8_192;

    private final Map<String, Double> removedAtMs = new ConcurrentHashMap<>();
    private final Map<String, Boolean> expired = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_EXPIRED_IDS;
        }
    };

    /** Records that a replica was gone at this time; the earliest time is kept. */
    void recordRemoval(String instanceId, double atMs) {
        removedAtMs.merge(instanceId, atMs, Math::min);
    }

    /** Whether a record from a peer may be merged. */
    boolean isAcceptable(FleetMessages.GossipedReplica gossiped) {
        boolean isTooOld = gossiped.record().state() == ReplicaState.GONE && gossiped.tombstoneAgeMs() >= RETENTION_MS;
        return !isTooOld && !expired.containsKey(gossiped.record().instanceId());
    }

    boolean isExpired(String instanceId) {
        return expired.containsKey(instanceId);
    }

    int ageMs(ReplicaRecord record, double nowMs) {
        Double removedMs = removedAtMs.get(record.instanceId());
        return record.state() != ReplicaState.GONE || removedMs == null ? 0 : (int) (nowMs - removedMs);
    }

    boolean belongsInDigest(ReplicaRecord record, double nowMs) {
        return ageMs(record, nowMs) < DIGEST_RETENTION_MS;
    }

    /** Removes expired tombstones; returns whether the content of the digest may have changed. */
    boolean expire(FleetState state, double nowMs) {
        boolean changed = false;
        var entries = removedAtMs.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, Double> entry = entries.next();
            double age = nowMs - entry.getValue();
            changed |= age >= DIGEST_RETENTION_MS;
            if (age >= RETENTION_MS) {
                expired.put(entry.getKey(), true);
                state.remove(entry.getKey());
                entries.remove();
            }
        }
        return changed;
    }
}
