package pinewick.control;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import pinewick.dissemination.FleetMessages.HeartbeatBatch;
import pinewick.dissemination.FleetNode;
import pinewick.dissemination.FleetState;
import pinewick.membership.NodeDescriptor;
import pinewick.membership.NodeRole;
import pinewick.model.ReplicaRecord;
import pinewick.model.SocketAddress;

/** Implements {@link FleetAccess} by gossip. Control loop only. */
final class GossipFleet implements FleetAccess {
    private final FleetNode node;
    private final FleetState state;
    private final TaskLoop loop;
    private final DurableRemovals removals;
    private final int toleratedLosses;
    private final HeartbeatReporters reporters = new HeartbeatReporters();

    /**
     * @param removals the removals on the disk of this process
     * @param toleratedLosses number of disks that may be lost at the same time (f)
     */
    GossipFleet(FleetNode node, FleetState state, TaskLoop loop, DurableRemovals removals, int toleratedLosses) {
        this.node = node;
        this.state = state;
        this.loop = loop;
        this.removals = removals;
        this.toleratedLosses = toleratedLosses;
    }

    /** Called when another controller has reported the heartbeats that it received. */
    void onHeartbeatBatch(SocketAddress controller, HeartbeatBatch batch) {
        reporters.recordRemote(controller, batch, loop.nowMs());
    }

    @Override
    public Collection<ReplicaRecord> replicas() {
        return state.replicas();
    }

    @Override
    public Optional<ReplicaRecord> findReplica(String instanceId) {
        return state.findReplica(instanceId);
    }

    @Override
    public void publish(ReplicaRecord record) {
        node.publish(record, loop.nowMs());
    }

    @Override
    public void publishUntilDurable(ReplicaRecord record, Runnable onDurable) {
        DurableCopies copies = new DurableCopies(toleratedLosses, onDurable);
        node.publishUntilAcknowledged(record, copies::addRemote, loop.nowMs());
        removals.whenDurable(List.of(record), copies::addLocal);
    }

    @Override
    public boolean isDurableWithoutOthers(ReplicaRecord record) {
        return toleratedLosses == 0 && removals.isDurable(record);
    }

    @Override
    public void recordHeartbeat(String instanceId, long callSequence) {
        node.recordHeartbeat(instanceId, callSequence, loop.nowMs());
        reporters.recordLocal(instanceId, loop.nowMs());
    }

    @Override
    public double lastHeartbeatMs(String instanceId) {
        return node.lastHeartbeatMs(instanceId);
    }

    @Override
    public Optional<SocketAddress> lastReporter(String instanceId) {
        return reporters.reporterOf(instanceId);
    }

    @Override
    public void prune() {
        reporters.retain(id -> state.findReplica(id).isPresent());
    }

    @Override
    public Set<SocketAddress> otherControllers() {
        Set<SocketAddress> controllers = new HashSet<>();
        for (NodeDescriptor peer : node.peers()) {
            if (peer.role() == NodeRole.CONTROLLER) {
                controllers.add(peer.address());
            }
        }
        return controllers;
    }
}
