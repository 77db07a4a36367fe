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
 * Simulates a fleet in one thread and in virtual time. The production classes run unchanged, over links that delay,
 * lose, duplicate and reorder messages of datagram size, and that can be blocked. Every message passes through the
 * codec. The monotonic clocks of different processes have unrelated origins.
 */
final class FleetSimulation {
    private static final double MIN_DELAY_MS = 0.5;
    private static final double BYTES_PER_MS = 125_000;
    private static final int CONTROLLER_PORT = 7721;
    private static final int ROUTER_PORT = 7720;

    final Random random;
    final List<Process> controllers = new ArrayList<>();
    final List<Process> routers = new ArrayList<>();
    final Set<SocketAddress> isolated = new HashSet<>();
    final Map<String, Integer> bytesByMessageType = new HashMap<>();

    double nowMs;
    double lossRate;
    double duplicationRate;
    double jitterMs = 1;
    /** Link capacity of a process in each direction, bytes per millisecond; messages queue. */
    double linkBytesPerMs = Double.POSITIVE_INFINITY;
    /** Whether messages from the first address to the second are dropped, whatever their size. */
    BiPredicate<SocketAddress, SocketAddress> linkBlocked = (from, to) -> false;

    /** Whether a controller is in contact with a quorum; replication reports this in a real process. */
    Predicate<Process> quorumContact = controller -> !isolated.contains(controller.address());

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

    /** One process; a restart creates a new one at the same address. */
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
        private int scheduleCount;
        private double scheduledTickMs = Double.NaN;
        private double outboundLinkFreeAtMs;
        private double inboundLinkFreeAtMs;

        Process(SocketAddress address, NodeRole role, long incarnation) {
            descriptor = new NodeDescriptor(address, incarnation, role, "zone-" + address.hashCode() % 3);
            node = new FleetNode(
                    descriptor,
                    seeds,
                    state,
                    (peer, message) -> transmit(this, peer, message),
                    new Random(random.nextLong()));
            schedule(random.nextDouble() * FleetNode.TICK_MS, this::tick);
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
                schedule(FleetNode.TICK_MS, this::tick);
            } else {
                scheduleTick();
            }
        }

        /** Schedules the next tick of a router for the time that its node requests, as the real program does. */
        private void scheduleTick() {
            double dueMs = node.nextTickMs();
            if (dueMs == scheduledTickMs) {
                return;
            }
            scheduledTickMs = dueMs;
            int number = ++scheduleCount;
            schedule(Math.max(0, dueMs - localMs()), () -> {
                if (number == scheduleCount) {
                    scheduledTickMs = Double.NaN;
                    tick();
                }
            });
        }

        /** Delivers a message to the node; returns whether it was handled. */
        boolean receive(SocketAddress from, Message message) {
            boolean handled = node.onMessage(from, message, localMs());
            if (descriptor.role() == NodeRole.ROUTER && !Double.isNaN(scheduledTickMs)) {
                scheduleTick();
            }
            return handled;
        }

        /** Milliseconds until a frame has been sent over the outbound link. */
        private double outboundLinkDelayMs(byte[] frame) {
            outboundLinkFreeAtMs = Math.max(nowMs, outboundLinkFreeAtMs) + frame.length / linkBytesPerMs;
            return outboundLinkFreeAtMs - nowMs;
        }

        /** Milliseconds until a frame has been received over the inbound link. */
        private double inboundLinkDelayMs(byte[] frame) {
            inboundLinkFreeAtMs = Math.max(nowMs, inboundLinkFreeAtMs) + frame.length / linkBytesPerMs;
            return inboundLinkFreeAtMs - nowMs;
        }

        /** Pauses the process: its ticks and incoming messages are deferred until it resumes. */
        void freeze() {
            frozen = true;
        }

        void resume() {
            frozen = false;
            List<Runnable> deferred = new ArrayList<>(backlog);
            backlog.clear();
            deferred.forEach(Runnable::run);
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

    /** Starts a controller, replacing an earlier one with that number. */
    Process startController(int number, long incarnation) {
        return start(controllers, number, controllerAddress(number), NodeRole.CONTROLLER, incarnation);
    }

    /** Starts a router, replacing an earlier one with that number. */
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

    List<Process> allProcesses() {
        List<Process> allProcesses = new ArrayList<>(controllers);
        allProcesses.addAll(routers);
        return allProcesses;
    }

    /** Every process that runs and is not isolated. */
    List<Process> connectedProcesses() {
        return allProcesses().stream()
                .filter(process -> process.alive && !isolated.contains(process.address()))
                .toList();
    }

    void schedule(double delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, eventCount++, action));
    }

    void run(double durationMs) {
        runUntil(() -> false, durationMs);
    }

    /** Runs until a condition is met; returns the elapsed milliseconds, or NaN if it was not met within the limit. */
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

    /** Runs until every connected process meets a condition; returns the elapsed milliseconds, or NaN. */
    double runUntilAll(Predicate<Process> condition, double limitMs) {
        List<Process> pending = new ArrayList<>(connectedProcesses());
        return runUntil(
                () -> {
                    while (!pending.isEmpty() && condition.test(pending.get(pending.size() - 1))) {
                        pending.remove(pending.size() - 1);
                    }
                    return pending.isEmpty();
                },
                limitMs);
    }

    private void transmit(Process from, SocketAddress to, Message message) {
        byte[] frame = codec.encode(from.address().port(), message);
        bytesByMessageType.merge(message.getClass().getSimpleName(), frame.length, Integer::sum);
        from.bytesSent += frame.length;
        from.messagesSent++;
        boolean datagram = frame.length <= NetworkTransport.MAX_DATAGRAM_BYTES;
        if (!from.alive || (datagram && random.nextDouble() < lossRate)) {
            return;
        }
        int copies = datagram && random.nextDouble() < duplicationRate ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            double propagationMs = MIN_DELAY_MS + random.nextDouble() * jitterMs;
            double transferMs = datagram ? propagationMs : 3 * propagationMs + frame.length / BYTES_PER_MS;
            schedule(from.outboundLinkDelayMs(frame) + transferMs, () -> arriveAtLink(from.address(), to, frame));
        }
    }

    /** Called when a frame arrives at the receiver's link. */
    private void arriveAtLink(SocketAddress from, SocketAddress to, byte[] frame) {
        Process receiver = processes.get(to);
        if (receiver == null || Double.isInfinite(linkBytesPerMs)) {
            deliver(from, to, frame);
        } else {
            schedule(receiver.inboundLinkDelayMs(frame), () -> deliver(from, to, frame));
        }
    }

    private void deliver(SocketAddress from, SocketAddress to, byte[] frame) {
        Process receiver = processes.get(to);
        boolean blocked = isolated.contains(from) || isolated.contains(to) || linkBlocked.test(from, to);
        if (receiver == null || blocked) {
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

    void resetCounters() {
        bytesByMessageType.clear();
        allProcesses().forEach(process -> {
            process.bytesSent = 0;
            process.bytesReceived = 0;
            process.messagesSent = 0;
            process.ticks = 0;
        });
    }
}
