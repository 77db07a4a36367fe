package pinewick.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/**
 * A connection opened by a peer, from which frames are read. Once frames have been read, one byte is written back as an
 * acknowledgement. It lets the peer distinguish a process that reads from one that is frozen or dead, whose machine may
 * still accept bytes. Selector thread only.
 */
final class IncomingConnection implements ChannelHandler {
    /** Longer than the idle time-out of the peer: a peer that has not closed the connection by then is dead. */
    static final double IDLE_TIMEOUT_MS = 30_000;

    private static final byte[] ACKNOWLEDGEMENT = {1};
    private static final int INITIAL_BUFFER_BYTES = 4_096;
    /** Interval of the acknowledgements while a long frame is arriving. */
    private static final double ACKNOWLEDGEMENT_INTERVAL_MS = 250;

    private final SocketChannel channel;
    private final InetSocketAddress remote;
    private final FrameReceiver receiver;
    private final TransportCounters counters;
    private ByteBuffer buffer = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
    private double lastReadMs;
    private double acknowledgedAtMs;
    private long framesRead;
    private boolean open = true;

    IncomingConnection(SocketChannel channel, FrameReceiver receiver, TransportCounters counters, double nowMs)
            throws IOException {
        this.channel = channel;
        this.remote = (InetSocketAddress) channel.getRemoteAddress();
        this.receiver = receiver;
        this.counters = counters;
        this.lastReadMs = nowMs;
        this.acknowledgedAtMs = nowMs;
    }

    @Override
    public void onReady(double nowMs) {
        lastReadMs = nowMs;
        try {
            long framesBefore = framesRead;
            int bytesRead = channel.read(buffer);
            if (bytesRead < 0 || !readFrames()) {
                close();
            } else if (framesRead > framesBefore || nowMs - acknowledgedAtMs >= ACKNOWLEDGEMENT_INTERVAL_MS) {
                acknowledgedAtMs = nowMs;
                channel.write(ByteBuffer.wrap(ACKNOWLEDGEMENT));
            }
        } catch (IOException e) {
            close();
        }
    }

    /** Passes every complete frame to the receiver; returns whether the bytes are valid. */
    private boolean readFrames() {
        buffer.flip();
        while (buffer.remaining() >= Integer.BYTES) {
            int length = buffer.getInt(buffer.position());
            if (length < MessageCodec.HEADER_BYTES || length > MessageCodec.MAX_FRAME_BYTES) {
                counters.malformed.increment();
                return false;
            }
            if (buffer.remaining() < Integer.BYTES + length) {
                ensureCapacity(Integer.BYTES + length);
                return true;
            }
            int start = buffer.position() + Integer.BYTES;
            framesRead++;
            counters.framesReceived.increment();
            receiver.receive(remote, buffer.array(), start, length);
            buffer.position(start + length);
        }
        ensureCapacity(INITIAL_BUFFER_BYTES);
        return true;
    }

    /**
     * Moves the remaining bytes to the front of a buffer that grows towards {@code requiredBytes} by doubling as bytes
     * arrive.
     */
    private void ensureCapacity(int requiredBytes) {
        int remainingBytes = buffer.remaining();
        int capacity = INITIAL_BUFFER_BYTES;
        while (capacity < requiredBytes && capacity <= remainingBytes) {
            capacity *= 2;
        }
        if (capacity == buffer.capacity() || (capacity < buffer.capacity() && remainingBytes > 0)) {
            buffer.compact();
            return;
        }
        ByteBuffer resized = ByteBuffer.allocate(capacity);
        resized.put(buffer);
        buffer = resized;
    }

    boolean isOpen() {
        return open;
    }

    boolean isIdle(double nowMs) {
        return nowMs - lastReadMs > IDLE_TIMEOUT_MS;
    }

    @Override
    public void close() {
        open = false;
        try {
            channel.close();
        } catch (IOException e) {
            counters.failedConnections.increment();
        }
    }
}
