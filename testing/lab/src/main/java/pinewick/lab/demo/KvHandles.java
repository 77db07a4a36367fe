package pinewick.lab.demo;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** KV handles of prompts that fake prefill replicas hold for a decode replica; each can be taken once. */
final class KvHandles {
    /** Result of an attempt to take a handle. */
    enum TakeResult {
        /** The handle existed and belongs to this request. */
        SAME_REQUEST,
        /** The handle belongs to another request: the responses of two requests would be mixed. */
        OTHER_REQUEST,
        /** The handle does not exist or was already taken or freed. */
        NOT_FOUND
    }

    private final Map<String, String> requestByHandle = new ConcurrentHashMap<>();
    private final AtomicLong issuedCount = new AtomicLong();

    /** Issues a new handle for the prompt of a request. */
    String issue(String requestId) {
        String handle = "kv-" + issuedCount.incrementAndGet();
        requestByHandle.put(handle, requestId);
        return handle;
    }

    /** Takes and removes a handle on behalf of a request. */
    TakeResult take(String handle, String requestId) {
        String ownerRequestId = requestByHandle.remove(handle);
        if (ownerRequestId == null) {
            return TakeResult.NOT_FOUND;
        }
        return ownerRequestId.equals(requestId) ? TakeResult.SAME_REQUEST : TakeResult.OTHER_REQUEST;
    }

    /** Releases a handle that will not be taken; ignores an unknown one. */
    void free(String handle) {
        requestByHandle.remove(handle);
    }

    /** Number of handles issued so far. */
    long issuedCount() {
        return issuedCount.get();
    }

    /** Number of handles not yet taken or freed. */
    int pendingCount() {
        return requestByHandle.size();
    }
}
