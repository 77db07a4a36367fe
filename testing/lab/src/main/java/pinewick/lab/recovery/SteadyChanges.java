package pinewick.lab.recovery;

import java.util.ArrayList;
import java.util.List;

/** Sends changes at a steady rate, on a separate thread. */
final class SteadyChanges implements AutoCloseable {
    private static final long SHUTDOWN_TIMEOUT_MS = 40_000;
    private static final double NS_PER_SECOND = 1e9;
    private static final long NS_PER_MS = 1_000_000;

    private final ConfigurationWriter writer;
    private final double changesPerSecond;
    private final List<Double> times = new ArrayList<>();
    private final Thread thread = new Thread(this::run, "changes");
    private final long startedNs = System.nanoTime();
    private volatile boolean stopping;
    private volatile RuntimeException fault;

    SteadyChanges(ConfigurationWriter writer, double changesPerSecond) {
        this.writer = writer;
        this.changesPerSecond = changesPerSecond;
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            for (int number = 0; !stopping; number++) {
                sleepUntil(startedNs + (long) (number / changesPerSecond * NS_PER_SECOND));
                double durationMs = writer.touch();
                synchronized (times) {
                    times.add(durationMs);
                }
            }
        } catch (IllegalStateException e) {
            fault = e;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sleepUntil(long deadlineNs) throws InterruptedException {
        long remainingMs = (deadlineNs - System.nanoTime()) / NS_PER_MS;
        if (remainingMs > 0) {
            Thread.sleep(remainingMs);
        }
    }

    /** Acknowledgement times of the changes so far, milliseconds. */
    List<Double> times() {
        synchronized (times) {
            return List.copyOf(times);
        }
    }

    /** Average number of acknowledged changes per second. */
    double acknowledgedPerSecond() {
        return times().size() / ((System.nanoTime() - startedNs) / NS_PER_SECOND);
    }

    /** Stops after the change in progress; rethrows a failure of the thread. */
    @Override
    public void close() throws InterruptedException {
        stopping = true;
        thread.join(SHUTDOWN_TIMEOUT_MS);
        if (fault != null) {
            throw fault;
        }
    }
}
