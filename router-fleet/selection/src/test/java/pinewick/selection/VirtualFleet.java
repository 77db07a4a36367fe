package pinewick.selection;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.ToIntFunction;
import pinewick.model.EngineSpec;
import pinewick.model.ReplicaRecord;
import pinewick.model.Route;
import pinewick.model.RouteKind;
import pinewick.model.Stage;

/** A simulated fleet in virtual time: routers with a selector each, replicas with engines, and clients. */
final class VirtualFleet {
    /**
     * One kind of request, whose prompt has a shared and an unshared part.
     *
     * @param perSecond mean arrival rate
     * @param shared mean length of the shared part, tokens
     * @param sharedParts number of different shared parts
     * @param unshared mean length of the unshared part, tokens
     * @param spread standard deviation of the logarithm of the unshared length
     * @param output mean output, tokens
     * @param maxPauseMs longest time between two events of a response that is in time
     */
    record Kind(
            Route route,
            double perSecond,
            int shared,
            int sharedParts,
            int unshared,
            double spread,
            int output,
            int maxPauseMs) {}

    /** The parameters of a run. */
    record Setting(
            int routers,
            int countedRouters,
            int prefills,
            int decodes,
            List<Kind> kinds,
            SelectionTuning tuning,
            boolean reports,
            boolean hints,
            boolean admission,
            double reportEveryMs,
            long seed) {}

    /** The results of one kind of request. */
    static final class Outcome {
        int requests;
        int inTime;
        int late;
        int failed;
        int viaPrefill;
        int pauses;
        int rejected;
        int inTimeAfterRetry;
        int rejectedTwice;
        final List<Double> firstEventMs = new ArrayList<>();

        double quantile(double fraction) {
            double[] sorted = firstEventMs.stream()
                    .mapToDouble(Double::doubleValue)
                    .sorted()
                    .toArray();
            return sorted.length == 0
                    ? Double.NaN
                    : sorted[(int) Math.min(sorted.length - 1, fraction * sorted.length)];
        }
    }

    static final EngineSpec SPEC = new EngineSpec(12, 555_966, 18_432, 180_000, 11, 5, 2.3);
    static final String[] ZONES = {"a", "b", "c"};
    private static final double NETWORK_MS = 0.4;
    private static final double CLIENT_MS = 3;
    private static final double REPORT_LAG_MS = 100;
    private static final double GOSSIP_MS = 250;

    private static final double PRICE_PER_1000_REPEATED_TOKENS = 0.16;
    private static final double PRICE_PER_TRANSFERRED_GIGABYTE = 0.47;

    final VirtualTime time = new VirtualTime();
    private final Map<Long, Double> lastUsedMs = new HashMap<>();
    final List<VirtualEngine> engines = new ArrayList<>();
    final List<ReplicaSelector> selectors = new ArrayList<>();
    final List<AdmissionControl> admissions = new ArrayList<>();
    final Map<String, Outcome> outcomes = new HashMap<>();
    final SplittableRandom random;
    final Setting setting;
    private final Map<String, VirtualEngine> byId = new HashMap<>();
    private List<ReplicaRecord> records;
    private final Set<Integer> downRouters = new HashSet<>();
    private double shortRateFactor = 1;
    boolean snapshots = true;
    double transferredGigabytes;
    private double transferPrices;
    private long repeatedTokensBefore;
    private long nextUnsharedPart = 1L << 40;
    private double measureFromMs;

    VirtualFleet(Setting setting) {
        this.setting = setting;
        random = new SplittableRandom(setting.seed);
        double[] speeds = {1.0, 1.0, 1.3};
        int count = setting.prefills + setting.decodes;
        for (int each = 0; each < count; each++) {
            Stage stage = each < setting.prefills ? Stage.PREFILL : Stage.DECODE;
            VirtualEngine engine = new VirtualEngine(
                    time,
                    "e" + each,
                    ZONES[each % 3],
                    stage,
                    SPEC,
                    VirtualEngine.Timing.DEFAULT,
                    speeds[(each / 3) % 3],
                    lastUsedMs);
            engines.add(engine);
            byId.put(engine.record.instanceId(), engine);
        }
        records = engines.stream().map(engine -> engine.record).toList();
        for (int router = 0; router < setting.routers; router++) {
            ReplicaSelector selector = selector(router);
            selectors.add(selector);
            admissions.add(new AdmissionControl(selector, random.split()));
        }
        setting.kinds.forEach(kind -> outcomes.put(kind.route.name(), new Outcome()));
    }

    static Route route(String name, int targetMs, int timeoutMs, int priority) {
        return new Route(
                name,
                "h",
                "/",
                RouteKind.STREAMING,
                timeoutMs,
                targetMs,
                priority,
                List.of(new Route.WeightedService("lm", 1)),
                2,
                true,
                false,
                150,
                false);
    }

    static List<Kind> defaultKinds(double factor, double burst) {
        return List.of(
                new Kind(route("long", 300, 5_000, 0), 22.6 * factor, 13_300, 121, 3_720, 1.1, 11, 150),
                new Kind(route("short", 400, 3_000, 1), 100 * factor * burst, 92, 1_213, 291, 1.4, 4, 150));
    }

    /** Runs the fleet for {@code lengthMs} after a warm-up that is not measured. */
    void run(double warmUpMs, double lengthMs) {
        measureFromMs = warmUpMs;
        for (Kind kind : setting.kinds) {
            scheduleArrival(kind);
        }
        if (setting.reports) {
            scheduleReports();
        }
        if (setting.hints) {
            scheduleHints();
        }
        time.runUntil(warmUpMs);
        repeatedTokensBefore = sharedTokensPrefilledAgain();
        time.runUntil(warmUpMs + lengthMs);
    }

    /** Makes one replica unreachable for a while. */
    void makeUnreachable(int engine, double atMs, double forMs) {
        time.after(atMs - time.now(), () -> engines.get(engine).makeUnreachable(forMs));
    }

    /** Multiplies the arrival rate of short requests for a while. */
    void burst(double atMs, double forMs, double factor) {
        time.after(atMs - time.now(), () -> shortRateFactor = factor);
        time.after(atMs + forMs - time.now(), () -> shortRateFactor = 1);
    }

    /** Kills a fraction of the routers, which restart without any measurements. */
    void killRouters(double fraction, double atMs, double forMs) {
        time.after(atMs - time.now(), () -> {
            for (int router = 0; router < fraction * selectors.size(); router++) {
                downRouters.add(router);
                ReplicaSelector fresh = selector(router);
                if (snapshots) {
                    int peer = selectors.size() - 1;
                    time.after(GOSSIP_MS, () -> sendSnapshot(selectors.get(peer), fresh));
                }
                selectors.set(router, fresh);
                admissions.set(router, new AdmissionControl(selectors.get(router), random.split()));
            }
        });
        time.after(atMs + forMs - time.now(), () -> downRouters.clear());
    }

    private void sendSnapshot(ReplicaSelector from, ReplicaSelector to) {
        engines.forEach(engine -> to.cacheEstimates().setCapacity(engine.record.instanceId(), SPEC.kvCacheTokens()));
        from.cacheEstimates().snapshot(2_000, time.now()).forEach(hint -> to.cacheEstimates()
                .applyHint(hint, time.now()));
    }

    private int upRouter() {
        int router = random.nextInt(selectors.size());
        while (downRouters.contains(router)) {
            router = random.nextInt(selectors.size());
        }
        return router;
    }

    private ReplicaSelector selector(int router) {
        ReplicaSelector selector = new ReplicaSelector(random.split(), setting.tuning);
        selector.setRouterCount(setting.countedRouters);
        selector.setLocality(ZONES[router % 3], Map.of("a", "r", "b", "r", "c", "r"));
        selector.setEngine("lm", SPEC);
        return selector;
    }

    private void scheduleArrival(Kind kind) {
        double factor = kind.route.priority() == 0 ? 1 : shortRateFactor;
        double intervalMs = -Math.log(1 - random.nextDouble()) * 1_000 / kind.perSecond / factor;
        time.after(intervalMs, () -> {
            arrive(kind);
            scheduleArrival(kind);
        });
    }

    private void scheduleReports() {
        time.after(setting.reportEveryMs, () -> {
            for (VirtualEngine engine : engines) {
                if (!engine.unreachable) {
                    LoadReport loadReport = engine.report(time.now() + REPORT_LAG_MS + 30);
                    time.after(
                            REPORT_LAG_MS + 30,
                            () -> selectors.forEach(each -> each.onLoadReport(engine.record.instanceId(), loadReport)));
                }
            }
            scheduleReports();
        });
    }

    private void scheduleHints() {
        time.after(500, () -> {
            for (ReplicaSelector from : selectors) {
                List<PrefixHint> hints = from.cacheEstimates().takeHints(400, time.now());
                double sentAt = time.now();
                time.after(
                        GOSSIP_MS,
                        () -> selectors.forEach(to -> {
                            if (to != from) {
                                hints.forEach(hint -> to.cacheEstimates()
                                        .applyHint(
                                                new PrefixHint(
                                                        hint.instanceId(),
                                                        hint.chainHash(),
                                                        hint.tokens(),
                                                        hint.ageMs() + (int) GOSSIP_MS,
                                                        hint.unsharedTokens()),
                                                sentAt + GOSSIP_MS));
                            }
                        }));
            }
            scheduleHints();
        });
    }

    private double lognormal(double mean, double spread) {
        double normal = random.split().nextGaussian();
        return mean * Math.exp(spread * normal - spread * spread / 2);
    }

    private int sharedPart(int sharedParts) {
        return Math.min(sharedParts - 1, (int) (sharedParts * Math.pow(random.nextDouble(), 1 / 0.7)));
    }

    private void arrive(Kind kind) {
        int sharedPart = sharedPart(kind.sharedParts);
        long id = kind.route.name().hashCode() * 100_000L + sharedPart;
        int shared = (int) Math.max(16, kind.shared * (0.3 + 1.4 * ((sharedPart * 0.618) % 1)));
        int unshared = (int) Math.max(1, Math.min(14.0 * kind.unshared, lognormal(kind.unshared, kind.spread)));
        int output = (int) Math.max(1, Math.min(4.0 * kind.output, lognormal(kind.output, 1.0)));
        List<PromptPart> parts = List.of(new PromptPart(id, shared), new PromptPart(nextUnsharedPart++, unshared));
        RequestShape request = new RequestShape(
                kind.route,
                "lm",
                true,
                "m",
                shared + unshared,
                4 * kind.output,
                parts,
                time.now(),
                time.now() + kind.route.timeoutMs());
        new Exchange(kind, request, output, upRouter(), false).start();
    }

    /** One request, from its arrival to its end. */
    private final class Exchange {
        final Kind kind;
        final RequestShape request;
        final int output;
        final ReplicaSelector selector;
        final double arrivedAt = time.now();
        final boolean measured = time.now() >= measureFromMs;
        Outcome outcome;
        double lastEventAt;
        boolean awaitsFirstEvent = true;
        boolean inTime = true;
        boolean ended;

        final int router;
        final boolean isRetry;

        Exchange(Kind kind, RequestShape request, int output, int router, boolean isRetry) {
            this.kind = kind;
            this.request = request;
            this.output = output;
            this.router = router;
            this.isRetry = isRetry;
            selector = selectors.get(router);
            outcome = measured ? outcomes.get(kind.route.name()) : new Outcome();
        }

        void setOutcome(Outcome other) {
            outcome = other;
        }

        void start() {
            outcome.requests += isRetry ? 0 : 1;
            if (setting.admission
                    && admissions.get(router).decide(request, records, time.now())
                            instanceof AdmissionDecision.Reject rejection) {
                rejected(rejection);
                return;
            }
            Optional<ReplicaPair> pair = selector.choose(request, records, Set.of(), time.now());
            if (pair.isEmpty()) {
                outcome.failed++;
            } else if (pair.get().prefill().isPresent()) {
                outcome.viaPrefill++;
                prefill(pair.get().prefill().get());
            } else {
                decode(pair.get().decode(), null);
            }
        }

        void rejected(AdmissionDecision.Reject rejection) {
            ended = true;
            if (isRetry) {
                outcome.rejectedTwice++;
                outcome.failed++;
                return;
            }
            outcome.rejected++;
            time.after(rejection.retryAfterSeconds() * 1_000 + 2 * CLIENT_MS, () -> {
                RequestShape again = new RequestShape(
                        request.route(),
                        request.service(),
                        true,
                        request.model(),
                        request.promptTokens(),
                        request.outputTokens(),
                        request.parts(),
                        time.now(),
                        request.deadlineAtMs());
                Exchange next = new Exchange(kind, again, output, upRouter(), true);
                next.setOutcome(outcome);
                next.start();
            });
        }

        void prefill(ReplicaRecord prefillReplica) {
            ReplicaSelector.Call call = selector.startCall(prefillReplica, CallKind.PREFILL, request, time.now());
            VirtualEngine.Job job = new VirtualEngine.Job(request.parts(), 1, true);
            scheduleTimeout(call);
            job.onDone = () -> time.after(NETWORK_MS, () -> {
                if (ended) {
                    return;
                }
                call.onEnd(CallOutcome.COMPLETED, time.now());
                selector.chooseDecode(request, prefillReplica, records, Set.of(), time.now())
                        .ifPresent(replica -> decode(replica, prefillReplica));
            });
            job.onRejected = () -> fail(call, CallOutcome.REJECTED);
            time.after(NETWORK_MS, () -> byId.get(prefillReplica.instanceId()).accept(job));
        }

        void decode(ReplicaRecord replica, ReplicaRecord prefillReplica) {
            CallKind callKind = prefillReplica == null ? CallKind.AGGREGATED_DECODE : CallKind.DISAGGREGATED_DECODE;
            ReplicaSelector.Call call = prefillReplica == null
                    ? selector.startCall(replica, callKind, request, time.now())
                    : selector.startDisaggregatedDecode(replica, prefillReplica, request, time.now());
            VirtualEngine.Job job = new VirtualEngine.Job(request.parts(), output, false);
            scheduleTimeout(call);
            job.onFirst = () -> time.after(NETWORK_MS, () -> event(call));
            job.onEvent = job.onFirst;
            job.onDone = () -> time.after(NETWORK_MS, () -> done(call));
            job.onRejected = () -> fail(call, CallOutcome.REJECTED);
            VirtualEngine engine = byId.get(replica.instanceId());
            if (prefillReplica == null) {
                time.after(NETWORK_MS, () -> engine.accept(job));
            } else {
                double factor = prefillReplica.zone().equals(replica.zone()) ? 1 : 2;
                double bytes = (double) job.promptTokens * SPEC.kvTokenBytes();
                job.transferMs = factor * bytes * 8 / (SPEC.linkBandwidthMbps() * 1e3);
                transferredGigabytes += measured ? bytes / 1e9 : 0;
                transferPrices += measured ? PRICE_PER_TRANSFERRED_GIGABYTE * factor * bytes / 1e9 : 0;
                time.after(NETWORK_MS, () -> engine.acceptWithTransfer(job));
            }
        }

        void scheduleTimeout(ReplicaSelector.Call call) {
            time.after(2_000, () -> {
                if (awaitsFirstEvent && !ended) {
                    fail(call, CallOutcome.CANCELLED);
                }
            });
        }

        void fail(ReplicaSelector.Call call, CallOutcome callOutcome) {
            if (!ended) {
                ended = true;
                outcome.failed++;
                call.onEnd(callOutcome, time.now());
            }
        }

        void event(ReplicaSelector.Call call) {
            if (ended) {
                return;
            }
            if (awaitsFirstEvent) {
                awaitsFirstEvent = false;
                call.onFirstEvent(time.now());
                double latencyMs = time.now() - arrivedAt + 2 * CLIENT_MS;
                outcome.firstEventMs.add(latencyMs);
                inTime = latencyMs <= kind.route.targetLatencyMs();
            } else {
                call.onEvent(time.now());
                if (time.now() - lastEventAt > kind.maxPauseMs) {
                    outcome.pauses++;
                    inTime = false;
                }
            }
            lastEventAt = time.now();
        }

        void done(ReplicaSelector.Call call) {
            if (ended) {
                return;
            }
            ended = true;
            call.onEnd(CallOutcome.COMPLETED, time.now());
            if (inTime && isRetry) {
                outcome.inTimeAfterRetry++;
            } else if (inTime) {
                outcome.inTime++;
            } else {
                outcome.late++;
            }
        }
    }

    /** A count of one kind of request, as a fraction of all its requests. */
    double fraction(String kind, ToIntFunction<Outcome> count) {
        Outcome results = outcomes.get(kind);
        return results.requests == 0 ? 0 : count.applyAsInt(results) / (double) results.requests;
    }

    /** Tokens of shared parts that all engines have prefilled since the start. */
    long sharedTokensPrefilled() {
        return engines.stream()
                .mapToLong(engine -> engine.sharedTokensPrefilled)
                .sum();
    }

    /** Those of them that some engine had used within the time in which a repeated prefill is priced. */
    long sharedTokensPrefilledAgain() {
        return engines.stream()
                .mapToLong(engine -> engine.sharedTokensPrefilledAgain)
                .sum();
    }

    /** The results, as one line of text. */
    String figures() {
        StringBuilder line = new StringBuilder();
        for (Kind kind : setting.kinds) {
            Outcome results = outcomes.get(kind.route.name());
            line.append(String.format(
                    "%s in time %.3f late %.3f lost %.3f refused %.3f later in time %.3f twice %.3f via prefill %.2f"
                            + " p50 %.0f p95 %.0f p99 %.0f"
                            + " pauses %d | ",
                    kind.route.name(),
                    results.inTime / (double) results.requests,
                    results.late / (double) results.requests,
                    results.failed / (double) results.requests,
                    results.rejected / (double) results.requests,
                    results.inTimeAfterRetry / (double) results.requests,
                    results.rejectedTwice / (double) results.requests,
                    results.viaPrefill / (double) results.requests,
                    results.quantile(0.5),
                    results.quantile(0.95),
                    results.quantile(0.99),
                    results.pauses));
        }
        double total = time.now();
        long shared = engines.stream()
                .mapToLong(engine -> engine.sharedTokensPrefilled)
                .sum();
        line.append(String.format(
                "shared read %.1f Mtok, moved %.1f GB, busy %s",
                shared / 1e6,
                transferredGigabytes,
                Arrays.toString(engines.stream()
                        .mapToLong(each -> Math.round(100 * each.busyMs / total))
                        .toArray())));
        return line.toString();
    }

    /** The fraction of the possible value that was earned; late responses earn half, long requests count 1.5 times. */
    double value() {
        return earned(0);
    }

    /** The same, less the prices of KV transfers and of repeated prefills of shared parts. */
    double netValue() {
        double tokens = sharedTokensPrefilledAgain() - repeatedTokensBefore;
        return earned(transferPrices + PRICE_PER_1000_REPEATED_TOKENS * tokens / 1_000);
    }

    private double earned(double prices) {
        double earned = -prices;
        double possible = 0;
        for (Kind kind : setting.kinds) {
            Outcome results = outcomes.get(kind.route.name());
            double value = kind.route.priority() == 0 ? 3 : 2;
            earned += value
                    * (results.inTime
                            + 0.75 * results.inTimeAfterRetry
                            + 0.5 * results.late
                            - 0.3 * results.rejectedTwice);
            possible += value * results.requests;
        }
        return earned / possible;
    }
}
