package pinewick.lab.recovery;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import pinewick.lab.scale.SystemProcess;

/** Measures the time from the loss or replacement of a controller until the required losses are tolerable again. */
final class RepairTrial {
    private static final long TIMEOUT_MS = 30_000;
    private static final int FIRST_SPARE = 3;

    private final Cluster cluster;
    private final Figures figures;
    private final String sizeSuffix;
    private final double targetMs;

    /**
     * @param routes number of routes of the configuration
     * @param targetMs target for the median time from process start to repair, milliseconds
     */
    RepairTrial(Cluster cluster, Figures figures, int routes, double targetMs) {
        this.cluster = cluster;
        this.figures = figures;
        this.sizeSuffix = ", " + routes + " routes";
        this.targetMs = targetMs;
    }

    /** Kills a controller, a different one in each run, and restarts it with its disk or an empty one. */
    void killAndRestart(int run, boolean wiped) throws IOException, InterruptedException {
        List<Integer> running = cluster.running();
        int number = running.get(run % running.size());
        cluster.process(number).kill();
        awaitLossDetected();
        if (wiped) {
            cluster.wipe(number);
        }
        cluster.restart(number);
        recordRepair(wiped ? "wiped" : "killed", number);
    }

    /** Kills a controller, if possible one that is not a seed, and adds a new one at another address. */
    void replaceUnplanned() throws IOException, InterruptedException {
        cluster.process(newestController()).kill();
        awaitLossDetected();
        int spare = nextSpare();
        cluster.add(spare);
        recordRepair("replaced unplanned", spare);
    }

    /** Adds a new controller first, then shuts the old one down with SIGTERM. */
    void replaceAsPlanned() throws IOException, InterruptedException {
        int oldController = newestController();
        int spare = nextSpare();
        cluster.add(spare);
        Polling.require(TIMEOUT_MS, "the new controller to respond", () -> cluster.configuration(spare)
                .isPresent());
        long sentNs = System.nanoTime();
        cluster.process(oldController).terminate();
        List<Integer> degradedReports = new ArrayList<>();
        long repairedNs = Polling.require(TIMEOUT_MS, "the replacement to be in sync", () -> {
            if (!cluster.toleratesLosses(Cluster.TOLERATED_LOSSES)) {
                degradedReports.add(oldController);
            }
            return cluster.isRepairedWith(spare);
        });
        figures.add("replaced as planned, ms from SIGTERM" + sizeSuffix, Polling.ms(sentNs, repairedNs), targetMs);
        figures.add("replaced as planned, questions answered with less than f" + sizeSuffix, degradedReports.size());
    }

    private int newestController() {
        List<Integer> running = cluster.running();
        return running.get(running.size() - 1);
    }

    private int nextSpare() {
        int number = FIRST_SPARE;
        while (cluster.process(number) != null) {
            number++;
        }
        return number;
    }

    private void awaitLossDetected() throws InterruptedException {
        Polling.require(
                TIMEOUT_MS, "a primary that has detected the loss", () -> cluster.primaryAmong(cluster.running())
                        .filter(report -> report.tolerableLosses() < Cluster.TOLERATED_LOSSES)
                        .isPresent());
    }

    private void recordRepair(String kind, int number) throws InterruptedException {
        SystemProcess process = cluster.process(number);
        long firstResponseNs = Polling.require(
                TIMEOUT_MS, "a response", () -> cluster.configuration(number).isPresent());
        long repairedNs = Polling.require(TIMEOUT_MS, kind + " to be repaired", () -> cluster.isRepairedWith(number));
        figures.add(
                kind + ", ms from process start" + sizeSuffix, Polling.ms(process.startedAtNs(), repairedNs), targetMs);
        figures.add(kind + ", ms from first answer" + sizeSuffix, Polling.ms(firstResponseNs, repairedNs));
    }
}
