package pinewick.dissemination;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;

/**
 * How long replicas have been gone. Their records are kept for a time so that nobody takes them for running, then
 * forgotten; a peer that is late to forget cannot bring them back.
 */
final class GoneReplicas {
    /** A record of a replica that is gone is kept for so long. */
    static final double KEEP_MS = 60_000;
    /** For the last part of that time it is left out of digests, since processes do not forget at the same moment. */
    static final double DIGEST_MS = 50_000;

    private static final int MAX_FORGOTTEN = 8_192;

    private final Map<String, Double> goneAtMs = new ConcurrentHashMap<>();
    private final Map<String, Boolean> forgotten = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_FORGOTTEN;
        }
    };

    /** Notes that a replica was known to be gone at a time; the earliest counts. */
    void noteGone(String instanceId, double atMs) {
        goneAtMs.merge(instanceId, atMs, Math::min);
    }

    /** Whether a record is to be taken from a peer. */
    boolean admits(FleetMessages.SpreadRecord spread) {
        boolean expired = spread.record().state() == ReplicaState.GONE && spread.goneAgeMs() >= KEEP_MS;
        return !expired && !forgotten.containsKey(spread.record().instanceId());
    }

    boolean isForgotten(String instanceId) {
        return forgotten.containsKey(instanceId);
    }

    int ageMs(ReplicaRecord record, double nowMs) {
        Double at = goneAtMs.get(record.instanceId());
        return record.state() != ReplicaState.GONE || at == null ? 0 : (int) (nowMs - at);
    }

    boolean inDigest(ReplicaRecord record, double nowMs) {
        return ageMs(record, nowMs) < DIGEST_MS;
    }

    /** Forgets what has been gone for long; returns whether that, or what belongs in digests, changed. */
    boolean expire(FleetState state, double nowMs) {
        boolean changed = false;
        var entries = goneAtMs.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, Double> entry = entries.next();
            double age = nowMs - entry.getValue();
            changed |= age >= DIGEST_MS;
            if (age >= KEEP_MS) {
                forgotten.put(entry.getKey(), true);
                state.forget(entry.getKey());
                entries.remove();
            }
        }
        return changed;
    }
}
