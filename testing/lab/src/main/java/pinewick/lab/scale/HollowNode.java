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
 * A process of the fleet without its data plane or its HTTP API: real membership, dissemination and transport, with a
 * loop, a thread for sockets and a state of its own, as {@code Router} and {@code Controller} assemble them. Notes when
 * it learns of what, in this machine's steady time, which all processes on it share.
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
     * @param local where it listens
     * @param controllerPort the port by which controllers are told from routers
     * @param sizes measures messages
     */
    HollowNode(
            SocketAddress local,
            NodeRole role,
            String zone,
            List<SocketAddress> seeds,
            int controllerPort,
            MessageCodec sizes,
            SplittableRandom random)
            throws TransportException {
        this.controllerPort = controllerPort;
        traffic = new TrafficMeter(sizes);
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

    /** Puts a configuration in force here first and tells the others; returns when, in steady time. */
    long commit(ConfigurationDocument document) {
        long atNs = System.nanoTime();
        loop.execute(() -> {
            state.offer(document);
            node.publishConfiguration(loop.nowMs());
        });
        return atNs;
    }

    /** When a version at least as high came into force here, 0 if none has. */
    synchronized long inForceAtNs(long version) {
        Map.Entry<Long, Long> entry = versionAtNs.ceilingEntry(version);
        return entry == null ? 0 : entry.getValue();
    }

    /** When this process learnt that an instance is leaving, 0 if it has not. */
    long drainingAtNs(String instanceId) {
        return drainingAtNs.getOrDefault(instanceId, 0L);
    }

    /** How long it took from the start to having caught up, or so far, milliseconds. */
    double joiningMs() {
        long endNs = synchronisedAtNs == 0 ? System.nanoTime() : synchronisedAtNs;
        return (endNs - startedAtNs) / 1e6;
    }

    /** How often a replica was declared silent, as told to this process. */
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

    /** The version that requests would be routed by. */
    long versionInForce() {
        return inForce.version();
    }

    void close() {
        transport.close();
        loop.close();
    }

    /** Notes what becomes known here, and does with a configuration what a router does. */
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
            boolean news = record.lapsed() ? lapsed.add(record.instanceId()) : lapsed.remove(record.instanceId());
            if (news && record.lapsed()) {
                lapses.increment();
            }
        }
    }
}
