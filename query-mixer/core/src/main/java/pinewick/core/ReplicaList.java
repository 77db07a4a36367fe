package pinewick.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import pinewick.selection.WindowedSum;

/** The replicas from discovery, which of them hold a shard, and how many requests were admitted for each shard. */
final class ReplicaList {
    private final SchedulerHost.Deployment deployment;
    private final Function<String, Replica> newReplica;
    private final Map<String, Replica> replicas = new LinkedHashMap<>();
    /** The ready holders of a shard and the requests admitted for it, by the first cell of the shard. */
    private final List<List<Replica>> holders = new ArrayList<>();

    private final List<WindowedSum> requestsAdmitted = new ArrayList<>();
    private int ready;

    ReplicaList(SchedulerHost.Deployment deployment, Function<String, Replica> newReplica) {
        this.deployment = deployment;
        this.newReplica = newReplica;
        for (int cell = 0; cell < deployment.cells(); cell++) {
            holders.add(new ArrayList<>());
            requestsAdmitted.add(new WindowedSum());
        }
    }

    /** Applies a discovery update; a full one replaces the list. */
    void update(boolean full, List<SchedulerHost.ReplicaEntry> entries, double now) {
        if (full) {
            replicas.values().forEach(replica -> replica.state = SchedulerHost.LifecycleState.GONE);
        }
        for (SchedulerHost.ReplicaEntry entry : entries) {
            Replica replica = replicas.computeIfAbsent(entry.replicaId(), newReplica);
            if (entry.startedAt() > replica.startedAt) {
                replica.onRestart(entry.startedAt());
            }
            replica.state = entry.state();
            replica.cell = cell(entry.cell());
            replica.sameZone = entry.zone().equals(deployment.zone());
        }
        for (Replica replica : replicas.values()) {
            boolean gone = replica.state == SchedulerHost.LifecycleState.GONE;
            replica.goneAt = gone ? Math.min(replica.goneAt, now) : Double.POSITIVE_INFINITY;
        }
        indexHolders();
    }

    private void indexHolders() {
        List<List<Replica>> byCell = new ArrayList<>();
        holders.forEach(any -> byCell.add(new ArrayList<>()));
        ready = 0;
        for (Replica replica : replicas.values()) {
            if (replica.state == SchedulerHost.LifecycleState.READY) {
                byCell.get(replica.cell).add(replica);
                ready++;
            }
        }
        for (int first = 0; first < holders.size(); first++) {
            holders.get(first).clear();
            for (int cell = first; cell < first + deployment.cellsPerShard(); cell++) {
                holders.get(first).addAll(byCell.get(cell(cell)));
            }
        }
    }

    /** Evicts replicas that have been gone for longer than this time (seconds) and have no outstanding attempts. */
    void evictGone(double now, double time) {
        replicas.values().removeIf(replica -> replica.outstanding.isEmpty() && now - replica.goneAt > time);
    }

    /** The cell of this number, or the first of those that hold the shard of this number. */
    int cell(int number) {
        return Math.floorMod(number, deployment.cells());
    }

    /** Returns null if it was never listed or has been evicted. */
    Replica get(String id) {
        return replicas.get(id);
    }

    /** All known replicas, including those that are gone. */
    Collection<Replica> all() {
        return replicas.values();
    }

    int ready() {
        return ready;
    }

    /** The ready replicas that hold the shard of the request. */
    List<Replica> holders(ShardRequest request) {
        return holders.get(request.firstCell);
    }

    void recordRequest(ShardRequest request, double now) {
        requestsAdmitted.get(request.firstCell).add(now, 1);
    }

    /** The number of shard requests admitted since a time for shards that this cell may hold. */
    double requestsAdmittedFor(int cell, double since) {
        double requests = 0;
        for (int back = 0; back < deployment.cellsPerShard(); back++) {
            requests += requestsAdmitted.get(cell(cell - back)).since(since);
        }
        return requests;
    }
}
