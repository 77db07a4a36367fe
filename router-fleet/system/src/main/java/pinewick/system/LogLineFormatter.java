package pinewick.system;

import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Formats each record as one line: the time of day (UTC), the first letter of the level, the class and the message. An
 * exception is appended with its chain of causes and the top stack frame of the last cause.
 */
final class LogLineFormatter extends Formatter {
    private static final long MILLIS_PER_DAY = 86_400_000L;
    private static final int MAX_CAUSES = 6;

    @Override
    public String format(LogRecord record) {
        StringBuilder line = new StringBuilder(160);
        appendTime(line, Math.floorMod(record.getMillis(), MILLIS_PER_DAY));
        line.append(' ').append(levelLetter(record.getLevel())).append(' ');
        String name = String.valueOf(record.getLoggerName());
        line.append(name, name.lastIndexOf('.') + 1, name.length()).append(": ");
        appendOnOneLine(line, String.valueOf(formatMessage(record)));
        if (record.getThrown() != null) {
            appendCauses(line, record.getThrown());
        }
        return line.append('\n').toString();
    }

    private static void appendTime(StringBuilder line, long millisOfDay) {
        appendDigits(line, millisOfDay / 3_600_000, 2);
        appendDigits(line, millisOfDay / 60_000 % 60, 2, ':');
        appendDigits(line, millisOfDay / 1_000 % 60, 2, ':');
        appendDigits(line, millisOfDay % 1_000, 3, '.');
    }

    private static void appendDigits(StringBuilder line, long value, int digits, char prefix) {
        appendDigits(line.append(prefix), value, digits);
    }

    private static void appendDigits(StringBuilder line, long value, int digits) {
        String text = Long.toString(value);
        for (int missing = digits - text.length(); missing > 0; missing--) {
            line.append('0');
        }
        line.append(text);
    }

    private static char levelLetter(Level level) {
        return level == Level.SEVERE ? 'E' : level.getName().charAt(0);
    }

    private static void appendCauses(StringBuilder line, Throwable thrown) {
        Throwable lastCause = thrown;
        Throwable cause = thrown;
        for (int causes = 0; cause != null && causes < MAX_CAUSES; causes++) {
            appendOnOneLine(line.append(" | "), cause.toString());
            lastCause = cause;
            cause = cause.getCause();
        }
        if (lastCause.getStackTrace().length > 0) {
            line.append(" at ").append(lastCause.getStackTrace()[0]);
        }
    }

    private static void appendOnOneLine(StringBuilder line, String text) {
        line.append(text.indexOf('\n') < 0 ? text : text.replace("\n", " / "));
    }
}
