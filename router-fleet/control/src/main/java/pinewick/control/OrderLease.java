package pinewick.control;

import java.util.Optional;

/**
 * The lease that permits orders to replicas, in a form that any thread can check. The control loop renews it every
 * {@link #RENEWAL_MS}; without a recent renewal it counts as expired, so that no order is sent after the process was
 * suspended, or while the loop is blocked.
 */
final class OrderLease {
    /** Interval between renewals, milliseconds. */
    static final int RENEWAL_MS = 25;

    /** Validity of a renewal, milliseconds. When an order is sent, the lease may have expired up to this long ago. */
    static final double VALID_MS = 100;

    private volatile Renewal lastRenewal = new Renewal(Optional.empty(), Double.NEGATIVE_INFINITY);

    private record Renewal(Optional<Long> leadingEpoch, double renewedMs) {}

    /**
     * Renews the lease; control loop only.
     *
     * @param leadingEpoch the epoch that this process leads now, empty for none
     */
    void renew(Optional<Long> leadingEpoch, double nowMs) {
        lastRenewal = new Renewal(leadingEpoch, nowMs);
    }

    /** Whether this process still leads the epoch {@code epoch}; any thread. */
    boolean isHeld(long epoch, double nowMs) {
        Renewal renewal = lastRenewal;
        return nowMs - renewal.renewedMs <= VALID_MS
                && renewal.leadingEpoch.filter(leading -> leading == epoch).isPresent();
    }
}
