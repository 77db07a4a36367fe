package pinewick.protocol;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;
import pinewick.loop.EventLoop;

/** A client connection: tracks, from the raw bytes beneath the HTTP parser, how far the current request has come. */
final class InboundConnection extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /**
     * SILENT: nothing received yet; ARRIVING: a request is being received; ASKED: it was received and awaits its
     * response; BETWEEN: idle since the last response; LEAVING: nothing more is read from it or sent on it.
     */
    enum State {
        SILENT,
        ARRIVING,
        ASKED,
        BETWEEN,
        LEAVING
    }

    /**
     * State of a client that awaits its response: THERE: connected; GONE: disconnected; FLOOD: it sent more ahead than
     * is buffered.
     */
    enum ClientStatus {
        THERE,
        GONE,
        FLOOD
    }

    final StreamConnection connection;
    private final EventLoop loop;
    private State state = State.SILENT;
    private double stateSince;
    /** Bytes received before the HTTP parser wants them, ready to be read; null if there are none. */
    private ByteBuffer readAheadBytes;

    private final StreamSinkConduit sink;
    private long discardedBytes;
    /** Whether a request head was ever parsed. */
    boolean requestSeen;

    InboundConnection(StreamConnection connection, EventLoop loop) {
        super(connection.getSourceChannel().getConduit());
        this.connection = connection;
        this.loop = loop;
        stateSince = loop.now();
        sink = connection.getSinkChannel().getConduit();
        connection.getSourceChannel().setConduit(this);
    }

    State state() {
        return state;
    }

    void transitionTo(State newState) {
        if (state != newState && state != State.LEAVING) {
            state = newState;
            stateSince = loop.now();
        }
    }

    /** Seconds since the last change of state. */
    double stateAgeSeconds() {
        return loop.now() - stateSince;
    }

    /**
     * Whether no byte of a request has been received. Guards against closing a connection over a request that has
     * arrived but was not read: bytes that are found are buffered, and the parser is woken up.
     */
    boolean isEmpty() {
        if (readAheadBytes == null && connection.isOpen()) {
            ByteBuffer peeked = ByteBuffer.allocate(64);
            try {
                if (next.read(peeked) > 0) {
                    readAheadBytes = peeked.flip();
                    transitionTo(State.ARRIVING);
                    next.wakeupReads();
                }
            } catch (IOException broken) {
                return true;
            }
        }
        return readAheadBytes == null;
    }

    /**
     * Reads what a client sends while it awaits its response, so that an end of stream or a reset behind these bytes is
     * noticed; the HTTP parser gets them after the response. Otherwise a client that pipelined its next request and
     * then disconnected would not be noticed.
     */
    ClientStatus readAhead(int maxBytes) {
        ByteBuffer buffer = loop.readBuffer();
        try {
            while (true) {
                buffer.clear();
                int byteCount = next.read(buffer);
                if (byteCount <= 0) {
                    return byteCount < 0 ? ClientStatus.GONE : ClientStatus.THERE;
                }
                buffer.flip();
                int buffered = readAheadBytes == null ? 0 : readAheadBytes.remaining();
                if (buffered + byteCount > maxBytes) {
                    return ClientStatus.FLOOD;
                }
                ByteBuffer combined = ByteBuffer.allocate(buffered + byteCount);
                if (readAheadBytes != null) {
                    combined.put(readAheadBytes);
                }
                readAheadBytes = combined.put(buffer).flip();
            }
        } catch (IOException broken) {
            return ClientStatus.GONE;
        }
    }

    /** Enables read events for bytes that arrive from now on. */
    void enableReads() {
        next.resumeReads();
    }

    /**
     * Bytes that were read ahead do not make the socket readable, so without a wake-up the parser would wait for more.
     */
    @Override
    public void resumeReads() {
        if (readAheadBytes != null) {
            next.wakeupReads();
        } else {
            next.resumeReads();
        }
    }

    /**
     * Closes the connection after an optional final response: shuts down the output, discards input until the client
     * has closed, then closes. A close with unread input resets the connection, and a response in transit would be
     * lost. A client that never closes or sends without end is cut off after the given seconds or bytes.
     */
    void closeGracefully(String finalResponse, double timeoutSeconds, long maxDiscardBytes, Runnable onClosed) {
        transitionTo(State.LEAVING);
        Runnable close = () -> {
            IoUtils.safeClose(connection);
            onClosed.run();
        };
        try {
            if (!finalResponse.isEmpty()) {
                sink.write(ByteBuffer.wrap(finalResponse.getBytes(java.nio.charset.StandardCharsets.US_ASCII)));
            }
            sink.terminateWrites();
            sink.flush();
        } catch (IOException gone) {
            close.run();
            return;
        }
        connection
                .getSourceChannel()
                .setReadListener(any -> loop.event("closing a client's connection", () -> {
                    if (!discard(maxDiscardBytes)) {
                        close.run();
                    }
                }));
        next.resumeReads();
        loop.after(timeoutSeconds, "closing after the final response", () -> {
            if (connection.isOpen()) {
                discard(maxDiscardBytes);
                close.run();
            }
        });
    }

    /** Discards input; false once the client has closed or has sent more than that many bytes. */
    private boolean discard(long maxBytes) {
        ByteBuffer buffer = loop.readBuffer();
        try {
            while (discardedBytes <= maxBytes) {
                buffer.clear();
                int byteCount = next.read(buffer);
                if (byteCount <= 0) {
                    return byteCount == 0;
                }
                discardedBytes += byteCount;
            }
        } catch (IOException broken) {
            return false;
        }
        return false;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        if (readAheadBytes != null) {
            int byteCount = Math.min(readAheadBytes.remaining(), target.remaining());
            target.put(readAheadBytes.slice(readAheadBytes.position(), byteCount));
            readAheadBytes.position(readAheadBytes.position() + byteCount);
            readAheadBytes = readAheadBytes.hasRemaining() ? readAheadBytes : null;
            return byteCount;
        }
        int byteCount = next.read(target);
        if (byteCount > 0
                && state == State.LEAVING
                && (discardedBytes += byteCount) > loop.readBuffer().capacity()) {
            // Undertow drains the input after the last response; a client that sends too much counts as ended.
            return -1;
        }
        if (byteCount > 0 && (state == State.SILENT || state == State.BETWEEN)) {
            transitionTo(State.ARRIVING);
        }
        return byteCount;
    }

    @Override
    public long read(ByteBuffer[] target, int offset, int length) throws IOException {
        for (int each = offset; each < offset + length; each++) {
            if (target[each].hasRemaining()) {
                return read(target[each]);
            }
        }
        return 0;
    }
}
