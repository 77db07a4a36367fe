package pinewick.transport;

import java.util.concurrent.Future;

/**
 * Runs one task on a control loop at a time that may be moved, so that the loop sleeps until something is due. To be
 * used on the loop's own thread.
 */
public final class MovableTimer {
    private final ControlLoop loop;
    private final Runnable task;
    private Future<?> planned;
    private double plannedAtMs;

    MovableTimer(ControlLoop loop, Runnable task) {
        this.loop = loop;
        this.task = task;
    }

    /** The task runs at this time, in place of the time that was set before. */
    public void set(double atMs) {
        if (loop.closed() || (planned != null && plannedAtMs == atMs)) {
            return;
        }
        if (planned != null) {
            planned.cancel(false);
        }
        plannedAtMs = atMs;
        planned = loop.runAt(this::run, atMs);
    }

    private void run() {
        planned = null;
        task.run();
    }
}
