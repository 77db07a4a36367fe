package pinewick.core;

import java.util.List;

/**
 * What the decisions in {@link QueryScheduler} call, and the plain data they are handed. A front end (today
 * {@code benchlink}) implements it once for each router. Times are seconds; ids stay as they came.
 */
public interface SchedulerHost {
    /** The clock of the events now being handled. */
    double now();

    /** Sends a part to a replica; {@code maxWait} is this launch's time-out. */
    void launch(String part, String replica, double maxWait);

    /** Final answer from the parts that are in (or the end of the first of two steps). */
    void assemble(String query, boolean whole);

    /** Final answer: turned away, and trying again is harmless; {@code retryAfter} 0 gives no advice. */
    void decline(String query, double retryAfter);

    /** Final answer: given up, with no promise about effects. */
    void giveUp(String query);

    /** Stops waiting for one launch. */
    void cancel(String part, int launch);

    void probe(String replica);

    /** Asks for {@link QueryScheduler#timerFired} after so many seconds. */
    void timer(double in, long name);

    /** Subscribes to changes of the list of replicas, or ends that. */
    void track(boolean on);

    /** What this router measured: a replica's smoothed latency (seconds), reported queue, failures in a row. */
    default void saw(String replica, double latency, double queue, int failures) {}

    /** The latency other routers see there, seconds; 0 where none is known. Late, and may be wrong. */
    default double othersPace(String replica) {
        return 0;
    }

    /** Whether several other routers saw it fail or leave after this time. Late, and may be wrong. */
    default boolean othersWarn(String replica, double since) {
        return false;
    }

    /** Adds a line to the operators' report. */
    void log(String text);

    /** How a launch or a probe ended. */
    enum Outcome {
        FULFILLED,
        ERROR,
        REJECTED,
        TIMED_OUT,
        NOT_CONNECTED,
        DROPPED,
        CANCELLED,
        MOOT;

        /** Whether this ending proves that the part never ran. */
        public boolean neverRan() {
            return this == REJECTED || this == NOT_CONNECTED || this == MOOT;
        }
    }

    /** What a repeat of a grade's parts does. */
    enum RetrySafety {
        IDEMPOTENT,
        DEDUPLICATED,
        UNREPEATABLE
    }

    /** The lifecycle state of a searcher in the list. */
    enum LifecycleState {
        GONE,
        READY,
        DRAINING
    }

    /** How a piece of the list relates to the list in hand. */
    enum ListUpdateKind {
        CHANGES,
        WHOLE,
        CACHED,
        FAILED
    }

    /** One line of the list of replicas; {@code startedAt} 0 means long ago. */
    record ReplicaEntry(String replica, int cell, String zone, LifecycleState stage, double startedAt) {}

    /** A replica's load report; a value that it does not carry is NaN. */
    record LoadReport(double pending, double inFlight, double busyShare, double servedRate) {}

    /** A service grade as the deployment states it. */
    record ServiceClassConfig(
            String name,
            double latencyGoal,
            double goalStretch,
            double hardStop,
            double value,
            double lateValue,
            RetrySafety repeat,
            double repeatWindow,
            double leastShare,
            double wholeFrom,
            double partValue,
            int secondStep) {
        /** The latency goal of a query of so much work. */
        double goal(double work) {
            return latencyGoal + goalStretch * work;
        }
    }

    /** The rules' figures; an absent budget has an infinite {@code freeLaunches}. */
    record SchedulingRules(
            double drainGrace,
            double coldFrom,
            double coldTime,
            double overloadFactor,
            double fallTime,
            double freeLaunches,
            double launchShare,
            double launchWindow,
            double askWithin) {
        /** The share of its full work that a replica may be sent so long after its start. */
        double capacity(double age) {
            return coldFrom + (1 - coldFrom) * Math.min(1, age / coldTime);
        }
    }

    /** What a deployment hands a router at its start. */
    record Deployment(
            int routers,
            String zone,
            double tick,
            List<ServiceClassConfig> grades,
            SchedulingRules rules,
            boolean mustAsk,
            boolean mayProbe,
            boolean mayCancel,
            boolean mayOverlap,
            boolean mayAdvise,
            boolean marksRetries,
            double longestAdvice,
            int mostLaunches,
            int cells,
            int reach,
            int callSize,
            double callWork) {}
}
