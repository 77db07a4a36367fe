package pinewick.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import pinewick.model.ReplicaRecord;
import pinewick.model.SocketAddress;

/** An in-memory fleet that records what is published. The test decides when the other controllers confirm it. */
final class FakeFleet implements FleetAccess {
    static final SocketAddress OTHER_CONTROLLER = new SocketAddress("10.2.0.4", 7721);

    final List<ReplicaRecord> published = new ArrayList<>();
    final Set<SocketAddress> controllers = new HashSet<>(Set.of(OTHER_CONTROLLER));
    boolean durableWithoutOthers = true;
    private final Map<String, ReplicaRecord> records = new HashMap<>();
    private final Map<String, Double> lastHeartbeatsMs = new HashMap<>();
    private final List<Runnable> confirmations = new ArrayList<>();
    private final DoubleSupplier nowMs;

    FakeFleet(DoubleSupplier nowMs) {
        this.nowMs = nowMs;
    }

    /** Confirms everything published so far, as another controller would. */
    void confirmAll() {
        List<Runnable> due = List.copyOf(confirmations);
        confirmations.clear();
        due.forEach(Runnable::run);
    }

    /** Adds a record as if another process had sent it. */
    void learn(ReplicaRecord record) {
        records.merge(record.instanceId(), record, ReplicaRecord::merge);
    }

    /** Records that some controller received a heartbeat from an instance. */
    void recordHeartbeatAt(String instanceId, double atMs) {
        lastHeartbeatsMs.merge(instanceId, atMs, Math::max);
    }

    @Override
    public Collection<ReplicaRecord> replicas() {
        return records.values();
    }

    @Override
    public Optional<ReplicaRecord> findReplica(String instanceId) {
        return Optional.ofNullable(records.get(instanceId));
    }

    /** Removes a record. */
    void remove(String instanceId) {
        records.remove(instanceId);
    }

    @Override
    public void publish(ReplicaRecord record) {
        learn(record);
        published.add(record);
    }

    @Override
    public void publishUntilDurable(ReplicaRecord record, Runnable onDurable) {
        publish(record);
        confirmations.add(onDurable);
    }

    @Override
    public boolean isDurableWithoutOthers(ReplicaRecord record) {
        return durableWithoutOthers;
    }

    @Override
    public void recordHeartbeat(String instanceId, long callSequence) {
        recordHeartbeatAt(instanceId, nowMs.getAsDouble());
    }

    @Override
    public double lastHeartbeatMs(String instanceId) {
        return lastHeartbeatsMs.getOrDefault(instanceId, NEVER);
    }

    @Override
    public Optional<SocketAddress> lastReporter(String instanceId) {
        return Optional.empty();
    }

    @Override
    public void prune() {
        lastHeartbeatsMs.keySet().retainAll(records.keySet());
    }

    @Override
    public Set<SocketAddress> otherControllers() {
        return controllers;
    }
}
