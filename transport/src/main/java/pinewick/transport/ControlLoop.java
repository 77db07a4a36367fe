package pinewick.transport;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The one thread that owns membership, dissemination and replication of a process. A task that throws is
 * logged; the loop
 * and the task's later runs go on.
 */
public final class ControlLoop implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final double NANOS_A_MILLISECOND = 1e6;

    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "control-loop");
        thread.setDaemon(true);
        return thread;
    });

    /** Steady time, milliseconds. */
    public double nowMs() {
        return System.nanoTime() / NANOS_A_MILLISECOND;
    }

    /** Runs a task on the loop, soon. */
    public void execute(Runnable task) {
        executor.execute(() -> run(task));
    }

    /** Runs a task on the loop after a delay. */
    public void schedule(Runnable task, long delayMs) {
        executor.schedule(() -> run(task), delayMs, TimeUnit.MILLISECONDS);
    }

    /** Runs a task on the loop over and over, with a pause between runs. */
    public void repeat(Runnable task, long periodMs) {
        executor.scheduleWithFixedDelay(() -> run(task), periodMs, periodMs, TimeUnit.MILLISECONDS);
    }

    /** Runs a task on the loop over and over; the pause is asked for, on the loop, before each run. */
    public void repeatAtPace(Runnable task, LongSupplier pauseMs) {
        if (executor.isShutdown()) {
            return;
        }
        schedule(
                () -> {
                    run(task);
                    repeatAtPace(task, pauseMs);
                },
                pauseMs.getAsLong());
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOGGER.atSevere().withCause(e).log("task of the control loop failed");
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
