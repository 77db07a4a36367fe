package pinewick.quota;

import java.util.Comparator;
import java.util.PriorityQueue;

/** An event queue in virtual time; events due at the same time run in the order in which they were scheduled. */
final class VirtualEvents {
    private final PriorityQueue<Event> queue =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::sequence));
    private double nowMs;
    private long lastSequence;

    private record Event(double atMs, long sequence, Runnable task) {}

    double nowMs() {
        return nowMs;
    }

    void schedule(double delayMs, Runnable task) {
        queue.add(new Event(nowMs + Math.max(0, delayMs), ++lastSequence, task));
    }

    void repeat(double intervalMs, Runnable task) {
        schedule(intervalMs, () -> {
            task.run();
            repeat(intervalMs, task);
        });
    }

    void runUntil(double untilMs) {
        while (!queue.isEmpty() && queue.peek().atMs <= untilMs) {
            Event next = queue.poll();
            nowMs = next.atMs;
            next.task.run();
        }
        nowMs = untilMs;
    }
}
