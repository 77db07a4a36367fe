package pinewick.dataplane;

import java.util.ArrayDeque;
import java.util.Deque;
import pinewick.selection.RetryBudget;

/**
 * Counts the attempts of one client request, within the route's maximum and the retry budget. The first prefill call
 * that a replica accepts is not counted; a call counts until it is known to have been accepted.
 */
final class AttemptTracker {
    private final String service;
    private final int maxAttempts;
    private final RetryBudget budget;
    private final Deque<Double> budgetAcquiredAtMs = new ArrayDeque<>();
    private int attempts;
    private boolean prefillAccepted;

    AttemptTracker(String service, int maxAttempts, RetryBudget budget) {
        this.service = service;
        this.maxAttempts = Math.max(1, maxAttempts);
        this.budget = budget;
    }

    /** Counts one more attempt; returns false, and counts nothing, if it is not allowed. */
    boolean tryReserve(double nowMs) {
        if (attempts + 1 > maxAttempts) {
            return false;
        }
        while (budgetAcquiredAtMs.size() < attempts) {
            if (!budget.tryAcquire(service, nowMs)) {
                return false;
            }
            budgetAcquiredAtMs.push(nowMs);
        }
        attempts++;
        return true;
    }

    /**
     * Releases the attempt reserved last because it was not sent. What it acquired from the retry budget stays reserved
     * for this request until the request ends.
     */
    void release() {
        attempts--;
    }

    /** Returns unused acquisitions to the retry budget after the request has ended. */
    void close() {
        while (budgetAcquiredAtMs.size() > Math.max(0, attempts - 1)) {
            budget.release(service, budgetAcquiredAtMs.pop());
        }
    }

    /** A prefill replica responded with a handle. */
    void onPrefillAccepted() {
        if (!prefillAccepted) {
            prefillAccepted = true;
            attempts--;
        }
    }
}
