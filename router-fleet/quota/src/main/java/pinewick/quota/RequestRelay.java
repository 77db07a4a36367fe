package pinewick.quota;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import pinewick.model.SocketAddress;
import pinewick.quota.QuotaMessages.QuotaReply;

/** The requests that this router has relayed for others, and waits to send their replies back. */
final class RequestRelay {
    private static final int MAX_RELAYED = 512;

    private final Map<Long, Origin> origins = new LinkedHashMap<>();

    /** Who has sent a relayed request, and its id there. */
    private record Origin(SocketAddress sender, long requestId) {}

    /** A reply to be sent back. */
    record ReturnedReply(SocketAddress receiver, QuotaReply reply) {}

    /** Remembers the origin of a request that is relayed under an id of this router. */
    void add(long ownId, SocketAddress sender, long requestId) {
        origins.put(ownId, new Origin(sender, requestId));
        if (origins.size() > MAX_RELAYED) {
            origins.remove(origins.keySet().iterator().next());
        }
    }

    /** The reply for the origin, empty if this is no reply to a relayed request. */
    Optional<ReturnedReply> complete(QuotaReply reply) {
        return Optional.ofNullable(origins.remove(reply.requestId()))
                .map(origin -> new ReturnedReply(
                        origin.sender,
                        new QuotaReply(origin.requestId, reply.verdict(), reply.retryAfterMs(), reply.coordinator())));
    }
}
