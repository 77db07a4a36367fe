package pinewick.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The data on a simulated disk, which survive a power loss. */
final class SimulatedDisk {
    /** The current behaviour of a disk. */
    enum Mode {
        HEALTHY,
        SLOW,
        STALLED,
        FULL
    }

    Mode mode = Mode.HEALTHY;
    double slowMs;
    private StoredHead head;
    private StoredSnapshot snapshot;
    private final List<StoredChange> changes = new ArrayList<>();

    void apply(StableWrite write) {
        head = write.head();
        if (write.content() instanceof StableWrite.Replaced replaced) {
            snapshot = replaced.snapshot();
            changes.clear();
        } else if (write.content() instanceof StableWrite.Appended appended) {
            changes.add(appended.change());
        }
    }

    LoadedState load() {
        return head == null
                ? LoadedState.EMPTY
                : new LoadedState(Optional.of(new StoredState(head, snapshot, changes)), false);
    }

    /** An exact copy of the current data. */
    SimulatedDisk copy() {
        SimulatedDisk copy = new SimulatedDisk();
        copy.restore(this);
        return copy;
    }

    /** Replaces the data with an earlier copy. */
    void restore(SimulatedDisk copy) {
        head = copy.head;
        snapshot = copy.snapshot;
        changes.clear();
        changes.addAll(copy.changes);
    }

    /** Loses the content but keeps the head, so that the loss cannot be detected from the remaining data. */
    void wipeContent() {
        if (head != null) {
            ConfigurationState none = ConfigurationState.NONE;
            snapshot = new StoredSnapshot(none.documentBytes(), none.changes().toBytes());
            changes.clear();
        }
    }

    void wipe() {
        head = null;
        snapshot = null;
        changes.clear();
    }
}
