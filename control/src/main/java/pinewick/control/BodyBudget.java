package pinewick.control;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the memory that the bodies of all calls in progress take together. Safe for use by several threads. */
final class BodyBudget {
    private final long mostBytes;
    private final AtomicLong takenBytes = new AtomicLong();

    BodyBudget(long mostBytes) {
        this.mostBytes = mostBytes;
    }

    /** A share for one call, empty at first. */
    Share newShare() {
        return new Share();
    }

    /** Bytes that calls have taken. */
    long takenBytes() {
        return takenBytes.get();
    }

    /** What one call has taken. */
    final class Share {
        private final AtomicLong bytes = new AtomicLong();

        /** Takes more; returns whether there was room. */
        boolean take(long more) {
            if (takenBytes.addAndGet(more) > mostBytes) {
                takenBytes.addAndGet(-more);
                return false;
            }
            bytes.addAndGet(more);
            return true;
        }

        /** Gives everything back; further calls do nothing. */
        void release() {
            takenBytes.addAndGet(-bytes.getAndSet(0));
        }
    }
}
