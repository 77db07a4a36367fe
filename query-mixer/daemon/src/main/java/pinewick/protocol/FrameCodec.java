package pinewick.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import pinewick.state.InFlightAttempt;
import pinewick.state.OpenQuery;
import pinewick.state.ReplicaCall;

/** The frame protocol with replicas: a 32-bit little-endian length, a type byte, the payload. */
public final class FrameCodec {
    static final char CALL = '1';
    static final char CANCEL = '2';
    static final char PROBE = '3';
    static final char LOAD = '4';
    static final char RESPONSE = '5';
    static final char PROTOCOL_ERROR = 'X';

    private FrameCodec() {}

    static ByteBuffer frame(char type, byte[] payload) {
        ByteBuffer frame = ByteBuffer.allocate(5 + payload.length).order(ByteOrder.LITTLE_ENDIAN);
        frame.putInt(1 + payload.length).put((byte) type).put(payload).flip();
        return frame;
    }

    static ByteBuffer cancel(String part) {
        return frame(CANCEL, part.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Encodes a call; the time left is sent in whole milliseconds, rounded down so that it is never more than is left,
     * and at least 1.
     */
    static ByteBuffer call(ReplicaCall call, double now) {
        ByteArrayOutputStream payload = new ByteArrayOutputStream(256);
        for (InFlightAttempt attempt : call.attempts) {
            OpenQuery query = attempt.shardRequest.query;
            long timeoutMs = Math.max(1, (long) Math.floor((attempt.deadline - now) * 1000));
            String line = attempt.shardRequest.id + ' ' + attempt.shardRequest.shard + " d=" + timeoutMs
                    + (query.idempotencyKey == null ? "" : ",k=" + query.idempotencyKey) + ' ' + query.filter.length
                    + '\n';
            payload.writeBytes(line.getBytes(StandardCharsets.UTF_8));
            payload.writeBytes(query.filter);
        }
        return frame(CALL, payload.toByteArray());
    }

    /** Splits received bytes into frames; an incomplete frame is buffered, up to the maximum frame length. */
    static final class Decoder {
        private static final int INITIAL_BUFFER_BYTES = 1 << 10;
        private final int maxFrameBytes;
        private long frameCount;
        private ByteBuffer buffered = ByteBuffer.allocate(INITIAL_BUFFER_BYTES).order(ByteOrder.LITTLE_ENDIAN);

        Decoder(int maxFrameBytes) {
            this.maxFrameBytes = maxFrameBytes;
        }

        /** Number of complete frames so far. */
        long frameCount() {
            return frameCount;
        }

        /** Whether a frame has begun but is not complete. */
        boolean isPartial() {
            return buffered.position() > 0;
        }

        /** Passes on the type and payload of each complete frame, in a view that is valid only during that call. */
        void feed(ByteBuffer bytes, Consumer<ByteBuffer> onFrame) {
            if (buffered.remaining() < bytes.remaining()) {
                int size = Integer.highestOneBit(buffered.position() + bytes.remaining()) * 2;
                buffered =
                        ByteBuffer.allocate(size).order(ByteOrder.LITTLE_ENDIAN).put(buffered.flip());
            }
            buffered.put(bytes).flip();
            while (buffered.remaining() >= 4) {
                int length = buffered.getInt(buffered.position());
                if (length < 1 || length > maxFrameBytes) {
                    throw new IllegalArgumentException("invalid frame length: " + length + " bytes");
                }
                if (buffered.remaining() < 4 + length) {
                    break;
                }
                ByteBuffer frame = buffered.slice(buffered.position() + 4, length);
                buffered.position(buffered.position() + 4 + length);
                frameCount++;
                onFrame.accept(frame);
            }
            buffered.compact();
            if (buffered.position() == 0 && buffered.capacity() > 16 * INITIAL_BUFFER_BYTES) {
                buffered = ByteBuffer.allocate(INITIAL_BUFFER_BYTES).order(ByteOrder.LITTLE_ENDIAN);
            }
        }
    }
}
