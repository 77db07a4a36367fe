package pinewick.dataplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;

/**
 * The replicas of each service, by the fleet's replica records. A draining replica can still be chosen if its record
 * here is older than the drain (see {@link pinewick.dissemination.ReplicaGossip}), or if it was chosen before the drain
 * began; for the second case {@link ReplicaConnections} checks {@link #mayReceiveRequest} again before it sends.
 */
final class ReplicaDirectory {
    private final Map<String, Map<String, ReplicaRecord>> byService = new HashMap<>();

    /** Applies the current record of a replica. */
    void update(ReplicaRecord record) {
        if (record.state() == ReplicaState.GONE) {
            Map<String, ReplicaRecord> ofService = byService.get(record.service());
            if (ofService != null) {
                ofService.remove(record.instanceId());
            }
            return;
        }
        byService.computeIfAbsent(record.service(), service -> new HashMap<>()).put(record.instanceId(), record);
    }

    /**
     * The replicas of a service that accept requests. If all have lapsed, those that are not draining are returned,
     * since the path of the heartbeats may have failed rather than the replicas.
     */
    List<ReplicaRecord> candidates(String service) {
        List<ReplicaRecord> candidates = new ArrayList<>();
        List<ReplicaRecord> lapsed = new ArrayList<>();
        for (ReplicaRecord record : byService.getOrDefault(service, Map.of()).values()) {
            if (record.acceptsRequests()) {
                candidates.add(record);
            } else if (record.state() == ReplicaState.READY) {
                lapsed.add(record.withLapsed(false));
            }
        }
        return candidates.isEmpty() ? lapsed : candidates;
    }

    /** All replicas of all services, except removed ones. */
    List<ReplicaRecord> all() {
        List<ReplicaRecord> all = new ArrayList<>();
        byService.values().forEach(ofService -> all.addAll(ofService.values()));
        return all;
    }

    /**
     * Whether a request may still be sent to a replica that was chosen earlier, i.e. the replica is neither draining
     * nor removed.
     */
    boolean mayReceiveRequest(ReplicaRecord replica) {
        ReplicaRecord now = byService.getOrDefault(replica.service(), Map.of()).get(replica.instanceId());
        return now != null && now.state() == ReplicaState.READY;
    }
}
