package pinewick.control;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import pinewick.dissemination.FleetMessages.HeartbeatBatch;
import pinewick.dissemination.FleetNode;
import pinewick.dissemination.FleetState;
import pinewick.membership.NodeDescriptor;
import pinewick.membership.NodeRole;
import pinewick.model.ReplicaRecord;
import pinewick.model.SocketAddress;

/** The fleet as membership and dissemination know it. */
final class GossipFleet implements FleetAccess {
    private final FleetNode node;
    private final FleetState state;
    private final TaskLoop loop;
    private final HeartbeatReporters reporters = new HeartbeatReporters();

    GossipFleet(FleetNode node, FleetState state, TaskLoop loop) {
        this.node = node;
        this.state = state;
        this.loop = loop;
    }

    /** Another controller told which instances it heard. */
    void heardBy(SocketAddress controller, HeartbeatBatch batch) {
        reporters.heardBy(controller, batch, loop.nowMs());
    }

    @Override
    public Collection<ReplicaRecord> replicas() {
        return state.replicas();
    }

    @Override
    public ReplicaRecord replica(String instanceId) {
        return state.replica(instanceId);
    }

    @Override
    public void publish(ReplicaRecord record) {
        node.publish(record, null, loop.nowMs());
    }

    @Override
    public void publishUntilHeld(ReplicaRecord record, Runnable heldElsewhere) {
        node.publish(record, heldElsewhere, loop.nowMs());
    }

    @Override
    public void heard(String instanceId, long callSequence) {
        node.heard(instanceId, callSequence, loop.nowMs());
        reporters.heardHere(instanceId, loop.nowMs());
    }

    @Override
    public double lastHeardMs(String instanceId) {
        return node.lastHeardMs(instanceId);
    }

    @Override
    public Optional<SocketAddress> lastHeardBy(String instanceId) {
        return reporters.reporterOf(instanceId);
    }

    @Override
    public void prune() {
        reporters.retain(id -> state.replica(id) != null);
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
