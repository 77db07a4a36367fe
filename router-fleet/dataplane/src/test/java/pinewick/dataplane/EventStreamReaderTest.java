package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How a stream is split into events, and how much of an event that does not end is buffered. */
class EventStreamReaderTest {
    private static final long BUDGET_BYTES = 1024 * 1024;
    private static final int JUNK_BYTES = 16 * 1024;

    private final BufferBudget budget = new BufferBudget(BUDGET_BYTES);
    private final EventStreamReader reader = started(new EventStreamReader(null, budget));

    private static EventStreamReader started(EventStreamReader reader) {
        reader.restart(false);
        return reader;
    }

    private static String read(EventStreamReader reader, String text) {
        ByteBuffer chunk = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
        String complete = new String(reader.read(chunk), StandardCharsets.UTF_8);
        assertFalse(chunk.hasRemaining());
        return complete;
    }

    private static String event(String id, int dataBytes) {
        return "id: " + id + "\ndata: " + "t".repeat(dataBytes) + "\n\n";
    }

    @Test
    void returnsCompleteEventsWhateverTheChunks() {
        String stream = event("1", 5) + "id: 2\r\ndata: ü\r\n\r\n" + "data: no id\n\n" + event("4", 3_000);
        byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
        for (int length : new int[] {1, 2, 7, 1_000, bytes.length}) {
            EventStreamReader each = started(new EventStreamReader("0", budget));
            StringBuilder complete = new StringBuilder();
            for (int from = 0; from < bytes.length; from += length) {
                int count = Math.min(length, bytes.length - from);
                complete.append(new String(each.read(ByteBuffer.wrap(bytes, from, count)), StandardCharsets.UTF_8));
            }
            assertEquals(stream, complete.toString(), "chunks of " + length);
            assertEquals("4", each.lastEventId());
            assertEquals(0, each.remainder().length);
        }
    }

    @Test
    void keepsAnIncompleteEventAndItsIdBack() {
        assertEquals(event("1", 5), read(reader, event("1", 5) + "id: 2\ndata: t"));
        assertEquals("1", reader.lastEventId());
        assertEquals("id: 2\ndata: t", new String(reader.remainder(), StandardCharsets.UTF_8));
        reader.restart(true);
        assertEquals(event("2", 1), read(reader, event("1", 5) + event("2", 1)));
    }

    @Test
    void forwardsALongEvent() {
        String event = event("1", EventStreamReader.MAX_EVENT_BYTES - 20);
        assertEquals(event, read(reader, event));
        assertEquals(0, budget.reservedBytes());
    }

    @Test
    void anEventThatIsTooLongEndsTheStreamAfterTheEventsBeforeIt() {
        EventStreamReader unlimited = started(new EventStreamReader(null, new BufferBudget(Long.MAX_VALUE)));
        String junk = "x".repeat(EventStreamReader.MAX_EVENT_BYTES + 1);
        assertEquals(event("1", 5), read(unlimited, event("1", 5) + junk));
        assertTrue(unlimited.isEventTooLong());
        assertEquals("1", unlimited.lastEventId());
        assertEquals("", read(unlimited, "\n\n" + event("2", 5)), "the stream cannot be read on");
        unlimited.restart(true);
        assertEquals(event("2", 5), read(unlimited, event("2", 5)), "another replica's stream");
    }

    /** Lines that end do not end an event: an empty line does. */
    @Test
    void linesWithoutAnEventAreLimitedToo() {
        String lines = "x".repeat(JUNK_BYTES) + "\n";
        for (int i = 0; i < EventStreamReader.MAX_EVENT_BYTES / JUNK_BYTES; i++) {
            assertEquals("", read(reader, lines));
        }
        assertTrue(reader.isEventTooLong());
        assertEquals(0, budget.reservedBytes());
    }

    /** The sum is limited as well, and streams whose events are short do not depend on it. */
    @Test
    void manySpoiltStreamsTogetherStayWithinTheBudget() {
        List<EventStreamReader> spoilt = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            spoilt.add(started(new EventStreamReader(null, budget)));
        }
        for (int round = 0; round < 20; round++) {
            spoilt.forEach(each -> read(each, "x".repeat(JUNK_BYTES)));
            assertTrue(budget.reservedBytes() <= BUDGET_BYTES);
        }
        assertTrue(spoilt.stream().anyMatch(EventStreamReader::isEventTooLong));
        String event = event("1", EventStreamReader.UNRESERVED_BYTES - 20);
        assertEquals(event, read(reader, event));
        spoilt.forEach(EventStreamReader::close);
        assertEquals(0, budget.reservedBytes());
    }

    @Test
    void closeAndRestartReleaseWhatIsReserved() {
        read(reader, "x".repeat(10 * JUNK_BYTES));
        assertTrue(budget.reservedBytes() >= 9 * JUNK_BYTES);
        reader.restart(false);
        assertEquals(0, budget.reservedBytes());
        read(reader, "x".repeat(10 * JUNK_BYTES));
        reader.close();
        assertEquals(0, budget.reservedBytes());
        assertNull(reader.lastEventId());
    }
}
