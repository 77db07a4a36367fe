package pinewick.lab.recovery;

import java.io.IOException;
import java.util.Arrays;

/** Measures many changes: the cost of each, their disk usage, and how a controller that missed them catches up. */
final class ChangesTrial {
    private static final long TIMEOUT_MS = 60_000;
    private static final int REPLACE_INTERVAL = 10;
    private static final int MAX_WINDOW = 200;
    private static final long MS_PER_SECOND = 1_000;

    private final Cluster cluster;
    private final ConfigurationWriter writer;
    private final Figures figures;
    private final int routes;

    ChangesTrial(Cluster cluster, ConfigurationWriter writer, Figures figures, int routes) {
        this.cluster = cluster;
        this.writer = writer;
        this.figures = figures;
        this.routes = routes;
    }

    /** Sends changes back to back and measures the cost of the last ones before each of the given counts. */
    void cost(int... changeCounts) throws IOException, InterruptedException {
        int sent = 0;
        long maxDiskBytes = 0;
        for (int changeCount : changeCounts) {
            int window = Math.min(MAX_WINDOW, changeCount - sent);
            for (; sent < changeCount - window; sent++) {
                writer.touch();
            }
            double cpuMs = cluster.cpuMs();
            double[] times = new double[window];
            for (int index = 0; index < window; index++, sent++) {
                times[index] = writer.touch();
            }
            Arrays.sort(times);
            String name = " a change up to number " + changeCount + ", " + routes + " routes";
            figures.add("median ms" + name, times[window / 2]);
            figures.add("CPU ms of all controllers" + name, (cluster.cpuMs() - cpuMs) / window);
            maxDiskBytes = Math.max(maxDiskBytes, maxDiskUsage());
        }
        figures.add("most KB on a disk after changes, " + routes + " routes", maxDiskBytes / 1024.0);
    }

    private long maxDiskUsage() throws IOException {
        long max = 0;
        for (int number : cluster.running()) {
            max = Math.max(max, cluster.diskBytes(number));
        }
        return max;
    }

    /** Sends changes at a steady rate for some seconds. */
    void steadyRate(double changesPerSecond, int seconds) throws InterruptedException {
        try (SteadyChanges changes = new SteadyChanges(writer, changesPerSecond)) {
            Thread.sleep(seconds * MS_PER_SECOND);
            double[] times = changes.times().stream()
                    .mapToDouble(Double::doubleValue)
                    .sorted()
                    .toArray();
            String name =
                    " of " + (int) changesPerSecond + " changes a second for " + seconds + " s, " + routes + " routes";
            figures.add("acknowledged" + name, times.length);
            figures.add("median ms" + name, times[times.length / 2]);
            figures.add("longest ms" + name, times[times.length - 1]);
        }
    }

    /** Stops a controller for a number of changes, and restarts it while further changes arrive. */
    void outage(int missedChanges, double changesPerSecond) throws IOException, InterruptedException {
        int primary = cluster.primary();
        int stopped = cluster.running().stream()
                .filter(number -> number != primary)
                .findFirst()
                .orElseThrow();
        cluster.process(stopped).kill();
        for (int number = 0; number < missedChanges; number++) {
            if (number % REPLACE_INTERVAL == 0) {
                writer.replace(routes);
            } else {
                writer.touch();
            }
        }
        String name = "away for " + missedChanges + " changes, " + routes + " routes, back at " + (int) changesPerSecond
                + " a second: ";
        try (SteadyChanges changes = new SteadyChanges(writer, changesPerSecond)) {
            cluster.restart(stopped);
            long startedNs = cluster.process(stopped).startedAtNs();
            double cpuMs = cluster.cpuMs();
            long repairedNs = Polling.until(TIMEOUT_MS, () -> cluster.isRepairedWith(stopped));
            double acknowledgedPerSecond = changes.acknowledgedPerSecond();
            if (repairedNs < 0) {
                figures.addFault(name + "not in sync after " + TIMEOUT_MS + " ms");
            } else {
                figures.add(name + "ms from process start until f is borne", Polling.ms(startedNs, repairedNs));
            }
            figures.add(name + "changes a second acknowledged meanwhile", acknowledgedPerSecond);
            figures.add(name + "CPU ms of all controllers meanwhile", cluster.cpuMs() - cpuMs);
        }
        Polling.until(TIMEOUT_MS, () -> cluster.isRepairedWith(stopped));
    }
}
