package pinewick.transport;

import java.util.concurrent.Future;

/**
 * Runs one task on a control loop at a time that can be changed, so that the loop sleeps until a task is due. Used on
 * the control loop only.
 */
public final class ReschedulableTimer {
    private final ControlLoop loop;
    private final Runnable task;
    private Future<?> scheduled;
    private double scheduledAtMs;

    ReschedulableTimer(ControlLoop loop, Runnable task) {
        this.loop = loop;
        this.task = task;
    }

    /** Sets the time at which the task runs; it replaces the time that was set before. */
    public void reschedule(double atMs) {
        if (loop.isClosed() || (scheduled != null && scheduledAtMs == atMs)) {
            return;
        }
        if (scheduled != null) {
            scheduled.cancel(false);
        }
        scheduledAtMs = atMs;
        scheduled = loop.runAt(this::run, atMs);
    }

    private void run() {
        scheduled = null;
        task.run();
    }
}
