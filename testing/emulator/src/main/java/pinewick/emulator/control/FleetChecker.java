package pinewick.emulator.control;

import static pinewick.emulator.control.InvariantViolation.require;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;

/** Checks that routers learn acknowledged configurations and removals of replicas in time, and never revert them. */
final class FleetChecker {
    private final SimulatedSystem system;
    private final IdentityHashMap<Object, Map<String, ReplicaState>> knownByProcess = new IdentityHashMap<>();
    private final Map<String, ReplicaState> acknowledgedRemovals = new HashMap<>();
    private int removalsAcknowledged;
    private Consumer<ControllerMachine> onFirstAcknowledged = controller -> {};

    FleetChecker(SimulatedSystem system) {
        this.system = system;
    }

    /** Sets the callback for the first acknowledgement of each removal. */
    void onFirstAcknowledged(Consumer<ControllerMachine> listener) {
        onFirstAcknowledged = listener;
    }

    int removalsAcknowledged() {
        return removalsAcknowledged;
    }

    /** One incarnation of a process has received a record. */
    void onReplicaKnown(Object process, String host, ReplicaRecord record) {
        Map<String, ReplicaState> knownStates = knownByProcess.computeIfAbsent(process, key -> new HashMap<>());
        ReplicaState previous = knownStates.put(record.instanceId(), record.state());
        if (previous != record.state()) {
            system.trace(host + " knows " + record.instanceId() + " as " + record.state());
        }
        require(
                previous == null || previous.compareTo(record.state()) <= 0,
                Invariant.DRAIN_IS_PERMANENT,
                host + " changes " + record.instanceId() + " from " + previous + " back to " + record.state());
    }

    /** A controller acknowledges a configuration. */
    void onConfigurationAcknowledged(ControllerMachine controller, long version) {
        double atMs = system.nowMs();
        if (!system.hasCleanLinks()) {
            return;
        }
        system.after(SimulatedSystem.CONFIG_APPLY_MS, () -> {
            if (system.isUndisturbedSince(atMs - SimulatedSystem.CONTACT_MS)) {
                requireCurrent(version, atMs - SimulatedSystem.CONTACT_MS);
            }
        });
        system.after(SimulatedSystem.MAX_SPREAD_MS, () -> requireCurrent(version, atMs - SimulatedSystem.CONTACT_MS));
    }

    private void requireCurrent(long version, double undisturbedSinceMs) {
        for (RouterMachine router : system.routers()) {
            require(
                    !router.isUndisturbedSince(undisturbedSinceMs)
                            || router.process().appliedVersion() >= version,
                    Invariant.ROUTERS_CURRENT,
                    router.host() + " has version " + router.process().appliedVersion() + ", acknowledged version is "
                            + version);
        }
    }

    /** A controller acknowledges a heartbeat or deregistration of a replica. */
    void onRemovalAcknowledged(ControllerMachine controller, String instanceId, ReplicaState state) {
        boolean isInContact = controller.isUndisturbedSince(system.nowMs() - SimulatedSystem.CONTACT_MS)
                && system.isInMajority(controller);
        if (state == ReplicaState.READY) {
            return;
        }
        if (!isInContact) {
            rememberRemoval(instanceId, state);
            return;
        }
        if (acknowledgedRemovals.get(instanceId) != state) {
            system.trace(controller + " acknowledges " + instanceId + " as " + state);
            removalsAcknowledged++;
            onFirstAcknowledged.accept(controller);
        }
        double atMs = system.nowMs();
        rememberRemoval(instanceId, state);
        if (!system.hasCleanLinks()) {
            return;
        }
        system.after(SimulatedSystem.DRAIN_MS, () -> {
            if (system.isUndisturbedSince(atMs - SimulatedSystem.CONTACT_MS)) {
                requireKnown(instanceId, state, atMs - SimulatedSystem.CONTACT_MS);
            }
        });
        system.after(
                SimulatedSystem.MAX_SPREAD_MS,
                () -> requireKnown(instanceId, state, atMs - SimulatedSystem.CONTACT_MS));
    }

    /** At the end of the run all routers have to know the removal, whoever acknowledged it. */
    private void rememberRemoval(String instanceId, ReplicaState state) {
        acknowledgedRemovals.merge(instanceId, state, (left, right) -> left.compareTo(right) > 0 ? left : right);
    }

    private void requireKnown(String instanceId, ReplicaState state, double undisturbedSinceMs) {
        for (RouterMachine router : system.routers()) {
            Optional<ReplicaState> outdated = router.process()
                    .state()
                    .findReplica(instanceId)
                    .map(ReplicaRecord::state)
                    .filter(known -> known.compareTo(state) < 0);
            require(
                    outdated.isEmpty() || !router.isUndisturbedSince(undisturbedSinceMs),
                    Invariant.DRAIN_KNOWN,
                    router.host() + " considers " + instanceId + " to be " + outdated.orElse(state)
                            + ", acknowledged as " + state);
        }
    }

    /** Checks all routers; all faults must have ended {@code contact_ms} plus {@code config_apply_ms} ago. */
    void requireAllCurrent(long newestAcknowledged) {
        requireCurrent(newestAcknowledged, Double.POSITIVE_INFINITY);
        acknowledgedRemovals.forEach((instance, state) -> requireKnown(instance, state, Double.POSITIVE_INFINITY));
    }
}
