package pinewick.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import pinewick.model.Stage;

/**
 * Decides which replicas should change their stage. Within a service, one replica at a time moves from the stage
 * with spare capacity to the stage at full load, once the imbalance has lasted for a while, and only if the stage
 * that it leaves still has spare capacity without it. No I/O; control loop only.
 */
final class StagePlanner {
    /** A stage with at least this many requests per slot is at full load. */
    static final double FULL_LOAD = 0.9;

    /**
     * A stage with at most this many requests per slot, not counting the slots of the replica that would leave, has
     * spare capacity.
     */
    static final double SPARE_CAPACITY_LOAD = 0.5;

    /** Shortest duration of an imbalance before a replica is moved, milliseconds. */
    static final double MIN_IMBALANCE_MS = 3_000;

    /** Shortest interval between two changes within a service, milliseconds. */
    static final double MIN_CHANGE_INTERVAL_MS = 15_000;

    private final Map<String, Imbalance> imbalances = new HashMap<>();
    private final Map<String, Double> changedAtMs = new HashMap<>();

    /** The stage of a service that is at full load, and since when. */
    private record Imbalance(Stage overloadedStage, double sinceMs) {}

    /** A replica and the stage that it should serve from now on. */
    record Change(ReplicaLoad replica, Stage stage) {}

    /**
     * Returns the changes that are due, at most one per service. The planner assumes that a returned change is
     * carried out.
     */
    List<Change> plan(Collection<ReplicaLoad> loads, double nowMs) {
        Map<String, List<ReplicaLoad>> byService = new TreeMap<>();
        loads.stream().filter(load -> load.stage() != Stage.NONE).forEach(load -> byService
                .computeIfAbsent(load.service(), name -> new ArrayList<>())
                .add(load));
        imbalances.keySet().retainAll(byService.keySet());
        List<Change> changes = new ArrayList<>();
        byService.forEach(
                (service, ofService) -> planService(service, ofService, nowMs).ifPresent(changes::add));
        return changes;
    }

    private Optional<Change> planService(String service, List<ReplicaLoad> loads, double nowMs) {
        Optional<Change> proposed =
                loads.stream().anyMatch(ReplicaLoad::busy) ? Optional.empty() : proposeChange(loads);
        if (proposed.isEmpty()) {
            imbalances.remove(service);
            return Optional.empty();
        }
        Imbalance known = imbalances.get(service);
        if (known == null || known.overloadedStage != proposed.get().stage()) {
            imbalances.put(service, new Imbalance(proposed.get().stage(), nowMs));
            return Optional.empty();
        }
        boolean changedRecently =
                nowMs - changedAtMs.getOrDefault(service, Double.NEGATIVE_INFINITY) < MIN_CHANGE_INTERVAL_MS;
        if (changedRecently || nowMs - known.sinceMs < MIN_IMBALANCE_MS) {
            return Optional.empty();
        }
        changedAtMs.put(service, nowMs);
        imbalances.remove(service);
        return proposed;
    }

    private static Optional<Change> proposeChange(List<ReplicaLoad> loads) {
        return proposeChange(loads, Stage.DECODE, Stage.PREFILL)
                .or(() -> proposeChange(loads, Stage.PREFILL, Stage.DECODE));
    }

    private static Optional<Change> proposeChange(List<ReplicaLoad> loads, Stage donorStage, Stage overloadedStage) {
        List<ReplicaLoad> donors = ofStage(loads, donorStage);
        List<ReplicaLoad> receivers = ofStage(loads, overloadedStage);
        if (receivers.isEmpty() || donors.size() < 2 || requestsPerSlot(receivers) < FULL_LOAD) {
            return Optional.empty();
        }
        ReplicaLoad leastLoaded = donors.stream()
                .min(Comparator.comparingInt(ReplicaLoad::requests).thenComparing(ReplicaLoad::instanceId))
                .orElseThrow();
        List<ReplicaLoad> remaining =
                donors.stream().filter(load -> load != leastLoaded).toList();
        boolean hasSpareCapacity = requests(donors) <= SPARE_CAPACITY_LOAD * slots(remaining);
        return hasSpareCapacity ? Optional.of(new Change(leastLoaded, overloadedStage)) : Optional.empty();
    }

    private static List<ReplicaLoad> ofStage(List<ReplicaLoad> loads, Stage stage) {
        return loads.stream().filter(load -> load.stage() == stage).toList();
    }

    private static double requestsPerSlot(List<ReplicaLoad> loads) {
        return requests(loads) / Math.max(1.0, slots(loads));
    }

    private static int requests(List<ReplicaLoad> loads) {
        return loads.stream().mapToInt(ReplicaLoad::requests).sum();
    }

    private static int slots(List<ReplicaLoad> loads) {
        return loads.stream().mapToInt(ReplicaLoad::slots).sum();
    }
}
