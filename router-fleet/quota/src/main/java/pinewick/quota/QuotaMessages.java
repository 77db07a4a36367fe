package pinewick.quota;

import java.util.List;
import pinewick.model.Message;
import pinewick.model.SocketAddress;

/** The messages between routers and the quota coordinator. */
public final class QuotaMessages {
    private QuotaMessages() {}

    /** Every type that these messages are made of. The position decides the type's id on the wire: append only. */
    public static List<Class<?>> types() {
        return List.of(QuotaVerdict.class, QuotaRequest.class, QuotaReply.class, RelayedQuotaRequest.class);
    }

    /**
     * Requests the tokens of one client request.
     *
     * @param requestId unique for the sender's incarnation; a request that is sent again has the same id
     * @param tenant name of the tenant
     * @param cost what the client request counts, in the unit of the tenant's limit
     */
    public record QuotaRequest(long requestId, String tenant, int cost) implements Message {}

    /** What the coordinator has decided. */
    public enum QuotaVerdict {
        /** The tokens are taken from the bucket. */
        GRANTED,
        /** The tenant is over its limit. */
        OVER_LIMIT,
        /** The coordinator's configuration does not have the tenant. */
        UNKNOWN_TENANT,
        /** The receiver is not the coordinator. */
        NOT_COORDINATOR
    }

    /**
     * Answers a {@link QuotaRequest}.
     *
     * @param retryAfterMs over the limit: when the request would be granted, milliseconds
     * @param coordinator the coordinator that the sender knows, null for none
     */
    public record QuotaReply(long requestId, QuotaVerdict verdict, int retryAfterMs, SocketAddress coordinator)
            implements Message {}

    /** Asks another router to send the request to the coordinator, and to send the reply back. */
    public record RelayedQuotaRequest(QuotaRequest request) implements Message {}
}
