package pinewick.rules;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A trace that fakes, experiments and tests write and the checker reads. One event per line with tab-separated fields:
 * time in seconds, router, event, query, part, replica, detail; "-" if a field does not apply.
 */
public final class Trace {
    /** The kind of an event. */
    public enum Kind {
        /** A query was accepted; detail: seconds that its client waits. */
        TAKEN,
        /** The final response was sent to the client; detail: fulfilled, part, declined or given-up. */
        ANSWERED,
        /** The client disconnected. */
        WITHDRAWN,
        /** A part was sent to, or reached, a replica; detail: the number of the attempt if known. */
        SENT,
        /** The value of a part was received. */
        VALUE,
        /** A router learned that a replica is draining, gone or ready again; detail: draining, gone or ready. */
        TOLD
    }

    /** One event; times in seconds. */
    public record Event(double at, String router, Kind kind, String query, String part, String replica, String detail) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%.6f\t%s\t%s\t%s\t%s\t%s\t%s",
                    at,
                    router,
                    kind.name().toLowerCase(Locale.ROOT),
                    query,
                    part,
                    replica,
                    detail);
        }
    }

    private final List<Event> events = new ArrayList<>();

    public synchronized void add(
            double at, String router, Kind kind, String query, String part, String replica, String detail) {
        events.add(new Event(at, router, kind, query, part, replica, detail));
    }

    /** All events, sorted by time. */
    public synchronized List<Event> events() {
        List<Event> sorted = new ArrayList<>(events);
        sorted.sort((one, other) -> Double.compare(one.at, other.at));
        return sorted;
    }

    /** Parses a trace. Throws IllegalArgumentException that names the line and the field at fault. */
    public static Trace read(List<String> lines) {
        Trace trace = new Trace();
        for (int number = 0; number < lines.size(); number++) {
            String[] fields = lines.get(number).split("\t", -1);
            if (fields.length != 7) {
                throw new IllegalArgumentException(
                        "line " + (number + 1) + ": 7 fields are expected, not " + fields.length);
            }
            try {
                trace.add(
                        Double.parseDouble(fields[0]),
                        fields[1],
                        Kind.valueOf(fields[2].toUpperCase(Locale.ROOT)),
                        fields[3],
                        fields[4],
                        fields[5],
                        fields[6]);
            } catch (IllegalArgumentException e) {
                throw new IllegalArgumentException("line " + (number + 1) + ": time or event: " + e.getMessage());
            }
        }
        return trace;
    }
}
