package pinewick.system;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class LogLineFormatterTest {
    private static LogRecord record(Level level, String message) {
        LogRecord record = new LogRecord(level, message);
        record.setLoggerName("pinewick.control.ApiServer");
        record.setInstant(Instant.parse("2026-03-01T09:05:07.042Z"));
        return record;
    }

    @Test
    void formatsARecordAsOneLine() {
        assertEquals("09:05:07.042 I ApiServer: ready\n", new LogLineFormatter().format(record(Level.INFO, "ready")));
        assertEquals("09:05:07.042 W ApiServer: a / b\n", new LogLineFormatter().format(record(Level.WARNING, "a\nb")));
    }

    @Test
    void appendsEveryCauseAndTheStackFrameOfTheLastCause() {
        LogRecord record = record(Level.SEVERE, "ends");
        IOException cause = new IOException("reset\nby peer");
        cause.setStackTrace(new StackTraceElement[] {new StackTraceElement("Peer", "read", "Peer.java", 7)});
        record.setThrown(new IllegalStateException("call to 10.0.0.1:80", cause));

        assertEquals(
                "09:05:07.042 E ApiServer: ends | java.lang.IllegalStateException: call to 10.0.0.1:80"
                        + " | java.io.IOException: reset / by peer at Peer.read(Peer.java:7)\n",
                new LogLineFormatter().format(record));
    }

    @Test
    void formatsARecordWithoutLoggerNameAndMessage() {
        LogRecord record = record(Level.INFO, null);
        record.setLoggerName(null);

        assertEquals("09:05:07.042 I null: null\n", new LogLineFormatter().format(record));
    }
}
