package pinewick.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;

/**
 * Members in virtual time that send each other datagrams over bad links: late, lost, doubled, cut one way or both, with
 * members that stand still or die. The same seed gives the same run. Times are seconds.
 */
public final class SimulatedDatagrams {
    /** One member's program. */
    public interface Program {
        void tick(double now);

        void datagram(double now, int from, byte[] bytes);
    }

    private record ScheduledAction(double at, long number, Runnable action) {}

    private final SplittableRandom random;
    private final double tick;
    private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>((one, other) ->
            one.at != other.at ? Double.compare(one.at, other.at) : Long.compare(one.number, other.number));
    private final Program[] programs;
    private final int[] incarnations;
    private final boolean[] paused;
    /** What came for a member while it stood still, as its machine keeps it. */
    private final List<List<Runnable>> queuedWhilePaused = new ArrayList<>();

    private BiPredicate<Integer, Integer> isPartitioned = (from, to) -> false;
    private double minDelay = 0.001;
    private double maxDelay = 0.01;
    private double lossProbability;
    private double duplicateProbability;
    private double now;
    private long nextNumber;
    /** Datagrams each member sent in the second under way, and the most any sent in one. */
    private final int[] inSecond;

    private int mostInSecond;
    private long second = -1;

    /** @param tick seconds between two looks of a program at the clock */
    public SimulatedDatagrams(int size, double tick, SplittableRandom random, double startsAt) {
        programs = new Program[size];
        incarnations = new int[size];
        paused = new boolean[size];
        inSecond = new int[size];
        for (int each = 0; each < size; each++) {
            queuedWhilePaused.add(new ArrayList<>());
        }
        this.tick = tick;
        this.random = random;
        now = startsAt;
    }

    public double now() {
        return now;
    }

    /** What share of datagrams is lost, what share comes twice, and how late they come at least and at most. */
    public void links(double loss, double duplicated, double minimum, double maximum) {
        lossProbability = loss;
        duplicateProbability = duplicated;
        minDelay = minimum;
        maxDelay = maximum;
    }

    /** From whom to whom nothing goes through. */
    public void partition(BiPredicate<Integer, Integer> from) {
        isPartitioned = from;
    }

    /** A program starts in this place; one there before is dead. */
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

    /** It stands still, or goes on: what came meanwhile is waiting for it. */
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

    /** One datagram that the network hands to every other member. */
    public void sendAll(int from, byte[] bytes) {
        countDatagram(from);
        for (int to = 0; to < programs.length; to++) {
            if (to != from) {
                transmit(from, to, bytes);
            }
        }
    }

    private void countDatagram(int from) {
        if ((long) now != second) {
            second = (long) now;
            java.util.Arrays.fill(inSecond, 0);
        }
        mostInSecond = Math.max(mostInSecond, ++inSecond[from]);
    }

    private void transmit(int from, int to, byte[] bytes) {
        int datagrams = random.nextDouble() < duplicateProbability ? 2 : 1;
        for (int each = 0; each < datagrams; each++) {
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

    /** The most datagrams that one member sent in one second since this was last asked. */
    public int mostInSecond() {
        int highest = mostInSecond;
        mostInSecond = 0;
        return highest;
    }

    public void at(double time, Runnable action) {
        queue.add(new ScheduledAction(time, nextNumber++, action));
    }

    /** Lets time pass. */
    public void run(double until) {
        while (!queue.isEmpty() && queue.peek().at <= until) {
            ScheduledAction next = queue.poll();
            now = next.at;
            next.action.run();
        }
        now = until;
    }
}
