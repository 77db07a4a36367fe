package pinewick.dataplane;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits a {@code text/event-stream} into complete events and records the id of the last one. The event that is being
 * read is buffered until its end. Its length is limited, and what it takes beyond a small buffer is reserved from a
 * budget that all streams share, so that a replica which sends bytes without end cannot exhaust the memory.
 */
final class EventStreamReader {
    /** Longest event that is buffered, bytes. */
    static final int MAX_EVENT_BYTES = UpstreamAttempt.MAX_BUFFERED_BYTES;

    /** Buffered for each stream without a reservation, bytes; most events are much shorter. */
    static final int UNRESERVED_BYTES = 8 * 1024;

    private static final int INITIAL_BYTES = 512;
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.ISO_8859_1);
    private static final byte[] EMPTY = {};

    private final BufferBudget budget;
    private byte[] partial = EMPTY;
    private int partialLength;
    private int lineStart;
    private int reservedBytes;
    private boolean tooLong;
    private String lastEventId;
    private String partialEventId;
    private boolean skipping;
    private long skipUpTo;

    /**
     * @param lastEventId id of the event after which the stream resumes, or null
     * @param budget memory for long events, shared by all streams
     */
    EventStreamReader(String lastEventId, BufferBudget budget) {
        this.lastEventId = lastEventId;
        this.budget = budget;
    }

    /**
     * Starts reading the stream of another attempt; discards a partial event of the previous one.
     *
     * @param isResumed whether events were forwarded before; those up to the last one are then skipped if the replica
     *     sends them again
     */
    void restart(boolean isResumed) {
        discardPartialEvent();
        tooLong = false;
        Long last = isResumed ? numeric(lastEventId) : null;
        skipping = last != null;
        skipUpTo = last == null ? 0 : last;
    }

    /**
     * Reads a chunk of the stream; returns the bytes of the events that it completes, empty if none. The rest of the
     * chunk is dropped if an event is too long, see {@link #isEventTooLong}.
     */
    byte[] read(ByteBuffer chunk) {
        ByteArrayOutputStream complete = new ByteArrayOutputStream(chunk.remaining());
        while (chunk.hasRemaining() && !tooLong) {
            append(chunk.get());
            if (!tooLong && partial[partialLength - 1] == '\n' && endOfLine()) {
                endOfEvent(complete);
            }
        }
        chunk.position(chunk.limit());
        return complete.toByteArray();
    }

    /** Whether the stream has an event that is longer than may be buffered; nothing more can be read from it. */
    boolean isEventTooLong() {
        return tooLong;
    }

    /** The bytes after the last complete event. */
    byte[] remainder() {
        return Arrays.copyOf(partial, partialLength);
    }

    /** Id of the last complete event, or else the id that the client sent; null if there is neither. */
    String lastEventId() {
        return lastEventId;
    }

    /** Releases the buffer; called when the request has ended. */
    void close() {
        discardPartialEvent();
    }

    private void append(byte next) {
        if (partialLength == partial.length && !grow()) {
            tooLong = true;
            discardPartialEvent();
            return;
        }
        partial[partialLength++] = next;
    }

    /** Doubles the buffer; returns false if the event would exceed a limit. */
    private boolean grow() {
        int capacity = Math.max(INITIAL_BYTES, 2 * partial.length);
        int reservation = Math.max(0, capacity - UNRESERVED_BYTES);
        if (capacity > MAX_EVENT_BYTES || !budget.tryReserve(reservation - reservedBytes)) {
            return false;
        }
        reservedBytes = reservation;
        partial = Arrays.copyOf(partial, capacity);
        return true;
    }

    private void discardPartialEvent() {
        partialLength = 0;
        lineStart = 0;
        partialEventId = null;
        if (reservedBytes > 0) {
            partial = EMPTY;
            budget.release(reservedBytes);
            reservedBytes = 0;
        }
    }

    /** Processes a complete line; returns whether it was empty, which ends an event. */
    private boolean endOfLine() {
        int end = partialLength - 1;
        if (end > lineStart && partial[end - 1] == '\r') {
            end--;
        }
        int length = end - lineStart;
        int idStart = lineStart + ID_FIELD.length;
        if (length >= ID_FIELD.length && Arrays.equals(partial, lineStart, idStart, ID_FIELD, 0, ID_FIELD.length)) {
            partialEventId = new String(partial, idStart, end - idStart, StandardCharsets.UTF_8).strip();
        }
        lineStart = partialLength;
        return length == 0;
    }

    private void endOfEvent(ByteArrayOutputStream complete) {
        if (!wasForwardedBefore()) {
            complete.write(partial, 0, partialLength);
            if (partialEventId != null) {
                lastEventId = partialEventId;
            }
        }
        discardPartialEvent();
    }

    private boolean wasForwardedBefore() {
        Long id = skipping ? numeric(partialEventId) : null;
        return id != null && id <= skipUpTo;
    }

    private static Long numeric(String id) {
        try {
            return id == null ? null : Long.valueOf(id);
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
