package pinewick.lab.recovery;

import java.io.IOException;
import java.util.List;

/** Suspends processes for some time and resumes them: a primary, and a backup for a long time. */
final class FreezeTrial {
    private static final long TIMEOUT_MS = 30_000;

    private final Cluster cluster;
    private final ConfigurationWriter writer;
    private final Figures figures;

    FreezeTrial(Cluster cluster, ConfigurationWriter writer, Figures figures) {
        this.cluster = cluster;
        this.writer = writer;
        this.figures = figures;
    }

    /** Sends a change to the other controllers while the primary is suspended. */
    void freezePrimary() throws IOException, InterruptedException {
        int frozen = cluster.primary();
        List<Integer> others =
                cluster.running().stream().filter(number -> number != frozen).toList();
        cluster.process(frozen).freeze();
        try {
            figures.add("frozen primary, ms until an order is acknowledged elsewhere", writer.touch(others));
        } finally {
            cluster.process(frozen).thaw();
        }
        recordRecovery("frozen primary", frozen);
    }

    /** Suspends a backup while changes continue. */
    void freezeBackup(long durationMs, double changesPerSecond) throws IOException, InterruptedException {
        int primary = cluster.primary();
        int frozen = cluster.running().stream()
                .filter(number -> number != primary)
                .findFirst()
                .orElseThrow();
        try (SteadyChanges changes = new SteadyChanges(writer, changesPerSecond)) {
            cluster.process(frozen).freeze();
            Thread.sleep(durationMs);
            cluster.process(frozen).thaw();
            recordRecovery(
                    "backup frozen for " + durationMs / 1_000 + " s, " + (int) changesPerSecond + " changes a second",
                    frozen);
            figures.add(
                    "longest change meanwhile, ms",
                    changes.times().stream()
                            .mapToDouble(Double::doubleValue)
                            .max()
                            .orElse(Double.NaN));
        }
    }

    private void recordRecovery(String kind, int controller) throws InterruptedException {
        long thawedNs = System.nanoTime();
        long version = writer.version();
        long currentNs =
                Polling.require(TIMEOUT_MS, kind + " to be current", () -> cluster.version(controller) >= version);
        long repairedNs =
                Polling.require(TIMEOUT_MS, kind + " to be in sync", () -> cluster.isRepairedWith(controller));
        figures.add(kind + ", ms from its return until current", Polling.ms(thawedNs, currentNs));
        figures.add(kind + ", ms from its return until f is borne", Polling.ms(thawedNs, repairedNs));
    }
}
