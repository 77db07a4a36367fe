package pinewick.control;

import java.util.concurrent.TimeUnit;

/** How many calls are under way. Safe for use by several threads. */
final class CallCount {
    private int inProgress;

    synchronized void begin() {
        inProgress++;
    }

    synchronized void end() {
        inProgress--;
        if (inProgress == 0) {
            notifyAll();
        }
    }

    synchronized int inProgress() {
        return inProgress;
    }

    /** Waits until none is under way, or the time is over; returns whether none is. */
    synchronized boolean awaitNone(long mostMs) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMs);
        try {
            for (long left = mostMs; inProgress > 0 && left > 0; ) {
                wait(left);
                left = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return inProgress == 0;
    }
}
