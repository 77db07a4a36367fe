package pinewick.dataplane;

import java.util.ArrayDeque;
import java.util.Deque;
import pinewick.selection.RetryBudget;

/**
 * Counts the attempts of one client request, within the route's maximum and the retry budget. The first prefill call
 * that a replica accepts is not counted; until it is known whether a call was accepted, it is.
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

    /** The attempt reserved last was not sent; what it took of the budget stays with this request until its end. */
    void release() {
        attempts--;
    }

    /** The request has ended: returns what was not needed to the budget. */
    void close() {
        while (budgetAcquiredAtMs.size() > Math.max(0, attempts - 1)) {
            budget.release(service, budgetAcquiredAtMs.pop());
        }
    }

    /** A prefill call was answered with a handle. */
    void onPrefillAccepted() {
        if (!prefillAccepted) {
            prefillAccepted = true;
            attempts--;
        }
    }
}
