package pinewick.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;

/**
 * Members in virtual time that exchange datagrams over faulty links: datagrams are delayed, lost, duplicated, or
 * blocked in one direction or both, and members pause or crash. The same seed gives the same run. Times are in seconds.
 */
public final class SimulatedDatagrams {
    /** The code that a member runs. */
    public interface Program {
        void tick(double now);

        void datagram(double now, int from, byte[] bytes);
    }

    private record ScheduledAction(double at, long order, Runnable action) {}

    private final SplittableRandom random;
    private final double tick;
    private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>((left, right) ->
            left.at != right.at ? Double.compare(left.at, right.at) : Long.compare(left.order, right.order));
    private final Program[] programs;
    private final int[] incarnations;
    private final boolean[] paused;
    /** Datagrams that arrived for a member while it was paused, as its kernel buffers them. */
    private final List<List<Runnable>> queuedWhilePaused = new ArrayList<>();

    private BiPredicate<Integer, Integer> isPartitioned = (from, to) -> false;
    private double minDelay = 0.001;
    private double maxDelay = 0.01;
    private double lossProbability;
    private double duplicateProbability;
    private double now;
    private long nextOrder;
    /** Datagrams that each member sent in the current second, and the maximum that one member sent in one second. */
    private final int[] sentInSecond;

    private int maxSentInSecond;
    private long currentSecond = -1;

    /** @param tick seconds between two ticks of a program */
    public SimulatedDatagrams(int size, double tick, SplittableRandom random, double startTime) {
        programs = new Program[size];
        incarnations = new int[size];
        paused = new boolean[size];
        sentInSecond = new int[size];
        for (int member = 0; member < size; member++) {
            queuedWhilePaused.add(new ArrayList<>());
        }
        this.tick = tick;
        this.random = random;
        now = startTime;
    }

    public double now() {
        return now;
    }

    /** Sets the probabilities that a datagram is lost and that it is duplicated, and the minimum and maximum delay. */
    public void setLinkQuality(double loss, double duplication, double minimum, double maximum) {
        lossProbability = loss;
        duplicateProbability = duplication;
        minDelay = minimum;
        maxDelay = maximum;
    }

    /** Sets from which member to which other member no datagram is delivered. */
    public void partition(BiPredicate<Integer, Integer> isBlocked) {
        isPartitioned = isBlocked;
    }

    /** Starts a program as this member; a program that ran as this member before is killed. */
    public void start(int member, Program program) {
        kill(member);
        programs[member] = program;
        int incarnation = incarnations[member];
        at(now + random.nextDouble() * tick, () -> runTicks(member, incarnation));
    }

    private void runTicks(int member, int incarnation) {
        if (incarnations[member] == incarnation) {
            if (!paused[member]) {
                programs[member].tick(now);
            }
            at(now + tick, () -> runTicks(member, incarnation));
        }
    }

    public void kill(int member) {
        incarnations[member]++;
        programs[member] = null;
        paused[member] = false;
        queuedWhilePaused.get(member).clear();
    }

    public boolean isRunning(int member) {
        return programs[member] != null;
    }

    /** Pauses or resumes a member; it receives the datagrams that arrived meanwhile when it resumes. */
    public void setPaused(int member, boolean isPaused) {
        paused[member] = isPaused;
        if (!isPaused) {
            List<Runnable> queued = List.copyOf(queuedWhilePaused.get(member));
            queuedWhilePaused.get(member).clear();
            queued.forEach(Runnable::run);
        }
    }

    public void send(int from, int to, byte[] bytes) {
        countDatagram(from);
        transmit(from, to, bytes);
    }

    /** Sends one datagram that the network delivers to every other member. */
    public void sendAll(int from, byte[] bytes) {
        countDatagram(from);
        for (int to = 0; to < programs.length; to++) {
            if (to != from) {
                transmit(from, to, bytes);
            }
        }
    }

    private void countDatagram(int from) {
        if ((long) now != currentSecond) {
            currentSecond = (long) now;
            java.util.Arrays.fill(sentInSecond, 0);
        }
        maxSentInSecond = Math.max(maxSentInSecond, ++sentInSecond[from]);
    }

    private void transmit(int from, int to, byte[] bytes) {
        int copies = random.nextDouble() < duplicateProbability ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            double delay = minDelay + (maxDelay - minDelay) * random.nextDouble();
            if (random.nextDouble() >= lossProbability && !isPartitioned.test(from, to)) {
                int incarnation = incarnations[to];
                at(now + delay, () -> deliver(from, to, incarnation, bytes));
            }
        }
    }

    private void deliver(int from, int to, int incarnation, byte[] bytes) {
        if (incarnations[to] != incarnation || programs[to] == null) {
            return;
        }
        if (paused[to]) {
            queuedWhilePaused.get(to).add(() -> deliver(from, to, incarnation, bytes));
        } else {
            programs[to].datagram(now, from, bytes);
        }
    }

    /** The maximum number of datagrams that one member sent in one second since the previous call. */
    public int takeMaxPerSecond() {
        int maximum = maxSentInSecond;
        maxSentInSecond = 0;
        return maximum;
    }

    public void at(double time, Runnable action) {
        queue.add(new ScheduledAction(time, nextOrder++, action));
    }

    /** Runs the scheduled actions in order until this time. */
    public void run(double until) {
        while (!queue.isEmpty() && queue.peek().at <= until) {
            ScheduledAction next = queue.poll();
            now = next.at;
            next.action.run();
        }
        now = until;
    }
}
