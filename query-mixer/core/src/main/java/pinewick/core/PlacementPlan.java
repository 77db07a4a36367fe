package pinewick.core;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Which replica each group of a query's parts would go to. Until it is withdrawn, replicas count it as load. */
final class PlacementPlan {
    private final Map<List<ShardRequest>, Replica> replicas = new LinkedHashMap<>();
    private double missingWeight;

    /** Adds a group; the replica is null where none was found for it. */
    void add(List<ShardRequest> group, Replica replica) {
        if (replica == null) {
            group.forEach(part -> missingWeight += part.weight);
        } else {
            replica.planned += group.size();
            replicas.put(group, replica);
        }
    }

    /** The weight of the parts for which no replica was found. */
    double missingWeight() {
        return missingWeight;
    }

    Map<List<ShardRequest>, Replica> replicas() {
        return replicas;
    }

    /** Takes it off the replicas' load, together with any other plan of this turn. */
    void withdraw() {
        replicas.values().forEach(replica -> replica.planned = 0);
    }

    /** Takes it off the replicas' load, and nothing else. */
    void withdrawOnlyThis() {
        replicas.forEach((group, replica) -> replica.planned -= group.size());
    }
}
