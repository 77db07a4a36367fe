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
    private volatile long modification;

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
        if (!ReplicaContent.same(known, merged)) {
            modification++;
        }
        listeners.forEach(listener -> listener.replicaChanged(merged));
        return true;
    }

    /** Drops the record of an instance that ended long ago. */
    public synchronized void forget(String instanceId) {
        if (replicas.remove(instanceId) != null) {
            modification++;
        }
    }

    /**
     * Notes a heartbeat that told nothing new but its number; listeners are not told. The record of a lapsed replica
     * keeps its number, so that the record that ends the lapse is the newer one.
     */
    synchronized void raiseSequence(String instanceId, long callSequence) {
        ReplicaRecord known = replicas.get(instanceId);
        if (known != null && !known.lapsed() && known.callSequence() < callSequence) {
            replicas.put(instanceId, withSequence(known, callSequence));
        }
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
                record.coldRemainingMs(),
                record.stage(),
                record.models(),
                callSequence,
                record.lapsed());
    }

    /** Rises with each change of a replica record that concerns routers. */
    long modification() {
        return modification;
    }
}
