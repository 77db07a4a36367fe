package pinewick.control;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import pinewick.transport.ControlLoop;

/**
 * The control loop of a process. A task that fails, be it for want of memory, is logged and does not end the loop; once
 * the loop is closed, tasks are dropped.
 */
final class ProcessLoop implements TaskLoop {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int LOG_PAUSE_SECONDS = 10;

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

    /** Runs a task on the loop over and over, with a pause between runs. */
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
                logger.atSevere().withCause(e).atMostEvery(LOG_PAUSE_SECONDS, TimeUnit.SECONDS).log("loop task failed");
            }
        };
    }

    private static void dropIfClosed(Runnable submission) {
        try {
            submission.run();
        } catch (RejectedExecutionException e) {
            logger.atFine().log("task dropped: the loop is closed");
        }
    }
}
