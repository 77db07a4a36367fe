package pinewick.transport;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The one thread that owns membership, dissemination and replication of a process. A task that throws is logged; the
 * loop and the task's later runs continue.
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

    /** Steady time, milliseconds. */
    public double nowMs() {
        return System.nanoTime() / NANOS_PER_MILLISECOND;
    }

    /** Runs a task on the loop, soon. */
    public void execute(Runnable task) {
        executor.execute(() -> run(task));
    }

    /** Runs a task on the loop after a delay. */
    public void schedule(Runnable task, long delayMs) {
        executor.schedule(() -> run(task), delayMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a task on the loop at a time that may be changed.
     *
     * @see ReschedulableTimer
     */
    public ReschedulableTimer timer(Runnable task) {
        return new ReschedulableTimer(this, task);
    }

    /** Runs a task once on the loop, at a time as {@link #nowMs} counts; may be cancelled. */
    Future<?> runAt(Runnable task, double atMs) {
        long delayNs = (long) (Math.max(0, atMs - nowMs()) * NANOS_PER_MILLISECOND);
        return executor.schedule(() -> run(task), delayNs, TimeUnit.NANOSECONDS);
    }

    /** Runs a task on the loop periodically, with a fixed delay between runs. */
    public void repeat(Runnable task, long periodMs) {
        executor.scheduleWithFixedDelay(() -> run(task), periodMs, periodMs, TimeUnit.MILLISECONDS);
    }

    /** Runs a task on the loop periodically; the delay is asked for, on the loop, before each run. */
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
            // Boundary of the loop: the executor would drop a periodic task that throws.
            LOGGER.atSevere().withCause(e).log("task of the control loop failed");
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
