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
 * Decides which replica should change its stage. A replica moves from the stage that has room to the one that is full,
 * one at a time and service, once the imbalance has lasted for a while, and only if the stage it leaves keeps room
 * without it. No I/O; owned by one thread.
 */
final class StagePlanner {
    /** Requests for each slot from which on a stage is full. */
    static final double FULL = 0.9;

    /** Requests for each slot up to which a stage has room, counted without the replica that would leave. */
    static final double ROOMY = 0.5;

    /** How long an imbalance has to last, milliseconds. */
    static final double LASTING_MS = 3_000;

    /** The shortest time between two changes of a service, milliseconds. */
    static final double PAUSE_MS = 15_000;

    private final Map<String, Imbalance> imbalances = new HashMap<>();
    private final Map<String, Double> changedAtMs = new HashMap<>();

    /** The stage of a service that needs a replica, and since when. */
    private record Imbalance(Stage needy, double sinceMs) {}

    /** A replica is to serve another stage. */
    record Change(ReplicaLoad replica, Stage stage) {}

    /** The changes that are due. A change that is returned counts as made. */
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
        Optional<Change> wanted = loads.stream().anyMatch(ReplicaLoad::busy) ? Optional.empty() : wanted(loads);
        if (wanted.isEmpty()) {
            imbalances.remove(service);
            return Optional.empty();
        }
        Imbalance known = imbalances.get(service);
        if (known == null || known.needy != wanted.get().stage()) {
            imbalances.put(service, new Imbalance(wanted.get().stage(), nowMs));
            return Optional.empty();
        }
        boolean paused = nowMs - changedAtMs.getOrDefault(service, Double.NEGATIVE_INFINITY) < PAUSE_MS;
        if (paused || nowMs - known.sinceMs < LASTING_MS) {
            return Optional.empty();
        }
        changedAtMs.put(service, nowMs);
        imbalances.remove(service);
        return wanted;
    }

    private static Optional<Change> wanted(List<ReplicaLoad> loads) {
        return wanted(loads, Stage.DECODE, Stage.PREFILL).or(() -> wanted(loads, Stage.PREFILL, Stage.DECODE));
    }

    private static Optional<Change> wanted(List<ReplicaLoad> loads, Stage giver, Stage needy) {
        List<ReplicaLoad> givers = ofStage(loads, giver);
        List<ReplicaLoad> takers = ofStage(loads, needy);
        if (takers.isEmpty() || givers.size() < 2 || requestsASlot(takers) < FULL) {
            return Optional.empty();
        }
        ReplicaLoad leastLoaded = givers.stream()
                .min(Comparator.comparingInt(ReplicaLoad::requests).thenComparing(ReplicaLoad::instanceId))
                .orElseThrow();
        List<ReplicaLoad> remaining =
                givers.stream().filter(load -> load != leastLoaded).toList();
        boolean roomy = requests(givers) <= ROOMY * slots(remaining);
        return roomy ? Optional.of(new Change(leastLoaded, needy)) : Optional.empty();
    }

    private static List<ReplicaLoad> ofStage(List<ReplicaLoad> loads, Stage stage) {
        return loads.stream().filter(load -> load.stage() == stage).toList();
    }

    private static double requestsASlot(List<ReplicaLoad> loads) {
        return requests(loads) / Math.max(1.0, slots(loads));
    }

    private static int requests(List<ReplicaLoad> loads) {
        return loads.stream().mapToInt(ReplicaLoad::requests).sum();
    }

    private static int slots(List<ReplicaLoad> loads) {
        return loads.stream().mapToInt(ReplicaLoad::slots).sum();
    }
}
