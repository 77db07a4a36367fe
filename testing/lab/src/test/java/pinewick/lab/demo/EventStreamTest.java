package pinewick.lab.demo;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class EventStreamTest {
    private static String events(int from, int to) {
        return IntStream.rangeClosed(from, to).mapToObj(EventStream::event).collect(Collectors.joining());
    }

    @Test
    void acceptsAStreamWithAllEventsInOrder() {
        assertTrue(EventStream.isComplete(events(1, EventStream.EVENTS)));
    }

    @Test
    void rejectsMissingDuplicateAndReorderedEvents() {
        String complete = events(1, EventStream.EVENTS);

        assertFalse(EventStream.isComplete(""));
        assertFalse(EventStream.isComplete(events(1, EventStream.EVENTS - 1)), "last event missing");
        assertFalse(EventStream.isComplete(events(2, EventStream.EVENTS)), "first event missing");
        assertFalse(EventStream.isComplete(events(1, 1) + complete), "duplicate event");
        assertFalse(
                EventStream.isComplete(events(2, 2) + events(1, 1) + events(3, EventStream.EVENTS)), "out of order");
        assertFalse(
                EventStream.isComplete(complete.substring(0, complete.length() - 1)),
                "truncated within the last event");
    }
}
