package pinewick.dataplane;

import java.nio.ByteBuffer;
import java.util.List;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Parses the responses that a replica sends on one connection, and passes the one with the request's id to its
 * exchange. A response to another request is read and discarded, and the connection must not be reused after it.
 * Performs no I/O.
 */
final class ResponseParser implements HttpParser.ResponseHandler {
    private static final int MAX_HEADER_BYTES = 32 * 1024;
    private static final int LOWEST_FINAL_STATUS = 200;
    private static final double MS_PER_SECOND = 1e3;

    /** Margin before a replica's idle timeout at which an idle connection is no longer used, milliseconds. */
    private static final double IDLE_MARGIN_MS = 1_000;

    /** Maximum idle time of a connection whose replica does not announce its idle timeout. */
    private static final double DEFAULT_IDLE_MS = 500;

    /** The state after parsing some input. */
    enum Outcome {
        /** The response is incomplete. */
        MORE_NEEDED,
        /** The response to the request is complete. */
        COMPLETE,
        /** The input cannot be, or become, the response to the request. */
        FAILED
    }

    private final HttpParser parser = new HttpParser(this, MAX_HEADER_BYTES);
    private UpstreamExchange exchange;
    private boolean unusable;
    private String failure;

    // state of the response being parsed
    private HttpFields.Mutable fields = HttpFields.build();
    private int status;
    private boolean keepAlive;
    private double idleMs;
    private boolean isExpectedResponse;
    private boolean messageComplete;

    ResponseParser() {
        parser.setHeaderCacheSize(0);
    }

    /** Sets the exchange of the request that is being sent; the next response with its id belongs to it. */
    void expect(UpstreamExchange next) {
        exchange = next;
        isExpectedResponse = false;
        parser.setHeadResponse(isHead());
    }

    /** Parses the input, up to the end of one response. */
    Outcome parse(ByteBuffer buffer) {
        parser.parseNext(buffer);
        return outcome();
    }

    /** Handles an orderly close by the replica, which ends a response without a length. */
    Outcome parseEnd() {
        parser.atEOF();
        parser.parseNext(BufferUtil.EMPTY_BUFFER);
        return outcome();
    }

    private Outcome outcome() {
        if (failure != null) {
            return Outcome.FAILED;
        }
        if (!messageComplete) {
            return Outcome.MORE_NEEDED;
        }
        messageComplete = false;
        boolean wasExpectedResponse = isExpectedResponse;
        isExpectedResponse = false;
        parser.reset();
        if (!wasExpectedResponse) {
            // An interim response changes nothing; after a response to another request the connection is unusable.
            unusable |= status >= LOWEST_FINAL_STATUS;
        }
        return wasExpectedResponse ? Outcome.COMPLETE : Outcome.MORE_NEEDED;
    }

    /** Why parsing failed, null if it did not. */
    String failure() {
        return failure;
    }

    /** Whether the connection may carry another request after the complete response. */
    boolean isReusable() {
        return keepAlive && !unusable;
    }

    /** Maximum idle time of the connection after that response, milliseconds. */
    double idleMs() {
        return idleMs;
    }

    // ---- callbacks from HttpParser

    @Override
    public void messageBegin() {
        fields = HttpFields.build();
    }

    @Override
    public void startResponse(HttpVersion version, int responseStatus, String reason) {
        status = responseStatus;
        keepAlive = version == HttpVersion.HTTP_1_1;
    }

    @Override
    public void parsedHeader(HttpField field) {
        fields.add(field);
    }

    @Override
    public boolean headerComplete() {
        if (status < LOWEST_FINAL_STATUS) {
            if (status == HttpStatus.SWITCHING_PROTOCOLS_101) {
                failure = "unsolicited protocol upgrade (status 101)";
            }
            return false;
        }
        isExpectedResponse = hasExpectedId();
        if (isExpectedResponse) {
            keepAlive &= isFramed() && !fields.contains(HttpHeader.CONNECTION, "close");
            idleMs = idleMs(fields.get(HttpHeader.KEEP_ALIVE));
            exchange.head(new ResponseHead(status, fields, isFramed()));
        } else if (!fields.contains(HeaderNames.REQUEST_ID)) {
            failure = "response without a request id";
        }
        return false;
    }

    private boolean hasExpectedId() {
        String expected = exchange.request().expectedId();
        return expected == null
                ? !fields.contains(HeaderNames.REQUEST_ID)
                : fields.getValuesList(HeaderNames.REQUEST_ID).equals(List.of(expected));
    }

    private boolean isFramed() {
        return fields.contains(HttpHeader.CONTENT_LENGTH)
                || fields.contains(HttpHeader.TRANSFER_ENCODING)
                || status == HttpStatus.NO_CONTENT_204
                || status == HttpStatus.NOT_MODIFIED_304
                || isHead();
    }

    private boolean isHead() {
        return HttpMethod.HEAD.is(exchange.request().method());
    }

    /**
     * Maximum idle time of a connection by the {@code Keep-Alive} field of its last response, milliseconds; the field
     * may be null.
     */
    static double idleMs(String keepAliveField) {
        if (keepAliveField != null) {
            for (String parameter : keepAliveField.split(",")) {
                String trimmed = parameter.trim();
                if (trimmed.regionMatches(true, 0, "timeout=", 0, "timeout=".length())) {
                    try {
                        double announcedMs = Double.parseDouble(trimmed.substring("timeout=".length())) * MS_PER_SECOND;
                        return Math.max(announcedMs / 2, announcedMs - IDLE_MARGIN_MS);
                    } catch (NumberFormatException e) {
                        return DEFAULT_IDLE_MS;
                    }
                }
            }
        }
        return DEFAULT_IDLE_MS;
    }

    @Override
    public boolean content(ByteBuffer item) {
        if (isExpectedResponse) {
            exchange.content(item);
        }
        item.position(item.limit());
        return false;
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean messageComplete() {
        messageComplete = true;
        return true;
    }

    @Override
    public void earlyEOF() {
        failure = "response truncated: the replica closed the connection before its end";
    }

    @Override
    public void badMessage(HttpException cause) {
        failure = "malformed response: " + cause.getReason();
    }
}
