package pinewick.control;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import pinewick.dissemination.FleetStateListener;
import pinewick.dissemination.RemovalDurability;
import pinewick.model.RemovalStore;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;

/**
 * Keeps the removals of replicas, their drains and deregistrations, on the disk of this controller. Every removal that
 * this process learns is written, whoever received it, so that a lost disk is replaced by the copies of the others.
 * After a restart the stored removals are published again: heartbeats that a replica sent before its removal may still
 * be on their way, and no process may have the removal in memory any more.
 *
 * <p>A removal stays on disk until its tombstone expires. That of a replica that never deregistered is deleted some
 * time after the replica has lapsed.
 *
 * <p>Control loop only.
 */
final class DurableRemovals implements FleetStateListener, RemovalDurability {
    /** Interval between attempts to read from or write to a failed disk, milliseconds. */
    static final long RETRY_INTERVAL_MS = 500;

    /** How long the removal of a lapsed replica stays on disk, milliseconds; as long as a tombstone. */
    static final double LAPSED_RETENTION_MS = 60_000;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final RemovalStore store;
    private final TaskLoop loop;
    private final Consumer<ReplicaRecord> publisher;
    private final Map<String, ReplicaState> durableStates = new HashMap<>();
    private final Map<String, Double> lapsedSinceMs = new HashMap<>();
    private final Map<String, ReplicaRecord> unwritten = new LinkedHashMap<>();
    private final Set<String> undeleted = new HashSet<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private List<ReplicaRecord> inFlight = List.of();
    private boolean loaded;
    private boolean writing;
    private boolean awaitingRetry;

    /** A callback, and the records that have to be durable before it runs. */
    private record Waiter(List<ReplicaRecord> records, Runnable onDurable) {}

    /** @param publisher merges a stored removal into the state of this process and disseminates it */
    DurableRemovals(RemovalStore store, TaskLoop loop, Consumer<ReplicaRecord> publisher) {
        this.store = store;
        this.loop = loop;
        this.publisher = publisher;
    }

    /** Reads the stored removals and publishes them; repeated while the disk fails. Nothing is written before. */
    void load() {
        store.loadRemovals(this::onLoaded, () -> loop.schedule(this::load, RETRY_INTERVAL_MS));
    }

    private void onLoaded(List<ReplicaRecord> stored) {
        loaded = true;
        for (ReplicaRecord record : stored) {
            durableStates.put(record.instanceId(), record.state());
        }
        stored.forEach(publisher);
        if (!stored.isEmpty()) {
            LOGGER.atInfo().log("removals restored from disk: %d replicas", stored.size());
        }
        writeNext();
    }

    /** Whether the disk of this process has this removal, or a later state of the instance. */
    boolean isDurable(ReplicaRecord record) {
        ReplicaState durable = durableStates.getOrDefault(record.instanceId(), ReplicaState.READY);
        return durable.compareTo(record.state()) >= 0;
    }

    @Override
    public void whenDurable(List<ReplicaRecord> records, Runnable onDurable) {
        if (records.stream().allMatch(this::isDurable)) {
            onDurable.run();
            return;
        }
        waiters.add(new Waiter(records, onDurable));
        records.forEach(this::write);
    }

    @Override
    public void onReplicaChanged(ReplicaRecord record) {
        if (record.state() != ReplicaState.READY) {
            updateLapsedSince(record);
            write(record);
        }
    }

    private void write(ReplicaRecord record) {
        boolean isBeingWritten = inFlight.stream()
                .filter(other -> other.instanceId().equals(record.instanceId()))
                .anyMatch(other -> other.state().compareTo(record.state()) >= 0);
        if (!isBeingWritten && !isDurable(record)) {
            unwritten.merge(record.instanceId(), record, ReplicaRecord::merge);
            undeleted.remove(record.instanceId());
            writeNext();
        }
    }

    private void updateLapsedSince(ReplicaRecord record) {
        if (record.lapsed() && record.state() == ReplicaState.DRAINING) {
            lapsedSinceMs.putIfAbsent(record.instanceId(), loop.nowMs());
        } else {
            lapsedSinceMs.remove(record.instanceId());
        }
    }

    @Override
    public void onReplicaDropped(String instanceId) {
        lapsedSinceMs.remove(instanceId);
        delete(instanceId);
    }

    private void delete(String instanceId) {
        boolean wasUnwritten = unwritten.remove(instanceId) != null;
        boolean wasDurable = durableStates.remove(instanceId) != null;
        boolean isBeingWritten =
                inFlight.stream().anyMatch(record -> record.instanceId().equals(instanceId));
        if (wasUnwritten || wasDurable || isBeingWritten) {
            undeleted.add(instanceId);
        }
    }

    /** Deletes the removals that are no longer needed; to be called about twice a second. */
    void onTick() {
        double nowMs = loop.nowMs();
        Iterator<Map.Entry<String, Double>> entries = lapsedSinceMs.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, Double> entry = entries.next();
            if (nowMs - entry.getValue() >= LAPSED_RETENTION_MS) {
                delete(entry.getKey());
                entries.remove();
            }
        }
        writeNext();
    }

    private void writeNext() {
        boolean hasChanges = !unwritten.isEmpty() || !undeleted.isEmpty();
        if (!loaded || writing || awaitingRetry || !hasChanges) {
            return;
        }
        writing = true;
        RemovalStore.Update update = new RemovalStore.Update(List.copyOf(unwritten.values()), List.copyOf(undeleted));
        inFlight = update.stored();
        unwritten.clear();
        undeleted.clear();
        store.persistRemovals(update, () -> onWritten(update), () -> onFailed(update));
    }

    private void onWritten(RemovalStore.Update update) {
        writing = false;
        inFlight = List.of();
        for (ReplicaRecord record : update.stored()) {
            if (!undeleted.contains(record.instanceId())) {
                durableStates.put(record.instanceId(), record.state());
            }
        }
        runWaiters();
        writeNext();
    }

    private void runWaiters() {
        List<Waiter> satisfied = waiters.stream()
                .filter(waiter -> waiter.records().stream().allMatch(this::isDurable))
                .toList();
        waiters.removeAll(satisfied);
        satisfied.forEach(waiter -> waiter.onDurable().run());
    }

    /** Keeps the update for another attempt. Whoever waits for it asks again if it still matters. */
    private void onFailed(RemovalStore.Update update) {
        writing = false;
        inFlight = List.of();
        waiters.clear();
        for (ReplicaRecord record : update.stored()) {
            if (!undeleted.contains(record.instanceId())) {
                unwritten.merge(record.instanceId(), record, ReplicaRecord::merge);
            }
        }
        for (String instanceId : update.forgotten()) {
            if (!unwritten.containsKey(instanceId)) {
                undeleted.add(instanceId);
            }
        }
        awaitingRetry = true;
        loop.schedule(this::retry, RETRY_INTERVAL_MS);
    }

    private void retry() {
        awaitingRetry = false;
        writeNext();
    }
}
