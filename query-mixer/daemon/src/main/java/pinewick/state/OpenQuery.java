package pinewick.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xnio.XnioExecutor;
import pinewick.core.Query;

/** A query that was taken: what came with it, what is out for it, and the handle on which news of it is a call. */
public final class OpenQuery {
    /** Whoever waits for the answer. */
    public interface Client {
        /** The one final answer; {@code retryAfter} 0 gives no advice. */
        void answer(int status, double retryAfter, byte[] body);

        /** Looks whether it still waits; one that has left ends its query. */
        default boolean stillThere() {
            return true;
        }
    }

    /** One part, with its launches in the order in which they were made and its value once that is in. */
    public static final class ShardRequest {
        public final OpenQuery query;
        public final String id;
        public final int shard;
        public final double mass;
        public final List<InFlightAttempt> launches = new ArrayList<>(1);
        public byte[] value;

        ShardRequest(OpenQuery query, String id, int shard, double mass) {
            this.query = query;
            this.id = id;
            this.shard = shard;
            this.mass = mass;
        }
    }

    public final String id;
    public final int grade;
    public final double ttl;
    public final String key;
    public final Client asker;
    /** When its client was last seen to wait. */
    public double seenAt;

    public final Map<String, ShardRequest> pieces = new LinkedHashMap<>();
    public byte[] text = new byte[0];
    public double workHint;
    /** Marked by its client as a later try. */
    public boolean again;

    public Query handle;
    /** The timer that ends the query if nothing else has. */
    public XnioExecutor.Key net;
    /** Answered, or left by its client: nothing more is sent for it. */
    public boolean ended;

    public OpenQuery(String id, int grade, double ttl, String key, Client asker) {
        this.id = id;
        this.grade = grade;
        this.ttl = ttl;
        this.key = key;
        this.asker = asker;
    }

    /** False where the shard was named before. */
    public boolean piece(int shard, double mass) {
        String part = id + "." + shard;
        return pieces.putIfAbsent(part, new ShardRequest(this, part, shard, mass)) == null;
    }
}
