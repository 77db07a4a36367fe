package pinewick.dataplane;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Splits a {@code text/event-stream} into complete events and records the id of the last one. */
final class EventStreamReader {
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private final StringBuilder line = new StringBuilder();
    private String lastEventId;
    private String partialEventId;
    private boolean skipping;
    private long skipUpTo;

    /** @param lastEventId id of the event after which the stream resumes, or null */
    EventStreamReader(String lastEventId) {
        this.lastEventId = lastEventId;
    }

    /**
     * Starts reading the stream of another attempt; discards a partial event of the previous one.
     *
     * @param isResumed whether events were forwarded before; those up to the last one are then skipped if the replica
     *     sends them again
     */
    void restart(boolean isResumed) {
        partial.reset();
        line.setLength(0);
        partialEventId = null;
        Long last = isResumed ? numeric(lastEventId) : null;
        skipping = last != null;
        skipUpTo = last == null ? 0 : last;
    }

    /** Reads a chunk of the stream; returns the bytes of the events that it completes, empty if none. */
    byte[] read(ByteBuffer chunk) {
        ByteArrayOutputStream complete = new ByteArrayOutputStream(chunk.remaining());
        while (chunk.hasRemaining()) {
            byte each = chunk.get();
            partial.write(each);
            if (each != '\n') {
                line.append((char) (each & 0xff));
            } else if (endOfLine()) {
                endOfEvent(complete);
            }
        }
        return complete.toByteArray();
    }

    /** The bytes after the last complete event. */
    byte[] remainder() {
        return partial.toByteArray();
    }

    /** Id of the last complete event, or else the id that the client sent; null if there is neither. */
    String lastEventId() {
        return lastEventId;
    }

    /** Processes a complete line; returns whether it was empty, which ends an event. */
    private boolean endOfLine() {
        int length = line.length();
        if (length > 0 && line.charAt(length - 1) == '\r') {
            line.setLength(length - 1);
        }
        boolean empty = line.length() == 0;
        if (line.indexOf(ID_FIELD) == 0) {
            partialEventId = new String(
                            line.substring(ID_FIELD.length()).getBytes(StandardCharsets.ISO_8859_1),
                            StandardCharsets.UTF_8)
                    .strip();
        }
        line.setLength(0);
        return empty;
    }

    private void endOfEvent(ByteArrayOutputStream complete) {
        if (!wasForwardedBefore()) {
            complete.writeBytes(partial.toByteArray());
            if (partialEventId != null) {
                lastEventId = partialEventId;
            }
        }
        partialEventId = null;
        partial.reset();
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
