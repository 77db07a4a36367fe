package pinewick.lab.recovery;

/** Waits for conditions by polling. */
final class Polling {
    private static final long POLL_MS = 5;
    private static final double NS_PER_MS = 1e6;

    private Polling() {}

    /** A condition on the state of processes. */
    interface Condition {
        boolean isSatisfied() throws InterruptedException;
    }

    /** Waits for a condition; returns the monotonic time when it was satisfied, nanoseconds, or -1 on time-out. */
    static long until(long timeoutMs, Condition condition) throws InterruptedException {
        long deadlineNs = System.nanoTime() + timeoutMs * 1_000_000;
        while (System.nanoTime() < deadlineNs) {
            if (condition.isSatisfied()) {
                return System.nanoTime();
            }
            Thread.sleep(POLL_MS);
        }
        return -1;
    }

    /** Waits for a condition and throws on time-out; returns the monotonic time of success, nanoseconds. */
    static long require(long timeoutMs, String description, Condition condition) throws InterruptedException {
        long satisfiedNs = until(timeoutMs, condition);
        if (satisfiedNs < 0) {
            throw new IllegalStateException("timed out waiting for " + description);
        }
        return satisfiedNs;
    }

    static double ms(long fromNs, long toNs) {
        return (toNs - fromNs) / NS_PER_MS;
    }
}
