package pinewick.dataplane;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Virtual time that advances only when the test advances it. */
final class VirtualTimers implements Timers {
    private final List<Entry> entries = new ArrayList<>();
    private double nowMs = 1_000;

    private record Entry(double atMs, Runnable task) implements Timer {
        @Override
        public void cancel() {}
    }

    @Override
    public double nowMs() {
        return nowMs;
    }

    @Override
    public Timer schedule(double delayMs, Runnable task) {
        Entry entry = new Entry(nowMs + Math.max(0, delayMs), task);
        entries.add(entry);
        return () -> entries.removeIf(other -> other == entry);
    }

    /** Advances the time, and runs the tasks that become due in order. */
    void advance(double milliseconds) {
        double endMs = nowMs + milliseconds;
        while (true) {
            Entry next = entries.stream()
                    .filter(entry -> entry.atMs() <= endMs)
                    .min(Comparator.comparingDouble(Entry::atMs))
                    .orElse(null);
            if (next == null) {
                nowMs = endMs;
                return;
            }
            entries.removeIf(other -> other == next);
            nowMs = Math.max(nowMs, next.atMs());
            next.task().run();
        }
    }

    int pending() {
        return entries.size();
    }
}
