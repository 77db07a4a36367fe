package pinewick.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import pinewick.selection.WindowedSum;

/** The replicas as they were last listed, which of them hold a shard, and how many parts came for each. */
final class ReplicaList {
    private final SchedulerHost.Deployment deployment;
    private final Function<String, Replica> newReplica;
    private final Map<String, Replica> replicas = new LinkedHashMap<>();
    /** The ready holders of a shard and the parts taken for it, by the shard's first cell. */
    private final List<List<Replica>> holders = new ArrayList<>();

    private final List<WindowedSum> partsTaken = new ArrayList<>();
    private int ready;

    ReplicaList(SchedulerHost.Deployment deployment, Function<String, Replica> newReplica) {
        this.deployment = deployment;
        this.newReplica = newReplica;
        for (int cell = 0; cell < deployment.cells(); cell++) {
            holders.add(new ArrayList<>());
            partsTaken.add(new WindowedSum());
        }
    }

    /** Takes in a piece of the list. */
    void update(boolean whole, List<SchedulerHost.ReplicaEntry> entries, double now) {
        if (whole) {
            replicas.values().forEach(replica -> replica.stage = SchedulerHost.LifecycleState.GONE);
        }
        for (SchedulerHost.ReplicaEntry entry : entries) {
            Replica replica = replicas.computeIfAbsent(entry.replica(), newReplica);
            if (entry.startedAt() > replica.startedAt) {
                replica.restarted(entry.startedAt());
            }
            replica.stage = entry.stage();
            replica.cell = cell(entry.cell());
            replica.sameZone = entry.zone().equals(deployment.zone());
        }
        for (Replica replica : replicas.values()) {
            boolean gone = replica.stage == SchedulerHost.LifecycleState.GONE;
            replica.goneAt = gone ? Math.min(replica.goneAt, now) : Double.POSITIVE_INFINITY;
        }
        indexHolders();
    }

    private void indexHolders() {
        List<List<Replica>> byCell = new ArrayList<>();
        holders.forEach(any -> byCell.add(new ArrayList<>()));
        ready = 0;
        for (Replica replica : replicas.values()) {
            if (replica.stage == SchedulerHost.LifecycleState.READY) {
                byCell.get(replica.cell).add(replica);
                ready++;
            }
        }
        for (int first = 0; first < holders.size(); first++) {
            holders.get(first).clear();
            for (int cell = first; cell < first + deployment.reach(); cell++) {
                holders.get(first).addAll(byCell.get(cell(cell)));
            }
        }
    }

    /** Drops what is known of replicas that have been gone for more than this time and owe no answer. */
    void forgetGone(double now, double time) {
        replicas.values().removeIf(replica -> replica.outstanding.isEmpty() && now - replica.goneAt > time);
    }

    /** The cell of this number, or the first of those that hold the shard of this number. */
    int cell(int number) {
        return Math.floorMod(number, deployment.cells());
    }

    /** Null where it was never listed, or is forgotten. */
    Replica get(String id) {
        return replicas.get(id);
    }

    /** All that are known, also those that are gone. */
    Collection<Replica> all() {
        return replicas.values();
    }

    /** How many are ready. */
    int ready() {
        return ready;
    }

    /** The ready replicas that hold the part's shard. */
    List<Replica> holders(ShardRequest part) {
        return holders.get(part.firstCell);
    }

    void partTaken(ShardRequest part, double now) {
        partsTaken.get(part.firstCell).add(now, 1);
    }

    /** How many parts were taken since a time for shards that this cell may hold. */
    double partsTakenFor(int cell, double since) {
        double parts = 0;
        for (int back = 0; back < deployment.reach(); back++) {
            parts += partsTaken.get(cell(cell - back)).since(since);
        }
        return parts;
    }
}
