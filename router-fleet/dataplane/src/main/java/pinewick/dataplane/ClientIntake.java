package pinewick.dataplane;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.List;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * Reads one complete client request within the limits in force and passes it to the data plane. A body that is still
 * incomplete at the request's deadline is answered with 408.
 */
final class ClientIntake implements Invocable.Task {
    private static final String RETRY_AFTER_SECONDS = "0.5";
    /** Bytes of the head besides method, target and fields: two spaces, the version, a line end and the empty line. */
    private static final int REQUEST_LINE_BYTES = 14;

    /** Bytes of a field besides name and value: a colon, a space and a line end. */
    private static final int FIELD_BYTES = 4;

    private static final int DELETE_CHARACTER = 0x7f;
    private static final int FIRST_BODY_BYTES = 4 * 1024;

    private final DataPlane dataPlane;
    private final Request request;
    private final Response response;
    private final Callback notAdmittedCallback;
    private final Callback callback;
    private final int maxBodyBytes;
    private ByteArrayOutputStream body;
    private long reservedBytes;
    private boolean finished;
    private Timers.Timer timeout;

    ClientIntake(DataPlane dataPlane, Request request, Response response, Callback callback) {
        this.dataPlane = dataPlane;
        this.request = request;
        this.response = response;
        this.notAdmittedCallback = callback;
        this.callback = Callback.from(callback, () -> dataPlane.inFlightLimits().release(reservedBytes));
        this.maxBodyBytes = dataPlane.routingTable().limits().maxBodyBytes();
    }

    @Override
    public InvocationType getInvocationType() {
        return InvocationType.NON_BLOCKING;
    }

    /** Reads the available content; Jetty runs this again when there is more. */
    @Override
    public synchronized void run() {
        if (!finished) {
            read();
        }
    }

    private void read() {
        if (request.getLength() > maxBodyBytes) {
            finish(this::rejectTooLarge);
            return;
        }
        while (!finished) {
            Content.Chunk chunk = request.read();
            if (chunk == null) {
                scheduleTimeout();
                request.demand(this);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                finish(() -> callback.failed(chunk.getFailure()));
                return;
            }
            boolean last = chunk.isLast();
            Runnable rejection = append(chunk.getByteBuffer());
            chunk.release();
            if (rejection != null) {
                finish(rejection);
            } else if (last) {
                finish(this::complete);
            }
        }
    }

    /** Ends reading the request, and runs {@code outcome}. Called once. */
    private void finish(Runnable outcome) {
        finished = true;
        if (timeout != null) {
            timeout.cancel();
        }
        outcome.run();
    }

    private void scheduleTimeout() {
        if (timeout == null) {
            timeout = dataPlane.scheduleAtDeadline(request, this::onTimeout);
        }
    }

    /** Responds 408 because the body was not complete in time; the request was not executed and will not be. */
    private synchronized void onTimeout() {
        if (!finished) {
            finish(() -> {
                if (request.getConnectionMetaData().getConnection() instanceof ClientConnection connection) {
                    connection.rejectFurtherRequests();
                }
                response.getHeaders().put(HttpHeader.CONNECTION, "close");
                respond(HttpStatus.REQUEST_TIMEOUT_408);
            });
        }
    }

    /** Appends a chunk of the body; returns the rejection to run if a limit is exceeded, otherwise null. */
    private Runnable append(ByteBuffer content) {
        int length = content.remaining();
        if (length == 0) {
            return null;
        }
        if (body == null) {
            body = new ByteArrayOutputStream(Math.max(length, FIRST_BODY_BYTES));
        }
        if (body.size() + length > maxBodyBytes) {
            return this::rejectTooLarge;
        }
        if (!dataPlane.inFlightLimits().tryReserveBody(length)) {
            return () -> rejectTemporarily(callback);
        }
        reservedBytes += length;
        byte[] bytes = new byte[length];
        content.get(bytes);
        body.writeBytes(bytes);
        return null;
    }

    /** Starts reading, or rejects the request if too many are in flight. */
    void start() {
        if (dataPlane.inFlightLimits().tryAdmit()) {
            run();
        } else {
            rejectTemporarily(notAdmittedCallback);
        }
    }

    /** Responds 503: the request was not executed, and a retry may succeed. */
    private void rejectTemporarily(Callback completion) {
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
        response.getHeaders().put(HttpHeader.RETRY_AFTER, RETRY_AFTER_SECONDS);
        response.setStatus(HttpStatus.SERVICE_UNAVAILABLE_503);
        response.write(true, null, completion);
    }

    private void rejectTooLarge() {
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
        respond(HttpStatus.PAYLOAD_TOO_LARGE_413);
    }

    private void complete() {
        HttpFields fields = request.getHeaders();
        if (headBytes(fields) > dataPlane.routingTable().limits().maxHeaderBytes()) {
            respond(HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431);
            return;
        }
        List<String> ids = fields.getValuesList(HeaderNames.REQUEST_ID);
        if (ids.size() != 1
                || ids.get(0).isEmpty()
                || !isPlainText(request.getHttpURI().getPathQuery())) {
            respond(HttpStatus.BAD_REQUEST_400);
            return;
        }
        if (request.getConnectionMetaData().getConnection() instanceof ClientConnection connection
                && connection.hasDisconnected()) {
            callback.failed(new EofException("the client has closed its connection"));
            return;
        }
        ClientRequest clientRequest = new ClientRequest(
                ids.get(0),
                request.getMethod(),
                request.getHttpURI().getPathQuery(),
                HeaderRules.requestFields(fields),
                body == null ? UpstreamRequest.NO_BODY : body.toByteArray());
        body = null;
        dataPlane.accept(clientRequest, request, response, callback);
    }

    /** Length of the head as received, except for whitespace that Jetty has removed, bytes. */
    private int headBytes(HttpFields fields) {
        int bytes = request.getMethod().length()
                + request.getHttpURI().getPathQuery().length()
                + REQUEST_LINE_BYTES;
        for (HttpField field : fields) {
            int value = field.getValue() == null ? 0 : field.getValue().length();
            bytes += field.getName().length() + value + FIELD_BYTES;
        }
        return bytes;
    }

    /**
     * Whether the target consists of printable ASCII. Jetty decodes other bytes, so that they could not be forwarded as
     * received.
     */
    private static boolean isPlainText(String target) {
        return target != null && target.chars().allMatch(each -> each > ' ' && each < DELETE_CHARACTER);
    }

    private void respond(int status) {
        response.setStatus(status);
        response.write(true, null, callback);
    }
}
