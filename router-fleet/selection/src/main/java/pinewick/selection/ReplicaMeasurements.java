package pinewick.selection;

import pinewick.model.EngineSpec;
import pinewick.model.ReplicaRecord;

/** This router's measurements of one replica, and the terms of the score that it computes from them. */
final class ReplicaMeasurements {
    /** Length of each of the two windows over which minimum times are taken. */
    private static final double MINIMUM_WINDOW_MS = 5_000;
    /** The service time of a replica relative to its pool's model is limited to these factors. */
    private static final double MIN_SPEED_FACTOR = 0.5;

    private static final double MAX_SPEED_FACTOR = 2;
    /** A stream without an event for this long is overdue. */
    private static final double MAX_STREAM_GAP_MS = 300;

    private static final double INITIAL_EJECTION_MS = 200;
    /** Age up to which a load report is used to estimate the number of calls in progress. */
    private static final double REPORT_VALIDITY_MS = 2_500;

    private static final double MS_PER_SECOND = 1_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 4;
    private static final int FAILURES_TO_EJECT = 2;

    private final SelectionTuning tuning;
    private final ReplicaPool pool;
    private final PrefixCacheEstimate cache;
    private final int slots;
    private final int batchSize;

    private int outstanding;
    private int streaming;
    private CallMeasurement oldestWaiting;
    private CallMeasurement newestWaiting;
    private double lastEventAtMs = Double.NEGATIVE_INFINITY;

    private boolean hasSample;
    private double queueingDelayMs;
    private double queueingDelayAtMs;
    private double perTokenDelayMs;
    private double perTokenDelayAtMs;
    private double transferDelayMs;
    private double transferDelayAtMs;
    private final WindowedMinimum minLatency = new WindowedMinimum();
    private final WindowedMinimum minSpeedFactor = new WindowedMinimum();
    private final WindowedMinimum minPerTokenTime = new WindowedMinimum();

    private LoadReport report;
    private int startedSinceReport;
    private int endedSinceReport;

    private int consecutiveFailures;
    private double ejectedUntilMs = Double.NEGATIVE_INFINITY;

    ReplicaMeasurements(SelectionTuning tuning, ReplicaPool pool, PrefixCacheEstimate cache, ReplicaRecord replica) {
        this.tuning = tuning;
        this.pool = pool;
        this.cache = cache;
        this.slots = Math.max(1, replica.slots());
        this.batchSize = tuning.countInBatches() ? slots : 1;
        pool.add(this);
    }

    ReplicaPool pool() {
        return pool;
    }

    PrefixCacheEstimate cache() {
        return cache;
    }

    int outstanding() {
        return outstanding;
    }

    boolean hasSample() {
        return hasSample;
    }

    double ownQueueingDelayMs() {
        return queueingDelayMs;
    }

    double minLatencyMs() {
        return minLatency.get();
    }

    double minPerTokenMs() {
        return minPerTokenTime.get();
    }

    /**
     * R - s, milliseconds: the smoothed latency beyond s, which decays to the pool's average without new samples; at
     * least the time by which a response is overdue.
     */
    double queueingDelayMs(double nowMs) {
        double own = pool.averageQueueingDelayMs(nowMs);
        if (hasSample) {
            own += (queueingDelayMs - own) * decayFactor(nowMs - queueingDelayAtMs);
        }
        return Math.max(own, overdueMs(nowMs));
    }

    /** By how much recent tokens took longer than the minimum time per token, milliseconds; decays over time. */
    double perTokenDelayMs(double nowMs) {
        return perTokenDelayMs * decayFactor(nowMs - perTokenDelayAtMs);
    }

    /** By how much recent KV transfers from or to this replica were late, milliseconds; decays over time. */
    double transferDelayMs(double nowMs) {
        return transferDelayMs * decayFactor(nowMs - transferDelayAtMs);
    }

    private double decayFactor(double ageMs) {
        return Math.pow(0.5, Math.max(0, ageMs) / tuning.queueingDelayHalfLifeMs());
    }

    /**
     * How long a response has been overdue, milliseconds; 0 if none is. A hung replica sends no response that could be
     * measured, so the missing one has to count.
     */
    double overdueMs(double nowMs) {
        double overdue = 0;
        if (oldestWaiting != null) {
            overdue = nowMs - oldestWaiting.startedAtMs() - oldestWaiting.serviceMs();
        }
        if (streaming > 0) {
            overdue = Math.max(overdue, nowMs - lastEventAtMs - MAX_STREAM_GAP_MS);
        }
        return Math.max(0, overdue);
    }

    /** The weight of the last report: 1 at first, halving in about the time a queue takes to drain; 0 if none. */
    double reportWeight(double nowMs) {
        if (report == null) {
            return 0;
        }
        double ageMs = Math.max(0, nowMs - report.atMs());
        return Math.pow(0.5, ageMs / (tuning.reportHalfLife() * pool.meanLatencyMs()));
    }

    /** The last load report, null if there is none. */
    LoadReport report() {
        return report;
    }

    /** Calls in progress at the replica, by its last report and by those this router has started or ended since. */
    double inProgress() {
        if (report == null) {
            return outstanding;
        }
        return Math.max(outstanding, report.running() + report.waiting() + startedSinceReport - endedSinceReport);
    }

    int slots() {
        return slots;
    }

    /**
     * The likely number of calls in progress at the replica: by its report if that is recent, otherwise by assuming
     * that every router has as many calls outstanding there as this one.
     */
    double likelyInProgress(int routers, double nowMs) {
        boolean isReportRecent = report != null && nowMs - report.atMs() < REPORT_VALIDITY_MS;
        return isReportRecent ? inProgress() : (double) outstanding * routers;
    }

    /**
     * The length of the replica's queue: by its report, minus the calls of this router that have ended since, or plus
     * those that it has started beyond the slots. As the report ages, this router's outstanding calls gradually replace
     * it; without a report they are the estimate.
     */
    double queueLength(double nowMs) {
        double weight = reportWeight(nowMs);
        if (weight == 0) {
            return outstanding;
        }
        double remaining = report.waiting() + Math.min(0, startedSinceReport - endedSinceReport);
        double reported = Math.max(0, Math.max(remaining, inProgress() - slots));
        return weight * reported + (1 - weight) * outstanding;
    }

    /** Whether all slots of the replica are in use, as far as is known. */
    boolean isFull() {
        return inProgress() >= slots;
    }

    /**
     * The fraction of the replica's KV cache in use, weighted by the age of the report; 0 without a report. The
     * fraction of slots in use would not help, since all are in use wherever there is a queue.
     */
    double busyShare(double nowMs) {
        double weight = reportWeight(nowMs);
        if (weight == 0 || report.kvTotal() <= 0) {
            return 0;
        }
        return weight * Math.min(1, (double) report.kvUsed() / report.kvTotal());
    }

    /**
     * R - s + q̂³·s, milliseconds, for the request's s and R - s. A replica processes {@code slots} requests at a time,
     * so the outstanding calls and the queue are counted in batches of that size.
     */
    double score(double serviceMs, double queueingMs, int routers, double nowMs) {
        double ahead =
                (double) outstanding * routers + queueLength(nowMs) * (1 + tuning.busyWeight() * busyShare(nowMs));
        double congestion = 1 + ahead / batchSize;
        return queueingMs + congestion * congestion * congestion * serviceMs;
    }

    /** s of a plain request: the minimum recent latency, milliseconds. */
    double plainServiceMs(double initialEstimateMs, double nowMs) {
        double own = minLatency.get() < Double.POSITIVE_INFINITY ? minLatency.get() : pool.averageMinLatencyMs(nowMs);
        return own < Double.POSITIVE_INFINITY ? own : initialEstimateMs;
    }

    /** s of a request for an expected prefill or transfer time and a number of output tokens, milliseconds. */
    double engineServiceMs(double expectedMs, double outputTokens, double nowMs) {
        if (!tuning.serviceByRequest()) {
            double own =
                    minLatency.get() < Double.POSITIVE_INFINITY ? minLatency.get() : pool.averageMinLatencyMs(nowMs);
            return own < Double.POSITIVE_INFINITY ? own : expectedMs;
        }
        double speed = minSpeedFactor.get() < Double.POSITIVE_INFINITY ? minSpeedFactor.get() : 1;
        double perTokenMs = minPerTokenTime.get() < Double.POSITIVE_INFINITY
                ? minPerTokenTime.get()
                : pool.averagePerTokenMs(nowMs);
        return expectedMs * Math.max(MIN_SPEED_FACTOR, Math.min(MAX_SPEED_FACTOR, speed)) + perTokenMs * outputTokens;
    }

    /** Whether the replica is ejected. When the ejection is over it takes one request at a time, until one succeeds. */
    boolean isEjected(double nowMs) {
        return consecutiveFailures >= FAILURES_TO_EJECT && (nowMs < ejectedUntilMs || outstanding > 0);
    }

    /** Whether the replica's ejection is over and no request probes it yet. */
    boolean isEjectionOver(double nowMs) {
        return consecutiveFailures >= FAILURES_TO_EJECT && nowMs >= ejectedUntilMs && outstanding == 0;
    }

    /** Whether the replica is changing its stage, by a report that is more recent than a change takes. */
    boolean isChangingStage(double nowMs) {
        EngineSpec engine = pool.engine();
        return report != null
                && report.busy()
                && engine != null
                && nowMs - report.atMs() < engine.switchTimeSeconds() * MS_PER_SECOND;
    }

    /** Applies a load report, unless a later one is known. */
    void onLoadReport(LoadReport newReport) {
        if (report == null || newReport.atMs() >= report.atMs()) {
            report = newReport;
            startedSinceReport = 0;
            endedSinceReport = 0;
        }
    }

    void onCallStarted(CallMeasurement call) {
        outstanding++;
        startedSinceReport++;
        pool.onCallStarted(call.targetLatencyMs(), call.startedAtMs());
        call.linkAfter(newestWaiting);
        newestWaiting = call;
        if (oldestWaiting == null) {
            oldestWaiting = call;
        }
    }

    /** Removes the call from the list of calls that wait for their first event. */
    private void removeFromWaiting(CallMeasurement call) {
        if (oldestWaiting == call) {
            oldestWaiting = call.newer();
        }
        if (newestWaiting == call) {
            newestWaiting = call.older();
        }
        call.unlink();
    }

    /** The first event of a stream arrived. */
    void onFirstEvent(CallMeasurement call, double nowMs) {
        removeFromWaiting(call);
        streaming++;
        lastEventAtMs = nowMs;
    }

    /** Another event of a stream arrived. */
    void onEvent(double nowMs) {
        lastEventAtMs = nowMs;
    }

    void onCallEnded(CallMeasurement call, boolean wasStreaming) {
        outstanding--;
        if (report != null && call.startedAtMs() < report.atMs()) {
            endedSinceReport++;
        } else {
            startedSinceReport = Math.max(0, startedSinceReport - 1);
        }
        if (wasStreaming) {
            streaming--;
        } else {
            removeFromWaiting(call);
        }
    }

    /** Records by how much a response took longer than s, to its first event or to its end; negative counts as 0. */
    void recordQueueingDelay(double excessMs, double nowMs) {
        double delayMs = Math.max(0, excessMs);
        queueingDelayMs = hasSample ? queueingDelayMs + tuning.smoothing() * (delayMs - queueingDelayMs) : delayMs;
        hasSample = true;
        queueingDelayAtMs = nowMs;
    }

    /** Records by how much a response with a KV transfer took longer than s and this replica's queueing delay. */
    void recordTransferDelay(double excessMs, double nowMs) {
        double delayMs = Math.max(0, excessMs - queueingDelayMs(nowMs));
        double before = transferDelayMs(nowMs);
        transferDelayMs = before + tuning.smoothing() * (delayMs - before);
        transferDelayAtMs = nowMs;
    }

    /** A response arrived, which ends a series of failures. */
    void onSuccess(double nowMs) {
        consecutiveFailures = 0;
        lastEventAtMs = nowMs;
    }

    /** Records the latency of a response. */
    void recordLatency(double latencyMs, double nowMs) {
        minLatency.add(nowMs, latencyMs, MINIMUM_WINDOW_MS);
        pool.recordLatency(latencyMs);
    }

    /** Records the latency of a response as a multiple of what the pool's model predicts. */
    void recordSpeedFactor(double factor, double nowMs) {
        minSpeedFactor.add(nowMs, factor, MINIMUM_WINDOW_MS);
    }

    /** Records the mean time per token of a stream, milliseconds. */
    void recordPerTokenTime(double perTokenMs, double nowMs) {
        minPerTokenTime.add(nowMs, perTokenMs, MINIMUM_WINDOW_MS);
        double delayMs = Math.max(0, perTokenMs - minPerTokenTime.get());
        perTokenDelayMs += tuning.smoothing() * (delayMs - perTokenDelayMs);
        perTokenDelayAtMs = nowMs;
    }

    /**
     * A call failed. After {@link #FAILURES_TO_EJECT} consecutive failures the replica is ejected, with exponential
     * backoff.
     *
     * @param isConclusive whether this failure alone ejects the replica
     * @param jitter from 0 to 1, so that routers do not end their ejections at the same time
     */
    void onFailure(double nowMs, boolean isConclusive, double jitter) {
        consecutiveFailures =
                isConclusive ? Math.max(consecutiveFailures + 1, FAILURES_TO_EJECT) : consecutiveFailures + 1;
        if (consecutiveFailures >= FAILURES_TO_EJECT && nowMs >= ejectedUntilMs) {
            int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, consecutiveFailures - FAILURES_TO_EJECT);
            ejectedUntilMs = nowMs + INITIAL_EJECTION_MS * (1 << doublings) * (0.5 + jitter);
        }
    }

    /** Extends the ejection without a probe request, so that not all routers probe the replica at the same time. */
    void extendEjection(double nowMs, double jitter) {
        ejectedUntilMs = nowMs + INITIAL_EJECTION_MS * (0.5 + jitter);
    }
}
