package pinewick.dissemination;

import java.util.List;
import pinewick.model.ReplicaRecord;

/** Decides when a process may acknowledge to a peer that it has the records of removed replicas. Control loop only. */
@FunctionalInterface
public interface RemovalDurability {
    /** For processes without a disk: a record counts as stored once it is in memory. */
    RemovalDurability IN_MEMORY = (records, onDurable) -> onDurable.run();

    /**
     * Runs {@code onDurable} once this process has these records, or later states of the same instances, in stable
     * storage; not at all if the write fails.
     */
    void whenDurable(List<ReplicaRecord> records, Runnable onDurable);
}
