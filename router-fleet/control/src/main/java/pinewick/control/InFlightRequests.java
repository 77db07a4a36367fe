package pinewick.control;

import java.util.concurrent.TimeUnit;

/** Counts the requests in flight. Thread-safe. */
final class InFlightRequests {
    private int inFlight;

    synchronized void onStart() {
        inFlight++;
    }

    synchronized void onEnd() {
        inFlight--;
        if (inFlight == 0) {
            notifyAll();
        }
    }

    synchronized int inFlight() {
        return inFlight;
    }

    /** Waits until no request is in flight or the time-out has passed; returns whether no request is in flight. */
    synchronized boolean awaitIdle(long timeoutMs) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        try {
            for (long remainingMs = timeoutMs; inFlight > 0 && remainingMs > 0; ) {
                wait(remainingMs);
                remainingMs = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return inFlight == 0;
    }
}
