package pinewick.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/**
 * A connection that a peer dialled: frames are read from it. A byte is written back when frames have been read, so that
 * the peer can tell a process that reads from one that is frozen or gone, whose machine may still take bytes.
 */
final class IncomingConnection implements ChannelHandler {
    /** A peer closes after a shorter time; one that did not is gone. */
    static final double IDLE_MS = 30_000;

    private static final byte[] CONFIRMATION = {1};
    private static final int USUAL_BUFFER_BYTES = 4_096;
    /** A long frame is confirmed as it comes, with so long between. */
    private static final double CONFIRM_MS = 250;

    private final SocketChannel channel;
    private final InetSocketAddress remote;
    private final FrameReceiver receiver;
    private final TransportCounters counters;
    private ByteBuffer buffer = ByteBuffer.allocate(USUAL_BUFFER_BYTES);
    private double lastReadMs;
    private double confirmedAtMs;
    private long framesTaken;
    private boolean open = true;

    IncomingConnection(SocketChannel channel, FrameReceiver receiver, TransportCounters counters, double nowMs)
            throws IOException {
        this.channel = channel;
        this.remote = (InetSocketAddress) channel.getRemoteAddress();
        this.receiver = receiver;
        this.counters = counters;
        this.lastReadMs = nowMs;
        this.confirmedAtMs = nowMs;
    }

    @Override
    public void ready(double nowMs) {
        lastReadMs = nowMs;
        try {
            long framesBefore = framesTaken;
            int count = channel.read(buffer);
            if (count < 0 || !takeFrames()) {
                close();
            } else if (framesTaken > framesBefore || nowMs - confirmedAtMs >= CONFIRM_MS) {
                confirmedAtMs = nowMs;
                channel.write(ByteBuffer.wrap(CONFIRMATION));
            }
        } catch (IOException e) {
            close();
        }
    }

    /** Hands on every whole frame; returns whether what came makes sense. */
    private boolean takeFrames() {
        buffer.flip();
        while (buffer.remaining() >= Integer.BYTES) {
            int length = buffer.getInt(buffer.position());
            if (length < MessageCodec.HEADER_BYTES || length > MessageCodec.MAX_FRAME_BYTES) {
                counters.malformed.increment();
                return false;
            }
            if (buffer.remaining() < Integer.BYTES + length) {
                makeRoom(Integer.BYTES + length);
                return true;
            }
            int start = buffer.position() + Integer.BYTES;
            framesTaken++;
            counters.framesReceived.increment();
            receiver.receive(remote, buffer.array(), start, length);
            buffer.position(start + length);
        }
        makeRoom(USUAL_BUFFER_BYTES);
        return true;
    }

    /** Moves what is left to the front of a buffer that can grow to {@code wanted} bytes, by doubling as they come. */
    private void makeRoom(int wanted) {
        int left = buffer.remaining();
        int capacity = USUAL_BUFFER_BYTES;
        while (capacity < wanted && capacity <= left) {
            capacity *= 2;
        }
        if (capacity == buffer.capacity() || capacity < buffer.capacity() && left > 0) {
            buffer.compact();
            return;
        }
        ByteBuffer next = ByteBuffer.allocate(capacity);
        next.put(buffer);
        buffer = next;
    }

    boolean open() {
        return open;
    }

    boolean idle(double nowMs) {
        return nowMs - lastReadMs > IDLE_MS;
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
