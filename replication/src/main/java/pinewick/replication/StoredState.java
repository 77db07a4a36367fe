package pinewick.replication;

import java.util.List;

/**
 * What a store holds.
 *
 * @param head its small part
 * @param snapshot the configuration at some time
 * @param changes the changes since, in their order
 */
public record StoredState(StoredHead head, StoredSnapshot snapshot, List<StoredChange> changes) {
    public StoredState {
        changes = List.copyOf(changes);
    }
}
