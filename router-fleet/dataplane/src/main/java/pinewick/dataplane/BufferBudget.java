package pinewick.dataplane;

/**
 * The memory that responses of replicas may occupy while they are buffered, summed over all requests. Used on the data
 * plane's executor only.
 */
final class BufferBudget {
    private static final int HEAP_DIVISOR = 16;

    private final long maxBytes;
    private long reservedBytes;

    /** A budget that is a fraction of the heap. */
    BufferBudget() {
        this(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    BufferBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves more bytes; returns false, and reserves nothing, if the budget would be exceeded. */
    boolean tryReserve(long bytes) {
        if (reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    void release(long bytes) {
        reservedBytes -= bytes;
    }

    /** Bytes that are reserved now. */
    long reservedBytes() {
        return reservedBytes;
    }
}
