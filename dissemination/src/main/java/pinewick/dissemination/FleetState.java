package pinewick.dissemination;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import pinewick.model.ConfigurationDocument;
import pinewick.model.ReplicaRecord;

/**
 * The newest committed configuration and the replica records known to this process. Only ever moves forward: a
 * configuration is replaced by a higher version only, a record by its merge. Readers may be on any thread; writers are
 * serialised here.
 */
public final class FleetState {
    private final Map<String, ReplicaRecord> replicas = new ConcurrentHashMap<>();
    private final List<FleetStateListener> listeners = new CopyOnWriteArrayList<>();
    private volatile ConfigurationDocument configuration = ConfigurationDocument.EMPTY;

    public void addListener(FleetStateListener listener) {
        listeners.add(listener);
    }

    /** The newest committed configuration, {@link ConfigurationDocument#EMPTY} before the first. */
    public ConfigurationDocument configuration() {
        return configuration;
    }

    /** Takes a committed configuration if it is newer; returns whether it was. */
    public synchronized boolean offer(ConfigurationDocument document) {
        if (document.version() <= configuration.version()) {
            return false;
        }
        configuration = document;
        listeners.forEach(listener -> listener.configurationChanged(document));
        return true;
    }

    /** Every record, those of replicas that are gone included. */
    public Collection<ReplicaRecord> replicas() {
        return replicas.values();
    }

    /** The record of an instance, or null. */
    public ReplicaRecord replica(String instanceId) {
        return replicas.get(instanceId);
    }

    /** Merges a record; returns whether anything changed by it. */
    public synchronized boolean merge(ReplicaRecord record) {
        ReplicaRecord known = replicas.get(record.instanceId());
        ReplicaRecord merged = known == null ? record : ReplicaRecord.merge(known, record);
        if (merged.equals(known)) {
            return false;
        }
        replicas.put(merged.instanceId(), merged);
        listeners.forEach(listener -> listener.replicaChanged(merged));
        return true;
    }

    /** Drops the record of an instance that ended long ago. */
    public synchronized void forget(String instanceId) {
        replicas.remove(instanceId);
    }
}
