package pinewick.core;

import java.util.List;

/**
 * The callbacks of {@link QueryScheduler} and the plain data that it is handed. A front end implements it once for
 * each router. Times are seconds; ids are passed through unchanged.
 */
public interface SchedulerHost {
    /** The time of the current batch of events. */
    double now();

    /** Sends a shard request to a replica; {@code timeoutSeconds} is the time-out of this attempt. */
    void sendAttempt(String requestId, String replicaId, double timeoutSeconds);

    /** Sends the final answer from the shard results that have arrived, or ends the first of two phases. */
    void mergeResults(String queryId, boolean complete);

    /** Sends the final answer: rejected and safe to retry; {@code retryAfterSeconds} 0 gives no advice. */
    void rejectQuery(String queryId, double retryAfterSeconds);

    /** Sends the final answer: failed, and effects are possible. */
    void failQuery(String queryId);

    /** Cancels one attempt; {@code attempt} counts from 0 for each shard request. */
    void cancelAttempt(String requestId, int attempt);

    void sendProbe(String replicaId);

    /** Requests a call of {@link QueryScheduler#onTimer} after a delay. */
    void scheduleTimer(double delaySeconds, long timerId);

    /** Subscribes to changes of the list of replicas, or unsubscribes. */
    void watchReplicas(boolean enabled);

    /** Reports this router's measurements: smoothed latency (seconds), reported queue length, consecutive failures. */
    default void onReplicaMeasured(
            String replicaId, double latencySeconds, double queueLength, int consecutiveFailures) {}

    /** The latency that other routers measured at the replica, in seconds; 0 if unknown. It may be stale or wrong. */
    default double peerLatency(String replicaId) {
        return 0;
    }

    /** Whether several other routers saw it fail or leave after this time. It may be stale or wrong. */
    default boolean peersReportFailure(String replicaId, double since) {
        return false;
    }

    /** Writes a line to the operators' log. */
    void log(String text);

    /** The outcome of an attempt or a probe. */
    enum Outcome {
        FULFILLED,
        ERROR,
        REJECTED,
        TIMED_OUT,
        NOT_CONNECTED,
        DROPPED,
        CANCELLED,
        MOOT;

        /** Whether this outcome proves that the shard request never ran. */
        public boolean neverRan() {
            return this == REJECTED || this == NOT_CONNECTED || this == MOOT;
        }
    }

    /** Whether shard requests of a service class can be retried safely. */
    enum RetrySafety {
        IDEMPOTENT,
        DEDUPLICATED,
        UNSAFE
    }

    /** The lifecycle state of a replica in discovery. */
    enum LifecycleState {
        GONE,
        READY,
        DRAINING
    }

    /** How a discovery update relates to the current list of replicas. */
    enum ListUpdateKind {
        INCREMENTAL,
        FULL,
        CACHED,
        FAILED
    }

    /** One entry of the list of replicas; {@code startedAt} 0 means that it started long ago. */
    record ReplicaEntry(String replicaId, int cell, String zone, LifecycleState state, double startedAt) {}

    /** A load report of a replica; values that it lacks are NaN. */
    record LoadReport(double pending, double inFlight, double utilization, double servedPerSecond) {}

    /** The configuration of a service class. */
    record ServiceClassConfig(
            String name,
            double latencyTargetSeconds,
            double targetStretch,
            double hardDeadlineSeconds,
            double value,
            double lateValue,
            RetrySafety retrySafety,
            double dedupWindowSeconds,
            double minShare,
            double completeShare,
            double partialValue,
            int secondPhaseRequests) {
        /** The latency target of a query with this amount of work, both in seconds. */
        double latencyTarget(double work) {
            return latencyTargetSeconds + targetStretch * work;
        }
    }

    /** The parameters of the rules; without a retry budget {@code freeRetries} is infinite. */
    record SchedulingRules(
            double drainGraceSeconds,
            double coldCapacityShare,
            double warmUpSeconds,
            double overloadFactor,
            double overloadWindowSeconds,
            double freeRetries,
            double retryRatio,
            double retryWindowSeconds,
            double resubscribeWithinSeconds) {
        /** The share of its full capacity that a replica may be sent at this age in seconds. */
        double capacity(double age) {
            return coldCapacityShare + (1 - coldCapacityShare) * Math.min(1, age / warmUpSeconds);
        }
    }

    /** The configuration of a router at its start. */
    record Deployment(
            int routers,
            String zone,
            double timerGranularitySeconds,
            List<ServiceClassConfig> serviceClasses,
            SchedulingRules rules,
            boolean mustSubscribe,
            boolean allowsProbes,
            boolean allowsCancel,
            boolean allowsConcurrentAttempts,
            boolean allowsRetryAfter,
            boolean clientsMarkRetries,
            double maxRetryAfterSeconds,
            int maxAttempts,
            int cells,
            int cellsPerShard,
            int maxRequestsPerCall,
            double callOverheadSeconds) {}
}
