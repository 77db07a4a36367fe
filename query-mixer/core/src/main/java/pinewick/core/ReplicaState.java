package pinewick.core;

import java.util.LinkedHashSet;
import pinewick.selection.WindowedMinimum;
import pinewick.selection.WindowedSum;

/** The known state of a replica, from discovery and from own measurements; {@link Replica} decides what follows. */
class ReplicaState {
    final String id;
    /** From discovery; {@code startedAt} 0 means that it started long ago. */
    SchedulerHost.LifecycleState state = SchedulerHost.LifecycleState.READY;

    int cell;
    boolean sameZone;
    double startedAt;
    /** When it was first listed as gone. */
    double goneAt = Double.POSITIVE_INFINITY;
    /** The last load report: queue length, CPU utilization, time of arrival. */
    double queue;

    double utilization;
    double reportedAt = Double.NEGATIVE_INFINITY;
    int sentSinceReport;
    /** Whether any attempt was measured since the replica started, and the smoothed latency. */
    boolean hasMeasurements;

    double latency;
    WindowedMinimum lowestLatency = new WindowedMinimum();
    /** How much longer attempts took than load reports predicted, smoothed, and when it was last measured. */
    double hiddenDelay;

    double hiddenDelayAt;
    double answeredAt = Double.NEGATIVE_INFINITY;
    /** When the newest of its answered attempts was sent. */
    double newestAnsweredSentAt = Double.NEGATIVE_INFINITY;
    /** Maximum number of outstanding attempts, and when it was last reduced. */
    double concurrencyLimit;

    double limitCutAt = Double.NEGATIVE_INFINITY;
    private final double initialLimit;
    /** Attempts without an outcome yet. */
    final LinkedHashSet<Attempt> outstanding = new LinkedHashSet<>();
    /** Shard requests that the plan being made would add. */
    int planned;
    /** Work sent to it during its warm-up. */
    final WindowedSum warmUpWork = new WindowedSum();

    int consecutiveFailures;
    /** End of the backoff after failures. */
    double backoffUntil;
    /** Whether a connection failed since its last answer, though it had answered before. */
    boolean unreachable;
    /** Whether the last probe or connection got no response. */
    boolean unresponsive;

    boolean probeOutstanding;
    double probedAt;
    /** Whether the replica may receive one trial shard request after its backoff. */
    boolean trialAllowed;

    ReplicaState(String id, double initialLimit) {
        this.id = id;
        this.initialLimit = initialLimit;
        concurrencyLimit = initialLimit;
    }

    /** Outstanding attempts and those of the plan being made. */
    int load() {
        return outstanding.size() + planned;
    }

    /** When the oldest attempt without an outcome was sent; now if there is none. */
    double oldestSentAt(double now) {
        return outstanding.isEmpty() ? now : outstanding.iterator().next().sentAt;
    }

    void onAttemptSent(Attempt attempt) {
        outstanding.add(attempt);
        sentSinceReport++;
    }

    void onProbeSent(double at) {
        probeOutstanding = true;
        probedAt = at;
    }

    void onProbeEnd(SchedulerHost.Outcome outcome) {
        probeOutstanding = false;
        onContact(outcome);
    }

    /** Handles a response, or a probe without one. One unresponsive before was not slow: its hidden delay is reset. */
    void onContact(SchedulerHost.Outcome outcome) {
        boolean noResponse =
                outcome == SchedulerHost.Outcome.TIMED_OUT || outcome == SchedulerHost.Outcome.NOT_CONNECTED;
        hiddenDelay = unresponsive && !noResponse ? 0 : hiddenDelay;
        unresponsive = noResponse;
    }

    /** Resets the measurements of the previous process. */
    void onRestart(double at) {
        startedAt = at;
        hasMeasurements = false;
        hiddenDelay = 0;
        consecutiveFailures = 0;
        queue = 0;
        utilization = 0;
        concurrencyLimit = initialLimit;
        lowestLatency = new WindowedMinimum();
    }
}
