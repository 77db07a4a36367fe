package pinewick.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;

/**
 * The connection on which this process writes to one peer: opened when there is a frame to write, closed when idle, and
 * reopened after a failure. A partially written frame is sent again in full on the next connection, because the peer
 * cannot have read it. The peer writes back one byte as an acknowledgement when it has read frames. If none arrives in
 * time, the peer's machine may be partitioned or without power while the local buffers still accept bytes. Since TCP
 * retransmits at ever longer intervals, a new connection detects the peer's return sooner. Selector thread only, except
 * for {@link #enqueue}. {@code channel}, {@code key}, {@code currentFrame} and {@code currentBuffers} are null while
 * there is none.
 */
final class OutgoingConnection implements ChannelHandler {
    static final double CONNECT_TIMEOUT_MS = 700;
    static final double WRITE_TIMEOUT_MS = 1_500;
    static final double ACKNOWLEDGEMENT_TIMEOUT_MS = 1_500;
    static final double IDLE_TIMEOUT_MS = 10_000;
    static final double RECONNECT_DELAY_MS = 100;
    /** A frame that has waited longer than this for a connection is dropped. */
    static final double MAX_QUEUE_TIME_MS = 2_000;

    private static final int MAX_QUEUED_FRAMES = 512;
    private static final int MAX_QUEUED_BYTES = 10 << 20;

    private final InetSocketAddress peer;
    private final Selector selector;
    private final TransportCounters counters;
    private final ByteBuffer readBuffer = ByteBuffer.allocate(64);
    private final PeerQueue queue = new PeerQueue(MAX_QUEUED_FRAMES, MAX_QUEUED_BYTES);

    private SocketChannel channel;
    private SelectionKey key;
    private boolean connected;
    private PeerQueue.QueuedFrame currentFrame;
    private ByteBuffer[] currentBuffers;
    private double connectingSinceMs;
    private double lastProgressMs;
    /** Time at which the first unacknowledged frame was written; NaN if there is none. */
    private double unacknowledgedSinceMs = Double.NaN;

    private double reconnectAtMs = Double.NEGATIVE_INFINITY;

    OutgoingConnection(InetSocketAddress peer, Selector selector, TransportCounters counters) {
        this.peer = peer;
        this.selector = selector;
        this.counters = counters;
    }

    /** Queues a frame. May be called from any thread. */
    void enqueue(byte[] frame, double nowMs) {
        counters.dropped.add(queue.add(frame, nowMs));
    }

    /** Writes queued frames as far as the socket accepts them, or starts to connect if there is no connection. */
    void connectOrWrite(double nowMs) {
        if (channel == null) {
            connectIfNeeded(nowMs);
        } else if (connected && currentFrame == null) {
            write(nowMs);
        }
    }

    private void connectIfNeeded(double nowMs) {
        counters.dropped.add(queue.dropOlderThan(nowMs - MAX_QUEUE_TIME_MS));
        if (queue.isEmpty() || nowMs < reconnectAtMs) {
            return;
        }
        try {
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            connectingSinceMs = nowMs;
            connected = channel.connect(peer);
            key = channel.register(selector, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this);
            if (connected) {
                onConnected(nowMs);
            }
        } catch (IOException | RuntimeException e) {
            // An unresolved address causes a runtime exception; the connection attempt is retried in either case.
            onFailure(nowMs);
        }
    }

    private void onConnected(double nowMs) {
        connected = true;
        lastProgressMs = nowMs;
        write(nowMs);
    }

    @Override
    public void onReady(double nowMs) {
        if (channel == null) {
            return;
        }
        try {
            if (key.isConnectable() && channel.finishConnect()) {
                key.interestOps(SelectionKey.OP_READ);
                onConnected(nowMs);
            } else if (key.isReadable() && !readAcknowledgement()) {
                onFailure(nowMs);
            } else if (key.isWritable()) {
                write(nowMs);
            }
        } catch (IOException e) {
            onFailure(nowMs);
        }
    }

    /** Reads acknowledgements of the peer; returns false if the peer has closed the connection. */
    private boolean readAcknowledgement() throws IOException {
        readBuffer.clear();
        unacknowledgedSinceMs = Double.NaN;
        return channel.read(readBuffer) >= 0;
    }

    private void write(double nowMs) {
        try {
            while (pollNext()) {
                if (channel.write(currentBuffers) > 0) {
                    lastProgressMs = nowMs;
                }
                if (currentBuffers[1].hasRemaining()) {
                    key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
                    return;
                }
                counters.framesSent.increment();
                currentFrame = null;
                if (Double.isNaN(unacknowledgedSinceMs)) {
                    unacknowledgedSinceMs = nowMs;
                }
            }
            key.interestOps(SelectionKey.OP_READ);
        } catch (IOException e) {
            onFailure(nowMs);
        }
    }

    private boolean pollNext() {
        if (currentFrame == null) {
            queue.poll().ifPresent(next -> {
                currentFrame = next;
                currentBuffers = next.buffers();
            });
        }
        return currentFrame != null;
    }

    /** Checks time-outs. To be called periodically while {@link #isActive}. */
    void checkDeadlines(double nowMs) {
        if (channel == null) {
            connectIfNeeded(nowMs);
        } else if (!connected) {
            if (nowMs - connectingSinceMs > CONNECT_TIMEOUT_MS) {
                onFailure(nowMs);
            }
        } else if (currentFrame != null) {
            if (nowMs - lastProgressMs > WRITE_TIMEOUT_MS) {
                onFailure(nowMs);
            }
        } else if (nowMs - unacknowledgedSinceMs > ACKNOWLEDGEMENT_TIMEOUT_MS) {
            onFailure(nowMs);
        } else if (nowMs - lastProgressMs > IDLE_TIMEOUT_MS) {
            close();
        }
    }

    private void onFailure(double nowMs) {
        counters.failedConnections.increment();
        if (currentFrame != null && !queue.requeue(currentFrame)) {
            counters.dropped.increment();
        }
        close();
        reconnectAtMs = nowMs + RECONNECT_DELAY_MS;
    }

    @Override
    public void close() {
        currentFrame = null;
        currentBuffers = null;
        connected = false;
        unacknowledgedSinceMs = Double.NaN;
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

    /** Whether it is connecting, or has frames that are not yet written or acknowledged. */
    boolean hasPendingWork() {
        boolean isConnecting = channel != null && !connected;
        return isConnecting || currentFrame != null || !queue.isEmpty() || !Double.isNaN(unacknowledgedSinceMs);
    }

    /** Whether there is a connection or a queued frame. */
    boolean isActive() {
        return channel != null || !queue.isEmpty();
    }
}
