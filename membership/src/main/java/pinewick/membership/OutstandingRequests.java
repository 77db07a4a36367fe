package pinewick.membership;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import pinewick.model.SocketAddress;

/**
 * The requests of this process that wait for an answer, by their ids. Ids count up from a number drawn at random at the
 * start of the process, so that an answer to a request of an earlier life matches nothing. An answer counts once, in
 * time, and from the peer that was asked. Owned by one thread.
 *
 * @param <T> what the asker wants to have at hand when the answer comes
 */
public final class OutstandingRequests<T> {
    /** Stands for the id of a message that answers no request. */
    public static final long UNASKED = 0;

    private final double timeoutMs;
    private final int mostKept;
    private final Map<Long, Request<T>> requests = new LinkedHashMap<>();
    private long lastId;

    private record Request<T>(SocketAddress peer, T context, double sentAtMs) {}

    /**
     * An answer that counts.
     *
     * @param context as given with the request
     * @param sentAtMs when the request was sent
     */
    public record Match<T>(T context, double sentAtMs) {}

    /**
     * @param timeoutMs an answer that comes later counts for nothing
     * @param mostKept beyond so many requests the oldest is given up
     * @param random draws the first id
     */
    public OutstandingRequests(double timeoutMs, int mostKept, RandomGenerator random) {
        this.timeoutMs = timeoutMs;
        this.mostKept = mostKept;
        this.lastId = random.nextLong();
    }

    /** Notes a request that is about to be sent; returns its id. */
    public long open(SocketAddress peer, T context, double nowMs) {
        lastId++;
        if (lastId == UNASKED) {
            lastId++;
        }
        requests.put(lastId, new Request<>(peer, context, nowMs));
        if (requests.size() > mostKept) {
            requests.remove(requests.keySet().iterator().next());
        }
        return lastId;
    }

    /** An answer has come: what it answers, empty if it counts for nothing. */
    public Optional<Match<T>> close(long id, SocketAddress sender, double nowMs) {
        Request<T> request = requests.get(id);
        if (request == null || !request.peer.equals(sender)) {
            return Optional.empty();
        }
        requests.remove(id);
        boolean inTime = nowMs - request.sentAtMs <= timeoutMs;
        return inTime ? Optional.of(new Match<>(request.context, request.sentAtMs)) : Optional.empty();
    }
}
