package pinewick.dataplane;

import java.util.random.RandomGenerator;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;

/** The response to one client request: a replica's, complete or in chunks, or an error of the router's own. */
final class ClientReply {
    /** Reading from the replica is paused while more bytes than this are pending for the client. */
    static final long MAX_PENDING_BYTES = 256 * 1024;

    private static final double MIN_RETRY_AFTER_SECONDS = 0.15;
    private static final double RETRY_AFTER_JITTER_SECONDS = 0.25;
    private static final double MS_PER_SECOND = 1e3;

    private final ClientRequest request;
    private final ClientExchange client;
    private final RandomGenerator random;
    private boolean headSent;

    ClientReply(ClientRequest request, ClientExchange client, RandomGenerator random) {
        this.request = request;
        this.client = client;
        this.random = random;
    }

    /** Whether the head of a response was sent to the client. */
    boolean isHeadSent() {
        return headSent;
    }

    /**
     * Forwards a chunk of a replica's response, preceded by its head if that was not sent yet; returns whether more may
     * be read from the replica.
     */
    boolean forward(ResponseHead head, byte[] chunk) {
        begin(head);
        client.forward(chunk);
        return client.pendingBytes() <= MAX_PENDING_BYTES;
    }

    /** Ends a response that was forwarded in chunks. */
    void endStream(ResponseHead head) {
        begin(head);
        client.endStream();
    }

    private void begin(ResponseHead head) {
        if (!headSent) {
            headSent = true;
            client.beginStream(head.status(), HeaderRules.responseFields(head.fields()));
        }
    }

    /** Forwards a replica's complete response. */
    void respond(ResponseHead head, byte[] body) {
        HttpFields.Mutable fields = HeaderRules.responseFields(head.fields());
        if (HttpMethod.HEAD.is(request.method()) && head.fields().contains(HttpHeader.CONTENT_LENGTH)) {
            fields.put(HttpHeader.CONTENT_LENGTH, head.fields().get(HttpHeader.CONTENT_LENGTH));
        }
        client.respond(head.status(), fields, body);
    }

    /** Responds with an error status, or aborts the connection if the head of a response was already sent. */
    void fail(int status) {
        if (headSent) {
            client.abort();
            return;
        }
        HttpFields.Mutable fields = HttpFields.build();
        fields.put(HeaderNames.REQUEST_ID, request.id());
        if (status == HttpStatus.SERVICE_UNAVAILABLE_503) {
            fields.put(HttpHeader.RETRY_AFTER, retryAfter());
        }
        client.respond(status, fields, UpstreamRequest.NO_BODY);
    }

    /** Rejects a request of which nothing was executed. */
    void reject(int status, double retryAfterSeconds) {
        HttpFields.Mutable fields = HttpFields.build();
        fields.put(HeaderNames.REQUEST_ID, request.id());
        fields.put(HttpHeader.RETRY_AFTER, toText(retryAfterSeconds));
        client.respond(status, fields, UpstreamRequest.NO_BODY);
    }

    private String retryAfter() {
        return toText(MIN_RETRY_AFTER_SECONDS + RETRY_AFTER_JITTER_SECONDS * random.nextDouble());
    }

    private static String toText(double seconds) {
        return Double.toString(Math.round(seconds * MS_PER_SECOND) / MS_PER_SECOND);
    }
}
