package pinewick.control;

import pinewick.transport.ControlLoop;

/** The thread that owns the state of a controller, as its parts see it: a clock and a queue of tasks. */
interface TaskLoop {
    /** Steady time, milliseconds. */
    double nowMs();

    /** Runs a task on the loop, soon. */
    void execute(Runnable task);

    /** Runs a task on the loop after a delay. */
    void schedule(Runnable task, long delayMs);

    /** The loop of a process. */
    static TaskLoop of(ControlLoop loop) {
        return new TaskLoop() {
            @Override
            public double nowMs() {
                return loop.nowMs();
            }

            @Override
            public void execute(Runnable task) {
                loop.execute(task);
            }

            @Override
            public void schedule(Runnable task, long delayMs) {
                loop.schedule(task, delayMs);
            }
        };
    }
}
