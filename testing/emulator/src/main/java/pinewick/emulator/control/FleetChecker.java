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
    private Consumer<ControllerMachine> onFirstAcknowledged = by -> {};

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

    /** One incarnation of a process has a record. */
    void onReplicaKnown(Object process, String host, ReplicaRecord record) {
        Map<String, ReplicaState> known = knownByProcess.computeIfAbsent(process, key -> new HashMap<>());
        ReplicaState before = known.put(record.instanceId(), record.state());
        if (before != record.state()) {
            system.trace(host + " knows " + record.instanceId() + " as " + record.state());
        }
        require(
                before == null || before.compareTo(record.state()) <= 0,
                Invariant.DRAIN_IS_PERMANENT,
                host + " takes " + record.instanceId() + " from " + before + " back to " + record.state());
    }

    /** A controller acknowledges a configuration. */
    void onConfigurationAcknowledged(ControllerMachine by, long version) {
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
                            || router.process().shownVersion() >= version,
                    Invariant.ROUTERS_CURRENT,
                    router.host() + " has version " + router.process().shownVersion() + ", acknowledged is " + version);
        }
    }

    /** A controller acknowledges a heartbeat or deregistration of a replica. */
    void onRemovalAcknowledged(ControllerMachine by, String instanceId, ReplicaState state) {
        boolean isInContact =
                by.isUndisturbedSince(system.nowMs() - SimulatedSystem.CONTACT_MS) && system.isInMajority(by);
        if (state == ReplicaState.READY || !isInContact) {
            return;
        }
        if (acknowledgedRemovals.get(instanceId) != state) {
            system.trace(by + " acknowledges " + instanceId + " as " + state);
            removalsAcknowledged++;
            onFirstAcknowledged.accept(by);
        }
        double atMs = system.nowMs();
        acknowledgedRemovals.merge(instanceId, state, (left, right) -> left.compareTo(right) > 0 ? left : right);
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
                    router.host() + " takes " + instanceId + " for " + outdated.orElse(state) + ", acknowledged as "
                            + state);
        }
    }

    /** All faults ended {@code contact_ms} and {@code config_apply_ms} ago. */
    void requireAllCurrent(long newestAcknowledged) {
        requireCurrent(newestAcknowledged, Double.POSITIVE_INFINITY);
        acknowledgedRemovals.forEach((instance, state) -> requireKnown(instance, state, Double.POSITIVE_INFINITY));
    }
}
