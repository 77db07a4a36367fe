package pinewick.core;

import pinewick.selection.DecayingHistogram;
import pinewick.selection.PersistenceByAge;

/** What a router measured of its whole fleet, with what all measurements have in common. */
final class FleetStats {
    static final double FIRST_GUESS = 0.1; // of the latency goal: any latency not yet measured
    static final int ENOUGH = 8; // measurements that are believed
    private static final int BINS = 14;
    private static final int RATE_BINS = 28;
    private static final double BIN_GROWTH = 1.5;
    private static final double RATE_BIN_GROWTH = 1.2;
    private static final double HALVED_AT = 200;
    // parts served in a goal
    private static final double HIGHEST_RATE = 100;
    private static final double RATE_QUANTILE = 0.75;
    // goals; of the newest
    private static final double MOST_BUSY = 3;
    private static final double BUSY_QUEUE = 0.15;
    private static final double BUSY_WEIGHT = 0.05;

    final PersistenceByAge hiddenDelays;
    // parts a second; seconds for each part ahead in a queue
    final DecayingHistogram servedRates;
    final DecayingHistogram drainTimes;
    double busy = MOST_BUSY; // 0 where reports show short queues
    private final double latencyGoal;

    FleetStats(double latencyGoal) {
        this.latencyGoal = latencyGoal;
        hiddenDelays = new PersistenceByAge(latencyGoal / 2, latencyGoal / 2);
        servedRates = new DecayingHistogram(HIGHEST_RATE / latencyGoal, RATE_BIN_GROWTH, RATE_BINS, HALVED_AT);
        drainTimes = times(latencyGoal);
    }

    static DecayingHistogram times(double longest) {
        return new DecayingHistogram(longest, BIN_GROWTH, BINS, HALVED_AT);
    }

    void queueReported(double queue) {
        busy += BUSY_WEIGHT * ((queue * drainTime() > BUSY_QUEUE * latencyGoal ? MOST_BUSY : 0) - busy);
    }

    /** How long one part in a replica's queue lasts. */
    double drainTime() {
        return drainTimes.total() < ENOUGH ? FIRST_GUESS * latencyGoal / 2 : drainTimes.quantile(0.5);
    }

    /** Cores of a warm replica, one at least; answer times hold waits and would tell of too few. */
    double warmCores(double work) {
        double drained = drainTimes.total() < ENOUGH ? 1 : work / drainTime();
        double served = servedRates.total() < ENOUGH ? 1 : servedRates.quantile(RATE_QUANTILE) * work;
        return Math.max(1, Math.max(drained, served));
    }
}
