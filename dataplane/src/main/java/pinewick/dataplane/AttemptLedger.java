package pinewick.dataplane;

import pinewick.selection.RetryBudget;

/**
 * Counts the arrivals of one client request at replicas, within the route's most attempts and the retry budget. The
 * first prefill call that a replica takes up is not counted; until it is known whether a call was taken up, it is.
 */
final class AttemptLedger {
    private final String service;
    private final int maxAttempts;
    private final RetryBudget budget;
    private int arrivals;
    private int paid;
    private boolean prefillTakenUp;

    AttemptLedger(String service, int maxAttempts, RetryBudget budget) {
        this.service = service;
        this.maxAttempts = Math.max(1, maxAttempts);
        this.budget = budget;
    }

    /** Counts one more arrival; false, and nothing counted, if it is not allowed. */
    boolean reserve(double nowMs) {
        if (arrivals + 1 > maxAttempts) {
            return false;
        }
        while (paid < arrivals) {
            if (!budget.tryTake(service, nowMs)) {
                return false;
            }
            paid++;
        }
        arrivals++;
        return true;
    }

    /** The arrival reserved last did not come about; what was paid stays with this request. */
    void cancel() {
        arrivals--;
    }

    /** A prefill call was answered with a handle. */
    void prefillTakenUp() {
        if (!prefillTakenUp) {
            prefillTakenUp = true;
            arrivals--;
        }
    }
}
