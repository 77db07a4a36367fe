package pinewick.model;

import java.util.List;
import java.util.function.Consumer;

/**
 * Durable storage of the removals of replicas at one controller. Both calls return at once. One of their two callbacks
 * runs later on the control loop, never from within the call. The caller has at most one write in progress at a time.
 */
public interface RemovalStore {
    /**
     * One atomic write.
     *
     * @param stored records of replicas that drain or are gone; each replaces the stored record of its instance
     * @param forgotten ids of the instances whose records are deleted
     */
    record Update(List<ReplicaRecord> stored, List<String> forgotten) {
        public Update {
            stored = List.copyOf(stored);
            forgotten = List.copyOf(forgotten);
        }
    }

    /** Reads the removals that earlier incarnations of the process stored. */
    void loadRemovals(Consumer<List<ReplicaRecord>> onLoaded, Runnable onFailed);

    /** Makes an update durable. After a failure it is unknown whether the update took effect. */
    void persistRemovals(Update update, Runnable onDone, Runnable onFailed);
}
