package pinewick.quota;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import pinewick.model.SocketAddress;
import pinewick.quota.QuotaMessages.QuotaReply;

/** The requests that this router has relayed for other routers and whose replies it has to send back. */
final class RequestRelay {
    /** Beyond this many requests the oldest is dropped. */
    private static final int MAX_RELAYED = 512;

    private final Map<Long, Origin> origins = new LinkedHashMap<>();

    /** The router that sent a relayed request, and the id that it gave the request. */
    private record Origin(SocketAddress sender, long requestId) {}

    /** A reply under the original request id, to be sent to the router that asked for the relay. */
    record ReturnedReply(SocketAddress receiver, QuotaReply reply) {}

    /** Records the origin of a request that is relayed under {@code ownId}, an id of this router. */
    void add(long ownId, SocketAddress sender, long requestId) {
        origins.put(ownId, new Origin(sender, requestId));
        if (origins.size() > MAX_RELAYED) {
            origins.remove(origins.keySet().iterator().next());
        }
    }

    /** Converts a reply for the origin of its request; empty if it does not answer a relayed request. */
    Optional<ReturnedReply> complete(QuotaReply reply) {
        return Optional.ofNullable(origins.remove(reply.requestId()))
                .map(origin -> new ReturnedReply(
                        origin.sender,
                        new QuotaReply(origin.requestId, reply.verdict(), reply.retryAfterMs(), reply.coordinator())));
    }
}
