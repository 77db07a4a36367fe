package pinewick.lab.demo;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** The events that a fake replica streams, and the check that a client received all of them. */
final class EventStream {
    /** Number of events of a complete response. */
    static final int EVENTS = 8;

    private static final String ID_LINE = "id: ";

    private EventStream() {}

    /** One event, with its terminating empty line. */
    static String event(int id) {
        return ID_LINE + id + "\ndata: token " + id + "\n\n";
    }

    /** Whether a body contains every event once, in order, and the terminator of the last one. */
    static boolean isComplete(String body) {
        return body.endsWith("\n\n") && ids(body).equals(expectedIds());
    }

    private static List<String> ids(String body) {
        return body.lines()
                .filter(line -> line.startsWith(ID_LINE))
                .map(line -> line.substring(ID_LINE.length()))
                .collect(Collectors.toList());
    }

    private static List<String> expectedIds() {
        return IntStream.rangeClosed(1, EVENTS).mapToObj(Integer::toString).collect(Collectors.toList());
    }
}
