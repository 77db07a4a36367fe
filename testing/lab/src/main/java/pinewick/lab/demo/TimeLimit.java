package pinewick.lab.demo;

import java.time.Duration;
import java.util.function.LongSupplier;

/** An overall deadline for waits. */
final class TimeLimit {
    private static final long POLL_MS = 20;

    private final LongSupplier clockNs;
    private final long deadlineNs;

    /** A condition whose check may use the network. */
    interface Condition {
        boolean isTrue() throws InterruptedException;
    }

    /** @param clockNs monotonic clock, nanoseconds */
    TimeLimit(Duration limit, LongSupplier clockNs) {
        this.clockNs = clockNs;
        this.deadlineNs = clockNs.getAsLong() + limit.toNanos();
    }

    /**
     * Waits until a condition is true.
     *
     * @param awaited completes the error message "timed out waiting for"
     * @throws DemoFailedException if the condition is false and the deadline has passed
     */
    void await(String awaited, Condition condition) throws DemoFailedException, InterruptedException {
        while (!condition.isTrue()) {
            if (clockNs.getAsLong() >= deadlineNs) {
                throw new DemoFailedException("timed out waiting for " + awaited);
            }
            Thread.sleep(POLL_MS);
        }
    }

    /** Sleeps for a duration, but not beyond the deadline. */
    void sleep(Duration duration) throws InterruptedException {
        long remainingNs = Math.max(0, deadlineNs - clockNs.getAsLong());
        Thread.sleep(Duration.ofNanos(Math.min(remainingNs, duration.toNanos())).toMillis());
    }
}
