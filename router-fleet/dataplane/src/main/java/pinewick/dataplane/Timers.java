package pinewick.dataplane;

/** A monotonic clock, and timers whose tasks run on the data plane's executor. */
interface Timers {
    /** Monotonic time, milliseconds. */
    double nowMs();

    /** Runs a task once after a delay, unless it is cancelled first. */
    Timer schedule(double delayMs, Runnable task);

    /** A scheduled task; cancelling it after it has run has no effect. */
    interface Timer {
        void cancel();
    }
}
