package pinewick.dissemination;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import pinewick.model.ConfigurationDocument;
import pinewick.model.ReplicaRecord;

/**
 * The newest committed configuration and the replica records known to this process. The state only moves forward: a
 * configuration is replaced only by a higher version, a record only by the result of a merge. Thread-safe; writes
 * are serialised.
 */
public final class FleetState {
    private final Map<String, ReplicaRecord> replicas = new ConcurrentHashMap<>();
    private final List<FleetStateListener> listeners = new CopyOnWriteArrayList<>();
    private volatile ConfigurationDocument configuration = ConfigurationDocument.EMPTY;
    private volatile long modificationCount;

    public void addListener(FleetStateListener listener) {
        listeners.add(listener);
    }

    /** The newest committed configuration; {@link ConfigurationDocument#EMPTY} until there is one. */
    public ConfigurationDocument configuration() {
        return configuration;
    }

    /** Replaces the configuration with a committed one if that is newer; returns whether it was replaced. */
    public synchronized boolean offer(ConfigurationDocument document) {
        if (document.version() <= configuration.version()) {
            return false;
        }
        configuration = document;
        listeners.forEach(listener -> listener.onConfigurationChanged(document));
        return true;
    }

    /** Every record, including those of replicas that are gone. */
    public Collection<ReplicaRecord> replicas() {
        return replicas.values();
    }

    /** The record of an instance, empty if it is not known. */
    public Optional<ReplicaRecord> findReplica(String instanceId) {
        return Optional.ofNullable(replicas.get(instanceId));
    }

    /** Merges a record; returns whether the stored record changed. */
    public synchronized boolean merge(ReplicaRecord record) {
        Optional<ReplicaRecord> known = findReplica(record.instanceId());
        ReplicaRecord merged =
                known.map(earlier -> ReplicaRecord.merge(earlier, record)).orElse(record);
        if (known.filter(merged::equals).isPresent()) {
            return false;
        }
        replicas.put(merged.instanceId(), merged);
        if (!ReplicaContent.isSame(known, Optional.of(merged))) {
            modificationCount++;
        }
        listeners.forEach(listener -> listener.onReplicaChanged(merged));
        return true;
    }

    /** Removes the record of an instance that was removed long ago. */
    public synchronized void remove(String instanceId) {
        if (replicas.remove(instanceId) != null) {
            modificationCount++;
            listeners.forEach(listener -> listener.onReplicaDropped(instanceId));
        }
    }

    /**
     * Raises the call sequence of a record after a heartbeat that changed nothing else; listeners are not notified.
     * The call sequence of a lapsed replica is not raised, so that the record that reverts the lapse is newer than
     * the stored one.
     */
    synchronized void raiseSequence(String instanceId, long callSequence) {
        findReplica(instanceId)
                .filter(known -> !known.lapsed() && known.callSequence() < callSequence)
                .ifPresent(known -> replicas.put(instanceId, withSequence(known, callSequence)));
    }

    private static ReplicaRecord withSequence(ReplicaRecord record, long callSequence) {
        return new ReplicaRecord(
                record.instanceId(),
                record.service(),
                record.address(),
                record.zone(),
                record.softwareVersion(),
                record.slots(),
                record.state(),
                record.warmUpRemainingMs(),
                record.stage(),
                record.models(),
                callSequence,
                record.lapsed());
    }

    /** Incremented with each change of a replica record that concerns routers. */
    long modificationCount() {
        return modificationCount;
    }
}
