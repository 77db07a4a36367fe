package pinewick.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiFunction;
import pinewick.model.Message;
import pinewick.model.SocketAddress;
import pinewick.replication.ReplicationMessages.InstallSnapshot;
import pinewick.replication.ReplicationMessages.RelabelState;
import pinewick.replication.ReplicationMessages.Replicate;

/** Simulated time, machines and links between them. Whatever happens follows from the seed. */
final class SimulatedCluster {
    private record Event(double atMs, long order, Runnable task) {}

    private record Link(SocketAddress from, SocketAddress to) {}

    final Random random;
    final HistoryChecker checker = new HistoryChecker(this::nowMs);
    final List<Machine> machines = new ArrayList<>();
    final Map<SocketAddress, Machine> byAddress = new HashMap<>();
    final int toleratedMachines;
    final int ackMs = 4_000;
    final int leaseMs = 1_000;
    final List<String> log = new ArrayList<>();
    double lossShare;
    double duplicateShare;
    double lateShare;
    /** The part of the other controllers of which membership tells each one. */
    double knownControllerShare = 0.7;
    /** Changes messages on their way, for deliberately broken variants. */
    BiFunction<Machine, Message, Message> tamper = (sender, message) -> message;

    Mutant variant = Mutant.NONE;
    /** How long a link carries a whole state. States and changes keep their order then, as on a connection. */
    double wholeStateMs;

    private final Map<Link, Double> lastArrivalMs = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            java.util.Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::order));
    private final Set<Link> cuts = new HashSet<>();
    private long order;
    private double nowMs;
    private int nextHost = 1;

    SimulatedCluster(long seed, int toleratedMachines) {
        this.random = new Random(seed);
        this.toleratedMachines = toleratedMachines;
        for (int warmUp = 0; warmUp < 3; warmUp++) {
            random.nextLong();
        }
    }

    double nowMs() {
        return nowMs;
    }

    void at(double atMs, Runnable task) {
        events.add(new Event(Math.max(atMs, nowMs), order++, task));
    }

    void after(double delayMs, Runnable task) {
        at(nowMs + delayMs, task);
    }

    void runUntil(double endMs) {
        while (!events.isEmpty() && events.peek().atMs <= endMs) {
            Event event = events.poll();
            nowMs = event.atMs;
            event.task.run();
        }
        nowMs = endMs;
    }

    /** Runs until the condition holds; returns how long that took, or fails after the bound. */
    double runUntil(java.util.function.BooleanSupplier condition, double boundMs) {
        double begin = nowMs;
        while (!condition.getAsBoolean()) {
            if (nowMs - begin > boundMs) {
                throw new AssertionError("not reached within " + boundMs + " ms\n" + history());
            }
            Event event = events.poll();
            nowMs = event.atMs;
            event.task.run();
        }
        return nowMs - begin;
    }

    void note(String what) {
        log.add(String.format("%9.1f %s", nowMs, what));
    }

    String history() {
        return String.join("\n", log);
    }

    double between(double low, double high) {
        return low + (high - low) * random.nextDouble();
    }

    boolean chance(double share) {
        return random.nextDouble() < share;
    }

    /** A new machine that is not started. */
    Machine addMachine() {
        Machine machine = new Machine(
                this, new SocketAddress("10.1.0." + nextHost, 7721), new SocketAddress("10.1.0." + nextHost, 8166));
        nextHost++;
        machines.add(machine);
        byAddress.put(machine.address, machine);
        return machine;
    }

    /** The first machines, of which up to three are seeds, all started. */
    void found(int count) {
        for (int index = 0; index < count; index++) {
            addMachine();
        }
        List<SocketAddress> seeds =
                machines.stream().limit(3).map(machine -> machine.address).toList();
        for (Machine machine : machines) {
            machine.seeds = seeds;
            after(between(0, 300), () -> machine.start(true));
        }
    }

    void cut(Machine from, Machine to) {
        cuts.add(new Link(from.address, to.address));
    }

    void join(Machine from, Machine to) {
        cuts.remove(new Link(from.address, to.address));
    }

    void joinAll() {
        cuts.clear();
    }

    /** Sends a message over the network as it is at this moment. */
    void transmit(Machine sender, SocketAddress to, Message original) {
        Message message = tamper.apply(sender, original);
        if (message == null || cuts.contains(new Link(sender.address, to)) || chance(lossShare)) {
            return;
        }
        deliverLater(sender, to, message);
        if (chance(duplicateShare)) {
            deliverLater(sender, to, message);
        }
    }

    private void deliverLater(Machine sender, SocketAddress to, Message message) {
        double delayMs = between(0.3, 1.5) + (chance(lateShare) ? between(0, 400) : 0);
        at(arrivalMs(sender, to, message, delayMs), () -> {
            Machine receiver = byAddress.get(to);
            if (receiver != null && !cuts.contains(new Link(sender.address, to))) {
                receiver.deliver(sender.address, message);
            }
        });
    }

    /** When a message arrives that would take so long alone. */
    private double arrivalMs(Machine sender, SocketAddress to, Message message, double delayMs) {
        boolean isState =
                message instanceof InstallSnapshot || message instanceof Replicate || message instanceof RelabelState;
        if (wholeStateMs == 0 || !isState) {
            return nowMs + delayMs;
        }
        double carriedMs = message instanceof InstallSnapshot ? wholeStateMs : 0;
        return lastArrivalMs.merge(
                new Link(sender.address, to),
                nowMs + delayMs + carriedMs,
                (last, alone) -> Math.max(last + carriedMs, alone));
    }

    /** The processes that run and say at this moment that nobody else is the primary. */
    List<Machine> soleAuthorities() {
        return machines.stream()
                .filter(machine -> machine.running() && !machine.frozen())
                .filter(machine -> machine.node().soleAuthorityEpoch(nowMs).isPresent())
                .toList();
    }

    /** The process that leads with the highest epoch, or null. */
    Machine primary() {
        Machine best = null;
        for (Machine machine : machines) {
            if (machine.leads() && (best == null || machine.epoch() > best.epoch())) {
                best = machine;
            }
        }
        return best;
    }
}
