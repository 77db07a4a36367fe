package pinewick.transport;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The single thread that owns the membership, dissemination and replication state of a process. An exception thrown by
 * a task is logged; the loop and later runs of the task continue.
 */
public final class ControlLoop implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final double NANOS_PER_MILLISECOND = 1e6;

    private final ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(1, task -> {
        Thread thread = new Thread(task, "control-loop");
        thread.setDaemon(true);
        return thread;
    });

    public ControlLoop() {
        executor.setRemoveOnCancelPolicy(true);
    }

    /** Monotonic time in milliseconds. */
    public double nowMs() {
        return System.nanoTime() / NANOS_PER_MILLISECOND;
    }

    /** Runs a task on the loop as soon as the loop is free. */
    public void execute(Runnable task) {
        executor.execute(() -> run(task));
    }

    /** Runs a task once on the loop, after a delay. */
    public void schedule(Runnable task, long delayMs) {
        executor.schedule(() -> run(task), delayMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Creates a timer that runs a task on the loop at a time that can be changed.
     *
     * @see ReschedulableTimer
     */
    public ReschedulableTimer timer(Runnable task) {
        return new ReschedulableTimer(this, task);
    }

    /** Runs a task once on the loop, at a time on the clock of {@link #nowMs}; the returned future cancels it. */
    Future<?> runAt(Runnable task, double atMs) {
        long delayNs = (long) (Math.max(0, atMs - nowMs()) * NANOS_PER_MILLISECOND);
        return executor.schedule(() -> run(task), delayNs, TimeUnit.NANOSECONDS);
    }

    /** Runs a task on the loop periodically, with a fixed delay between runs. */
    public void repeat(Runnable task, long periodMs) {
        executor.scheduleWithFixedDelay(() -> run(task), periodMs, periodMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a task on the loop periodically. The delay is read from {@code intervalMs} before each run: on the calling
     * thread before the first run, on the loop before the others.
     */
    public void repeatAtVariableInterval(Runnable task, LongSupplier intervalMs) {
        if (isClosed()) {
            return;
        }
        schedule(
                () -> {
                    run(task);
                    repeatAtVariableInterval(task, intervalMs);
                },
                intervalMs.getAsLong());
    }

    boolean isClosed() {
        return executor.isShutdown();
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            // Boundary of the loop: the executor cancels a periodic task that throws.
            LOGGER.atSevere().withCause(e).log("task of the control loop failed");
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
