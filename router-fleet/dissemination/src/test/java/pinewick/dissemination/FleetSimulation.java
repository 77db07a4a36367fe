package pinewick.dissemination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import pinewick.membership.NodeDescriptor;
import pinewick.membership.NodeRole;
import pinewick.model.Message;
import pinewick.model.SocketAddress;
import pinewick.transport.MalformedFrameException;
import pinewick.transport.MessageCodec;
import pinewick.transport.NetworkTransport;

/**
 * A fleet in one thread and in virtual time: the deciding classes as they are, with links that delay, lose, double and
 * reorder what would be datagrams, and that can be cut. Every message passes through the codec. Steady clocks of
 * processes have nothing in common.
 */
final class FleetSimulation {
    private static final double MIN_DELAY_MS = 0.5;
    private static final double BYTES_A_MS = 125_000;
    private static final int CONTROLLER_PORT = 7721;
    private static final int ROUTER_PORT = 7720;

    final Random random;
    final List<Process> controllers = new ArrayList<>();
    final List<Process> routers = new ArrayList<>();
    final Set<SocketAddress> cutOff = new HashSet<>();
    final Map<String, Integer> messagesByType = new HashMap<>();

    double nowMs;
    double loss;
    double duplicates;
    double jitterMs = 1;
    /** What a process's link carries each way in a millisecond; messages wait for those before them. */
    double linkBytesAMs = Double.POSITIVE_INFINITY;
    /** Whether a message from the first to the second is lost for good. */
    BiPredicate<SocketAddress, SocketAddress> cut = (from, to) -> false;

    /** Whether a controller is in contact with a quorum, as replication would tell it. */
    Predicate<Process> quorumContact = controller -> !cutOff.contains(controller.address());

    private final MessageCodec codec = new MessageCodec(FleetMessages.types(), FleetMessages.laterTypes());
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<SocketAddress, Process> processes = new HashMap<>();
    private final List<SocketAddress> seeds = new ArrayList<>();
    private long eventCount;

    private record Event(double atMs, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    /** One process; a restart makes a new one at the same address. */
    final class Process {
        final NodeDescriptor descriptor;
        final FleetState state = new FleetState();
        final FleetNode node;
        final double clockOffsetMs = random.nextDouble() * 1e6;
        final double startedAtMs = nowMs;
        boolean alive = true;
        double synchronisedAtMs = Double.NaN;
        long bytesSent;
        long bytesReceived;
        long messagesSent;
        int ticks;
        private final Deque<Runnable> backlog = new ArrayDeque<>();
        private boolean frozen;
        private int plannedTicks;
        private double plannedTickMs = Double.NaN;
        private double linkOutFreeAtMs;
        private double linkInFreeAtMs;

        Process(SocketAddress address, NodeRole role, long incarnation) {
            descriptor = new NodeDescriptor(address, incarnation, role, "zone-" + address.hashCode() % 3);
            node = new FleetNode(
                    descriptor,
                    seeds,
                    state,
                    (peer, message) -> transmit(this, peer, message),
                    new Random(random.nextLong()));
            after(random.nextDouble() * FleetNode.TICK_MS, this::tick);
        }

        SocketAddress address() {
            return descriptor.address();
        }

        double localMs() {
            return nowMs + clockOffsetMs;
        }

        private void tick() {
            if (frozen) {
                backlog.add(this::tick);
                return;
            }
            if (!alive) {
                return;
            }
            ticks++;
            node.onTick(localMs());
            if (descriptor.role() == NodeRole.CONTROLLER && quorumContact.test(this)) {
                node.confirmConfiguration(localMs());
            }
            if (Double.isNaN(synchronisedAtMs) && node.isSynchronised()) {
                synchronisedAtMs = nowMs;
            }
            if (descriptor.role() == NodeRole.CONTROLLER) {
                after(FleetNode.TICK_MS, this::tick);
            } else {
                planTick();
            }
        }

        /** A router ticks when its node asks for it, as its program does. */
        private void planTick() {
            double dueMs = node.nextTickMs();
            if (dueMs == plannedTickMs) {
                return;
            }
            plannedTickMs = dueMs;
            int number = ++plannedTicks;
            after(Math.max(0, dueMs - localMs()), () -> {
                if (number == plannedTicks) {
                    plannedTickMs = Double.NaN;
                    tick();
                }
            });
        }

        /** Hands in a message; returns whether it was handled. */
        boolean receive(SocketAddress from, Message message) {
            boolean handled = node.onMessage(from, message, localMs());
            if (descriptor.role() == NodeRole.ROUTER && !Double.isNaN(plannedTickMs)) {
                planTick();
            }
            return handled;
        }

        /** How long from now until a frame has left by the link. */
        private double linkOutMs(byte[] frame) {
            linkOutFreeAtMs = Math.max(nowMs, linkOutFreeAtMs) + frame.length / linkBytesAMs;
            return linkOutFreeAtMs - nowMs;
        }

        /** How long from now until a frame has come in by the link. */
        private double linkInMs(byte[] frame) {
            linkInFreeAtMs = Math.max(nowMs, linkInFreeAtMs) + frame.length / linkBytesAMs;
            return linkInFreeAtMs - nowMs;
        }

        /** What happens to the process from now on happens once it resumes. */
        void freeze() {
            frozen = true;
        }

        void resume() {
            frozen = false;
            List<Runnable> held = new ArrayList<>(backlog);
            backlog.clear();
            held.forEach(Runnable::run);
        }

        void kill() {
            alive = false;
            processes.remove(address(), this);
        }
    }

    FleetSimulation(long seed) {
        random = new Random(seed);
    }

    static FleetSimulation started(long seed, int controllers, int routers) {
        FleetSimulation fleet = new FleetSimulation(seed);
        for (int i = 0; i < Math.min(controllers, 3); i++) {
            fleet.seeds.add(controllerAddress(i));
        }
        for (int i = 0; i < controllers; i++) {
            fleet.startController(i, 1);
        }
        for (int i = 0; i < routers; i++) {
            fleet.startRouter(i, 1);
        }
        return fleet;
    }

    static SocketAddress controllerAddress(int number) {
        return new SocketAddress("10.9.0." + (number + 1), CONTROLLER_PORT);
    }

    static SocketAddress routerAddress(int number) {
        return new SocketAddress("10.1." + number / 200 + "." + (number % 200 + 1), ROUTER_PORT);
    }

    /** Starts a controller, in place of an earlier one with that number. */
    Process startController(int number, long incarnation) {
        return start(controllers, number, controllerAddress(number), NodeRole.CONTROLLER, incarnation);
    }

    /** Starts a router, in place of an earlier one with that number. */
    Process startRouter(int number, long incarnation) {
        return start(routers, number, routerAddress(number), NodeRole.ROUTER, incarnation);
    }

    private Process start(List<Process> list, int number, SocketAddress address, NodeRole role, long incarnation) {
        Process process = new Process(address, role, incarnation);
        processes.put(address, process);
        if (number < list.size()) {
            list.set(number, process);
        } else {
            list.add(process);
        }
        return process;
    }

    List<Process> all() {
        List<Process> all = new ArrayList<>(controllers);
        all.addAll(routers);
        return all;
    }

    /** Every process that runs and is not cut off. */
    List<Process> inTouch() {
        return all().stream()
                .filter(process -> process.alive && !cutOff.contains(process.address()))
                .toList();
    }

    void after(double delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, eventCount++, action));
    }

    void run(double durationMs) {
        runUntil(() -> false, durationMs);
    }

    /** Runs until something holds; returns how long that took, or NaN if it did not within the limit. */
    double runUntil(BooleanSupplier condition, double limitMs) {
        double startMs = nowMs;
        double endMs = nowMs + limitMs;
        while (!condition.getAsBoolean()) {
            if (events.isEmpty() || events.peek().atMs > endMs) {
                nowMs = endMs;
                return Double.NaN;
            }
            Event event = events.poll();
            nowMs = event.atMs;
            event.action.run();
        }
        return nowMs - startMs;
    }

    /** Runs until every process in touch meets a condition; returns how long that took, or NaN. */
    double runUntilAll(Predicate<Process> condition, double limitMs) {
        List<Process> open = new ArrayList<>(inTouch());
        return runUntil(
                () -> {
                    while (!open.isEmpty() && condition.test(open.get(open.size() - 1))) {
                        open.remove(open.size() - 1);
                    }
                    return open.isEmpty();
                },
                limitMs);
    }

    private void transmit(Process from, SocketAddress to, Message message) {
        byte[] frame = codec.encode(from.address().port(), message);
        messagesByType.merge(message.getClass().getSimpleName(), frame.length, Integer::sum);
        from.bytesSent += frame.length;
        from.messagesSent++;
        boolean datagram = frame.length <= NetworkTransport.MAX_DATAGRAM_BYTES;
        if (!from.alive || (datagram && random.nextDouble() < loss)) {
            return;
        }
        int copies = datagram && random.nextDouble() < duplicates ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            double delay = MIN_DELAY_MS + random.nextDouble() * jitterMs;
            double connected = datagram ? delay : 3 * delay + frame.length / BYTES_A_MS;
            after(from.linkOutMs(frame) + connected, () -> reach(from.address(), to, frame));
        }
    }

    /** A frame has come to the receiver's link. */
    private void reach(SocketAddress from, SocketAddress to, byte[] frame) {
        Process receiver = processes.get(to);
        if (receiver == null || Double.isInfinite(linkBytesAMs)) {
            arrive(from, to, frame);
        } else {
            after(receiver.linkInMs(frame), () -> arrive(from, to, frame));
        }
    }

    private void arrive(SocketAddress from, SocketAddress to, byte[] frame) {
        Process receiver = processes.get(to);
        boolean cutLink = cutOff.contains(from) || cutOff.contains(to) || cut.test(from, to);
        if (receiver == null || cutLink) {
            return;
        }
        receiver.bytesReceived += frame.length;
        if (receiver.frozen) {
            receiver.backlog.add(() -> handle(receiver, from, frame));
        } else {
            handle(receiver, from, frame);
        }
    }

    private void handle(Process receiver, SocketAddress from, byte[] frame) {
        if (!receiver.alive) {
            return;
        }
        try {
            Message message = codec.decode(frame, 0, frame.length).message();
            if (!receiver.receive(from, message)) {
                throw new IllegalStateException("not handled: " + message);
            }
        } catch (MalformedFrameException e) {
            throw new IllegalStateException(e);
        }
    }

    void resetCounts() {
        messagesByType.clear();
        all().forEach(process -> {
            process.bytesSent = 0;
            process.bytesReceived = 0;
            process.messagesSent = 0;
            process.ticks = 0;
        });
    }
}
