package pinewick.core;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The replica selected for each group of shard requests of a query. Until released, it counts as replica load. */
final class PlacementPlan {
    private final Map<List<ShardRequest>, Replica> replicas = new LinkedHashMap<>();
    private double missingWeight;

    /** Adds a group; the replica is null if none was found. */
    void add(List<ShardRequest> group, Replica replica) {
        if (replica == null) {
            group.forEach(request -> missingWeight += request.weight);
        } else {
            replica.planned += group.size();
            replicas.put(group, replica);
        }
    }

    /** The total weight of the shard requests without a replica. */
    double missingWeight() {
        return missingWeight;
    }

    Map<List<ShardRequest>, Replica> replicas() {
        return replicas;
    }

    /** Removes its load from the replicas, together with any other plan of this pass. */
    void release() {
        replicas.values().forEach(replica -> replica.planned = 0);
    }

    /** Removes only the load of this plan from the replicas. */
    void releaseOnlyThis() {
        replicas.forEach((group, replica) -> replica.planned -= group.size());
    }
}
