package pinewick.core;

import pinewick.selection.DecayingHistogram;
import pinewick.selection.PersistenceByAge;

/** Measurements of one router over the whole fleet, and the parameters that all measurements share. */
final class FleetStats {
    static final double INITIAL_ESTIMATE = 0.1; // share of the latency target, for latencies without samples
    static final int MIN_SAMPLES = 8; // below this a statistic is not used
    private static final int BINS = 14;
    private static final int RATE_BINS = 28;
    private static final double BIN_GROWTH = 1.5;
    private static final double RATE_BIN_GROWTH = 1.2;
    private static final double HALVED_AT = 200;
    // shard requests served per latency target
    private static final double HIGHEST_RATE = 100;
    private static final double RATE_QUANTILE = 0.75;
    // probability added to the minimum probe chance; queue in latency targets; weight of the newest sample
    private static final double MOST_BUSY = 3;
    private static final double BUSY_QUEUE = 0.15;
    private static final double BUSY_WEIGHT = 0.05;

    final PersistenceByAge hiddenDelays;
    // shard requests per second; seconds for each request ahead in a queue
    final DecayingHistogram servedRates;
    final DecayingHistogram drainTimes;
    double busy = MOST_BUSY; // 0 where reports show short queues
    private final double latencyTargetSeconds;

    FleetStats(double latencyTargetSeconds) {
        this.latencyTargetSeconds = latencyTargetSeconds;
        hiddenDelays = new PersistenceByAge(latencyTargetSeconds / 2, latencyTargetSeconds / 2);
        servedRates = new DecayingHistogram(HIGHEST_RATE / latencyTargetSeconds, RATE_BIN_GROWTH, RATE_BINS, HALVED_AT);
        drainTimes = latencyHistogram(latencyTargetSeconds);
    }

    static DecayingHistogram latencyHistogram(double longest) {
        return new DecayingHistogram(longest, BIN_GROWTH, BINS, HALVED_AT);
    }

    void queueReported(double queue) {
        busy += BUSY_WEIGHT * ((queue * drainTime() > BUSY_QUEUE * latencyTargetSeconds ? MOST_BUSY : 0) - busy);
    }

    /** How long one queued shard request occupies a replica, in seconds. */
    double drainTime() {
        return drainTimes.total() < MIN_SAMPLES
                ? INITIAL_ESTIMATE * latencyTargetSeconds / 2
                : drainTimes.quantile(0.5);
    }

    /** The cores of a warm replica, at least one. Attempt latencies include waits and would indicate too few. */
    double warmCores(double work) {
        double drained = drainTimes.total() < MIN_SAMPLES ? 1 : work / drainTime();
        double served = servedRates.total() < MIN_SAMPLES ? 1 : servedRates.quantile(RATE_QUANTILE) * work;
        return Math.max(1, Math.max(drained, served));
    }
}
