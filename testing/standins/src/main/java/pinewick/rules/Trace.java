package pinewick.rules;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The trace that stand-ins, experiments and tests write and the checker reads: one event a line, its fields set apart
 * by tabs: time (seconds), mixer, event, query, part, searcher, detail; "-" where a field has nothing to say.
 */
public final class Trace {
    /** The kind of an event. */
    public enum Kind {
        /** A client's query was taken; detail: seconds its client waits. */
        TAKEN,
        /** The client's final answer; detail: fulfilled, part, declined or given-up. */
        ANSWERED,
        /** The client left. */
        WITHDRAWN,
        /** A part reached, or was sent to, a searcher; detail: the number of the launch where known. */
        SENT,
        /** A part's value came back. */
        VALUE,
        /** A mixer was told that a searcher drains, is gone or is ready again; detail: draining, gone or ready. */
        TOLD
    }

    /** One line; times in seconds. */
    public record Event(double at, String mixer, Kind kind, String query, String part, String searcher, String detail) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%.6f\t%s\t%s\t%s\t%s\t%s\t%s",
                    at,
                    mixer,
                    kind.name().toLowerCase(Locale.ROOT),
                    query,
                    part,
                    searcher,
                    detail);
        }
    }

    private final List<Event> events = new ArrayList<>();

    public synchronized void add(
            double at, String mixer, Kind kind, String query, String part, String searcher, String detail) {
        events.add(new Event(at, mixer, kind, query, part, searcher, detail));
    }

    /** In the order of their times. */
    public synchronized List<Event> events() {
        List<Event> sorted = new ArrayList<>(events);
        sorted.sort((one, other) -> Double.compare(one.at, other.at));
        return sorted;
    }

    /** Throws IllegalArgumentException that names the line and the field. */
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
            } catch (IllegalArgumentException odd) {
                throw new IllegalArgumentException("line " + (number + 1) + ": time or event: " + odd.getMessage());
            }
        }
        return trace;
    }
}
