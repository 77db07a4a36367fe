package pinewick.dataplane;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.IntToLongFunction;
import java.util.random.RandomGenerator;
import pinewick.dissemination.FleetMessages;
import pinewick.dissemination.FleetNode;
import pinewick.dissemination.FleetState;
import pinewick.membership.NodeDescriptor;
import pinewick.membership.NodeRole;
import pinewick.model.Message;
import pinewick.model.NodeSettings;
import pinewick.model.SocketAddress;
import pinewick.quota.QuotaMessages;
import pinewick.quota.QuotaMessages.QuotaReply;
import pinewick.quota.QuotaMessages.RelayedQuotaRequest;
import pinewick.quota.QuotaPeers;
import pinewick.transport.ControlLoop;
import pinewick.transport.MessageCodec;
import pinewick.transport.NetworkTransport;
import pinewick.transport.ReschedulableTimer;
import pinewick.transport.TransportException;

/**
 * Connects a router to the fleet. Owns the control loop, the transport for internal messages and the fleet state that
 * they maintain.
 */
final class FleetConnection implements QuotaPeers {
    private final FleetState state = new FleetState();
    private final ControlLoop loop = new ControlLoop();
    private final NetworkTransport transport;
    private final NodeDescriptor self;
    private final RandomGenerator random;
    private final FleetNode node;
    private final ReschedulableTimer ticks = loop.timer(this::tick);

    FleetConnection(NodeSettings settings, RandomGenerator random) throws RouterException {
        SocketAddress local = new SocketAddress(settings.ipAddress(), settings.routerPort());
        try {
            transport = new NetworkTransport(local, new MessageCodec(messageTypes(), laterMessageTypes()));
        } catch (TransportException e) {
            throw new RouterException("listening to peers", local.toString(), e);
        }
        self = new NodeDescriptor(
                transport.localAddress(), System.currentTimeMillis(), NodeRole.ROUTER, settings.zone());
        node = new FleetNode(self, settings.seedControllers(), state, transport, random);
        this.random = new SplittableRandom(random.nextLong());
    }

    private static List<Class<?>> messageTypes() {
        List<Class<?>> types = new ArrayList<>(FleetMessages.types());
        types.addAll(LoadReportMessage.types());
        return types;
    }

    private static List<Class<?>> laterMessageTypes() {
        List<Class<?>> types = new ArrayList<>(FleetMessages.laterTypes());
        types.addAll(QuotaMessages.types());
        return types;
    }

    /** Receives messages of other processes that concern the data plane, on the transport's receiving thread. */
    interface RouterMessageListener {
        /** Load reports and prefix hints of another router. */
        void onLoadReport(LoadReportMessage message);

        /** Service times measured by other routers. */
        void onServiceTimes(ServiceTimesMessage serviceTimes);

        /** A router requests this router's estimates of the prefix caches. */
        void onSnapshotRequest(SocketAddress sender);

        /** A router has replied with its estimates. */
        void onSnapshot(PrefixCacheSnapshot snapshot);

        /** A message about tenants' quotas. */
        void onQuotaMessage(SocketAddress sender, Message message);
    }

    /** Starts receiving and sending messages. */
    void start(RouterMessageListener listener) {
        transport.start((sender, message) -> onMessage(sender, message, listener));
        loop.execute(this::tick);
    }

    private void tick() {
        try {
            node.onTick(loop.nowMs());
        } finally {
            ticks.reschedule(node.nextTickMs());
        }
    }

    private void onMessage(SocketAddress sender, Message message, RouterMessageListener listener) {
        if (message instanceof LoadReportMessage loadReport) {
            listener.onLoadReport(loadReport);
        } else if (message instanceof ServiceTimesMessage serviceTimes) {
            listener.onServiceTimes(serviceTimes);
        } else if (message instanceof PrefixCacheSnapshotRequest) {
            listener.onSnapshotRequest(sender);
        } else if (message instanceof PrefixCacheSnapshot snapshot) {
            listener.onSnapshot(snapshot);
        } else if (message instanceof QuotaReply || message instanceof RelayedQuotaRequest) {
            listener.onQuotaMessage(sender, message);
        } else {
            loop.execute(() -> {
                node.onMessage(sender, message, loop.nowMs());
                ticks.reschedule(node.nextTickMs());
            });
        }
    }

    /** Sends to other routers, chosen by {@link LoadReportTargets}. May be called on any thread. */
    void sendToRouters(Message message) {
        loop.execute(
                () -> transport.sendToAll(LoadReportTargets.choose(otherRouterNodes(), self.zone(), random), message));
    }

    /** Sends to one process. May be called on any thread. */
    void send(SocketAddress peer, Message message) {
        loop.execute(() -> transport.send(peer, message));
    }

    FleetState state() {
        return state;
    }

    FleetNode node() {
        return node;
    }

    NodeDescriptor self() {
        return self;
    }

    /** The other routers known at this moment. */
    List<NodeDescriptor> otherRouterNodes() {
        return nodesOf(NodeRole.ROUTER);
    }

    private List<NodeDescriptor> nodesOf(NodeRole role) {
        List<NodeDescriptor> nodes = new ArrayList<>();
        for (NodeDescriptor peer : node.peers()) {
            if (peer.role() == role) {
                nodes.add(peer);
            }
        }
        return nodes;
    }

    @Override
    public Optional<SocketAddress> primary() {
        return node.knownPrimary();
    }

    @Override
    public List<SocketAddress> controllers() {
        return nodesOf(NodeRole.CONTROLLER).stream()
                .map(NodeDescriptor::address)
                .toList();
    }

    @Override
    public List<SocketAddress> routers() {
        return otherRouters();
    }

    /** The addresses of the other routers known at this moment. */
    List<SocketAddress> otherRouters() {
        return otherRouterNodes().stream().map(NodeDescriptor::address).toList();
    }

    /** Runs a task on the control loop. */
    void execute(Runnable task) {
        loop.execute(task);
    }

    /** The control loop's monotonic time, milliseconds. */
    double nowMs() {
        return loop.nowMs();
    }

    /** Runs a task periodically on the control loop. */
    void repeat(Runnable task, long periodMs) {
        loop.repeat(task, periodMs);
    }

    /**
     * Runs a task periodically on the control loop.
     *
     * @param intervalMs returns the interval before the next run, milliseconds, given the number of other routers known
     */
    void repeatAtVariableInterval(Runnable task, IntToLongFunction intervalMs) {
        loop.repeatAtVariableInterval(
                task, () -> intervalMs.applyAsLong(otherRouters().size()));
    }

    /** Notifies the peers that this process shuts down. */
    void leave() {
        loop.execute(() -> node.leave(loop.nowMs()));
    }

    void close() {
        transport.close();
        loop.close();
    }
}
