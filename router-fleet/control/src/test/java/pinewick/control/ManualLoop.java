package pinewick.control;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;

/** A task loop whose clock is advanced by the test. Tasks run on the test's thread, in the order of their times. */
final class ManualLoop implements TaskLoop {
    private record ScheduledTask(double atMs, long sequence, Runnable task) {}

    private final Queue<Runnable> readyTasks = new ArrayDeque<>();
    private final PriorityQueue<ScheduledTask> scheduledTasks = new PriorityQueue<>(
            Comparator.comparingDouble(ScheduledTask::atMs).thenComparingLong(ScheduledTask::sequence));
    private double nowMs;
    private long nextSequence;

    ManualLoop(double nowMs) {
        this.nowMs = nowMs;
    }

    @Override
    public double nowMs() {
        return nowMs;
    }

    @Override
    public void execute(Runnable task) {
        readyTasks.add(task);
    }

    @Override
    public void schedule(Runnable task, long delayMs) {
        scheduledTasks.add(new ScheduledTask(nowMs + delayMs, nextSequence++, task));
    }

    /** Advances the clock and runs the tasks that become due. */
    void advance(double milliseconds) {
        double endMs = nowMs + milliseconds;
        runReady();
        while (!scheduledTasks.isEmpty() && scheduledTasks.peek().atMs() <= endMs) {
            ScheduledTask next = scheduledTasks.poll();
            nowMs = Math.max(nowMs, next.atMs());
            next.task().run();
            runReady();
        }
        nowMs = endMs;
    }

    /** Advances the clock without running any task, as if the process was frozen. */
    void pause(double milliseconds) {
        nowMs += milliseconds;
    }

    private void runReady() {
        while (!readyTasks.isEmpty()) {
            readyTasks.poll().run();
        }
    }
}
