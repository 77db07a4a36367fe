package pinewick.dataplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;

/**
 * The replicas that may be chosen, by service, as the fleet's records of them say. A replica that is still chosen after
 * its drain either has a record here that is older than the drain (see {@link pinewick.dissemination.ReplicaGossip}),
 * or was chosen before: {@link ReplicaConnections} checks {@link #mayReceiveRequest} again before it sends.
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
     * Replicas of a service that accept requests. If all have lapsed, those that are not draining are used: the
     * heartbeats may fail, and not the replicas.
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

    /** Every replica of every service that was not removed. */
    List<ReplicaRecord> all() {
        List<ReplicaRecord> all = new ArrayList<>();
        byService.values().forEach(ofService -> all.addAll(ofService.values()));
        return all;
    }

    /** Whether a request for which this replica was chosen may still be sent: the replica is not draining. */
    boolean mayReceiveRequest(ReplicaRecord replica) {
        ReplicaRecord now = byService.getOrDefault(replica.service(), Map.of()).get(replica.instanceId());
        return now != null && now.state() == ReplicaState.READY;
    }
}
