package pinewick.membership;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import pinewick.model.SocketAddress;

/**
 * The requests of this process that wait for a reply, by their ids. Ids count up from a number drawn at random at the
 * start of the process, so that a reply to a request of an earlier incarnation matches none. A reply is accepted once,
 * within the time-out, and only from the peer that the request was sent to.
 *
 * <p>Not thread-safe: control loop only.
 *
 * @param <T> the context that is returned with the reply
 */
public final class OutstandingRequests<T> {
    /** The id in a message that is not a reply. */
    public static final long NO_REQUEST = 0;

    private final double timeoutMs;
    private final int maxRequests;
    private final Map<Long, Request<T>> requests = new LinkedHashMap<>();
    private long lastId;

    private record Request<T>(SocketAddress peer, T context, double sentAtMs) {}

    /**
     * The request of an accepted reply.
     *
     * @param context the context registered with the request
     * @param sentAtMs when the request was sent, milliseconds
     */
    public record Completed<T>(T context, double sentAtMs) {}

    /**
     * @param timeoutMs a reply that arrives later is ignored, milliseconds
     * @param maxRequests beyond this many requests the oldest is evicted
     * @param random draws the first id
     */
    public OutstandingRequests(double timeoutMs, int maxRequests, RandomGenerator random) {
        this.timeoutMs = timeoutMs;
        this.maxRequests = maxRequests;
        this.lastId = random.nextLong();
    }

    /** Registers a request that is about to be sent; returns its id. */
    public long register(SocketAddress peer, T context, double nowMs) {
        lastId++;
        if (lastId == NO_REQUEST) {
            lastId++;
        }
        requests.put(lastId, new Request<>(peer, context, nowMs));
        if (requests.size() > maxRequests) {
            requests.remove(requests.keySet().iterator().next());
        }
        return lastId;
    }

    /** Matches a reply with its request, which no longer waits; empty if the reply has to be ignored. */
    public Optional<Completed<T>> complete(long id, SocketAddress sender, double nowMs) {
        Request<T> request = requests.get(id);
        if (request == null || !request.peer.equals(sender)) {
            return Optional.empty();
        }
        requests.remove(id);
        boolean isInTime = nowMs - request.sentAtMs <= timeoutMs;
        return isInTime ? Optional.of(new Completed<>(request.context, request.sentAtMs)) : Optional.empty();
    }
}
