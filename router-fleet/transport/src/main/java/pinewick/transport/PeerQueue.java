package pinewick.transport;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Optional;

/** Bounded queue of the frames for one peer; the oldest frames are dropped first. Thread-safe. */
final class PeerQueue {
    private final int maxFrames;
    private final int maxBytes;
    private final ArrayDeque<QueuedFrame> frames = new ArrayDeque<>();
    private int queuedBytes;

    PeerQueue(int maxFrames, int maxBytes) {
        this.maxFrames = maxFrames;
        this.maxBytes = maxBytes;
    }

    /** A frame and the time at which it was queued. */
    record QueuedFrame(byte[] frame, double queuedAtMs) {
        /** The bytes on the connection: the length prefix and the frame. */
        ByteBuffer[] buffers() {
            ByteBuffer length = ByteBuffer.allocate(Integer.BYTES);
            length.putInt(frame.length).flip();
            return new ByteBuffer[] {length, ByteBuffer.wrap(frame)};
        }
    }

    /** Adds a frame; returns the number of older frames that were dropped. */
    synchronized int add(byte[] frame, double nowMs) {
        frames.addLast(new QueuedFrame(frame, nowMs));
        queuedBytes += frame.length;
        int dropped = 0;
        while (frames.size() > 1 && (frames.size() > maxFrames || queuedBytes > maxBytes)) {
            queuedBytes -= frames.removeFirst().frame().length;
            dropped++;
        }
        return dropped;
    }

    /** Puts a frame back at the head of the queue; returns false if there is no space for it. */
    synchronized boolean requeue(QueuedFrame frame) {
        if (frames.size() >= maxFrames || queuedBytes + frame.frame().length > maxBytes) {
            return false;
        }
        frames.addFirst(frame);
        queuedBytes += frame.frame().length;
        return true;
    }

    /** Removes and returns the oldest frame; empty if there is none. */
    synchronized Optional<QueuedFrame> poll() {
        Optional<QueuedFrame> frame = Optional.ofNullable(frames.pollFirst());
        frame.ifPresent(polled -> queuedBytes -= polled.frame().length);
        return frame;
    }

    /** Drops the frames that were queued before {@code timeMs}; returns their number. */
    synchronized int dropOlderThan(double timeMs) {
        int dropped = 0;
        while (!frames.isEmpty() && frames.peekFirst().queuedAtMs() < timeMs) {
            queuedBytes -= frames.removeFirst().frame().length;
            dropped++;
        }
        return dropped;
    }

    synchronized boolean isEmpty() {
        return frames.isEmpty();
    }
}
