package pinewick.replication;

import java.util.function.Consumer;

/**
 * Stable storage of one process. Both calls return at once. One of their two callbacks runs later on the control loop,
 * never from within the call. The caller has at most one write in progress at a time.
 */
public interface StableStore {
    /** Reads what an earlier incarnation of the process wrote. */
    void load(Consumer<LoadedState> onLoaded, Consumer<StorageException> onFailed);

    /**
     * Makes a write durable, atomically. After a failure it is unknown whether the write took effect, so the next write
     * carries a snapshot.
     */
    void persist(StableWrite write, Runnable onDone, Consumer<StorageException> onFailed);
}
