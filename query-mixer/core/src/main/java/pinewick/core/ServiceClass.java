package pinewick.core;

import pinewick.selection.DecayingHistogram;

/** A service class: its configuration, and the measured latencies of its attempts and queries. */
final class ServiceClass {
    static final double MAX_HEDGE_DELAY = 0.5; // share of the latency target, like the next two
    private static final double MIN_HEDGE_DELAY = 0.125;
    private static final double MAX_EXPECTED_LATENCY = 0.6;
    // HEDGE_FACTOR applies to the 0.95 quantile, MAX_MEASURED to the latency target
    private static final double HEDGE_FACTOR = 1.5;
    private static final double QUERY_LATENCY_QUANTILE = 0.8;
    private static final double MAX_MEASURED = 3;

    final SchedulerHost.ServiceClassConfig config;
    final DecayingHistogram attemptLatencies;
    final DecayingHistogram queryLatencies;
    // crashAlertUntil is set when a query of this class has crashed replicas
    double maxTimeToLive;
    double crashAlertUntil;
    private final double callOverheadSeconds;

    ServiceClass(SchedulerHost.ServiceClassConfig config, double callOverheadSeconds) {
        this.config = config;
        this.callOverheadSeconds = callOverheadSeconds;
        attemptLatencies = FleetStats.latencyHistogram(MAX_MEASURED * config.latencyTargetSeconds());
        queryLatencies = FleetStats.latencyHistogram(MAX_MEASURED * config.latencyTargetSeconds());
    }

    /** A quantile of attempt latencies; the initial estimate until there are enough samples. */
    double attemptLatency(double quantile) {
        return attemptLatencies.total() < FleetStats.MIN_SAMPLES
                ? FleetStats.INITIAL_ESTIMATE * config.latencyTargetSeconds()
                : attemptLatencies.quantile(quantile);
    }

    double meanWork() {
        return callOverheadSeconds
                + (attemptLatencies.total() < FleetStats.MIN_SAMPLES ? attemptLatency(0.5) : attemptLatencies.mean());
    }

    /** The expected duration of a query from its start; bounded, or overload would hold back all queries for good. */
    double expectedQueryLatency() {
        double seen =
                queryLatencies.total() < FleetStats.MIN_SAMPLES ? 0 : queryLatencies.quantile(QUERY_LATENCY_QUANTILE);
        return Math.min(MAX_EXPECTED_LATENCY * config.latencyTargetSeconds(), Math.max(attemptLatency(0.75), seen));
    }

    /** How long an attempt may take before it is overdue and may be hedged. */
    double hedgeDelay() {
        return Math.max(
                MIN_HEDGE_DELAY * config.latencyTargetSeconds(),
                Math.min(MAX_HEDGE_DELAY * config.latencyTargetSeconds(), HEDGE_FACTOR * attemptLatency(0.95)));
    }
}
