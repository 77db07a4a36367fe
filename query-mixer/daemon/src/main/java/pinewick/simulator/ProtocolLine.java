package pinewick.simulator;

/** One line of the protocol: its verb and its name=value pairs, parsed on access. */
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

    /** The value of a field, or null; only 'config' and 'text' extend to the end of the line. */
    private String find(String name) {
        int at = verb.length();
        while (at < line.length()) {
            int start = at + 1;
            int equals = line.indexOf('=', start);
            if (equals < 0) {
                return null;
            }
            boolean extendsToEnd = line.startsWith("config=", start) || line.startsWith("text=", start);
            int end = extendsToEnd ? line.length() : line.indexOf(' ', equals);
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

    String text(String name, String defaultValue) {
        String value = find(name);
        return value == null ? defaultValue : value;
    }

    long longValue(String name) {
        return longValue(name, text(name));
    }

    long longValue(String name, long defaultValue) {
        String value = find(name);
        return value == null ? defaultValue : longValue(name, value);
    }

    private long longValue(String name, String value) {
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException malformed) {
            throw new IllegalArgumentException("'" + verb + "' with " + name + "=" + value);
        }
    }

    double number(String name, double defaultValue) {
        String value = find(name);
        try {
            return value == null ? defaultValue : Double.parseDouble(value);
        } catch (NumberFormatException malformed) {
            throw new IllegalArgumentException("'" + verb + "' with " + name + "=" + value);
        }
    }

    boolean booleanValue(String name) {
        String value = find(name);
        return "1".equals(value) || "true".equals(value);
    }

    double seconds(String name, double defaultValue) {
        String value = find(name);
        return value == null ? defaultValue : longValue(name, value) / 1e9;
    }
}
