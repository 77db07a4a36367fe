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

/** Sends the log to standard output, a line and a write a record. */
final class LogSetup {
    /**
     * Libraries that tell much of their ordinary life. Held here, because the log manager forgets loggers nobody
     * holds.
     */
    private static final List<Logger> LIBRARIES =
            List.of(Logger.getLogger("org.eclipse.jetty"), Logger.getLogger("jetbrains.exodus"));

    private LogSetup() {}

    /** Replaces whatever handlers there are. */
    static void install() {
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        root.setLevel(Level.INFO);
        root.addHandler(new LineHandler(new FileOutputStream(FileDescriptor.out)));
        for (Logger library : LIBRARIES) {
            library.setLevel(Level.WARNING);
        }
    }

    /** Writes each record as a line of its own. */
    static final class LineHandler extends Handler {
        private final OutputStream output;
        private final LogLine line = new LogLine();

        LineHandler(OutputStream output) {
            this.output = output;
        }

        @Override
        public synchronized void publish(LogRecord record) {
            try {
                output.write(line.format(record).getBytes(StandardCharsets.UTF_8));
            } catch (IOException e) {
                // Standard output is gone; there is nobody left to tell.
            }
        }

        @Override
        public void flush() {
            // Nothing is kept back.
        }

        @Override
        public void close() {
            // Standard output stays open until the process ends.
        }
    }
}
