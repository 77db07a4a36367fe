package pinewick.loop;

import java.io.PrintStream;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Writes log lines with a time stamp to standard error, rate-limited per source, so that the log cannot flood. */
public class Log {
    /** Severity of a line. */
    public enum Level {
        DEBUG,
        INFO,
        WARNING,
        ERROR
    }

    /** Lines buffered while the reader of the log is stopped; further ones are dropped and counted. */
    private static final int MAX_BUFFERED_LINES = 256;

    private final PrintStream out;
    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_BUFFERED_LINES);
    private volatile boolean writing;
    private Thread writer;
    private final int maxLinesPerSecond;
    private long second;
    private int written;
    private long dropped;

    public Log(PrintStream out, int maxLinesPerSecond) {
        this.out = out;
        this.maxLinesPerSecond = maxLinesPerSecond;
    }

    /** Logs a line that belongs to no single component. */
    public void log(String text) {
        log(Level.INFO, "mixer", text);
    }

    /**
     * Logs a line of one component.
     *
     * @param fields alternating names and values, such as searcher and revision, for logs with separate fields
     */
    public synchronized void log(Level level, String component, String text, String... fields) {
        long now = System.currentTimeMillis();
        if (now / 1000 != second) {
            if (dropped > 0) {
                write(now, Level.WARNING, "log", dropped + " lines dropped");
            }
            second = now / 1000;
            written = 0;
            dropped = 0;
        }
        if (++written > maxLinesPerSecond) {
            dropped++;
            return;
        }
        write(now, level, component, text.replace('\n', ' '), fields);
    }

    /**
     * Hands a line that passed the rate limit to the writer thread. A full pipe, whose reader is stopped, would
     * otherwise block the event loop at its next line, and with it every query and the shutdown. Cost: lines are then
     * dropped.
     */
    protected void write(long nowMillis, Level level, String component, String text, String... fields) {
        if (writer == null) {
            writer = new Thread(this::runWriter, "pinewick log");
            writer.setDaemon(true);
            writer.start();
        }
        if (!lines.offer(Instant.ofEpochMilli(nowMillis) + " " + text)) {
            dropped++;
        }
    }

    private void runWriter() {
        try {
            while (true) {
                String line = lines.take();
                writing = true;
                out.println(line);
                writing = false;
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until all lines are written, at most this many seconds; for the end of the program. */
    public void drain(double seconds) {
        long deadlineNanos = System.nanoTime() + (long) (seconds * 1e9);
        try {
            while ((writing || !lines.isEmpty()) && System.nanoTime() < deadlineNanos) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Redirects the logging of libraries to this log: warnings and worse, one line each without a stack trace. */
    public void captureLibraryLogs() {
        Logger root = Logger.getLogger("");
        for (Handler each : root.getHandlers()) {
            root.removeHandler(each);
        }
        root.setLevel(java.util.logging.Level.WARNING);
        root.addHandler(new Handler() {
            @Override
            public void publish(LogRecord entry) {
                log(
                        Level.WARNING,
                        "library",
                        entry.getLoggerName() + ": " + entry.getMessage()
                                + (entry.getThrown() == null ? "" : ", " + entry.getThrown()));
            }

            @Override
            public void flush() {
                // Nothing to flush: the writer thread writes each line at once, and may block on its reader.
            }

            @Override
            public void close() {
                flush();
            }
        });
    }

    /** Logs an unexpected exception: what was being done, and where it occurred. */
    public void fault(String description, Throwable fault) {
        StringBuilder text = new StringBuilder("fault while " + description + ": " + fault);
        StackTraceElement[] trace = fault.getStackTrace();
        for (int each = 0; each < Math.min(6, trace.length); each++) {
            text.append(" < ").append(trace[each]);
        }
        log(Level.ERROR, "mixer", text.toString());
    }
}
