package pinewick.dataplane;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Status and header fields of a replica's response.
 *
 * @param status its status
 * @param fields its header fields
 * @param framed whether the message framing marks the end of the body; otherwise the body ends with an orderly close of
 *     the connection
 */
record ResponseHead(int status, HttpFields fields, boolean framed) {
    private static final int LOWEST_SUCCESS = 200;
    private static final int LOWEST_REDIRECTION = 300;
    private static final int LOWEST_SERVER_ERROR = 500;

    boolean isSuccess() {
        return status >= LOWEST_SUCCESS && status < LOWEST_REDIRECTION;
    }

    boolean isServerError() {
        return status >= LOWEST_SERVER_ERROR;
    }

    /** Whether the replica states that it did not execute the request. */
    boolean saysNotExecuted() {
        return status == HttpStatus.MISDIRECTED_REQUEST_421 || fields.contains(HeaderNames.NOT_EXECUTED);
    }

    boolean isSigned() {
        return fields.contains(HeaderNames.SERVER_SIGNATURE);
    }

    boolean isEncoded() {
        String encoding = fields.get(HttpHeader.CONTENT_ENCODING);
        return encoding != null && !encoding.equalsIgnoreCase("identity");
    }

    boolean isEventStream() {
        String type = fields.get(HttpHeader.CONTENT_TYPE);
        return type != null && type.regionMatches(true, 0, "text/event-stream", 0, "text/event-stream".length());
    }

    /** Whether a client takes this status to mean that the request was not executed. */
    boolean impliesNotExecuted() {
        return status == HttpStatus.REQUEST_TIMEOUT_408
                || status == HttpStatus.MISDIRECTED_REQUEST_421
                || status == HttpStatus.TOO_MANY_REQUESTS_429
                || status == HttpStatus.SERVICE_UNAVAILABLE_503;
    }
}
