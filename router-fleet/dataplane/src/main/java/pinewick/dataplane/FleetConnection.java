package pinewick.dataplane;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
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
import pinewick.transport.ControlLoop;
import pinewick.transport.MessageCodec;
import pinewick.transport.NetworkTransport;
import pinewick.transport.ReschedulableTimer;
import pinewick.transport.TransportException;

/**
 * Connects a router to the fleet: the control loop, the transport for internal messages, and the fleet state that they
 * maintain.
 */
final class FleetConnection {
    private final FleetState state = new FleetState();
    private final ControlLoop loop = new ControlLoop();
    private final NetworkTransport transport;
    private final FleetNode node;
    private final ReschedulableTimer ticks = loop.timer(this::tick);

    FleetConnection(NodeSettings settings, RandomGenerator random) throws RouterException {
        SocketAddress local = new SocketAddress(settings.ipAddress(), settings.routerPort());
        try {
            transport = new NetworkTransport(local, new MessageCodec(messageTypes()));
        } catch (TransportException e) {
            throw new RouterException("listening to peers", local.toString(), e);
        }
        NodeDescriptor self = new NodeDescriptor(
                transport.localAddress(), System.currentTimeMillis(), NodeRole.ROUTER, settings.zone());
        node = new FleetNode(self, settings.seedControllers(), state, transport, random);
    }

    private static List<Class<?>> messageTypes() {
        List<Class<?>> types = new ArrayList<>(FleetMessages.types());
        types.addAll(LoadReportMessage.types());
        return types;
    }

    /** @param onLoadReport called with load reports of other routers, on the receiving thread */
    void start(Consumer<LoadReportMessage> onLoadReport) {
        transport.start((sender, message) -> onMessage(sender, message, onLoadReport));
        loop.execute(this::tick);
    }

    private void tick() {
        try {
            node.onTick(loop.nowMs());
        } finally {
            ticks.reschedule(node.nextTickMs());
        }
    }

    private void onMessage(SocketAddress sender, Message message, Consumer<LoadReportMessage> onLoadReport) {
        if (message instanceof LoadReportMessage loadReport) {
            onLoadReport.accept(loadReport);
        } else {
            loop.execute(() -> {
                node.onMessage(sender, message, loop.nowMs());
                ticks.reschedule(node.nextTickMs());
            });
        }
    }

    /** Sends to the other routers known at this moment. May be called on any thread. */
    void sendToRouters(LoadReportMessage message) {
        loop.execute(() -> transport.sendToAll(otherRouters(), message));
    }

    FleetState state() {
        return state;
    }

    FleetNode node() {
        return node;
    }

    SocketAddress self() {
        return transport.localAddress();
    }

    /** The other routers known at this moment. */
    List<SocketAddress> otherRouters() {
        List<SocketAddress> routers = new ArrayList<>();
        for (NodeDescriptor peer : node.peers()) {
            if (peer.role() == NodeRole.ROUTER) {
                routers.add(peer.address());
            }
        }
        return routers;
    }

    /** Runs a task periodically on the control loop. */
    void repeat(Runnable task, long periodMs) {
        loop.repeat(task, periodMs);
    }

    /**
     * Runs a task periodically on the control loop.
     *
     * @param intervalMs the interval before the next run, by the number of other known routers, milliseconds
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
