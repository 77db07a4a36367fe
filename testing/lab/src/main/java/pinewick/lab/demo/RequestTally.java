package pinewick.lab.demo;

import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/** Counts the outcomes of the clients' requests. */
final class RequestTally {
    private final AtomicLong completed = new AtomicLong();
    private final AtomicLong retried = new AtomicLong();
    private final ConcurrentLinkedQueue<String> failures = new ConcurrentLinkedQueue<>();

    /** Records a request with a complete response. */
    void completed() {
        completed.incrementAndGet();
    }

    /** Records a request that was rejected before execution and will be retried. */
    void retried() {
        retried.incrementAndGet();
    }

    /** Records a request without a complete response. */
    void failed(String requestId, String reason) {
        failures.add(requestId + ": " + reason);
    }

    long completedCount() {
        return completed.get();
    }

    long retriedCount() {
        return retried.get();
    }

    /** The failed requests, each as "request ID: reason". */
    List<String> failedRequests() {
        return List.copyOf(failures);
    }
}
