package pinewick.core;

import pinewick.selection.DecayingHistogram;

/** A service grade: its terms, and how long its parts and queries were seen to take. */
final class ServiceClass {
    static final double LONGEST_HEDGE_DELAY = 0.5; // of the latency goal, like the next two
    private static final double SHORTEST_HEDGE_DELAY = 0.125;
    private static final double LONGEST_RUN = 0.6;
    // goals
    private static final double HEDGE_FACTOR = 1.5;
    private static final double RUN_QUANTILE = 0.8;
    private static final double LONGEST_MEASURED = 3;

    final SchedulerHost.ServiceClassConfig terms;
    final DecayingHistogram answerTimes;
    final DecayingHistogram runTimes;
    // since a query of this grade brought replicas down
    double longestTimeToLive;
    double lethalUntil;
    private final double callWork;

    ServiceClass(SchedulerHost.ServiceClassConfig terms, double callWork) {
        this.terms = terms;
        this.callWork = callWork;
        answerTimes = FleetStats.times(LONGEST_MEASURED * terms.latencyGoal());
        runTimes = FleetStats.times(LONGEST_MEASURED * terms.latencyGoal());
    }

    /** A quantile of answer times; the first guess until a few answers are in. */
    double answerTime(double quantile) {
        return answerTimes.total() < FleetStats.ENOUGH
                ? FleetStats.FIRST_GUESS * terms.latencyGoal()
                : answerTimes.quantile(quantile);
    }

    double meanWork() {
        return callWork + (answerTimes.total() < FleetStats.ENOUGH ? answerTime(0.5) : answerTimes.mean());
    }

    /** What a query is expected to take from its start; bounded, or a jam would hold back all for good. */
    double runTime() {
        double seen = runTimes.total() < FleetStats.ENOUGH ? 0 : runTimes.quantile(RUN_QUANTILE);
        return Math.min(LONGEST_RUN * terms.latencyGoal(), Math.max(answerTime(0.75), seen));
    }

    /** How long a launch may take before it is overdue and may be hedged. */
    double hedgeDelay() {
        return Math.max(
                SHORTEST_HEDGE_DELAY * terms.latencyGoal(),
                Math.min(LONGEST_HEDGE_DELAY * terms.latencyGoal(), HEDGE_FACTOR * answerTime(0.95)));
    }
}
