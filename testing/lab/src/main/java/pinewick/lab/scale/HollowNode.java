package pinewick.lab.scale;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import pinewick.dissemination.FleetMessages;
import pinewick.dissemination.FleetNode;
import pinewick.dissemination.FleetState;
import pinewick.dissemination.FleetStateListener;
import pinewick.membership.NodeDescriptor;
import pinewick.membership.NodeRole;
import pinewick.model.ConfigurationChecks;
import pinewick.model.ConfigurationDocument;
import pinewick.model.InvalidConfigurationException;
import pinewick.model.Message;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.RoutingTable;
import pinewick.model.SocketAddress;
import pinewick.transport.ControlLoop;
import pinewick.transport.MessageCodec;
import pinewick.transport.NetworkTransport;
import pinewick.transport.TransportException;

/**
 * A fleet member without data plane and HTTP API. It has the real membership, dissemination and transport code, with
 * its own control loop, transport thread and state, as {@code Router} and {@code Controller} assemble them. Records
 * when it receives each update, in the machine's monotonic time, which all local processes share.
 */
final class HollowNode {
    private final FleetState state = new FleetState();
    private final ControlLoop loop = new ControlLoop();
    private final TreeMap<Long, Long> versionAtNs = new TreeMap<>();
    private final Map<String, Long> drainingAtNs = new ConcurrentHashMap<>();
    private final LongAdder lapses = new LongAdder();
    private final Set<String> lapsed = ConcurrentHashMap.newKeySet();
    private final TrafficMeter traffic;
    private final int controllerPort;
    private final NetworkTransport transport;
    private final FleetNode node;
    private final long startedAtNs = System.nanoTime();
    private volatile long synchronisedAtNs;
    private volatile RoutingTable inForce = RoutingTable.EMPTY;

    /**
     * @param local the listen address
     * @param controllerPort the internal port of controllers, which distinguishes them from routers
     * @param measuringCodec encodes messages to measure their size
     */
    HollowNode(
            SocketAddress local,
            NodeRole role,
            String zone,
            List<SocketAddress> seeds,
            int controllerPort,
            MessageCodec measuringCodec,
            SplittableRandom random)
            throws TransportException {
        this.controllerPort = controllerPort;
        traffic = new TrafficMeter(measuringCodec);
        transport = new NetworkTransport(local, new MessageCodec(FleetMessages.types(), FleetMessages.laterTypes()));
        NodeDescriptor self = new NodeDescriptor(local, System.currentTimeMillis(), role, zone);
        node = new FleetNode(self, seeds, state, this::send, random);
        state.addListener(new StateRecorder());
    }

    void start() {
        transport.start(this::receive);
        loop.repeat(this::tick, FleetNode.TICK_MS);
    }

    private void tick() {
        node.onTick(loop.nowMs());
        if (synchronisedAtNs == 0 && node.isSynchronised()) {
            synchronisedAtNs = System.nanoTime();
        }
    }

    private void send(SocketAddress peer, Message message) {
        traffic.count(
                isController(peer) ? TrafficMeter.Direction.TO_CONTROLLER : TrafficMeter.Direction.TO_ROUTER, message);
        transport.send(peer, message);
    }

    private void receive(SocketAddress sender, Message message) {
        traffic.count(
                isController(sender) ? TrafficMeter.Direction.FROM_CONTROLLER : TrafficMeter.Direction.FROM_ROUTER,
                message);
        loop.execute(() -> node.onMessage(sender, message, loop.nowMs()));
    }

    private boolean isController(SocketAddress address) {
        return address.port() == controllerPort;
    }

    /** Applies a configuration here and publishes it to the fleet; returns the monotonic time, nanoseconds. */
    long commit(ConfigurationDocument document) {
        long committedNs = System.nanoTime();
        loop.execute(() -> {
            state.offer(document);
            node.publishConfiguration(loop.nowMs());
        });
        return committedNs;
    }

    /** When this version or a later one was applied here, nanoseconds; 0 if none has been. */
    synchronized long inForceAtNs(long version) {
        Map.Entry<Long, Long> entry = versionAtNs.ceilingEntry(version);
        return entry == null ? 0 : entry.getValue();
    }

    /** When this node learned that an instance is draining, nanoseconds; 0 if it has not. */
    long drainingAtNs(String instanceId) {
        return drainingAtNs.getOrDefault(instanceId, 0L);
    }

    /** Time from start to synchronisation, or until now if it is not synchronised, milliseconds. */
    double joiningMs() {
        long endNs = synchronisedAtNs == 0 ? System.nanoTime() : synchronisedAtNs;
        return (endNs - startedAtNs) / 1e6;
    }

    /** How many times this node was informed that a replica has lapsed. */
    long lapses() {
        return lapses.sum();
    }

    FleetState state() {
        return state;
    }

    FleetNode node() {
        return node;
    }

    TrafficMeter traffic() {
        return traffic;
    }

    NetworkTransport transport() {
        return transport;
    }

    /** The configuration version that requests would be routed by. */
    long versionInForce() {
        return inForce.version();
    }

    void close() {
        transport.close();
        loop.close();
    }

    /** Records when updates arrive, and builds the routing table of a configuration as a router does. */
    private final class StateRecorder implements FleetStateListener {
        @Override
        public void onConfigurationChanged(ConfigurationDocument document) {
            try {
                inForce = ConfigurationChecks.toRoutingTable(document);
            } catch (InvalidConfigurationException e) {
                throw new IllegalStateException("configuration " + document.version(), e);
            }
            synchronized (HollowNode.this) {
                versionAtNs.put(document.version(), System.nanoTime());
            }
        }

        @Override
        public void onReplicaChanged(ReplicaRecord record) {
            if (record.state() != ReplicaState.READY) {
                drainingAtNs.putIfAbsent(record.instanceId(), System.nanoTime());
            }
            boolean lapseChanged =
                    record.lapsed() ? lapsed.add(record.instanceId()) : lapsed.remove(record.instanceId());
            if (lapseChanged && record.lapsed()) {
                lapses.increment();
            }
        }
    }
}
