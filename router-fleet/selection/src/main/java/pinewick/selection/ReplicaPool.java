package pinewick.selection;

import java.util.ArrayList;
import java.util.List;
import pinewick.model.EngineSpec;
import pinewick.model.Stage;

/** The replicas of one service and stage: their service time models and averages. */
final class ReplicaPool {
    /** A decode replica prefills at about half the rate of a prefill replica (the users' SYSTEM page). */
    private static final double AGGREGATED_PREFILL_FACTOR = 2;
    /** The fraction of the initial estimate that does not depend on tokens. */
    private static final double FIXED_FRACTION = 0.25;

    /**
     * Lower bound of the prefill time of a token before any sample. With a tenth of the target latency alone, a token
     * of a long prompt would seem to take almost no time, and long prompts would go to decode replicas.
     */
    private static final double INITIAL_PER_TOKEN_MS = 0.01;

    /** The fraction of its output limit that a request is expected to generate, before any sample. */
    private static final double INITIAL_OUTPUT_FRACTION = 0.5;

    private static final double LATENCY_SMOOTHING = 0.05;
    private static final double MIN_MEAN_LATENCY_MS = 20;
    private static final double OUTPUT_SMOOTHING = 0.05;

    private final Stage stage;
    private final ServiceTimeModel[] models = new ServiceTimeModel[CallKind.values().length];
    private final List<ReplicaMeasurements> members = new ArrayList<>();
    private final SharedServiceTime[] sharedServiceTimes = new SharedServiceTime[CallKind.values().length];
    private EngineSpec engine;
    private ServiceTimeModel otherStagePrefillModel;
    /** Rate of this router's calls, each weighted by the inverse of its route's target latency. */
    private final SmoothedRate callsPerTargetMs = new SmoothedRate();

    private double meanLatencyMs;
    private double outputFraction = INITIAL_OUTPUT_FRACTION;
    private double averagedAtMs = Double.NaN;
    private double averageQueueingDelayMs;
    private double averageMinLatencyMs;
    private double averagePerTokenMs;

    ReplicaPool(Stage stage) {
        this.stage = stage;
        for (int kind = 0; kind < models.length; kind++) {
            models[kind] = new ServiceTimeModel();
        }
    }

    void setEngine(EngineSpec engine) {
        this.engine = engine;
    }

    EngineSpec engine() {
        return engine;
    }

    Stage stage() {
        return stage;
    }

    void add(ReplicaMeasurements member) {
        members.add(member);
        averagedAtMs = Double.NaN;
    }

    void remove(ReplicaMeasurements member) {
        members.remove(member);
        averagedAtMs = Double.NaN;
    }

    /**
     * The expected time of a call of this kind for a number of tokens prefilled or transferred, milliseconds. The
     * sources, in order of preference:
     *
     * <ol>
     *   <li>this router's own samples
     *   <li>the service time received from another router
     *   <li>for the time of a token: the model of the calls that prefill at the other stage or, for transfers, the
     *       engine's link bandwidth
     *   <li>the initial estimate of the request
     * </ol>
     */
    double expectedMs(CallKind kind, RequestShape request, double tokens, double initialEstimateMs) {
        ServiceTimeModel own = models[kind.ordinal()];
        if (own.isPerTokenKnown()) {
            return own.predict(tokens);
        }
        if (sharedServiceTime(kind) != null) {
            return sharedServiceTime(kind).predict(tokens);
        }
        double fixed = own.samples() > 0 ? own.fixedMs() : FIXED_FRACTION * initialEstimateMs;
        return fixed + perTokenMs(kind, request, initialEstimateMs) * tokens;
    }

    /** Time of one token prefilled or transferred, milliseconds; from the same sources as {@link #expectedMs}. */
    double perTokenMs(CallKind kind, RequestShape request, double initialEstimateMs) {
        ServiceTimeModel own = models[kind.ordinal()];
        if (own.isPerTokenKnown()) {
            return own.perTokenMs();
        }
        if (sharedServiceTime(kind) != null) {
            return sharedServiceTime(kind).perTokenMs();
        }
        if (kind == CallKind.DISAGGREGATED_DECODE) {
            return engine == null ? 0 : PriceModel.transferMs(engine.kvTokenBytes(), engine.linkBandwidthMbps());
        }
        double factor = kind == CallKind.AGGREGATED_DECODE ? AGGREGATED_PREFILL_FACTOR : 1 / AGGREGATED_PREFILL_FACTOR;
        if (otherStagePrefillModel != null && otherStagePrefillModel.isPerTokenKnown()) {
            return factor * otherStagePrefillModel.perTokenMs();
        }
        double ofEstimate = (1 - FIXED_FRACTION) * initialEstimateMs / Math.max(1, request.promptTokens());
        double estimate = Math.max(ofEstimate, INITIAL_PER_TOKEN_MS);
        return kind == CallKind.AGGREGATED_DECODE ? factor * estimate : estimate;
    }

    /** The service time of this kind of call that another router has sent, null if none has. */
    SharedServiceTime sharedServiceTime(CallKind kind) {
        return sharedServiceTimes[kind.ordinal()];
    }

    /**
     * Stores a service time received from another router, unless the one held has more samples.
     *
     * @return whether it is the first of its kind of call
     */
    boolean offerSharedServiceTime(SharedServiceTime serviceTime) {
        SharedServiceTime known = sharedServiceTime(serviceTime.kind());
        if (known == null || serviceTime.samples() >= known.samples()) {
            sharedServiceTimes[serviceTime.kind().ordinal()] = serviceTime;
        }
        return known == null;
    }

    /** Sets the model of the calls that prefill at the other stage of the service. */
    void setOtherStagePrefillModel(ServiceTimeModel other) {
        otherStagePrefillModel = other;
    }

    ServiceTimeModel model(CallKind kind) {
        return models[kind.ordinal()];
    }

    /** This router has started a call to one of the replicas, on a route with this target latency. */
    void onCallStarted(int targetLatencyMs, double nowMs) {
        callsPerTargetMs.add(1.0 / Math.max(1, targetLatencyMs), nowMs);
    }

    /**
     * The total delay of other calls while a replica is occupied for {@code occupiedMs}: each call that arrives in that
     * time waits half of it on average. A delay is weighted by {@code targetLatencyMs} over the target latency of the
     * delayed call, since 100 ms matter more to a call with a target of 300 ms than to one with a target of 600 ms.
     */
    double interferenceMs(double occupiedMs, int targetLatencyMs, int routers, double nowMs) {
        double callsPerMs = callsPerTargetMs.perMs(nowMs) * targetLatencyMs * routers / Math.max(1, members.size());
        return callsPerMs * occupiedMs * occupiedMs / 2;
    }

    /** Records the latency of one response. */
    void recordLatency(double latencyMs) {
        meanLatencyMs += meanLatencyMs == 0 ? latencyMs : LATENCY_SMOOTHING * (latencyMs - meanLatencyMs);
    }

    /** Mean recent latency, queueing included; a reported queue takes about this long to drain. */
    double meanLatencyMs() {
        return Math.max(MIN_MEAN_LATENCY_MS, meanLatencyMs);
    }

    /** Records the number of tokens that a request generated. */
    void recordOutput(RequestShape request, int outputTokens) {
        if (request.outputTokens() > 0) {
            outputFraction +=
                    OUTPUT_SMOOTHING * (Math.min(1, (double) outputTokens / request.outputTokens()) - outputFraction);
        }
    }

    /** The number of tokens that a request is expected to generate; the request states only its limit. */
    double expectedOutputTokens(RequestShape request) {
        return outputFraction * request.outputTokens();
    }

    /** Mean R - s of the replicas with samples; 0 without any. */
    double averageQueueingDelayMs(double nowMs) {
        updateAverages(nowMs);
        return averageQueueingDelayMs;
    }

    /** Mean of the minimum recent latencies of the replicas with samples; infinite without any. */
    double averageMinLatencyMs(double nowMs) {
        updateAverages(nowMs);
        return averageMinLatencyMs;
    }

    /** Mean of the minimum times per token of the replicas that have completed a stream; 0 without any. */
    double averagePerTokenMs(double nowMs) {
        updateAverages(nowMs);
        return averagePerTokenMs;
    }

    private void updateAverages(double nowMs) {
        if (averagedAtMs == nowMs) {
            return;
        }
        averagedAtMs = nowMs;
        double queueingDelay = 0;
        double minLatency = 0;
        double perToken = 0;
        int withSample = 0;
        int withLatency = 0;
        int withPerToken = 0;
        for (int each = 0; each < members.size(); each++) {
            ReplicaMeasurements member = members.get(each);
            if (member.hasSample()) {
                queueingDelay += member.ownQueueingDelayMs();
                withSample++;
            }
            if (member.minLatencyMs() < Double.POSITIVE_INFINITY) {
                minLatency += member.minLatencyMs();
                withLatency++;
            }
            if (member.minPerTokenMs() < Double.POSITIVE_INFINITY) {
                perToken += member.minPerTokenMs();
                withPerToken++;
            }
        }
        averageQueueingDelayMs = withSample == 0 ? 0 : queueingDelay / withSample;
        averageMinLatencyMs = withLatency == 0 ? Double.POSITIVE_INFINITY : minLatency / withLatency;
        averagePerTokenMs = withPerToken == 0 ? 0 : perToken / withPerToken;
    }
}
