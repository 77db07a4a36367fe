package pinewick.emulator.control;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/** A queue of tasks, each with the virtual time at which it runs. Times are in milliseconds. */
final class VirtualTime {
    private record Event(double atMs, long order, Runnable task) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::order));
    private long order;
    private double nowMs;
    private boolean stopped;

    double nowMs() {
        return nowMs;
    }

    /** Stops the run: no further task is executed. */
    void stop() {
        stopped = true;
    }

    void at(double atMs, Runnable task) {
        events.add(new Event(Math.max(atMs, nowMs), order++, task));
    }

    void after(double delayMs, Runnable task) {
        at(nowMs + delayMs, task);
    }

    void runUntil(double endMs) {
        while (!stopped && !events.isEmpty() && events.peek().atMs <= endMs) {
            runNext();
        }
        nowMs = Math.max(nowMs, endMs);
    }

    /** Runs until the condition holds; returns the elapsed time, or NaN after the time-out. */
    double runUntil(BooleanSupplier condition, double timeoutMs) {
        double startMs = nowMs;
        while (!condition.getAsBoolean()) {
            if (stopped || events.isEmpty() || events.peek().atMs > startMs + timeoutMs) {
                nowMs = startMs + timeoutMs;
                return Double.NaN;
            }
            runNext();
        }
        return nowMs - startMs;
    }

    private void runNext() {
        Event event = events.poll();
        nowMs = event.atMs;
        event.task.run();
    }
}
