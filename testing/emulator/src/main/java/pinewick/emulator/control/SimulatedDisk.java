package pinewick.emulator.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import pinewick.model.ConfigurationChecks;
import pinewick.model.ConfigurationDocument;
import pinewick.model.RemovalStore;
import pinewick.model.ReplicaRecord;
import pinewick.replication.LoadedState;
import pinewick.replication.StableWrite;
import pinewick.replication.StoredChange;
import pinewick.replication.StoredHead;
import pinewick.replication.StoredSnapshot;
import pinewick.replication.StoredState;

/** The state of a disk, which survives a power failure. */
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
    private final Map<String, ReplicaRecord> removals = new TreeMap<>();
    private StoredHead headBeforeWipe;

    void apply(StableWrite write) {
        head = write.head();
        if (write.content() instanceof StableWrite.Replaced replaced) {
            snapshot = replaced.snapshot();
            changes.clear();
        } else if (write.content() instanceof StableWrite.Appended appended) {
            changes.add(appended.change());
        }
    }

    void apply(RemovalStore.Update update) {
        update.stored().forEach(record -> removals.put(record.instanceId(), record));
        update.forgotten().forEach(removals::remove);
    }

    /** The stored removals of replicas. */
    List<ReplicaRecord> removals() {
        return List.copyOf(removals.values());
    }

    LoadedState load() {
        return head == null
                ? LoadedState.EMPTY
                : new LoadedState(Optional.of(new StoredState(head, snapshot, changes)), false);
    }

    void wipe() {
        headBeforeWipe = head;
        head = null;
        snapshot = null;
        changes.clear();
        removals.clear();
    }

    /** The version of the stored configuration, -1 for none. */
    long version() {
        if (head == null) {
            return -1;
        }
        ConfigurationDocument document =
                ConfigurationChecks.readDelta(snapshot.document()).applyTo(ConfigurationDocument.EMPTY);
        for (StoredChange change : changes) {
            document = ConfigurationChecks.readDelta(change.delta()).applyTo(document);
        }
        return document.version();
    }

    /** Whether its state is of the given epoch and has changes after its snapshot. */
    boolean hasChangesOf(long epoch) {
        return head != null && head.stateVersion().epoch() == epoch && !changes.isEmpty();
    }

    /** The head before the last wipe, null if there was none. */
    StoredHead headBeforeWipe() {
        return headBeforeWipe;
    }
}
