package pinewick.control;

import java.util.Optional;

/**
 * Whether this process holds the lease under which orders are given, for threads other than the control loop. The loop
 * renews it every few milliseconds; what was not renewed lately does not count, so that after a freeze, or while the
 * loop is busy, nothing goes out.
 */
final class OrderLease {
    /** How often the loop is to renew it, milliseconds. */
    static final int RENEWAL_MS = 25;

    /** For how long a renewal counts, milliseconds; a lease may have ended by as much when an order goes out. */
    static final double VALID_MS = 100;

    private volatile Renewal last = new Renewal(Optional.empty(), Double.NEGATIVE_INFINITY);

    private record Renewal(Optional<Long> leadingEpoch, double atMs) {}

    /** Called on the control loop with the epoch that this process leads now. */
    void renew(Optional<Long> leadingEpoch, double nowMs) {
        last = new Renewal(leadingEpoch, nowMs);
    }

    /** Whether this process still leads an epoch; any thread. */
    boolean holds(long epoch, double nowMs) {
        Renewal renewal = last;
        return nowMs - renewal.atMs <= VALID_MS
                && renewal.leadingEpoch.filter(leading -> leading == epoch).isPresent();
    }
}
