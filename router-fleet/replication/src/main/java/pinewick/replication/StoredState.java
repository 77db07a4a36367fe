package pinewick.replication;

import java.util.List;

/**
 * Everything that one store has on disk.
 *
 * @param head identity, promise, epoch record and version of the store
 * @param snapshot the configuration as of the last snapshot
 * @param changes the changes after the snapshot, oldest first
 */
public record StoredState(StoredHead head, StoredSnapshot snapshot, List<StoredChange> changes) {
    public StoredState {
        changes = List.copyOf(changes);
    }
}
