package pinewick.selection;

import java.util.random.RandomGenerator;
import pinewick.model.EngineSpec;

/** Measures one call to a replica from its start to its end, and updates the replica's measurements with it. */
final class CallMeasurement {
    /** With at most this fraction of uncertain tokens, the number of prefilled tokens counts as certain. */
    private static final double MAX_UNCERTAIN_FRACTION = 0.25;
    /** Weight of a sample whose number of prefilled tokens is uncertain. */
    private static final double UNCERTAIN_SAMPLE_WEIGHT = 0.1;
    /** A cached part that was used within this time is certain to be still cached. */
    private static final double RECENT_USE_MS = 2_000;
    /** A cache miss is distinguished from queueing only if the prefill of the missed part takes at least this long. */
    private static final double MIN_DETECTABLE_MISS_MS = 20;
    /** A cache miss is assumed if the excess latency is within these factors of the prefill time of the missed part. */
    private static final double MISS_LOWER_FACTOR = 0.7;

    private static final double MISS_UPPER_FACTOR = 2;

    private final String instanceId;
    private final ReplicaMeasurements measurements;
    private final ReplicaMeasurements prefillMeasurements;
    private final PrefixCacheEstimates cacheEstimates;
    private final RandomGenerator random;
    private final CallKind kind;
    private final RequestShape request;
    private final PromptChain prompt;
    private final double startedAtMs;
    private final double serviceMs;
    private final double tokens;
    private final int cachedParts;
    private final double cachedLastUseMs;
    private CallMeasurement older;
    private CallMeasurement newer;
    private boolean streaming;
    private boolean ended;
    private double firstEventAtMs;
    private double lastEventAtMs;
    private int laterTokens;

    /**
     * @param prefillMeasurements those of the replica that did the prefill, null without a KV transfer
     * @param transferFactor how many times longer the KV transfer takes than one within a zone
     */
    CallMeasurement(
            String instanceId,
            ReplicaMeasurements measurements,
            ReplicaMeasurements prefillMeasurements,
            PrefixCacheEstimates cacheEstimates,
            RandomGenerator random,
            CallKind kind,
            RequestShape request,
            PromptChain prompt,
            double transferFactor,
            double nowMs) {
        this.instanceId = instanceId;
        this.measurements = measurements;
        this.prefillMeasurements = prefillMeasurements;
        this.cacheEstimates = cacheEstimates;
        this.random = random;
        this.kind = kind;
        this.request = request;
        this.prompt = prompt;
        this.startedAtMs = nowMs;
        boolean prefills = kind == CallKind.PREFILL || kind == CallKind.AGGREGATED_DECODE;
        cachedParts = prefills ? measurements.cache().cachedParts(prompt) : 0;
        cachedLastUseMs = measurements.cache().leastRecentUse(prompt, cachedParts);
        double initialEstimateMs = RequestScores.initialEstimateMs(request);
        if (kind == CallKind.PLAIN) {
            tokens = 0;
            serviceMs = measurements.plainServiceMs(initialEstimateMs, nowMs);
        } else {
            int uncached = prompt.promptTokens() - measurements.cache().cachedTokens(prompt);
            tokens = prefills ? uncached : prompt.promptTokens() * transferFactor;
            double expected = measurements.pool().expectedMs(kind, request, tokens, initialEstimateMs);
            serviceMs = measurements.engineServiceMs(expected, 0, nowMs);
        }
        measurements.onCallStarted(this);
    }

    double startedAtMs() {
        return startedAtMs;
    }

    int targetLatencyMs() {
        return request.route().targetLatencyMs();
    }

    /** s of this call to its first event, estimated at its start, milliseconds. */
    double serviceMs() {
        return serviceMs;
    }

    CallMeasurement older() {
        return older;
    }

    CallMeasurement newer() {
        return newer;
    }

    void linkAfter(CallMeasurement last) {
        older = last;
        if (last != null) {
            last.newer = this;
        }
    }

    void unlink() {
        if (older != null) {
            older.newer = newer;
        }
        if (newer != null) {
            newer.older = older;
        }
        older = null;
        newer = null;
    }

    void onFirstEvent(double nowMs) {
        if (ended || streaming) {
            return;
        }
        streaming = true;
        firstEventAtMs = nowMs;
        lastEventAtMs = nowMs;
        measurements.onFirstEvent(this, nowMs);
        if (isDecode()) {
            recordLatency(nowMs);
        }
    }

    private boolean isDecode() {
        return kind == CallKind.DISAGGREGATED_DECODE || kind == CallKind.AGGREGATED_DECODE;
    }

    void onEvent(double nowMs) {
        EngineSpec engine = measurements.pool().engine();
        onEvent(engine == null ? 1 : engine.stride(), nowMs);
    }

    void onEvent(int eventTokens, double nowMs) {
        if (ended || !streaming) {
            return;
        }
        laterTokens += eventTokens;
        lastEventAtMs = nowMs;
        measurements.onEvent(nowMs);
    }

    void onEnd(CallOutcome outcome, double nowMs) {
        if (ended) {
            return;
        }
        ended = true;
        measurements.onCallEnded(this, streaming);
        switch (outcome) {
            case COMPLETED -> onCompleted(nowMs);
            case REJECTED -> onRejected(nowMs);
            case FAILED, TIMED_OUT -> onFailed(false, nowMs);
            case CONNECT_FAILED -> onFailed(true, nowMs);
            case CANCELLED -> onCancelled(nowMs);
        }
    }

    private void onCompleted(double nowMs) {
        measurements.onSuccess(nowMs);
        if (!isDecode() || !streaming) {
            recordLatency(nowMs);
        }
        if (isDecode()) {
            measurements.pool().recordOutput(request, 1 + laterTokens);
        }
        if (laterTokens > 0 && lastEventAtMs > firstEventAtMs) {
            measurements.recordPerTokenTime((lastEventAtMs - firstEventAtMs) / laterTokens, nowMs);
        }
    }

    /** Records the time to the first event or, without a stream, to the complete response. */
    private void recordLatency(double nowMs) {
        double latencyMs = nowMs - startedAtMs;
        measurements.onSuccess(nowMs);
        measurements.recordLatency(latencyMs, nowMs);
        if (kind == CallKind.PLAIN) {
            measurements.recordQueueingDelay(latencyMs - serviceMs, nowMs);
        } else if (kind == CallKind.DISAGGREGATED_DECODE) {
            updateServiceTimeModel(latencyMs, nowMs);
            measurements.recordTransferDelay(latencyMs - serviceMs, nowMs);
            if (prefillMeasurements != null) {
                prefillMeasurements.recordTransferDelay(
                        latencyMs - serviceMs - measurements.queueingDelayMs(nowMs), nowMs);
            }
            cacheEstimates.recordUse(instanceId, prompt, nowMs);
        } else {
            double missMs = detectCacheMiss(latencyMs);
            updateServiceTimeModel(latencyMs, nowMs);
            measurements.recordQueueingDelay(latencyMs - serviceMs - missMs, nowMs);
            cacheEstimates.recordUse(instanceId, prompt, nowMs);
        }
    }

    private void updateServiceTimeModel(double latencyMs, double nowMs) {
        ServiceTimeModel model = measurements.pool().model(kind);
        boolean isCertain = kind == CallKind.DISAGGREGATED_DECODE
                || uncertainTokens() <= MAX_UNCERTAIN_FRACTION * prompt.promptTokens();
        if (isCertain && model.isPerTokenKnown()) {
            measurements.recordSpeedFactor(latencyMs / model.predict(tokens), nowMs);
        }
        model.addSample(tokens, latencyMs, isCertain ? 1 : UNCERTAIN_SAMPLE_WEIGHT);
    }

    /**
     * Number of shared tokens that may or may not have been cached: another router may have sent the same prefix, or
     * the replica may have evicted it.
     */
    private int uncertainTokens() {
        boolean isRecent = startedAtMs - cachedLastUseMs < RECENT_USE_MS;
        int uncertain = 0;
        for (int part = isRecent ? cachedParts : 0; part < prompt.length() - 1; part++) {
            uncertain += prompt.tokens(part);
        }
        return uncertain;
    }

    /**
     * Detects a cache miss: the response was as late as if nothing had been cached, and not later than that.
     *
     * @return the prefill time of the missed part, milliseconds; 0 if it was cached
     */
    private double detectCacheMiss(double latencyMs) {
        ServiceTimeModel model = measurements.pool().model(kind);
        double missMs = model.perTokenMs() * (prompt.promptTokens() - tokens);
        if (cachedParts == 0 || missMs < MIN_DETECTABLE_MISS_MS || !model.isPerTokenKnown()) {
            return 0;
        }
        double excessMs = latencyMs - serviceMs - measurements.ownQueueingDelayMs();
        if (excessMs > MISS_LOWER_FACTOR * missMs && excessMs < MISS_UPPER_FACTOR * missMs) {
            measurements.cache().onMiss(cachedLastUseMs);
            return missMs;
        }
        if (excessMs < (1 - MISS_LOWER_FACTOR) * missMs) {
            measurements.cache().onHit();
        }
        return 0;
    }

    /**
     * A rejection means that the replica has no capacity or that the KV cache could not be transferred. Unless the
     * replica is full, a rejected transfer counts against the prefill replica.
     */
    private void onRejected(double nowMs) {
        double penaltyMs = request.route().targetLatencyMs();
        if (prefillMeasurements != null && !measurements.isFull()) {
            prefillMeasurements.recordTransferDelay(penaltyMs, nowMs);
        } else {
            measurements.recordQueueingDelay(penaltyMs, nowMs);
        }
    }

    /** Any failure, even an early one, counts with the full timeout of the route. */
    private void onFailed(boolean isConclusive, double nowMs) {
        double timeoutMs = Math.max(nowMs - startedAtMs, request.route().timeoutMs());
        measurements.recordQueueingDelay(timeoutMs - serviceMs, nowMs);
        measurements.onFailure(nowMs, isConclusive, random.nextDouble());
    }

    /** A cancelled call is measured only if its response was overdue, since it would have taken even longer. */
    private void onCancelled(double nowMs) {
        double excessMs = nowMs - startedAtMs - serviceMs;
        if (!streaming && excessMs > measurements.ownQueueingDelayMs()) {
            measurements.recordQueueingDelay(excessMs, nowMs);
        }
    }
}
