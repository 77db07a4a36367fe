package pinewick.simulator;

/** One line of the wire: its verb and its name=value pairs, found in place. */
final class ProtocolLine {
    private final String line;
    private final String verb;

    ProtocolLine(String line) {
        this.line = line;
        int end = line.indexOf(' ');
        verb = end < 0 ? line : line.substring(0, end);
    }

    String verb() {
        return verb;
    }

    /** The value of a field, or null; only 'config' and 'text' run to the end of the line. */
    private String find(String name) {
        int at = verb.length();
        while (at < line.length()) {
            int start = at + 1;
            int equals = line.indexOf('=', start);
            if (equals < 0) {
                return null;
            }
            boolean toEnd = line.startsWith("config=", start) || line.startsWith("text=", start);
            int end = toEnd ? line.length() : line.indexOf(' ', equals);
            if (end < 0) {
                end = line.length();
            }
            if (equals - start == name.length() && line.startsWith(name, start)) {
                return line.substring(equals + 1, end);
            }
            at = end;
        }
        return null;
    }

    String text(String name) {
        String value = find(name);
        if (value == null) {
            throw new IllegalArgumentException("'" + verb + "' without " + name);
        }
        return value;
    }

    String text(String name, String absent) {
        String value = find(name);
        return value == null ? absent : value;
    }

    long whole(String name) {
        return whole(name, text(name));
    }

    long whole(String name, long absent) {
        String value = find(name);
        return value == null ? absent : whole(name, value);
    }

    private long whole(String name, String value) {
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException odd) {
            throw new IllegalArgumentException("'" + verb + "' with " + name + "=" + value);
        }
    }

    double number(String name, double absent) {
        String value = find(name);
        try {
            return value == null ? absent : Double.parseDouble(value);
        } catch (NumberFormatException odd) {
            throw new IllegalArgumentException("'" + verb + "' with " + name + "=" + value);
        }
    }

    boolean yes(String name) {
        String value = find(name);
        return "1".equals(value) || "true".equals(value);
    }

    double seconds(String name, double absent) {
        String value = find(name);
        return value == null ? absent : whole(name, value) / 1e9;
    }
}
