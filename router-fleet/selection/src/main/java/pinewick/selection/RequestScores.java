package pinewick.selection;

import java.util.random.RandomGenerator;
import pinewick.model.EngineSpec;
import pinewick.model.ReplicaRecord;

/** Computes the scores of the candidates for one request: s for each kind of call, and the prices of the choice. */
final class RequestScores {
    /** Initial estimate of R and s, as a fraction of the route's target latency. */
    private static final double INITIAL_ESTIMATE_FRACTION = 0.1;

    private final SelectionTuning tuning;
    private final RandomGenerator random;
    private final Locality locality;
    private final int routers;
    private final RequestShape request;
    private final PromptChain prompt;
    private final double nowMs;

    RequestScores(
            SelectionTuning tuning,
            RandomGenerator random,
            Locality locality,
            int routers,
            RequestShape request,
            PromptChain prompt,
            double nowMs) {
        this.tuning = tuning;
        this.random = random;
        this.locality = locality;
        this.routers = routers;
        this.request = request;
        this.prompt = prompt;
        this.nowMs = nowMs;
    }

    static double initialEstimateMs(RequestShape request) {
        return INITIAL_ESTIMATE_FRACTION * request.route().targetLatencyMs();
    }

    /** The lowest score among the replicas of a service without an engine. */
    LowestScore lowestPlain(CandidateList candidates) {
        LowestScore lowest = new LowestScore(random);
        for (int each = 0; each < candidates.size(); each++) {
            ReplicaMeasurements measurements = candidates.measurements(each);
            double service = measurements.plainServiceMs(initialEstimateMs(request), nowMs);
            double score = measurements.score(service, measurements.queueingDelayMs(nowMs), routers, nowMs);
            lowest.offer(
                    each, score + locality.requestPrice(candidates.replica(each).zone(), 0));
        }
        return lowest;
    }

    /** The lowest score for the prefill. */
    LowestScore lowestPrefill(CandidateList candidates, int maxCachedTokens) {
        LowestScore lowest = new LowestScore(random);
        for (int each = 0; each < candidates.size(); each++) {
            ReplicaMeasurements measurements = candidates.measurements(each);
            double service = prefillMs(measurements, CallKind.PREFILL);
            double queueingMs = measurements.queueingDelayMs(nowMs) + measurements.transferDelayMs(nowMs);
            double price = crossZonePrice(candidates.replica(each))
                    + prefillPrice(measurements, CallKind.PREFILL, maxCachedTokens);
            lowest.offer(each, measurements.score(service, queueingMs, routers, nowMs) + price);
        }
        return lowest;
    }

    /**
     * The lowest score for decoding after a prefill at {@code prefillReplica}, among the replicas with the same
     * weights.
     */
    LowestScore lowestDisaggregated(CandidateList candidates, ReplicaRecord prefillReplica) {
        LowestScore lowest = new LowestScore(random);
        int version = weightsVersion(prefillReplica);
        for (int each = 0; each < candidates.size(); each++) {
            if (weightsVersion(candidates.replica(each)) != version) {
                continue;
            }
            ReplicaMeasurements measurements = candidates.measurements(each);
            double service = transferMs(measurements, candidates.replica(each), prefillReplica);
            double queueingMs = measurements.queueingDelayMs(nowMs)
                    + outputDelayMs(measurements)
                    + measurements.transferDelayMs(nowMs);
            lowest.offer(
                    each,
                    measurements.score(service, queueingMs, routers, nowMs) + crossZonePrice(candidates.replica(each)));
        }
        return lowest;
    }

    /** The lowest score for prefill and decode at the same decode replica. */
    LowestScore lowestAggregated(CandidateList candidates, int maxCachedTokens) {
        LowestScore lowest = new LowestScore(random);
        for (int each = 0; each < candidates.size(); each++) {
            ReplicaMeasurements measurements = candidates.measurements(each);
            double service = prefillMs(measurements, CallKind.AGGREGATED_DECODE);
            double queueingMs = measurements.queueingDelayMs(nowMs) + outputDelayMs(measurements);
            double price = crossZonePrice(candidates.replica(each))
                    + prefillPrice(measurements, CallKind.AGGREGATED_DECODE, maxCachedTokens);
            lowest.offer(each, measurements.score(service, queueingMs, routers, nowMs) + price);
        }
        return lowest;
    }

    /** The lowest R - s of the candidates, milliseconds; 0 without any. */
    double minQueueingDelayMs(CandidateList candidates) {
        double shortest = Double.POSITIVE_INFINITY;
        for (int each = 0; each < candidates.size(); each++) {
            shortest = Math.min(shortest, candidates.measurements(each).queueingDelayMs(nowMs));
        }
        return candidates.size() == 0 ? 0 : shortest;
    }

    /** The lowest s of the request with aggregated serving, milliseconds; 0 without any. */
    double minServiceMs(CandidateList candidates) {
        double shortest = Double.POSITIVE_INFINITY;
        for (int each = 0; each < candidates.size(); each++) {
            ReplicaMeasurements measurements = candidates.measurements(each);
            double service = request.generation()
                    ? prefillMs(measurements, CallKind.AGGREGATED_DECODE)
                    : measurements.plainServiceMs(initialEstimateMs(request), nowMs);
            shortest = Math.min(shortest, service);
        }
        return candidates.size() == 0 ? 0 : shortest;
    }

    /**
     * The price of the prefill at this replica, milliseconds of score: the delay of other calls, and the prefill of
     * tokens that another replica has cached.
     */
    private double prefillPrice(ReplicaMeasurements measurements, CallKind kind, int maxCachedTokens) {
        int cached = measurements.cache().cachedTokens(prompt);
        double perTokenMs = measurements.pool().perTokenMs(kind, request, initialEstimateMs(request));
        double occupiedMs = perTokenMs * (prompt.promptTokens() - cached);
        double interferenceMs =
                measurements.pool().interferenceMs(occupiedMs, request.route().targetLatencyMs(), routers, nowMs);
        return tuning.interferenceWeight() * interferenceMs
                + tuning.repeatedPrefillWeight()
                        * PriceModel.repeatedPrefillPrice(Math.max(0, maxCachedTokens - cached));
    }

    /** Price of the KV transfer, milliseconds of score. */
    double transferPrice(EngineSpec engine, ReplicaRecord prefillReplica, ReplicaRecord decode) {
        double bytes = (double) prompt.promptTokens() * engine.kvTokenBytes();
        return PriceModel.transferPrice(bytes, locality.transferFactor(prefillReplica.zone(), decode.zone()));
    }

    /** Version of the weights of the request's model, 0 if it is unknown. */
    private int weightsVersion(ReplicaRecord replica) {
        for (int each = 0; each < replica.models().size(); each++) {
            if (replica.models().get(each).name().equals(request.model())) {
                return replica.models().get(each).version();
            }
        }
        return 0;
    }

    private double crossZonePrice(ReplicaRecord replica) {
        return locality.requestPrice(replica.zone(), request.promptTokens());
    }

    private double outputDelayMs(ReplicaMeasurements measurements) {
        return measurements.perTokenDelayMs(nowMs) * measurements.pool().expectedOutputTokens(request);
    }

    private double prefillMs(ReplicaMeasurements measurements, CallKind kind) {
        int uncached = prompt.promptTokens() - measurements.cache().cachedTokens(prompt);
        double expected = measurements.pool().expectedMs(kind, request, uncached, initialEstimateMs(request));
        double output = kind == CallKind.PREFILL ? 0 : measurements.pool().expectedOutputTokens(request);
        return measurements.engineServiceMs(expected, output, nowMs);
    }

    /** s of a call with a KV transfer, which carries the whole prompt even if the decode replica has cached parts. */
    private double transferMs(ReplicaMeasurements measurements, ReplicaRecord replica, ReplicaRecord prefillReplica) {
        double transferredTokens =
                prompt.promptTokens() * locality.transferFactor(prefillReplica.zone(), replica.zone());
        double expected = measurements
                .pool()
                .expectedMs(CallKind.DISAGGREGATED_DECODE, request, transferredTokens, initialEstimateMs(request));
        return measurements.engineServiceMs(expected, measurements.pool().expectedOutputTokens(request), nowMs);
    }
}
