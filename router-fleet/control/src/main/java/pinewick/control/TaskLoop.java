package pinewick.control;

/**
 * The event loop that owns the state of a controller: a clock and a task queue, run by one thread. "Control loop
 * only" on a class means that only tasks of this loop may use it.
 */
public interface TaskLoop {
    /** The monotonic time, milliseconds. */
    double nowMs();

    /** Queues a task to run on the loop. */
    void execute(Runnable task);

    /** Runs a task on the loop after a delay in milliseconds. */
    void schedule(Runnable task, long delayMs);
}
