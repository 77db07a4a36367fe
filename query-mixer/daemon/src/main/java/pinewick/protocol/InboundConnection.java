package pinewick.protocol;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;
import pinewick.loop.EventLoop;

/** A client's connection: how far its present request has come, as the raw bytes tell, beneath the reader of HTTP. */
final class InboundConnection extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /** SILENT: no byte ever; BETWEEN: none since an answer; LEAVING: nothing more is taken from it or said to it. */
    enum State {
        SILENT,
        ARRIVING,
        ASKED,
        BETWEEN,
        LEAVING
    }

    /** What a look at a connection whose client waits for its answer found. */
    enum ClientStatus {
        THERE,
        GONE,
        FLOOD
    }

    final StreamConnection connection;
    private final EventLoop loop;
    private State state = State.SILENT;
    private double since;
    /** Bytes that came before their reader wants them, ready to be read; null where there are none. */
    private ByteBuffer ahead;

    private final StreamSinkConduit sink;
    private long discarded;
    /** Whether the head of a request was ever read. */
    boolean requestSeen;

    InboundConnection(StreamConnection connection, EventLoop loop) {
        super(connection.getSourceChannel().getConduit());
        this.connection = connection;
        this.loop = loop;
        since = loop.now();
        sink = connection.getSinkChannel().getConduit();
        connection.getSourceChannel().setConduit(this);
    }

    State state() {
        return state;
    }

    void transitionTo(State next) {
        if (state != next && state != State.LEAVING) {
            state = next;
            since = loop.now();
        }
    }

    /** How long it has been in its state. */
    double stateAgeSeconds() {
        return loop.now() - since;
    }

    /**
     * Whether nothing of a request is there. Danger: a request that came in but was not read would be lost by a close.
     * What is found is kept for the reader, who is called.
     */
    boolean isEmpty() {
        if (ahead == null && connection.isOpen()) {
            ByteBuffer found = ByteBuffer.allocate(64);
            try {
                if (next.read(found) > 0) {
                    ahead = found.flip();
                    transitionTo(State.ARRIVING);
                    next.wakeupReads();
                }
            } catch (IOException broken) {
                return true;
            }
        }
        return ahead == null;
    }

    /**
     * Reads what a client sends while it waits, so that its end or reset is seen behind it; the reader of HTTP gets the
     * bytes after the answer. Danger: a client that sent its next request ahead and then left would not be noticed.
     */
    ClientStatus readAhead(int most) {
        ByteBuffer in = loop.readBuffer();
        try {
            while (true) {
                in.clear();
                int count = next.read(in);
                if (count <= 0) {
                    return count < 0 ? ClientStatus.GONE : ClientStatus.THERE;
                }
                in.flip();
                int kept = ahead == null ? 0 : ahead.remaining();
                if (kept + count > most) {
                    return ClientStatus.FLOOD;
                }
                ByteBuffer all = ByteBuffer.allocate(kept + count);
                if (ahead != null) {
                    all.put(ahead);
                }
                ahead = all.put(in).flip();
            }
        } catch (IOException broken) {
            return ClientStatus.GONE;
        }
    }

    /** Wakes its reader for what comes from now on. */
    void enableReads() {
        next.resumeReads();
    }

    /** Danger: what was read ahead makes no socket readable, so its reader would wait for more. */
    @Override
    public void resumeReads() {
        if (ahead != null) {
            next.wakeupReads();
        } else {
            next.resumeReads();
        }
    }

    /**
     * Ends a connection after its last words, if any: shuts the output, reads on and throws away until the client has
     * closed, and then closes. Danger: a close over unread bytes resets the connection, and an answer on its way goes
     * with it. Harm: a client that never closes, or sends without end, keeps its place until time or bytes are up.
     */
    void closeGracefully(String finalResponse, double mostTime, long mostBytes, Runnable closed) {
        transitionTo(State.LEAVING);
        Runnable close = () -> {
            IoUtils.safeClose(connection);
            closed.run();
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
                    if (!discard(mostBytes)) {
                        close.run();
                    }
                }));
        next.resumeReads();
        loop.after(mostTime, "closing after the last words", () -> {
            if (connection.isOpen()) {
                discard(mostBytes);
                close.run();
            }
        });
    }

    /** False once the client has closed, or has sent so much. */
    private boolean discard(long most) {
        ByteBuffer in = loop.readBuffer();
        try {
            while (discarded <= most) {
                in.clear();
                int count = next.read(in);
                if (count <= 0) {
                    return count == 0;
                }
                discarded += count;
            }
        } catch (IOException broken) {
            return false;
        }
        return false;
    }

    @Override
    public int read(ByteBuffer into) throws IOException {
        if (ahead != null) {
            int count = Math.min(ahead.remaining(), into.remaining());
            into.put(ahead.slice(ahead.position(), count));
            ahead.position(ahead.position() + count);
            ahead = ahead.hasRemaining() ? ahead : null;
            return count;
        }
        int count = next.read(into);
        if (count > 0
                && state == State.LEAVING
                && (discarded += count) > loop.readBuffer().capacity()) {
            return -1; // A flood after the last answer; Undertow, which reads on for it, takes this for the end.
        }
        if (count > 0 && (state == State.SILENT || state == State.BETWEEN)) {
            transitionTo(State.ARRIVING);
        }
        return count;
    }

    @Override
    public long read(ByteBuffer[] into, int from, int count) throws IOException {
        for (int each = from; each < from + count; each++) {
            if (into[each].hasRemaining()) {
                return read(into[each]);
            }
        }
        return 0;
    }
}
