package pinewick.loop;

import java.io.PrintStream;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Lines with a time on standard error; from any one source only so many a second, so that it never floods. */
public class Log {
    /** How grave a line is. */
    public enum Level {
        DEBUG,
        INFO,
        WARNING,
        ERROR
    }

    /** So many lines wait for a reader of the log that stands still; further ones are left out and counted. */
    private static final int LINES = 256;

    private final PrintStream out;
    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(LINES);
    private volatile boolean writing;
    private Thread writer;
    private final int mostASecond;
    private long second;
    private int written;
    private long dropped;

    public Log(PrintStream out, int mostASecond) {
        this.out = out;
        this.mostASecond = mostASecond;
    }

    /** A line of the program as a whole. */
    public void say(String text) {
        say(Level.INFO, "mixer", text);
    }

    /**
     * A line of one component.
     *
     * @param fields names and values by turns, such as searcher and revision, for logs that keep them apart
     */
    public synchronized void say(Level level, String component, String text, String... fields) {
        long now = System.currentTimeMillis();
        if (now / 1000 != second) {
            if (dropped > 0) {
                write(now, Level.WARNING, "log", dropped + " lines left out");
            }
            second = now / 1000;
            written = 0;
            dropped = 0;
        }
        if (++written > mostASecond) {
            dropped++;
            return;
        }
        write(now, level, component, text.replace('\n', ' '), fields);
    }

    /**
     * Hands one line to the thread that writes; the rate has been seen to. Danger: a full pipe, whose reader stands
     * still, would stop the loop at its next line, and with it every query and the exit. Harm: lines are left out then.
     */
    protected void write(long nowMillis, Level level, String component, String text, String... fields) {
        if (writer == null) {
            writer = new Thread(this::writes, "pinewick log");
            writer.setDaemon(true);
            writer.start();
        }
        if (!lines.offer(Instant.ofEpochMilli(nowMillis) + " " + text)) {
            dropped++;
        }
    }

    private void writes() {
        try {
            while (true) {
                String line = lines.take();
                writing = true;
                out.println(line);
                writing = false;
            }
        } catch (InterruptedException over) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until all lines are written, so long at most; for the end of the program. */
    public void drain(double seconds) {
        long until = System.nanoTime() + (long) (seconds * 1e9);
        try {
            while ((writing || !lines.isEmpty()) && System.nanoTime() < until) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
        } catch (InterruptedException over) {
            Thread.currentThread().interrupt();
        }
    }

    /** What the libraries log goes here too: warnings and worse, a line each without its trace. */
    public void captureLibraryLogs() {
        Logger root = Logger.getLogger("");
        for (Handler each : root.getHandlers()) {
            root.removeHandler(each);
        }
        root.setLevel(java.util.logging.Level.WARNING);
        root.addHandler(new Handler() {
            @Override
            public void publish(LogRecord entry) {
                say(
                        Level.WARNING,
                        "library",
                        entry.getLoggerName() + ": " + entry.getMessage()
                                + (entry.getThrown() == null ? "" : ", " + entry.getThrown()));
            }

            @Override
            public void flush() {
                // Each line is written out at once, by a thread that may wait for its reader.
            }

            @Override
            public void close() {
                flush();
            }
        });
    }

    /** A fault that was caught: what was being done, and where it happened. */
    public void fault(String doing, Throwable fault) {
        StringBuilder text = new StringBuilder("fault while " + doing + ": " + fault);
        StackTraceElement[] trace = fault.getStackTrace();
        for (int each = 0; each < Math.min(6, trace.length); each++) {
            text.append(" < ").append(trace[each]);
        }
        say(Level.ERROR, "mixer", text.toString());
    }
}
