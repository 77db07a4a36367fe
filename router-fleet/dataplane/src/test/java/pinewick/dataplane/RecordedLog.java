package pinewick.dataplane;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;

/** Records every log record of the package {@code pinewick}, at any level, from creation until close. */
final class RecordedLog extends Handler implements AutoCloseable {
    private final Logger logger = Logger.getLogger("pinewick");
    private final Level originalLevel = logger.getLevel();
    private final SimpleFormatter formatter = new SimpleFormatter();
    private final Queue<String> lines = new ConcurrentLinkedQueue<>();

    RecordedLog() {
        logger.setLevel(Level.ALL);
        logger.addHandler(this);
    }

    /** The formatted records, including exceptions. */
    String text() {
        return String.join("", lines);
    }

    @Override
    public void publish(LogRecord record) {
        lines.add(formatter.format(record));
    }

    @Override
    public void flush() {
        // Nothing is buffered.
    }

    @Override
    public void close() {
        logger.removeHandler(this);
        logger.setLevel(originalLevel);
    }
}
