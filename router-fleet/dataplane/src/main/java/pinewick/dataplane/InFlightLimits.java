package pinewick.dataplane;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Limits the memory that clients can occupy: the number of requests in flight and the bytes of their bodies. */
final class InFlightLimits {
    private static final int HEAP_DIVISOR = 5;
    private static final int MAX_REQUESTS = 1_200;

    private final int maxRequests;
    private final long maxBodyBytes;
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicLong bodyBytes = new AtomicLong();

    InFlightLimits() {
        this(MAX_REQUESTS, Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    InFlightLimits(int maxRequests, long maxBodyBytes) {
        this.maxRequests = maxRequests;
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Admits one more request, unless the maximum is reached. An admitted request is released with {@link #release}.
     */
    boolean tryAdmit() {
        if (requests.incrementAndGet() > maxRequests) {
            requests.decrementAndGet();
            return false;
        }
        return true;
    }

    /**
     * Reserves more bytes for a request's body; returns false, and reserves nothing, if the limit would be exceeded.
     */
    boolean tryReserveBody(int bytes) {
        if (bodyBytes.addAndGet(bytes) > maxBodyBytes) {
            bodyBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /** Releases a request that was admitted, and the bytes of its body. */
    void release(long reservedBytes) {
        requests.decrementAndGet();
        bodyBytes.addAndGet(-reservedBytes);
    }
}
