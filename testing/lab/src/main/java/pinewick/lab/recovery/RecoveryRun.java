package pinewick.lab.recovery;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Runs all trials, each kind on a separate cluster. */
public final class RecoveryRun {
    private static final int SMALL_ROUTES = 100;
    private static final int LARGE_ROUTES = 2_000;
    private static final double TARGET_SMALL_MS = 1_000;
    private static final double TARGET_LARGE_MS = 2_000;
    private static final double LOW_RATE = 5;
    private static final double HIGH_RATE = 30;
    private static final int FREEZE_MS = 20_000;
    private static final int QUICK_FREEZE_MS = 2_000;
    private static final int MISSED_CHANGES = 2_000;
    private static final int FEWER_MISSED_CHANGES = 200;
    private static final int QUICK_MISSED_CHANGES = 30;
    private static final int RATE_SECONDS = 10;
    private static final int QUICK_RATE_SECONDS = 1;
    private static final int[] CHANGE_COUNTS = {10, 100, 1_000, 3_000};
    private static final int[] QUICK_CHANGE_COUNTS = {10, 60};
    private static final long MAX_LIFETIME_SECONDS = 1_800;
    private static final long QUICK_MAX_LIFETIME_SECONDS = 60;

    private final Figures figures;
    private final boolean quick;
    private final int runs;
    private final List<String> trials;

    /** @param trials names of the trials to run; all trials if empty */
    public RecoveryRun(Figures figures, boolean quick, int runs, List<String> trials) {
        this.figures = figures;
        this.quick = quick;
        this.runs = runs;
        this.trials = trials;
    }

    private interface Trial {
        void execute(Cluster cluster, ConfigurationWriter writer) throws IOException, InterruptedException;
    }

    /** Runs the trials. A fault ends its kind of trial and is added to the figures. */
    public void run() throws IOException, InterruptedException {
        execute("repair", (cluster, writer) -> {
            repairs(cluster, writer, SMALL_ROUTES, TARGET_SMALL_MS);
            repairs(cluster, writer, LARGE_ROUTES, TARGET_LARGE_MS);
        });
        execute("freeze", this::freezes);
        execute("pace", (cluster, writer) -> {
            steadyRate(cluster, writer, SMALL_ROUTES);
            steadyRate(cluster, writer, LARGE_ROUTES);
        });
        execute("cost", (cluster, writer) -> {
            writer.replace(LARGE_ROUTES);
            new ChangesTrial(cluster, writer, figures, LARGE_ROUTES).cost(quick ? QUICK_CHANGE_COUNTS : CHANGE_COUNTS);
        });
        execute("away", this::outage);
    }

    private void execute(String name, Trial trial) throws IOException, InterruptedException {
        if (!trials.isEmpty() && !trials.contains(name)) {
            return;
        }
        Path folder = Files.createTempDirectory("pinewick-recovery-" + name);
        try (Cluster cluster = new Cluster(folder, quick ? QUICK_MAX_LIFETIME_SECONDS : MAX_LIFETIME_SECONDS)) {
            cluster.bootstrap();
            ConfigurationWriter writer = new ConfigurationWriter(cluster);
            writer.replace(SMALL_ROUTES);
            trial.execute(cluster, writer);
        } catch (IllegalStateException e) {
            figures.addFault(name + ": " + e.getMessage());
        }
    }

    private void repairs(Cluster cluster, ConfigurationWriter writer, int routes, double targetMs)
            throws IOException, InterruptedException {
        writer.replace(routes);
        RepairTrial trial = new RepairTrial(cluster, figures, routes, targetMs);
        for (int run = 0; run < runs; run++) {
            trial.killAndRestart(run, true);
            trial.killAndRestart(run, false);
            trial.replaceUnplanned();
            trial.replaceAsPlanned();
        }
    }

    private void freezes(Cluster cluster, ConfigurationWriter writer) throws IOException, InterruptedException {
        FreezeTrial trial = new FreezeTrial(cluster, writer, figures);
        for (int run = 0; run < runs; run++) {
            trial.freezePrimary();
            trial.freezeBackup(quick ? QUICK_FREEZE_MS : FREEZE_MS, LOW_RATE);
        }
    }

    private void steadyRate(Cluster cluster, ConfigurationWriter writer, int routes) throws InterruptedException {
        writer.replace(routes);
        ChangesTrial trial = new ChangesTrial(cluster, writer, figures, routes);
        for (int run = 0; run < runs; run++) {
            trial.steadyRate(HIGH_RATE, quick ? QUICK_RATE_SECONDS : RATE_SECONDS);
        }
    }

    private void outage(Cluster cluster, ConfigurationWriter writer) throws IOException, InterruptedException {
        writer.replace(LARGE_ROUTES);
        ChangesTrial trial = new ChangesTrial(cluster, writer, figures, LARGE_ROUTES);
        int missed = quick ? QUICK_MISSED_CHANGES : MISSED_CHANGES;
        int fewer = quick ? QUICK_MISSED_CHANGES : FEWER_MISSED_CHANGES;
        for (int run = 0; run < runs; run++) {
            trial.outage(missed, LOW_RATE);
            trial.outage(run == 0 ? missed : fewer, HIGH_RATE);
        }
    }
}
