package pinewick.dataplane;

import org.eclipse.jetty.http.HttpFields;
import pinewick.model.ReplicaRecord;

/**
 * Builds the requests to replicas for one client request: the client's header fields plus those that only routers may
 * send.
 */
final class ReplicaRequests {
    private static final String PREFILL_STAGE = "prefill";

    private final ClientRequest request;

    ReplicaRequests(ClientRequest request) {
        this.request = request;
    }

    /**
     * The prefill of the request.
     *
     * @param priority priority among the replica's calls, 0 first
     */
    UpstreamRequest prefill(ReplicaRecord replica, double remainingMs, int priority) {
        HttpFields.Mutable fields = fields(replica, remainingMs, priority);
        fields.put(HeaderNames.SERVING_STAGE, PREFILL_STAGE);
        return toRequest(fields);
    }

    /**
     * The complete request, or its decode after a prefill elsewhere.
     *
     * @param priority priority among the replica's calls, 0 first
     * @param handle handle of the KV cache to be transferred, null for aggregated serving
     * @param resumeAfter id of the event after which a stream resumes, null if the client's own field applies
     */
    UpstreamRequest execution(
            ReplicaRecord replica, double remainingMs, int priority, PrefillHandle handle, String resumeAfter) {
        HttpFields.Mutable fields = fields(replica, remainingMs, priority);
        if (handle != null) {
            fields.put(HeaderNames.KV_FROM, handle.kvFrom());
        }
        if (resumeAfter != null) {
            fields.put(HeaderNames.LAST_EVENT_ID, resumeAfter);
        }
        return toRequest(fields);
    }

    private HttpFields.Mutable fields(ReplicaRecord replica, double remainingMs, int priority) {
        HttpFields.Mutable fields = HttpFields.build(request.fields());
        fields.put(HeaderNames.EXPECTED_INSTANCE, replica.instanceId());
        fields.put(HeaderNames.DEADLINE_MS, Long.toString(Math.max(1, (long) remainingMs)));
        fields.put(HeaderNames.PRIORITY, Integer.toString(priority));
        return fields;
    }

    private UpstreamRequest toRequest(HttpFields fields) {
        return new UpstreamRequest(request.method(), request.target(), fields, request.body(), request.id());
    }
}
