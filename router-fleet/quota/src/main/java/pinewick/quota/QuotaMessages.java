package pinewick.quota;

import java.util.List;
import pinewick.model.Message;
import pinewick.model.SocketAddress;

/** The messages by which routers request tokens from the quota coordinator. */
public final class QuotaMessages {
    private QuotaMessages() {}

    /** Every type that these messages are made of. The position is the type's id on the wire: append only. */
    public static List<Class<?>> types() {
        return List.of(QuotaVerdict.class, QuotaRequest.class, QuotaReply.class, RelayedQuotaRequest.class);
    }

    /**
     * Requests the tokens of one client request.
     *
     * @param requestId unique within the sender's incarnation; a resent request has the same id
     * @param tenant name of the tenant
     * @param cost cost of the client request, in the unit of the tenant's limit
     */
    public record QuotaRequest(long requestId, String tenant, int cost) implements Message {}

    /** The answer of the receiver of a {@link QuotaRequest}. */
    public enum QuotaVerdict {
        /** The tokens are taken from the bucket. */
        GRANTED,
        /** The tenant is over its limit. */
        OVER_LIMIT,
        /** The coordinator's configuration does not contain the tenant. */
        UNKNOWN_TENANT,
        /** The receiver is not the coordinator. */
        NOT_COORDINATOR
    }

    /**
     * Answers a {@link QuotaRequest}.
     *
     * @param requestId id of the answered request
     * @param verdict the decision
     * @param retryAfterMs time until the request would be granted if no other were, milliseconds; 0 unless over the
     *     limit
     * @param coordinator address of the coordinator as far as the sender knows, null for none
     */
    public record QuotaReply(long requestId, QuotaVerdict verdict, int retryAfterMs, SocketAddress coordinator)
            implements Message {}

    /**
     * Asks another router to forward the request to the coordinator, and to send the reply back.
     *
     * @param request the request of the sender
     */
    public record RelayedQuotaRequest(QuotaRequest request) implements Message {}
}
