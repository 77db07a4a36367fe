package pinewick.selection;

import java.util.Arrays;
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
 * Chooses the replicas of each request and learns from every call. Each part of a pair goes to the lowest score
 * R - s + q̂³·s with q̂ = 1 + os·n + q·(1 + busy share); see the design note of the system.
 */
public final class ReplicaSelector {
    /** R and s start at this part of the route's target. */
    private static final double FIRST_GUESS = 0.1;
    /** Rounds of trying a replica after failures go to about this many routers. */
    private static final double TRYING_ROUTERS = 3;
    /** At least this part of the candidates of a kind stays in use, whatever their failures. */
    private static final double LEAST_IN_USE = 0.5;
    /** A prompt with less than this part in doubt tells of the pace of reading. */
    private static final double TRUSTED_SHARE = 0.25;
    /** Weight of an answer whose cached part is in doubt, while there is little else. */
    private static final double DOUBTFUL_WEIGHT = 0.1;
    /** A cached part that was used this recently by this router is not in doubt. */
    private static final double TRUSTED_AGE_MS = 2_000;
    /** A miss is told from waiting by at least this time. */
    private static final double LEAST_MISS_MS = 20;
    /** And lies within these factors of what reading the part should take. */
    private static final double LEAST_MISS = 0.7;

    private static final double MOST_MISS = 2;

    private final RandomGenerator random;
    private final SelectionTuning tuning;
    private final PrefixCacheBeliefs beliefs = new PrefixCacheBeliefs();
    private final Map<String, EngineSpec> engines = new HashMap<>();
    private final Map<String, Map<Stage, ReplicaPool>> pools = new HashMap<>();
    private final Map<String, ReplicaMeasurements> replicas = new HashMap<>();
    private final CandidateList prefills = new CandidateList();
    private final CandidateList decodes = new CandidateList();
    private String ownZone = "";
    private Map<String, String> regionOfZone = Map.of();
    private int routers = 1;
    private RequestShape chainOf;
    private PromptChain chain = PromptChain.EMPTY;

    /** The candidates of one kind for the request at hand, and the best of them. */
    private static final class CandidateList {
        ReplicaRecord[] records = new ReplicaRecord[8];
        ReplicaMeasurements[] measurements = new ReplicaMeasurements[8];
        int size;

        void clear() {
            Arrays.fill(records, 0, size, null);
            Arrays.fill(measurements, 0, size, null);
            size = 0;
        }

        void add(ReplicaRecord record, ReplicaMeasurements measured) {
            if (size == records.length) {
                records = Arrays.copyOf(records, 2 * size);
                measurements = Arrays.copyOf(measurements, 2 * size);
            }
            records[size] = record;
            measurements[size++] = measured;
        }

        void removeAt(int index) {
            size--;
            records[index] = records[size];
            measurements[index] = measurements[size];
            records[size] = null;
            measurements[size] = null;
        }
    }

    /** Keeps the lowest score seen; equal ones win by chance. */
    private final class Lowest {
        private int index = -1;
        private double score;
        private int ties;

        void offer(int candidate, double its) {
            if (index < 0 || its < score) {
                index = candidate;
                score = its;
                ties = 1;
            } else if (its == score && random.nextInt(++ties) == 0) {
                index = candidate;
            }
        }
    }

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

    /** Where this router stands, and the region of each zone. */
    public void setPlace(String zone, Map<String, String> regions) {
        ownZone = zone;
        regionOfZone = Map.copyOf(regions);
    }

    /** The engine of a service; calls of services without one are plain. */
    public void setEngine(String service, EngineSpec engine) {
        engines.put(service, engine);
        pools.getOrDefault(service, Map.of()).values().forEach(pool -> pool.setEngine(engine));
    }

    /** What the prefix caches are believed to hold, for sharing with other routers. */
    public PrefixCacheBeliefs beliefs() {
        return beliefs;
    }

    /**
     * Chooses the pair for a request.
     *
     * @param candidates replicas of the request's service that may be chosen
     * @param excluded instance ids already tried for this request
     * @return empty if no candidate may take it
     */
    public Optional<Pair> choose(
            RequestShape request, Collection<ReplicaRecord> candidates, Set<String> excluded, double nowMs) {
        collect(request, candidates, excluded, nowMs);
        if (!request.generation()) {
            Lowest plain = lowestPlain(request, nowMs);
            return plain.index < 0
                    ? Optional.empty()
                    : Optional.of(new Pair(Optional.empty(), decodes.records[plain.index]));
        }
        if (decodes.size == 0) {
            return Optional.empty();
        }
        PromptChain prompt = chain(request);
        if (DEBUG && prompt.promptTokens() > 8000) debug(request, prompt, nowMs);
        int keptSomewhere = Math.min(prompt.sharedTokens(), mostCached(prompt));
        Lowest whole = lowestWhole(request, prompt, keptSomewhere, nowMs);
        Lowest prefill = lowestPrefill(request, prompt, nowMs);
        if (prefill.index >= 0) {
            ReplicaRecord reader = prefills.records[prefill.index];
            Lowest fetched = lowestFetched(request, prompt, reader.zone(), nowMs);
            int cached = prefills.measurements[prefill.index].cache().cachedTokens(prompt);
            double price = PriceModel.rereadPrice(Math.max(0, keptSomewhere - cached))
                    + movePrice(request, prompt, reader.zone(), fetched.index)
                    + delayOfOthers(
                            prefills.measurements[prefill.index],
                            CallKind.PREFILL,
                            prompt.promptTokens() - cached,
                            nowMs);
            if (prefill.score + fetched.score + price < whole.score) {
                return Optional.of(new Pair(Optional.of(reader), decodes.records[fetched.index]));
            }
        }
        return Optional.of(new Pair(Optional.empty(), decodes.records[whole.index]));
    }

    /**
     * Chooses the decode replica for a prompt that a prefill replica has read.
     *
     * @return empty if no candidate may take it
     */
    public Optional<ReplicaRecord> chooseDecode(
            RequestShape request,
            ReplicaRecord reader,
            Collection<ReplicaRecord> candidates,
            Set<String> excluded,
            double nowMs) {
        collect(request, candidates, excluded, nowMs);
        if (decodes.size == 0) {
            return Optional.empty();
        }
        Lowest fetched = lowestFetched(request, chain(request), reader.zone(), nowMs);
        return Optional.of(decodes.records[fetched.index]);
    }

    private void collect(
            RequestShape request, Collection<ReplicaRecord> candidates, Set<String> excluded, double nowMs) {
        prefills.clear();
        decodes.clear();
        for (ReplicaRecord each : candidates) {
            if (!each.takesRequests() || excluded.contains(each.instanceId()) || !holdsModel(each, request)) {
                continue;
            }
            ReplicaMeasurements measured = measurements(each);
            if (measured.changesStage(nowMs)) {
                continue;
            }
            if (request.generation() && each.stage() == Stage.PREFILL) {
                prefills.add(each, measured);
            } else if (!request.generation() || each.stage() == Stage.DECODE) {
                decodes.add(each, measured);
            }
        }
        dropEjected(prefills, nowMs);
        dropEjected(decodes, nowMs);
    }

    private static boolean holdsModel(ReplicaRecord replica, RequestShape request) {
        if (!request.generation() || request.model().isEmpty() || replica.models().isEmpty()) {
            return true;
        }
        for (int each = 0; each < replica.models().size(); each++) {
            if (replica.models().get(each).name().equals(request.model())) {
                return true;
            }
        }
        return false;
    }

    /** Takes out those that rest after failures, but never more than half. */
    private void dropEjected(CandidateList list, double nowMs) {
        int mayDrop = list.size - (int) Math.ceil(LEAST_IN_USE * list.size);
        for (int each = list.size - 1; each >= 0 && mayDrop > 0; each--) {
            ReplicaMeasurements measured = list.measurements[each];
            if (measured.restEnds(nowMs) && random.nextDouble() * routers >= TRYING_ROUTERS) {
                measured.restAgain(nowMs, random.nextDouble());
            }
            if (measured.ejected(nowMs)) {
                list.removeAt(each);
                mayDrop--;
            }
        }
    }

    static boolean DEBUG;
    private void debug(RequestShape request, PromptChain prompt, double nowMs) {
        StringBuilder b = new StringBuilder(String.format("%.0f prompt %d shared %d%n", nowMs, prompt.promptTokens(), prompt.sharedTokens()));
        for (CandidateList l : new CandidateList[] {prefills, decodes}) {
            for (int i = 0; i < l.size; i++) {
                ReplicaMeasurements m = l.measurements[i];
                double read = readMs(m, l == prefills ? CallKind.PREFILL : CallKind.DECODE_WHOLE, request, prompt, nowMs);
                b.append(String.format("   %s cached %d os %d n %.1f q %.1f busy %.2f excess %.0f overdue %.0f s read %.0f score %.0f", l.records[i].instanceId(), m.cache().cachedTokens(prompt), m.outstanding(), m.sendingRouters(nowMs, routers), m.queue(nowMs), m.busyShare(nowMs), m.excessMs(nowMs, request.outputTokens()), m.overdueMs(nowMs), read, m.score(read, request.outputTokens(), routers, nowMs)));
                if (l == decodes) { double f = fetchMs(m, l.records[i], request, prompt, "a", nowMs); b.append(String.format(" fetched s %.0f score %.0f", f, m.score(f, request.outputTokens(), routers, nowMs))); }
                ServiceTimeModel mod = m.pool().model(l == prefills ? CallKind.PREFILL : CallKind.DECODE_WHOLE);
                ServiceTimeModel mf = m.pool().model(CallKind.DECODE_FETCHED);
                b.append(String.format(" model %.0f+%.4f/tok, fetched %.0f+%.5f%n", mod.fixedMs(), mod.paceMs(), mf.fixedMs(), mf.paceMs()));
            }
        }
        System.out.print(b);
    }

    private Lowest lowestPlain(RequestShape request, double nowMs) {
        Lowest lowest = new Lowest();
        for (int each = 0; each < decodes.size; each++) {
            ReplicaMeasurements measured = decodes.measurements[each];
            double service = measured.plainServiceMs(firstGuessMs(request), nowMs);
            lowest.offer(each, measured.score(service, 0, routers, nowMs) + zonePrice(decodes.records[each], 0));
        }
        return lowest;
    }

    private Lowest lowestPrefill(RequestShape request, PromptChain prompt, double nowMs) {
        Lowest lowest = new Lowest();
        for (int each = 0; each < prefills.size; each++) {
            ReplicaMeasurements measured = prefills.measurements[each];
            double service = readMs(measured, CallKind.PREFILL, request, prompt, nowMs);
            double price = zonePrice(prefills.records[each], request.promptTokens());
            lowest.offer(each, measured.score(service, 0, routers, nowMs) + price);
        }
        return lowest;
    }

    private Lowest lowestFetched(RequestShape request, PromptChain prompt, String fromZone, double nowMs) {
        Lowest lowest = new Lowest();
        for (int each = 0; each < decodes.size; each++) {
            ReplicaMeasurements measured = decodes.measurements[each];
            double service = fetchMs(measured, decodes.records[each], request, prompt, fromZone, nowMs);
            double price = zonePrice(decodes.records[each], request.promptTokens());
            lowest.offer(each, measured.score(service, request.outputTokens(), routers, nowMs) + price);
        }
        return lowest;
    }

    private Lowest lowestWhole(RequestShape request, PromptChain prompt, int keptSomewhere, double nowMs) {
        Lowest lowest = new Lowest();
        for (int each = 0; each < decodes.size; each++) {
            ReplicaMeasurements measured = decodes.measurements[each];
            double service = readMs(measured, CallKind.DECODE_WHOLE, request, prompt, nowMs);
            int uncached = prompt.promptTokens() - measured.cache().cachedTokens(prompt);
            double others = delayOfOthers(measured, CallKind.DECODE_WHOLE, uncached, nowMs);
            int again = Math.max(0, keptSomewhere - (prompt.promptTokens() - uncached));
            double price = PriceModel.rereadPrice(again) + zonePrice(decodes.records[each], request.promptTokens());
            lowest.offer(
                    each, measured.score(service, request.outputTokens(), routers, nowMs) + others + price);
        }
        return lowest;
    }

    /** What reading so many tokens takes from the calls that come meanwhile. */
    private double delayOfOthers(ReplicaMeasurements measured, CallKind kind, int tokens, double nowMs) {
        double heldMs = measured.pool().model(kind).paceMs() * tokens;
        return tuning.interference() * measured.pool().delayOfOthersMs(heldMs, routers, nowMs);
    }

    private double readMs(
            ReplicaMeasurements measured, CallKind kind, RequestShape request, PromptChain prompt, double nowMs) {
        ServiceTimeModel model = measured.pool().model(kind, request, firstGuessMs(request));
        int uncached = prompt.promptTokens() - measured.cache().cachedTokens(prompt);
        int output = kind == CallKind.PREFILL ? 0 : request.outputTokens();
        return measured.engineServiceMs(model, uncached, output, nowMs);
    }

    private double fetchMs(
            ReplicaMeasurements measured,
            ReplicaRecord replica,
            RequestShape request,
            PromptChain prompt,
            String fromZone,
            double nowMs) {
        ServiceTimeModel model = measured.pool().model(CallKind.DECODE_FETCHED, request, firstGuessMs(request));
        double moved = movedTokens(prompt) * moveFactor(fromZone, replica.zone());
        return measured.engineServiceMs(model, moved, request.outputTokens(), nowMs);
    }

    /** A move carries the whole prompt, whatever its goal keeps. */
    private static int movedTokens(PromptChain prompt) {
        return prompt.promptTokens();
    }

    private double movePrice(RequestShape request, PromptChain prompt, String fromZone, int decode) {
        EngineSpec engine = engines.get(request.service());
        if (engine == null) {
            return 0;
        }
        double bytes = (double) movedTokens(prompt) * engine.kvTokenBytes();
        return PriceModel.movePrice(bytes, moveFactor(fromZone, decodes.records[decode].zone()));
    }

    private double moveFactor(String fromZone, String toZone) {
        boolean sameZone = fromZone.equals(toZone);
        return PriceModel.moveFactor(sameZone, sameZone || region(fromZone).equals(region(toZone)));
    }

    private String region(String zone) {
        return regionOfZone.getOrDefault(zone, "");
    }

    private double zonePrice(ReplicaRecord replica, int promptTokens) {
        return ownZone.isEmpty() || ownZone.equals(replica.zone()) ? 0 : PriceModel.zonePrice(promptTokens);
    }

    private int mostCached(PromptChain prompt) {
        int most = 0;
        for (int each = 0; each < prefills.size; each++) {
            most = Math.max(most, prefills.measurements[each].cache().cachedTokens(prompt));
        }
        for (int each = 0; each < decodes.size; each++) {
            most = Math.max(most, decodes.measurements[each].cache().cachedTokens(prompt));
        }
        return most;
    }

    private static double firstGuessMs(RequestShape request) {
        return FIRST_GUESS * request.route().targetLatencyMs();
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
        ReplicaPool pool = pools.computeIfAbsent(replica.service(), name -> new HashMap<>())
                .computeIfAbsent(replica.stage(), ReplicaPool::new);
        EngineSpec engine = engines.get(replica.service());
        pool.setEngine(engine);
        CacheBelief cache = beliefs.belief(replica.instanceId());
        cache.setCapacity(engine == null ? 0 : engine.kvCacheTokens());
        ReplicaMeasurements fresh = new ReplicaMeasurements(tuning, pool, cache, replica);
        replicas.put(replica.instanceId(), fresh);
        return fresh;
    }

    /** A call to a replica begins. Every call that begins ends by {@link Call#ended}. */
    public Call begin(ReplicaRecord replica, CallKind kind, RequestShape request, double nowMs) {
        return begin(replica, kind, request, replica.zone(), nowMs);
    }

    /** As {@link #begin(ReplicaRecord, CallKind, RequestShape, double)}, for a prompt that was read in a zone. */
    public Call begin(ReplicaRecord replica, CallKind kind, RequestShape request, String fromZone, double nowMs) {
        Call call = new Call(replica, measurements(replica), kind, request, fromZone, nowMs);
        call.measured.began(call);
        return call;
    }

    /** A replica's load report came in, asked for by this router or told by another. */
    public void report(String instanceId, LoadReport report) {
        ReplicaMeasurements measured = replicas.get(instanceId);
        if (measured != null) {
            measured.reported(report);
        }
    }

    /** Forgets everything of an instance that has gone. */
    public void forget(String instanceId) {
        ReplicaMeasurements measured = replicas.remove(instanceId);
        if (measured != null) {
            measured.pool().remove(measured);
        }
        beliefs.forget(instanceId);
    }

    /** One call under way. */
    public final class Call {
        private final String instanceId;
        private final ReplicaMeasurements measured;
        private final CallKind kind;
        private final RequestShape request;
        private final PromptChain prompt;
        private final double beganAtMs;
        private final double serviceMs;
        private final double tokens;
        private final int cachedParts;
        private final double cachedUsedAtMs;
        private Call older;
        private Call newer;
        private boolean streaming;
        private boolean ended;
        private double firstEventAtMs;
        private double lastEventAtMs;
        private int laterTokens;

        private Call(
                ReplicaRecord replica,
                ReplicaMeasurements measured,
                CallKind kind,
                RequestShape request,
                String fromZone,
                double nowMs) {
            this.instanceId = replica.instanceId();
            this.measured = measured;
            this.kind = kind;
            this.request = request;
            this.prompt = kind == CallKind.PLAIN ? PromptChain.EMPTY : chain(request);
            this.beganAtMs = nowMs;
            boolean reads = kind == CallKind.PREFILL || kind == CallKind.DECODE_WHOLE;
            this.cachedParts = reads ? measured.cache().cachedParts(prompt) : 0;
            this.cachedUsedAtMs = measured.cache().leastRecentUse(prompt, cachedParts);
            if (kind == CallKind.PLAIN) {
                this.tokens = 0;
                this.serviceMs = measured.plainServiceMs(firstGuessMs(request), nowMs);
            } else {
                this.tokens = reads
                        ? prompt.promptTokens() - measured.cache().cachedTokens(prompt)
                        : movedTokens(prompt) * moveFactor(fromZone, replica.zone());
                ServiceTimeModel model = measured.pool().model(kind, request, firstGuessMs(request));
                this.serviceMs = measured.engineServiceMs(model, tokens, 0, nowMs);
            }
        }

        double beganAtMs() {
            return beganAtMs;
        }

        /** s of this call to its first event, as of its beginning. */
        double serviceMs() {
            return serviceMs;
        }

        Call older() {
            return older;
        }

        Call newer() {
            return newer;
        }

        void linkAfter(Call last) {
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

        /** The head of a successful answer came; for streams, the first event. */
        public void firstEvent(double nowMs) {
            if (ended || streaming) {
                return;
            }
            streaming = true;
            firstEventAtMs = nowMs;
            lastEventAtMs = nowMs;
            measured.firstEvent(this, nowMs);
            if (kind == CallKind.DECODE_FETCHED || kind == CallKind.DECODE_WHOLE) {
                answered(nowMs);
            }
        }

        /** A further event came, of as many tokens as the engine's stride. */
        public void event(double nowMs) {
            EngineSpec engine = measured.pool().engine();
            event(engine == null ? 1 : engine.stride(), nowMs);
        }

        /** A further event came, with so many tokens. */
        public void event(int eventTokens, double nowMs) {
            if (ended || !streaming) {
                return;
            }
            laterTokens += eventTokens;
            lastEventAtMs = nowMs;
            measured.event(nowMs);
        }

        /** The call ended; later calls of this are passed over. */
        public void ended(CallEnding ending, double nowMs) {
            if (ended) {
                return;
            }
            ended = true;
            measured.ended(this, streaming);
            switch (ending) {
                case ANSWERED -> wholeAnswer(nowMs);
                case REJECTED -> measured.measured(request.route().targetLatencyMs(), nowMs);
                case FAILED, TIMED_OUT -> trouble(false, nowMs);
                case NOT_CONNECTED -> trouble(true, nowMs);
                case ABANDONED -> abandoned(nowMs);
            }
        }

        private void wholeAnswer(double nowMs) {
            measured.alive(nowMs);
            if (kind == CallKind.PLAIN || kind == CallKind.PREFILL || !streaming) {
                answered(nowMs);
            }
            if (laterTokens > 0 && lastEventAtMs > firstEventAtMs) {
                measured.stepped((lastEventAtMs - firstEventAtMs) / laterTokens, nowMs);
            }
        }

        /** The time to the first event, or of a whole answer, is known. */
        private void answered(double nowMs) {
            double took = nowMs - beganAtMs;
            measured.alive(nowMs);
            double missed = kind == CallKind.PLAIN ? 0 : judgeBelief(took);
            measured.measured(Math.max(0, took - serviceMs - missed), nowMs);
            measured.lowestOf(took, nowMs);
            if (kind == CallKind.PLAIN) {
                return;
            }
            learnPace(took, nowMs);
            beliefs.used(instanceId, prompt, nowMs);
        }

        private void learnPace(double took, double nowMs) {
            ServiceTimeModel model = measured.pool().model(kind);
            boolean sure = kind == CallKind.DECODE_FETCHED || doubtfulTokens() <= TRUSTED_SHARE * prompt.promptTokens();
            if (sure && model.samples() > 0) {
                measured.speed(took / model.predict(tokens), nowMs);
            }
            model.learn(tokens, took, sure ? 1 : DOUBTFUL_WEIGHT);
        }

        /** Shared tokens of which it is not sure whether the replica had them: another router may have sent them. */
        private int doubtfulTokens() {
            boolean recent = beganAtMs - cachedUsedAtMs < TRUSTED_AGE_MS;
            int doubtful = 0;
            for (int part = recent ? cachedParts : 0; part < prompt.length() - 1; part++) {
                doubtful += prompt.tokens(part);
            }
            return doubtful;
        }

        /**
         * An answer that came as late as if nothing had been cached, and no later, tells that it was not.
         *
         * @return the time that reading it took, 0 if it was cached
         */
        private double judgeBelief(double took) {
            if (cachedParts == 0 || kind == CallKind.DECODE_FETCHED) {
                return 0;
            }
            double missMs = measured.pool().model(kind).paceMs() * (prompt.promptTokens() - tokens);
            if (missMs < LEAST_MISS_MS) {
                return 0;
            }
            double beyond = took - serviceMs - measured.ownExcessMs();
            if (beyond > LEAST_MISS * missMs && beyond < MOST_MISS * missMs) {
                measured.cache().provedGone(cachedUsedAtMs);
                return missMs;
            }
            if (beyond < (1 - LEAST_MISS) * missMs) {
                measured.cache().provedKept();
            }
            return 0;
        }

        /** A time-out or an error counts as the full time-out. */
        private void trouble(boolean certain, double nowMs) {
            double timeout = Math.max(nowMs - beganAtMs, request.route().timeoutMs());
            measured.measured(timeout - serviceMs, nowMs);
            measured.failed(nowMs, certain, random.nextDouble());
        }

        /** Says nothing, unless it was overdue: then the answer would have taken longer still. */
        private void abandoned(double nowMs) {
            double beyond = nowMs - beganAtMs - serviceMs;
            if (!streaming && beyond > measured.ownExcessMs()) {
                measured.measured(beyond, nowMs);
            }
        }
    }
}
