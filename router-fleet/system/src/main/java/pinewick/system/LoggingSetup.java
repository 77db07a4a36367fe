package pinewick.system;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Configures logging to standard output, with one line and one write per record. */
final class LoggingSetup {
    /**
     * Loggers of libraries with verbose logs. Kept here because the log manager holds its loggers by weak references
     * only.
     */
    private static final List<Logger> LIBRARY_LOGGERS =
            List.of(Logger.getLogger("org.eclipse.jetty"), Logger.getLogger("jetbrains.exodus"));

    private LoggingSetup() {}

    /** Replaces all existing handlers. */
    static void install() {
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        root.setLevel(Level.INFO);
        root.addHandler(new LineHandler(new FileOutputStream(FileDescriptor.out)));
        for (Logger library : LIBRARY_LOGGERS) {
            library.setLevel(Level.WARNING);
        }
    }

    /** Writes each record as one line. */
    static final class LineHandler extends Handler {
        private final OutputStream output;
        private final LogLineFormatter formatter = new LogLineFormatter();

        LineHandler(OutputStream output) {
            this.output = output;
        }

        @Override
        public synchronized void publish(LogRecord record) {
            try {
                output.write(formatter.format(record).getBytes(StandardCharsets.UTF_8));
            } catch (IOException e) {
                // Standard output is closed; the failure cannot be reported anywhere.
            }
        }

        @Override
        public void flush() {
            // Nothing is buffered.
        }

        @Override
        public void close() {
            // Standard output stays open until the process ends.
        }
    }
}
