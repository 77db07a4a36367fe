package pinewick.control;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import pinewick.transport.ControlLoop;

/**
 * The control loop of a process. A task that fails, even with an OutOfMemoryError, is logged and does not end the
 * loop. After the loop is closed, tasks are dropped.
 */
final class GuardedControlLoop implements TaskLoop {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 10;

    private final ControlLoop loop = new ControlLoop();

    @Override
    public double nowMs() {
        return loop.nowMs();
    }

    @Override
    public void execute(Runnable task) {
        dropIfClosed(() -> loop.execute(guarded(task)));
    }

    @Override
    public void schedule(Runnable task, long delayMs) {
        dropIfClosed(() -> loop.schedule(guarded(task), delayMs));
    }

    /** Runs a task on the loop periodically. */
    void repeat(Runnable task, long periodMs) {
        dropIfClosed(() -> loop.repeat(guarded(task), periodMs));
    }

    void close() {
        loop.close();
    }

    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                // Boundary of the control loop: a failed task must not prevent later tasks from running.
                LOGGER.atSevere().withCause(e).atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                        "control loop task failed");
            }
        };
    }

    private static void dropIfClosed(Runnable submission) {
        try {
            submission.run();
        } catch (RejectedExecutionException e) {
            LOGGER.atFine().log("task dropped: control loop is closed");
        }
    }
}
