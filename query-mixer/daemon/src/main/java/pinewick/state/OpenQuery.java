package pinewick.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xnio.XnioExecutor;
import pinewick.core.Query;

/** An accepted query: its request, its shard requests and attempts, and the scheduler's handle for its events. */
public final class OpenQuery {
    /** The client that awaits the response. */
    public interface Client {
        /** Sends the one final response; {@code retryAfter} is in seconds, 0 gives no advice. */
        void respond(int status, double retryAfter, byte[] body);

        /** Checks whether the client is still connected; a client that has left ends its query. */
        default boolean isConnected() {
            return true;
        }
    }

    /** One shard request, with its attempts in the order in which they were made; the result is null until it is in. */
    public static final class ShardRequest {
        public final OpenQuery query;
        public final String id;
        public final int shard;
        public final double weight;
        public final List<InFlightAttempt> attempts = new ArrayList<>(1);
        public byte[] result;

        ShardRequest(OpenQuery query, String id, int shard, double weight) {
            this.query = query;
            this.id = id;
            this.shard = shard;
            this.weight = weight;
        }
    }

    public final String id;
    public final int serviceClass;
    public final double timeoutSeconds;
    public final String idempotencyKey;
    public final Client client;
    /** When its client was last known to be connected. */
    public double clientSeenAt;

    public final Map<String, ShardRequest> shardRequests = new LinkedHashMap<>();
    public byte[] filter = new byte[0];
    public double workHint;
    /** Whether its client marked it as a retry. */
    public boolean isRetry;

    public Query handle;
    /** The timer that ends the query if nothing else has. */
    public XnioExecutor.Key safetyTimer;
    /** Whether it was answered or abandoned by its client: nothing more is sent for it. */
    public boolean ended;

    public OpenQuery(String id, int serviceClass, double timeoutSeconds, String idempotencyKey, Client client) {
        this.id = id;
        this.serviceClass = serviceClass;
        this.timeoutSeconds = timeoutSeconds;
        this.idempotencyKey = idempotencyKey;
        this.client = client;
    }

    /** Adds a request to a shard; false if the query already has one for that shard. */
    public boolean addShardRequest(int shard, double weight) {
        String requestId = id + "." + shard;
        return shardRequests.putIfAbsent(requestId, new ShardRequest(this, requestId, shard, weight)) == null;
    }
}
