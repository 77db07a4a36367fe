package pinewick.dataplane;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.Executor;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * One HTTP/1.1 connection to a replica, with at most one request on it. Only an answer that carries the request's id is
 * its answer: a late answer to an earlier request is read and dropped. Bytes that come while no request is out, or
 * after a whole answer, belong to no request, and the connection is closed. Everything but {@link #onFillable} runs
 * on the data plane's executor.
 */
final class UpstreamConnection extends AbstractConnection implements HttpParser.ResponseHandler {
    private static final int MOST_HEADER_BYTES = 32 * 1024;
    private static final double MILLISECONDS = 1e3;
    private static final int LOWEST_FINAL_STATUS = 200;

    /** How long before the replica would close an idle connection this side stops using it. */
    private static final double IDLE_MARGIN_MS = 1_000;

    /** Longest rest of a connection whose replica does not say how long it keeps idle ones. */
    private static final double UNTOLD_IDLE_MS = 500;

    private final ReplicaConnections owner;
    private final SerialExecutor serial;
    private final HttpParser parser = new HttpParser(this, MOST_HEADER_BYTES);
    private UpstreamExchange exchange;
    private ByteBuffer head;
    private int headLength;
    private boolean opened;
    private boolean closed;
    private boolean fillInterested;
    private boolean paused;
    /** Cleared on the thread that wrote, so that an answer cannot overtake it. */
    private volatile boolean writing;

    private boolean spoilt;
    private boolean used;
    private double idleUntilMs;

    // of the answer being parsed
    private HttpFields.Mutable fields = HttpFields.build();
    private int status;
    private boolean keepAlive;
    private boolean ours;
    private boolean messageComplete;
    private String failure;

    UpstreamConnection(EndPoint endPoint, Executor executor, ReplicaConnections owner, SerialExecutor serial) {
        super(endPoint, executor);
        this.owner = owner;
        this.serial = serial;
        parser.setHeaderCacheSize(0);
    }

    // ---- Jetty's side

    @Override
    public InvocationType getInvocationType() {
        return InvocationType.NON_BLOCKING;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        serial.execute(() -> {
            if (!closed) {
                opened = true;
                owner.connected(this);
            }
        });
    }

    @Override
    public void onFillable() {
        serial.execute(() -> {
            fillInterested = false;
            read();
        });
    }

    @Override
    protected void onFillInterestedFailed(Throwable cause) {
        serial.execute(() -> fail("read failed: " + cause));
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        serial.execute(() -> fail("closed"));
    }

    // ---- sending

    /** Whether a request may be sent: the replica still keeps the connection, and sent nothing on it unasked. */
    boolean isUsable(double nowMs) {
        if (closed || !getEndPoint().isOpen() || (used && nowMs >= idleUntilMs)) {
            return false;
        }
        ByteBuffer probe = owner.readBuffer();
        BufferUtil.clear(probe);
        try {
            return !used || getEndPoint().fill(probe) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Whether the replica is about to close it, or has. */
    boolean hasExpired(double nowMs) {
        return closed || nowMs >= idleUntilMs;
    }

    void send(UpstreamExchange next) {
        exchange = next;
        next.assign(this);
        used = true;
        ours = false;
        writing = true;
        parser.setHeadResponse(HttpMethod.HEAD.is(next.request().method()));
        head = next.request().head();
        headLength = head.remaining();
        Callback callback = Callback.from(
                InvocationType.NON_BLOCKING, () -> writing = false, cause -> serial.execute(() -> writeFailed(cause)));
        if (next.request().body().length == 0) {
            getEndPoint().write(callback, head);
        } else {
            getEndPoint().write(callback, head, ByteBuffer.wrap(next.request().body()));
        }
        awaitBytes();
    }

    private void writeFailed(Throwable cause) {
        if (exchange != null && head.remaining() == headLength) {
            UpstreamExchange unsent = exchange;
            unsent.assign(null);
            closeNow();
            owner.start(unsent);
        } else {
            readWhatCame();
            fail("write failed: " + cause);
        }
    }

    /** A replica may answer and close before it has read the whole body: its answer is still there to be read. */
    private void readWhatCame() {
        boolean more = true;
        while (more && exchange != null && !closed && !paused) {
            more = fillAndParse();
        }
    }

    // ---- reading

    /** Registers for bytes; a connection at rest is registered too, so that its end is seen. */
    void awaitBytes() {
        if (!fillInterested && !closed && !paused) {
            fillInterested = true;
            fillInterested();
        }
    }

    void pauseReading() {
        paused = true;
    }

    void resumeReading() {
        if (paused) {
            paused = false;
            awaitBytes();
        }
    }

    private void read() {
        if (closed || paused) {
            return;
        }
        fillAndParse();
        awaitBytes();
    }

    /** Reads once; returns whether something came. */
    private boolean fillAndParse() {
        ByteBuffer buffer = owner.readBuffer();
        BufferUtil.clear(buffer);
        int filled;
        try {
            filled = getEndPoint().fill(buffer);
        } catch (IOException e) {
            fail("read failed: " + e.getMessage());
            return false;
        }
        if (filled < 0) {
            endOfInput();
        } else if (filled > 0) {
            parse(buffer);
        }
        return filled > 0;
    }

    private void endOfInput() {
        if (exchange != null) {
            parser.atEOF();
            parser.parseNext(BufferUtil.EMPTY_BUFFER);
            if (messageComplete && failure == null) {
                endOfMessage(false);
            }
        }
        fail(failure == null ? "the replica closed the connection" : failure);
    }

    private void parse(ByteBuffer buffer) {
        while (buffer.hasRemaining() && !closed) {
            if (exchange == null) {
                closeNow();
                return;
            }
            parser.parseNext(buffer);
            if (failure != null) {
                fail(failure);
            } else if (messageComplete && !closed) {
                endOfMessage(buffer.hasRemaining());
            }
        }
    }

    private void endOfMessage(boolean moreBytes) {
        messageComplete = false;
        boolean whole = ours;
        ours = false;
        parser.reset();
        if (!whole) {
            // Between an interim answer and the final one nothing changes; an answer to another request spoils.
            spoilt |= status >= LOWEST_FINAL_STATUS;
            return;
        }
        UpstreamExchange answered = exchange;
        exchange = null;
        if (keepAlive && !spoilt && !writing && !moreBytes) {
            owner.released(this);
        } else {
            closeNow();
        }
        answered.complete();
    }

    // ---- the parser's events

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
                failure = "an upgrade nobody asked for";
            }
            return false;
        }
        if (exchange == null) {
            return false;
        }
        ours = isOurs();
        if (ours) {
            noteConnectionTerms();
            exchange.head(new ResponseHead(status, fields, isFramed()));
        } else if (!fields.contains(HeaderNames.REQUEST_ID)) {
            failure = "an answer without a request id";
        }
        return false;
    }

    private boolean isOurs() {
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
                || HttpMethod.HEAD.is(exchange.request().method());
    }

    private void noteConnectionTerms() {
        keepAlive &= isFramed() && !fields.contains(HttpHeader.CONNECTION, "close");
        idleUntilMs = owner.nowMs() + idleMs(fields.get("Keep-Alive"));
    }

    /** How long a connection may rest, by the {@code Keep-Alive} field of its last answer. */
    static double idleMs(String keepAliveField) {
        if (keepAliveField != null) {
            for (String parameter : keepAliveField.split(",")) {
                String trimmed = parameter.trim();
                if (trimmed.regionMatches(true, 0, "timeout=", 0, "timeout=".length())) {
                    try {
                        double told = Double.parseDouble(trimmed.substring("timeout=".length())) * MILLISECONDS;
                        return Math.max(told / 2, told - IDLE_MARGIN_MS);
                    } catch (NumberFormatException e) {
                        return UNTOLD_IDLE_MS;
                    }
                }
            }
        }
        return UNTOLD_IDLE_MS;
    }

    @Override
    public boolean content(ByteBuffer item) {
        if (ours && exchange != null) {
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
        failure = "the answer was cut off";
    }

    @Override
    public void badMessage(HttpException cause) {
        failure = "not an answer: " + cause.getReason();
    }

    // ---- the end

    private void fail(String reason) {
        UpstreamExchange broken = exchange;
        exchange = null;
        closeNow();
        if (broken != null) {
            broken.broken(reason);
        }
    }

    /** Jetty's way to close it, on any thread. */
    @Override
    public void close() {
        serial.execute(this::closeNow);
    }

    void closeNow() {
        if (!closed) {
            closed = true;
            exchange = null;
            if (opened) {
                owner.closed(this);
            } else {
                owner.connectFailed();
            }
            super.close();
        }
    }
}
