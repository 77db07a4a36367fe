package pinewick.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;

/**
 * The connection on which this process writes to one peer: dialled when there is something to write, closed when it was
 * idle, and dialled again after a failure. A frame that was written in part is sent again whole on the next connection;
 * the peer cannot have read it. The peer writes a byte back when it has read: where none comes in time, the
 * machine may be
 * cut off or without power while the local buffers still take bytes, and retransmissions come ever more rarely; a new
 * connection notices its return sooner. Runs on the selector's thread; only the queue is filled by others.
 */
final class OutgoingConnection implements ChannelHandler {
    static final double CONNECT_TIMEOUT_MS = 700;
    static final double STUCK_WRITE_MS = 1_500;
    static final double CONFIRMATION_TIMEOUT_MS = 1_500;
    static final double IDLE_MS = 10_000;
    static final double REDIAL_PAUSE_MS = 100;
    /** A frame that waited for a connection for longer is not sent any more. */
    static final double STALE_MS = 2_000;

    private static final int MAX_QUEUED_FRAMES = 512;
    private static final int MAX_QUEUED_BYTES = 10 << 20;

    private final InetSocketAddress peer;
    private final Selector selector;
    private final TransportCounters counters;
    private final ByteBuffer scratch = ByteBuffer.allocate(64);
    private final PeerQueue queue = new PeerQueue(MAX_QUEUED_FRAMES, MAX_QUEUED_BYTES);

    private SocketChannel channel;
    private SelectionKey key;
    private boolean connected;
    private PeerQueue.QueuedFrame current;
    private ByteBuffer[] currentBuffers;
    private double dialledAtMs;
    private double progressAtMs;
    /** When the first frame was written of which no reading was confirmed, NaN if there is none. */
    private double unconfirmedSinceMs = Double.NaN;

    private double redialAtMs = Double.NEGATIVE_INFINITY;

    OutgoingConnection(InetSocketAddress peer, Selector selector, TransportCounters counters) {
        this.peer = peer;
        this.selector = selector;
        this.counters = counters;
    }

    /** Queues a frame; any thread. */
    void enqueue(byte[] frame, double nowMs) {
        counters.dropped.add(queue.add(frame, nowMs));
    }

    /** Writes what it can, dialling first if there is no connection. */
    void service(double nowMs) {
        if (channel == null) {
            dialIfWanted(nowMs);
        } else if (connected && current == null) {
            write(nowMs);
        }
    }

    private void dialIfWanted(double nowMs) {
        counters.dropped.add(queue.dropOlderThan(nowMs - STALE_MS));
        if (queue.isEmpty() || nowMs < redialAtMs) {
            return;
        }
        try {
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            dialledAtMs = nowMs;
            connected = channel.connect(peer);
            key = channel.register(selector, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this);
            if (connected) {
                opened(nowMs);
            }
        } catch (IOException | RuntimeException e) {
            fail(nowMs);
        }
    }

    private void opened(double nowMs) {
        connected = true;
        progressAtMs = nowMs;
        write(nowMs);
    }

    @Override
    public void ready(double nowMs) {
        if (channel == null) {
            return;
        }
        try {
            if (key.isConnectable() && channel.finishConnect()) {
                key.interestOps(SelectionKey.OP_READ);
                opened(nowMs);
            } else if (key.isReadable() && !readConfirmation()) {
                fail(nowMs);
            } else if (key.isWritable()) {
                write(nowMs);
            }
        } catch (IOException e) {
            fail(nowMs);
        }
    }

    /** Takes the peer's confirmations; returns false at the end of the connection. */
    private boolean readConfirmation() throws IOException {
        scratch.clear();
        unconfirmedSinceMs = Double.NaN;
        return channel.read(scratch) >= 0;
    }

    private void write(double nowMs) {
        try {
            while (takeNext()) {
                if (channel.write(currentBuffers) > 0) {
                    progressAtMs = nowMs;
                }
                if (currentBuffers[1].hasRemaining()) {
                    key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
                    return;
                }
                counters.framesSent.increment();
                current = null;
                if (Double.isNaN(unconfirmedSinceMs)) {
                    unconfirmedSinceMs = nowMs;
                }
            }
            key.interestOps(SelectionKey.OP_READ);
        } catch (IOException e) {
            fail(nowMs);
        }
    }

    private boolean takeNext() {
        if (current == null) {
            current = queue.poll();
            currentBuffers = current == null ? null : current.buffers();
        }
        return current != null;
    }

    /** Looks after deadlines; to be called now and then while {@link #active}. */
    void sweep(double nowMs) {
        if (channel == null) {
            dialIfWanted(nowMs);
        } else if (!connected) {
            if (nowMs - dialledAtMs > CONNECT_TIMEOUT_MS) {
                fail(nowMs);
            }
        } else if (current != null) {
            if (nowMs - progressAtMs > STUCK_WRITE_MS) {
                fail(nowMs);
            }
        } else if (nowMs - unconfirmedSinceMs > CONFIRMATION_TIMEOUT_MS) {
            fail(nowMs);
        } else if (nowMs - progressAtMs > IDLE_MS) {
            close();
        }
    }

    private void fail(double nowMs) {
        counters.failedConnections.increment();
        if (current != null && !queue.putBack(current)) {
            counters.dropped.increment();
        }
        close();
        redialAtMs = nowMs + REDIAL_PAUSE_MS;
    }

    @Override
    public void close() {
        current = null;
        currentBuffers = null;
        connected = false;
        unconfirmedSinceMs = Double.NaN;
        key = null;
        if (channel != null) {
            try {
                channel.close();
            } catch (IOException e) {
                counters.failedConnections.increment();
            }
            channel = null;
        }
    }

    /** Whether it dials, or has frames that wait to be written or confirmed. */
    boolean waits() {
        boolean dials = channel != null && !connected;
        return dials || current != null || !queue.isEmpty() || !Double.isNaN(unconfirmedSinceMs);
    }

    /** Whether there is anything to look after. */
    boolean active() {
        return channel != null || !queue.isEmpty();
    }
}
