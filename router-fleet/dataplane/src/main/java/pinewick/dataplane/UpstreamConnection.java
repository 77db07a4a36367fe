package pinewick.dataplane;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * One HTTP/1.1 connection to a replica, with at most one request in flight. Only a response that carries the request's
 * id is accepted; a late response to an earlier request is read and discarded. If bytes arrive while no request is in
 * flight, or after a complete response, the connection is closed. Everything except {@link #onFillable} runs on the
 * data plane's executor.
 */
final class UpstreamConnection extends AbstractConnection {
    private final ReplicaConnections owner;
    private final SerialExecutor serial;
    private final ResponseParser parser = new ResponseParser();
    private UpstreamExchange exchange;
    private ByteBuffer head;
    private int headLength;
    private boolean opened;
    private boolean closed;
    private boolean fillInterested;
    private boolean readPaused;
    /**
     * Whether the request is being written. Cleared on the writing thread, so that the end of the write is seen before
     * its response is processed.
     */
    private volatile boolean writing;

    private boolean hasSentRequest;
    private double idleUntilMs;

    UpstreamConnection(EndPoint endPoint, Executor executor, ReplicaConnections owner, SerialExecutor serial) {
        super(endPoint, executor);
        this.owner = owner;
        this.serial = serial;
    }

    // ---- callbacks from Jetty

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
                owner.onConnected(this);
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

    /** Whether a request may be sent: the replica has neither closed the connection nor sent unexpected bytes on it. */
    boolean isUsable(double nowMs) {
        if (closed || !getEndPoint().isOpen() || (hasSentRequest && nowMs >= idleUntilMs)) {
            return false;
        }
        ByteBuffer buffer = owner.readBuffer();
        BufferUtil.clear(buffer);
        try {
            return !hasSentRequest || getEndPoint().fill(buffer) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Whether the replica has closed the connection or is about to. */
    boolean hasExpired(double nowMs) {
        return closed || nowMs >= idleUntilMs;
    }

    void send(UpstreamExchange next) {
        exchange = next;
        next.assign(this);
        hasSentRequest = true;
        writing = true;
        parser.expect(next);
        head = next.request().head();
        headLength = head.remaining();
        Callback callback = Callback.from(
                InvocationType.NON_BLOCKING, () -> writing = false, cause -> serial.execute(() -> writeFailed(cause)));
        if (next.request().body().length == 0) {
            getEndPoint().write(callback, head);
        } else {
            getEndPoint().write(callback, head, ByteBuffer.wrap(next.request().body()));
        }
        awaitInput();
    }

    private void writeFailed(Throwable cause) {
        if (exchange != null && head.remaining() == headLength) {
            UpstreamExchange unsent = exchange;
            unsent.assign(null);
            closeNow();
            owner.start(unsent);
        } else {
            readRemainingInput();
            fail("write failed: " + cause);
        }
    }

    /**
     * Reads a response that arrived before a write failed: a replica may respond and close before it has read the
     * complete body.
     */
    private void readRemainingInput() {
        boolean more = true;
        while (more && exchange != null && !closed && !readPaused) {
            more = fillAndParse();
        }
    }

    // ---- reading

    /** Registers for input. Idle connections are registered too, so that their close is noticed. */
    void awaitInput() {
        if (!fillInterested && !closed && !readPaused) {
            fillInterested = true;
            fillInterested();
        }
    }

    void pauseReading() {
        readPaused = true;
    }

    void resumeReading() {
        if (readPaused) {
            readPaused = false;
            awaitInput();
        }
    }

    private void read() {
        if (closed || readPaused) {
            return;
        }
        fillAndParse();
        awaitInput();
    }

    /** Reads and parses once; returns whether there was input. */
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
        if (exchange != null && parser.parseEnd() == ResponseParser.Outcome.COMPLETE) {
            onResponseComplete(false);
        }
        fail(parser.failure() == null ? "the replica closed the connection" : parser.failure());
    }

    private void parse(ByteBuffer buffer) {
        while (buffer.hasRemaining() && !closed) {
            if (exchange == null) {
                closeNow();
                return;
            }
            switch (parser.parse(buffer)) {
                case FAILED -> fail(parser.failure());
                case COMPLETE -> onResponseComplete(!closed && buffer.hasRemaining());
                default -> {}
            }
        }
    }

    /**
     * Ends the exchange. The connection is reused only if the request was sent completely, since the replica may
     * otherwise still read the rest of its body, and if no bytes followed the response.
     */
    private void onResponseComplete(boolean moreBytes) {
        UpstreamExchange complete = exchange;
        if (complete == null) {
            return;
        }
        exchange = null;
        if (parser.isReusable() && !writing && !moreBytes) {
            idleUntilMs = owner.nowMs() + parser.idleMs();
            owner.onReleased(this);
        } else {
            closeNow();
        }
        complete.complete();
    }

    // ---- closing

    private void fail(String reason) {
        UpstreamExchange failedExchange = exchange;
        exchange = null;
        closeNow();
        if (failedExchange != null) {
            failedExchange.fail(reason);
        }
    }

    /** Called by Jetty on any thread. */
    @Override
    public void close() {
        serial.execute(this::closeNow);
    }

    void closeNow() {
        if (!closed) {
            closed = true;
            exchange = null;
            if (opened) {
                owner.onClosed(this);
            } else {
                owner.onConnectFailed();
            }
            super.close();
        }
    }
}
