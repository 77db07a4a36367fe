package pinewick.control;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the total memory for the bodies of all requests in flight. Thread-safe. */
final class BodyBudget {
    private final long maxBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    BodyBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Creates an empty reservation for one request. */
    Reservation newReservation() {
        return new Reservation();
    }

    /** Total bytes reserved by all requests. */
    long reservedBytes() {
        return reservedBytes.get();
    }

    /** The memory reserved by one request. */
    final class Reservation {
        private final AtomicLong bytes = new AtomicLong();

        /** Reserves more memory; returns false, and reserves nothing, if that would exceed the budget. */
        boolean reserve(long additionalBytes) {
            if (reservedBytes.addAndGet(additionalBytes) > maxBytes) {
                reservedBytes.addAndGet(-additionalBytes);
                return false;
            }
            bytes.addAndGet(additionalBytes);
            return true;
        }

        /** Releases the reserved memory; may be called more than once. */
        void release() {
            reservedBytes.addAndGet(-bytes.getAndSet(0));
        }
    }
}
