package pinewick.wire;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import pinewick.state.InFlightAttempt;
import pinewick.state.OpenQuery;
import pinewick.state.ReplicaCall;

/** The frames spoken with searchers: a length (least significant byte first), a letter, the rest. */
public final class Frames {
    static final char CALL = '1';
    static final char CANCEL = '2';
    static final char PROBE = '3';
    static final char LOAD = '4';
    static final char ANSWER = '5';
    static final char UNUSABLE = 'X';

    private Frames() {}

    static ByteBuffer frame(char letter, byte[] rest) {
        ByteBuffer frame = ByteBuffer.allocate(5 + rest.length).order(ByteOrder.LITTLE_ENDIAN);
        frame.putInt(1 + rest.length).put((byte) letter).put(rest).flip();
        return frame;
    }

    static ByteBuffer cancel(String part) {
        return frame(CANCEL, part.getBytes(StandardCharsets.UTF_8));
    }

    /** One call; the wait is told in whole milliseconds, never more than is left. */
    static ByteBuffer call(ReplicaCall call, double now) {
        ByteArrayOutputStream rest = new ByteArrayOutputStream(256);
        for (InFlightAttempt launch : call.attempts) {
            OpenQuery query = launch.shardRequest.query;
            long wait = Math.max(1, (long) Math.floor((launch.deadline - now) * 1000));
            String line = launch.shardRequest.id + ' ' + launch.shardRequest.shard + " d=" + wait
                    + (query.idempotencyKey == null ? "" : ",k=" + query.idempotencyKey) + ' ' + query.filter.length
                    + '\n';
            rest.writeBytes(line.getBytes(StandardCharsets.UTF_8));
            rest.writeBytes(query.filter);
        }
        return frame(CALL, rest.toByteArray());
    }

    /** Cuts what comes in into frames; what is not whole yet is kept, up to one frame of the longest. */
    static final class Cutter {
        private static final int USUAL = 1 << 10;
        private final int longest;
        private long count;
        private ByteBuffer kept = ByteBuffer.allocate(USUAL).order(ByteOrder.LITTLE_ENDIAN);

        Cutter(int longest) {
            this.longest = longest;
        }

        /** How many frames were whole so far. */
        long count() {
            return count;
        }

        /** Whether a frame has begun that is not whole. */
        boolean partial() {
            return kept.position() > 0;
        }

        /** Hands on each whole frame's letter and rest, in a view that holds for that call alone. */
        void feed(ByteBuffer bytes, Consumer<ByteBuffer> whole) {
            if (kept.remaining() < bytes.remaining()) {
                int size = Integer.highestOneBit(kept.position() + bytes.remaining()) * 2;
                kept = ByteBuffer.allocate(size).order(ByteOrder.LITTLE_ENDIAN).put(kept.flip());
            }
            kept.put(bytes).flip();
            while (kept.remaining() >= 4) {
                int length = kept.getInt(kept.position());
                if (length < 1 || length > longest) {
                    throw new IllegalArgumentException("a frame of " + length + " bytes");
                }
                if (kept.remaining() < 4 + length) {
                    break;
                }
                ByteBuffer one = kept.slice(kept.position() + 4, length);
                kept.position(kept.position() + 4 + length);
                count++;
                whole.accept(one);
            }
            kept.compact();
            if (kept.position() == 0 && kept.capacity() > 16 * USUAL) {
                kept = ByteBuffer.allocate(USUAL).order(ByteOrder.LITTLE_ENDIAN);
            }
        }
    }
}
