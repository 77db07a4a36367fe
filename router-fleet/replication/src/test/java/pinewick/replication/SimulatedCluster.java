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

/** A simulated cluster: time, machines and the links between them. A run is determined by its seed. */
final class SimulatedCluster {
    private record Event(double atMs, long sequence, Runnable task) {}

    private record Link(SocketAddress from, SocketAddress to) {}

    final Random random;
    final HistoryChecker checker = new HistoryChecker(this::nowMs);
    final List<Machine> machines = new ArrayList<>();
    final Map<SocketAddress, Machine> byAddress = new HashMap<>();
    final int toleratedMachines;
    final int ackMs = 4_000;
    final int leaseMs = 1_000;
    final List<String> log = new ArrayList<>();
    double lossProbability;
    double duplicateProbability;
    double delayProbability;
    /** Probability that the membership protocol reports a given other controller to a process. */
    double knownControllerProbability = 0.7;
    /** Alters messages in transit; null drops the message. */
    BiFunction<Machine, Message, Message> messageInterceptor = (sender, message) -> message;

    Mutant mutant = Mutant.NONE;
    /**
     * How long a link takes to transfer a snapshot, milliseconds. If it is not 0, snapshots and changes arrive in
     * order, as on a connection.
     */
    double snapshotTransferMs;

    private final Map<Link, Double> lastArrivalMs = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            java.util.Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::sequence));
    private final Set<Link> cutLinks = new HashSet<>();
    private long sequence;
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

    void scheduleAt(double atMs, Runnable task) {
        events.add(new Event(Math.max(atMs, nowMs), sequence++, task));
    }

    void scheduleAfter(double delayMs, Runnable task) {
        scheduleAt(nowMs + delayMs, task);
    }

    void runUntil(double endMs) {
        while (!events.isEmpty() && events.peek().atMs <= endMs) {
            Event event = events.poll();
            nowMs = event.atMs;
            event.task.run();
        }
        nowMs = endMs;
    }

    /** Runs until the condition holds. Returns the simulated time that it took; fails if it exceeds the bound. */
    double runUntil(java.util.function.BooleanSupplier condition, double boundMs) {
        double startMs = nowMs;
        while (!condition.getAsBoolean()) {
            if (nowMs - startMs > boundMs) {
                throw new AssertionError("condition not met within " + boundMs + " ms\n" + history());
            }
            Event event = events.poll();
            nowMs = event.atMs;
            event.task.run();
        }
        return nowMs - startMs;
    }

    void logEvent(String text) {
        log.add(String.format("%9.1f %s", nowMs, text));
    }

    String history() {
        return String.join("\n", log);
    }

    double randomBetween(double minimum, double maximum) {
        return minimum + (maximum - minimum) * random.nextDouble();
    }

    boolean randomBoolean(double probability) {
        return random.nextDouble() < probability;
    }

    /** Adds a machine without starting it. */
    Machine addMachine() {
        Machine machine = new Machine(
                this, new SocketAddress("10.1.0." + nextHost, 7721), new SocketAddress("10.1.0." + nextHost, 8166));
        nextHost++;
        machines.add(machine);
        byAddress.put(machine.address, machine);
        return machine;
    }

    /** Adds the first machines, up to three of which are seeds, and starts all of them for the first time. */
    void bootstrap(int count) {
        for (int index = 0; index < count; index++) {
            addMachine();
        }
        List<SocketAddress> seeds =
                machines.stream().limit(3).map(machine -> machine.address).toList();
        for (Machine machine : machines) {
            machine.seeds = seeds;
            scheduleAfter(randomBetween(0, 300), () -> machine.start(true));
        }
    }

    void cutLink(Machine from, Machine to) {
        cutLinks.add(new Link(from.address, to.address));
    }

    void restoreLink(Machine from, Machine to) {
        cutLinks.remove(new Link(from.address, to.address));
    }

    void restoreAllLinks() {
        cutLinks.clear();
    }

    /** Sends a message over the network in its current condition. */
    void transmit(Machine sender, SocketAddress to, Message originalMessage) {
        Message message = messageInterceptor.apply(sender, originalMessage);
        if (message == null || cutLinks.contains(new Link(sender.address, to)) || randomBoolean(lossProbability)) {
            return;
        }
        deliverLater(sender, to, message);
        if (randomBoolean(duplicateProbability)) {
            deliverLater(sender, to, message);
        }
    }

    private void deliverLater(Machine sender, SocketAddress to, Message message) {
        double delayMs = randomBetween(0.3, 1.5) + (randomBoolean(delayProbability) ? randomBetween(0, 400) : 0);
        scheduleAt(arrivalMs(sender, to, message, delayMs), () -> {
            Machine receiver = byAddress.get(to);
            if (receiver != null && !cutLinks.contains(new Link(sender.address, to))) {
                receiver.deliver(sender.address, message);
            }
        });
    }

    /** The arrival time of a message whose delay would be {@code delayMs} on an idle link. */
    private double arrivalMs(Machine sender, SocketAddress to, Message message, double delayMs) {
        boolean isState =
                message instanceof InstallSnapshot || message instanceof Replicate || message instanceof RelabelState;
        if (snapshotTransferMs == 0 || !isState) {
            return nowMs + delayMs;
        }
        double transferMs = message instanceof InstallSnapshot ? snapshotTransferMs : 0;
        return lastArrivalMs.merge(
                new Link(sender.address, to),
                nowMs + delayMs + transferMs,
                (previousMs, unqueuedMs) -> Math.max(previousMs + transferMs, unqueuedMs));
    }

    /** The running processes that currently claim that no other process is the primary. */
    List<Machine> soleAuthorities() {
        return machines.stream()
                .filter(machine -> machine.running() && !machine.frozen())
                .filter(machine -> machine.node().soleAuthorityEpoch(nowMs).isPresent())
                .toList();
    }

    /** The primary with the highest epoch, or null if there is none. */
    Machine primary() {
        Machine latest = null;
        for (Machine machine : machines) {
            if (machine.isPrimary() && (latest == null || machine.epoch() > latest.epoch())) {
                latest = machine;
            }
        }
        return latest;
    }
}
