package pinewick.emulator.control;

import static pinewick.emulator.control.InvariantViolation.require;

import java.util.HashMap;
import java.util.Optional;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.function.Consumer;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;

/** Whether routers learn acknowledged configurations and ends of replicas in time, and never forget them. */
final class FleetChecker {
    private final ControlWorld world;
    private final Map<Object, Map<String, ReplicaState>> knownByLife = new IdentityHashMap<>();
    private final Map<String, ReplicaState> acknowledgedEnds = new HashMap<>();
    private int endsAcknowledged;
    private Consumer<ControllerMachine> onFirstAcknowledged = by -> {};

    FleetChecker(ControlWorld world) {
        this.world = world;
    }

    /** Told of the controller that acknowledged an end first, at that moment. */
    void onFirstAcknowledged(Consumer<ControllerMachine> listener) {
        onFirstAcknowledged = listener;
    }

    int endsAcknowledged() {
        return endsAcknowledged;
    }

    /** One life of a process holds a record. */
    void knows(Object life, String host, ReplicaRecord record) {
        Map<String, ReplicaState> known = knownByLife.computeIfAbsent(life, key -> new HashMap<>());
        ReplicaState before = known.put(record.instanceId(), record.state());
        if (before != record.state()) {
            world.note(host + " knows " + record.instanceId() + " as " + record.state());
        }
        require(
                before == null || before.compareTo(record.state()) <= 0,
                Invariant.DRAIN_STAYS,
                host + " takes " + record.instanceId() + " from " + before + " back to " + record.state());
    }

    /** A controller acknowledges a configuration. */
    void configurationAcknowledged(ControllerMachine by, long version) {
        double atMs = world.nowMs();
        if (!world.cleanLinks()) {
            return;
        }
        world.after(ControlWorld.CONFIG_APPLY_MS, () -> {
            if (world.coreCalmSince(atMs - ControlWorld.CONTACT_MS)) {
                requireCurrent(version, atMs - ControlWorld.CONTACT_MS);
            }
        });
        world.after(ControlWorld.OUTER_MS, () -> requireCurrent(version, atMs - ControlWorld.CONTACT_MS));
    }

    private void requireCurrent(long version, double calmSinceMs) {
        for (RouterMachine router : world.routers()) {
            require(
                    !router.calmSince(calmSinceMs) || router.life().shownVersion() >= version,
                    Invariant.ROUTERS_CURRENT,
                    router.host() + " has version " + router.life().shownVersion() + ", acknowledged is " + version);
        }
    }

    /** A controller acknowledges what a replica said of itself. */
    void endAcknowledged(ControllerMachine by, String instanceId, ReplicaState state) {
        boolean inTouch = by.calmSince(world.nowMs() - ControlWorld.CONTACT_MS) && world.inMajority(by);
        if (state == ReplicaState.READY || !inTouch) {
            return;
        }
        if (acknowledgedEnds.get(instanceId) != state) {
            world.note(by + " acknowledges " + instanceId + " as " + state);
            endsAcknowledged++;
            onFirstAcknowledged.accept(by);
        }
        double atMs = world.nowMs();
        acknowledgedEnds.merge(instanceId, state, (left, right) -> left.compareTo(right) > 0 ? left : right);
        if (!world.cleanLinks()) {
            return;
        }
        world.after(ControlWorld.DRAIN_MS, () -> {
            if (world.coreCalmSince(atMs - ControlWorld.CONTACT_MS)) {
                requireKnown(instanceId, state, atMs - ControlWorld.CONTACT_MS);
            }
        });
        world.after(ControlWorld.OUTER_MS, () -> requireKnown(instanceId, state, atMs - ControlWorld.CONTACT_MS));
    }

    private void requireKnown(String instanceId, ReplicaState state, double calmSinceMs) {
        for (RouterMachine router : world.routers()) {
            Optional<ReplicaState> outdated = router.life()
                    .state()
                    .findReplica(instanceId)
                    .map(ReplicaRecord::state)
                    .filter(known -> known.compareTo(state) < 0);
            require(
                    outdated.isEmpty() || !router.calmSince(calmSinceMs),
                    Invariant.DRAIN_KNOWN,
                    router.host() + " takes " + instanceId + " for " + outdated.orElse(state) + ", acknowledged as "
                            + state);
        }
    }

    /** All troubles ended {@code contact_ms} and {@code config_apply_ms} ago. */
    void requireAllCurrent(long newestAcknowledged) {
        requireCurrent(newestAcknowledged, Double.POSITIVE_INFINITY);
        acknowledgedEnds.forEach((instance, state) -> requireKnown(instance, state, Double.POSITIVE_INFINITY));
    }
}
