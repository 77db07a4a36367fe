package pinewick.selection;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import pinewick.model.EngineSpec;
import pinewick.model.ReplicaRecord;
import pinewick.model.Stage;

/**
 * Chooses the replicas that serve each request and updates their measurements from every call. Each member of a pair is
 * the replica with the lowest score R - s + q̂³·s, where q̂ = 1 + os·n + q·(1 + busy share):
 *
 * <ul>
 *   <li>R: the smoothed response time of the replica
 *   <li>s: the service time, without queueing
 *   <li>os: this router's outstanding calls to the replica
 *   <li>n: the number of routers
 *   <li>q: the length of the replica's queue
 * </ul>
 *
 * <p>The design note of the system describes how each term is measured.
 */
public final class ReplicaSelector {
    private final RandomGenerator random;
    private final SelectionTuning tuning;
    private final PrefixCacheEstimates cacheEstimates = new PrefixCacheEstimates();
    private final Map<String, EngineSpec> engines = new HashMap<>();
    private final Map<String, Map<Stage, ReplicaPool>> pools = new HashMap<>();
    private final Map<String, ReplicaMeasurements> replicas = new HashMap<>();
    private final CandidateList prefills = new CandidateList();
    private final CandidateList decodes = new CandidateList();
    private Locality locality = Locality.UNKNOWN;
    private int routers = 1;
    private RequestShape chainOf;
    private PromptChain chain = PromptChain.EMPTY;

    public ReplicaSelector(RandomGenerator random) {
        this(random, SelectionTuning.DEFAULT);
    }

    public ReplicaSelector(RandomGenerator random, SelectionTuning tuning) {
        this.random = random;
        this.tuning = tuning;
    }

    /** The number of routers that share the replicas; never below 1. */
    public void setRouterCount(int count) {
        routers = Math.max(1, count);
    }

    /** Sets this router's zone and the region of each zone. */
    public void setLocality(String zone, Map<String, String> regionOfZone) {
        locality = new Locality(zone, Map.copyOf(regionOfZone));
    }

    /** Sets the engine of a service. Calls to a service without an engine are {@link CallKind#PLAIN}. */
    public void setEngine(String service, EngineSpec engine) {
        engines.put(service, engine);
        pools.getOrDefault(service, Map.of()).values().forEach(pool -> pool.setEngine(engine));
    }

    /** Adds a replica, so that hints and load reports about it are applied from now on. */
    public void addReplica(ReplicaRecord replica) {
        measurements(replica);
    }

    /** The estimates of the prefix caches, for sharing with other routers. */
    public PrefixCacheEstimates cacheEstimates() {
        return cacheEstimates;
    }

    /**
     * Chooses the replicas for a request: a prefill and a decode replica, or one replica that does both.
     *
     * @param candidates replicas of the request's service that may be chosen
     * @param excluded instance ids already tried for this request
     * @return empty if no candidate is eligible
     */
    public Optional<ReplicaPair> choose(
            RequestShape request, Collection<ReplicaRecord> candidates, Set<String> excluded, double nowMs) {
        collectCandidates(request, candidates, excluded, nowMs);
        if (decodes.size() == 0) {
            return Optional.empty();
        }
        RequestScores scores = scores(request, nowMs);
        if (!request.generation()) {
            return Optional.of(new ReplicaPair(
                    Optional.empty(),
                    decodes.replica(scores.lowestPlain(decodes).index())));
        }
        int cachedTokens = maxCachedTokens(chain(request));
        LowestScore aggregated = scores.lowestAggregated(decodes, cachedTokens);
        LowestScore prefill = scores.lowestPrefill(prefills, cachedTokens);
        if (prefill.index() != LowestScore.NONE) {
            ReplicaRecord prefillReplica = prefills.replica(prefill.index());
            LowestScore disaggregated = scores.lowestDisaggregated(decodes, prefillReplica);
            if (disaggregated.index() == LowestScore.NONE) {
                return Optional.of(new ReplicaPair(Optional.empty(), decodes.replica(aggregated.index())));
            }
            ReplicaRecord decode = decodes.replica(disaggregated.index());
            double price = transferPrice(scores, request, prefillReplica, decode);
            if (prefill.score() + disaggregated.score() + price < aggregated.score()) {
                return Optional.of(new ReplicaPair(Optional.of(prefillReplica), decode));
            }
        }
        return Optional.of(new ReplicaPair(Optional.empty(), decodes.replica(aggregated.index())));
    }

    /**
     * Chooses the decode replica after a prefill at {@code prefillReplica}.
     *
     * @return empty if no candidate is eligible
     */
    public Optional<ReplicaRecord> chooseDecode(
            RequestShape request,
            ReplicaRecord prefillReplica,
            Collection<ReplicaRecord> candidates,
            Set<String> excluded,
            double nowMs) {
        collectCandidates(request, candidates, excluded, nowMs);
        LowestScore disaggregated = scores(request, nowMs).lowestDisaggregated(decodes, prefillReplica);
        return disaggregated.index() == LowestScore.NONE
                ? Optional.empty()
                : Optional.of(decodes.replica(disaggregated.index()));
    }

    /** The load of the replicas that are eligible for a request. */
    ServiceLoad load(RequestShape request, Collection<ReplicaRecord> candidates, double nowMs) {
        collectCandidates(request, candidates, Set.of(), nowMs);
        double capacity = 0;
        double inUse = 0;
        double queued = 0;
        for (CandidateList list : List.of(prefills, decodes)) {
            for (int each = 0; each < list.size(); each++) {
                ReplicaMeasurements measurements = list.measurements(each);
                double inProgress = measurements.likelyInProgress(routers, nowMs);
                capacity += measurements.slots();
                inUse += Math.min(measurements.slots(), inProgress);
                queued += Math.max(0, inProgress - measurements.slots());
            }
        }
        RequestScores scores = scores(request, nowMs);
        return new ServiceLoad(
                capacity, inUse, queued, scores.minQueueingDelayMs(decodes), scores.minServiceMs(decodes));
    }

    private RequestScores scores(RequestShape request, double nowMs) {
        return new RequestScores(tuning, random, locality, routers, request, chain(request), nowMs);
    }

    private double transferPrice(
            RequestScores scores, RequestShape request, ReplicaRecord prefillReplica, ReplicaRecord decode) {
        EngineSpec engine = engines.get(request.service());
        return engine == null ? 0 : scores.transferPrice(engine, prefillReplica, decode);
    }

    private void collectCandidates(
            RequestShape request, Collection<ReplicaRecord> candidates, Set<String> excluded, double nowMs) {
        prefills.clear();
        decodes.clear();
        for (ReplicaRecord each : candidates) {
            if (!each.acceptsRequests() || excluded.contains(each.instanceId()) || !servesModel(each, request)) {
                continue;
            }
            ReplicaMeasurements measurements = measurements(each);
            if (measurements.isChangingStage(nowMs)) {
                continue;
            }
            if (request.generation() && each.stage() == Stage.PREFILL) {
                prefills.add(each, measurements);
            } else if (!request.generation() || each.stage() == Stage.DECODE) {
                decodes.add(each, measurements);
            }
        }
        prefills.removeEjected(routers, random, nowMs);
        decodes.removeEjected(routers, random, nowMs);
    }

    private static boolean servesModel(ReplicaRecord replica, RequestShape request) {
        if (!request.generation()
                || request.model().isEmpty()
                || replica.models().isEmpty()) {
            return true;
        }
        for (int each = 0; each < replica.models().size(); each++) {
            if (replica.models().get(each).name().equals(request.model())) {
                return true;
            }
        }
        return false;
    }

    /** The most tokens of the shared parts that any one candidate is estimated to have cached. */
    private int maxCachedTokens(PromptChain prompt) {
        int tokens = 0;
        for (int each = 0; each < prefills.size(); each++) {
            tokens = Math.max(tokens, prefills.measurements(each).cache().cachedTokens(prompt));
        }
        for (int each = 0; each < decodes.size(); each++) {
            tokens = Math.max(tokens, decodes.measurements(each).cache().cachedTokens(prompt));
        }
        return Math.min(prompt.sharedTokens(), tokens);
    }

    private PromptChain chain(RequestShape request) {
        if (chainOf != request) {
            chainOf = request;
            chain = new PromptChain(request.parts(), request.promptTokens());
        }
        return chain;
    }

    private ReplicaMeasurements measurements(ReplicaRecord replica) {
        ReplicaMeasurements known = replicas.get(replica.instanceId());
        if (known != null && known.pool().stage() == replica.stage()) {
            return known;
        }
        if (known != null) {
            known.pool().remove(known);
        }
        EngineSpec engine = engines.get(replica.service());
        PrefixCacheEstimate cache = cacheEstimates.estimate(replica.instanceId());
        cache.setCapacity(engine == null ? 0 : engine.kvCacheTokens());
        ReplicaMeasurements fresh = new ReplicaMeasurements(tuning, pool(replica, engine), cache, replica);
        replicas.put(replica.instanceId(), fresh);
        return fresh;
    }

    private ReplicaPool pool(ReplicaRecord replica, EngineSpec engine) {
        Map<Stage, ReplicaPool> ofService = pools.computeIfAbsent(replica.service(), name -> new HashMap<>());
        ReplicaPool pool = ofService.get(replica.stage());
        if (pool == null) {
            pool = new ReplicaPool(replica.stage());
            pool.setEngine(engine);
            ofService.put(replica.stage(), pool);
            ReplicaPool prefill = ofService.get(Stage.PREFILL);
            ReplicaPool decode = ofService.get(Stage.DECODE);
            if (prefill != null && decode != null) {
                prefill.setOtherStagePrefillModel(decode.model(CallKind.AGGREGATED_DECODE));
                decode.setOtherStagePrefillModel(prefill.model(CallKind.PREFILL));
            }
        }
        return pool;
    }

    /** Starts the measurement of a call, which the caller must end with {@link Call#onEnd}. */
    public Call startCall(ReplicaRecord replica, CallKind kind, RequestShape request, double nowMs) {
        return new Call(startMeasurement(replica, null, kind, request, 1, nowMs));
    }

    /**
     * Starts the measurement of a call whose KV cache is transferred from the replica that did the prefill. The caller
     * must end it with {@link Call#onEnd}.
     */
    public Call startDisaggregatedDecode(
            ReplicaRecord replica, ReplicaRecord prefillReplica, RequestShape request, double nowMs) {
        double transferFactor = locality.transferFactor(prefillReplica.zone(), replica.zone());
        ReplicaMeasurements prefillMeasurements = replicas.get(prefillReplica.instanceId());
        return new Call(startMeasurement(
                replica, prefillMeasurements, CallKind.DISAGGREGATED_DECODE, request, transferFactor, nowMs));
    }

    private CallMeasurement startMeasurement(
            ReplicaRecord replica,
            ReplicaMeasurements prefillReplica,
            CallKind kind,
            RequestShape request,
            double transferFactor,
            double nowMs) {
        PromptChain prompt = kind == CallKind.PLAIN ? PromptChain.EMPTY : chain(request);
        return new CallMeasurement(
                replica.instanceId(),
                measurements(replica),
                prefillReplica,
                cacheEstimates,
                random,
                kind,
                request,
                prompt,
                transferFactor,
                nowMs);
    }

    /** Applies a load report, polled by this router or received from another. Ignored if the replica is unknown. */
    public void onLoadReport(String instanceId, LoadReport report) {
        ReplicaMeasurements measurements = replicas.get(instanceId);
        if (measurements != null) {
            measurements.onLoadReport(report);
        }
    }

    /**
     * The service times that this router has fitted to its own samples or, where it has too few, has received from
     * other routers. Plain calls are left out, since their time does not depend on tokens.
     */
    public List<SharedServiceTime> serviceTimes() {
        List<SharedServiceTime> serviceTimes = new ArrayList<>();
        pools.forEach((service, ofService) -> ofService.values().forEach(pool -> {
            for (CallKind kind : CallKind.values()) {
                if (kind != CallKind.PLAIN && kind.stage() == pool.stage()) {
                    serviceTime(service, pool, kind).ifPresent(serviceTimes::add);
                }
            }
        }));
        return serviceTimes;
    }

    private static Optional<SharedServiceTime> serviceTime(String service, ReplicaPool pool, CallKind kind) {
        ServiceTimeModel own = pool.model(kind);
        return own.isPerTokenKnown()
                ? Optional.of(new SharedServiceTime(service, kind, own.fixedMs(), own.perTokenMs(), own.samples()))
                : Optional.ofNullable(pool.sharedServiceTime(kind));
    }

    /**
     * Applies a service time received from another router. It is used until this router has enough samples of its own.
     * Ignored if it is invalid or if no replica of its service and stage is known.
     *
     * @return whether this router had no service time of that kind of call before
     */
    public boolean onSharedServiceTime(SharedServiceTime serviceTime) {
        ReplicaPool pool = pools.getOrDefault(serviceTime.service(), Map.of())
                .get(serviceTime.kind().stage());
        if (pool == null || serviceTime.kind() == CallKind.PLAIN || !serviceTime.isValid()) {
            return false;
        }
        boolean isFirst = pool.offerSharedServiceTime(serviceTime);
        return isFirst && !pool.model(serviceTime.kind()).isPerTokenKnown();
    }

    /** Age of the last load report of a replica, milliseconds; infinite without one. */
    public double loadReportAgeMs(String instanceId, double nowMs) {
        ReplicaMeasurements measurements = replicas.get(instanceId);
        boolean isKnown = measurements != null && measurements.report() != null;
        return isKnown ? nowMs - measurements.report().atMs() : Double.POSITIVE_INFINITY;
    }

    /** Removes an instance, with its measurements and the estimate of its prefix cache. */
    public void removeReplica(String instanceId) {
        ReplicaMeasurements measurements = replicas.remove(instanceId);
        if (measurements != null) {
            measurements.pool().remove(measurements);
        }
        cacheEstimates.remove(instanceId);
    }

    /** One call in flight. */
    public static final class Call {
        private final CallMeasurement measurement;

        private Call(CallMeasurement measurement) {
            this.measurement = measurement;
        }

        /** The expected time to the first event without queueing, estimated when the call started, milliseconds. */
        public double expectedServiceMs() {
            return measurement.serviceMs();
        }

        /** The head of a successful response arrived; for a stream, its first event. Later invocations are ignored. */
        public void onFirstEvent(double nowMs) {
            measurement.onFirstEvent(nowMs);
        }

        /** Another event arrived, with as many tokens as the engine's stride. */
        public void onEvent(double nowMs) {
            measurement.onEvent(nowMs);
        }

        /** Another event arrived, with this many tokens. */
        public void onEvent(int eventTokens, double nowMs) {
            measurement.onEvent(eventTokens, nowMs);
        }

        /** The call ended; further invocations are ignored. */
        public void onEnd(CallOutcome outcome, double nowMs) {
            measurement.onEnd(outcome, nowMs);
        }
    }
}
