package pinewick.selection;

import java.util.PriorityQueue;

/** A virtual clock that advances from event to event, in order of their times; equal times in order of insertion. */
final class VirtualTime {
    private record Event(double atMs, long order, Runnable action) {}

    private final PriorityQueue<Event> events = new PriorityQueue<>((one, other) ->
            one.atMs != other.atMs ? Double.compare(one.atMs, other.atMs) : Long.compare(one.order, other.order));
    private long order;
    private double nowMs;

    double now() {
        return nowMs;
    }

    void after(double delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, order++, action));
    }

    void runUntil(double endMs) {
        while (!events.isEmpty() && events.peek().atMs <= endMs) {
            Event next = events.poll();
            nowMs = next.atMs;
            next.action.run();
        }
        nowMs = endMs;
    }
}
