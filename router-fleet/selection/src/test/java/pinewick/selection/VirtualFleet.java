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

/** Routers with a selector each, replicas with engines, and clients, in virtual time. */
final class VirtualFleet {
    /** One kind of request: a shared part and an own one, in tokens. */
    record Kind(Route route, double perSecond, int shared, int things, int own, double spread, int out, int pauseMs) {}

    /** What a run is made of. */
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

    /** What came of one kind of request. */
    static final class Outcome {
        int asked;
        int inTime;
        int late;
        int failed;
        int viaPrefill;
        int pauses;
        int refused;
        int inTimeLater;
        int refusedTwice;
        final List<Double> firstMs = new ArrayList<>();

        double quantile(double share) {
            double[] sorted =
                    firstMs.stream().mapToDouble(Double::doubleValue).sorted().toArray();
            return sorted.length == 0 ? Double.NaN : sorted[(int) Math.min(sorted.length - 1, share * sorted.length)];
        }
    }

    static final EngineSpec SPEC = new EngineSpec(12, 555_966, 18_432, 180_000, 11, 5, 2.3);
    static final String[] ZONES = {"a", "b", "c"};
    private static final double NETWORK_MS = 0.4;
    private static final double CLIENT_MS = 3;
    private static final double REPORT_LAG_MS = 100;
    private static final double GOSSIP_MS = 250;

    private static final double PRICE_OF_1000_TOKENS_READ_AGAIN = 0.16;
    private static final double PRICE_OF_GIGABYTE_MOVED = 0.47;

    final VirtualTime time = new VirtualTime();
    private final Map<Long, Double> usedAnywhereMs = new HashMap<>();
    final List<VirtualEngine> engines = new ArrayList<>();
    final List<ReplicaSelector> selectors = new ArrayList<>();
    final List<AdmissionControl> admissions = new ArrayList<>();
    final Map<String, Outcome> outcomes = new HashMap<>();
    final SplittableRandom random;
    final Setting setting;
    private final Map<String, VirtualEngine> byId = new HashMap<>();
    private List<ReplicaRecord> records;
    private final Set<Integer> down = new HashSet<>();
    private double shortFactor = 1;
    boolean snapshots = true;
    double movedGigabytes;
    private double movePrices;
    private long readAgainBefore;
    private long nextOwnPart = 1L << 40;
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
                    VirtualEngine.Figures.USUAL,
                    speeds[(each / 3) % 3],
                    usedAnywhereMs);
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

    static List<Kind> usualKinds(double factor, double burst) {
        return List.of(
                new Kind(route("long", 300, 5_000, 0), 22.6 * factor, 13_300, 121, 3_720, 1.1, 11, 150),
                new Kind(route("short", 400, 3_000, 1), 100 * factor * burst, 92, 1_213, 291, 1.4, 4, 150));
    }

    /** Runs for so long after a warm-up that is not measured. */
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
        readAgainBefore = sharedTokensReadAgain();
        time.runUntil(warmUpMs + lengthMs);
    }

    /** One replica falls silent for a while. */
    void darken(int engine, double atMs, double forMs) {
        time.after(atMs - time.now(), () -> engines.get(engine).darken(forMs));
    }

    /** Short requests come so many times as often from then on. */
    void burst(double atMs, double forMs, double factor) {
        time.after(atMs - time.now(), () -> shortFactor = factor);
        time.after(atMs + forMs - time.now(), () -> shortFactor = 1);
    }

    /** Routers are killed and come back knowing nothing. */
    void killRouters(double share, double atMs, double forMs) {
        time.after(atMs - time.now(), () -> {
            for (int router = 0; router < share * selectors.size(); router++) {
                down.add(router);
                ReplicaSelector fresh = selector(router);
                if (snapshots) {
                    int peer = selectors.size() - 1;
                    time.after(GOSSIP_MS, () -> tellAll(selectors.get(peer), fresh));
                }
                selectors.set(router, fresh);
                admissions.set(router, new AdmissionControl(selectors.get(router), random.split()));
            }
        });
        time.after(atMs + forMs - time.now(), () -> down.clear());
    }

    private void tellAll(ReplicaSelector from, ReplicaSelector to) {
        engines.forEach(engine -> to.cacheEstimates().setCapacity(engine.record.instanceId(), SPEC.kvCacheTokens()));
        from.cacheEstimates().snapshot(2_000, time.now()).forEach(hint -> to.cacheEstimates()
                .applyHint(hint, time.now()));
    }

    private int upRouter() {
        int router = random.nextInt(selectors.size());
        while (down.contains(router)) {
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
        double factor = kind.route.priority() == 0 ? 1 : shortFactor;
        double gap = -Math.log(1 - random.nextDouble()) * 1_000 / kind.perSecond / factor;
        time.after(gap, () -> {
            arrive(kind);
            scheduleArrival(kind);
        });
    }

    private void scheduleReports() {
        time.after(setting.reportEveryMs, () -> {
            for (VirtualEngine engine : engines) {
                if (!engine.dark) {
                    LoadReport taken = engine.report(time.now() + REPORT_LAG_MS + 30);
                    time.after(
                            REPORT_LAG_MS + 30,
                            () -> selectors.forEach(each -> each.onLoadReport(engine.record.instanceId(), taken)));
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

    private int thing(int things) {
        return Math.min(things - 1, (int) (things * Math.pow(random.nextDouble(), 1 / 0.7)));
    }

    private void arrive(Kind kind) {
        int thing = thing(kind.things);
        long id = kind.route.name().hashCode() * 100_000L + thing;
        int shared = (int) Math.max(16, kind.shared * (0.3 + 1.4 * ((thing * 0.618) % 1)));
        int own = (int) Math.max(1, Math.min(14.0 * kind.own, lognormal(kind.own, kind.spread)));
        int out = (int) Math.max(1, Math.min(4.0 * kind.out, lognormal(kind.out, 1.0)));
        List<PromptPart> parts = List.of(new PromptPart(id, shared), new PromptPart(nextOwnPart++, own));
        RequestShape request = new RequestShape(
                kind.route,
                "lm",
                true,
                "m",
                shared + own,
                4 * kind.out,
                parts,
                time.now(),
                time.now() + kind.route.timeoutMs());
        new Exchange(kind, request, out, upRouter(), false).start();
    }

    /** One request from its arrival to its end. */
    private final class Exchange {
        final Kind kind;
        final RequestShape request;
        final int out;
        final ReplicaSelector selector;
        final double arrivedAt = time.now();
        final boolean counted = time.now() >= measureFromMs;
        Outcome outcome;
        double lastEventAt;
        boolean first = true;
        boolean inTime = true;
        boolean over;

        final int router;
        final boolean later;

        Exchange(Kind kind, RequestShape request, int out, int router, boolean later) {
            this.kind = kind;
            this.request = request;
            this.out = out;
            this.router = router;
            this.later = later;
            selector = selectors.get(router);
            outcome = counted ? outcomes.get(kind.route.name()) : new Outcome();
        }

        void countFor(Outcome other) {
            outcome = other;
        }

        void start() {
            outcome.asked += later ? 0 : 1;
            if (setting.admission
                    && admissions.get(router).decide(request, records, time.now())
                            instanceof AdmissionDecision.Reject refusal) {
                refused(refusal);
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

        void refused(AdmissionDecision.Reject refusal) {
            over = true;
            if (later) {
                outcome.refusedTwice++;
                outcome.failed++;
                return;
            }
            outcome.refused++;
            time.after(refusal.retryAfterSeconds() * 1_000 + 2 * CLIENT_MS, () -> {
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
                Exchange next = new Exchange(kind, again, out, upRouter(), true);
                next.countFor(outcome);
                next.start();
            });
        }

        void prefill(ReplicaRecord reader) {
            ReplicaSelector.Call call = selector.startCall(reader, CallKind.PREFILL, request, time.now());
            VirtualEngine.Job job = new VirtualEngine.Job(request.parts(), 1, true);
            giveUp(call);
            job.onDone = () -> time.after(NETWORK_MS, () -> {
                if (over) {
                    return;
                }
                call.onEnd(CallOutcome.COMPLETED, time.now());
                selector.chooseDecode(request, reader, records, Set.of(), time.now())
                        .ifPresent(replica -> decode(replica, reader));
            });
            job.onRejected = () -> fail(call, CallOutcome.REJECTED);
            time.after(NETWORK_MS, () -> byId.get(reader.instanceId()).take(job));
        }

        void decode(ReplicaRecord replica, ReplicaRecord reader) {
            CallKind callKind = reader == null ? CallKind.AGGREGATED_DECODE : CallKind.DISAGGREGATED_DECODE;
            ReplicaSelector.Call call = reader == null
                    ? selector.startCall(replica, callKind, request, time.now())
                    : selector.startDisaggregatedDecode(replica, reader, request, time.now());
            VirtualEngine.Job job = new VirtualEngine.Job(request.parts(), out, false);
            giveUp(call);
            job.onFirst = () -> time.after(NETWORK_MS, () -> event(call));
            job.onEvent = job.onFirst;
            job.onDone = () -> time.after(NETWORK_MS, () -> done(call));
            job.onRejected = () -> fail(call, CallOutcome.REJECTED);
            VirtualEngine engine = byId.get(replica.instanceId());
            if (reader == null) {
                time.after(NETWORK_MS, () -> engine.take(job));
            } else {
                double factor = reader.zone().equals(replica.zone()) ? 1 : 2;
                double bytes = (double) job.promptTokens * SPEC.kvTokenBytes();
                job.moveMs = factor * bytes * 8 / (SPEC.linkBandwidthMbps() * 1e3);
                movedGigabytes += counted ? bytes / 1e9 : 0;
                movePrices += counted ? PRICE_OF_GIGABYTE_MOVED * factor * bytes / 1e9 : 0;
                time.after(NETWORK_MS, () -> engine.takeFetched(job));
            }
        }

        void giveUp(ReplicaSelector.Call call) {
            time.after(2_000, () -> {
                if (first && !over) {
                    fail(call, CallOutcome.CANCELLED);
                }
            });
        }

        void fail(ReplicaSelector.Call call, CallOutcome ending) {
            if (!over) {
                over = true;
                outcome.failed++;
                call.onEnd(ending, time.now());
            }
        }

        void event(ReplicaSelector.Call call) {
            if (over) {
                return;
            }
            if (first) {
                first = false;
                call.onFirstEvent(time.now());
                double took = time.now() - arrivedAt + 2 * CLIENT_MS;
                outcome.firstMs.add(took);
                inTime = took <= kind.route.targetLatencyMs();
            } else {
                call.onEvent(time.now());
                if (time.now() - lastEventAt > kind.pauseMs) {
                    outcome.pauses++;
                    inTime = false;
                }
            }
            lastEventAt = time.now();
        }

        void done(ReplicaSelector.Call call) {
            if (over) {
                return;
            }
            over = true;
            call.onEnd(CallOutcome.COMPLETED, time.now());
            if (inTime && later) {
                outcome.inTimeLater++;
            } else if (inTime) {
                outcome.inTime++;
            } else {
                outcome.late++;
            }
        }
    }

    /** A count of one kind of request, as a share of those asked. */
    double share(String kind, ToIntFunction<Outcome> count) {
        Outcome its = outcomes.get(kind);
        return its.asked == 0 ? 0 : count.applyAsInt(its) / (double) its.asked;
    }

    /** Shared parts that were read, by all engines and from the start, in tokens. */
    long sharedTokensRead() {
        return engines.stream().mapToLong(engine -> engine.sharedTokensRead).sum();
    }

    /** Of these, those that some engine had used within the time that is priced. */
    long sharedTokensReadAgain() {
        return engines.stream()
                .mapToLong(engine -> engine.sharedTokensReadAgain)
                .sum();
    }

    /** One line of figures. */
    String figures() {
        StringBuilder line = new StringBuilder();
        for (Kind kind : setting.kinds) {
            Outcome its = outcomes.get(kind.route.name());
            line.append(String.format(
                    "%s in time %.3f late %.3f lost %.3f refused %.3f later in time %.3f twice %.3f via prefill %.2f"
                            + " p50 %.0f p95 %.0f p99 %.0f"
                            + " pauses %d | ",
                    kind.route.name(),
                    its.inTime / (double) its.asked,
                    its.late / (double) its.asked,
                    its.failed / (double) its.asked,
                    its.refused / (double) its.asked,
                    its.inTimeLater / (double) its.asked,
                    its.refusedTwice / (double) its.asked,
                    its.viaPrefill / (double) its.asked,
                    its.quantile(0.5),
                    its.quantile(0.95),
                    its.quantile(0.99),
                    its.pauses));
        }
        double total = time.now();
        long shared =
                engines.stream().mapToLong(engine -> engine.sharedTokensRead).sum();
        line.append(String.format(
                "shared read %.1f Mtok, moved %.1f GB, busy %s",
                shared / 1e6,
                movedGigabytes,
                Arrays.toString(engines.stream()
                        .mapToLong(each -> Math.round(100 * each.busyMs / total))
                        .toArray())));
        return line.toString();
    }

    /** Worth earned of worth owed, with half for late answers; long requests count one and a half times. */
    double worth() {
        return earned(0);
    }

    /** The same less the prices of moves and of shared parts read again. */
    double netWorth() {
        double tokens = sharedTokensReadAgain() - readAgainBefore;
        return earned(movePrices + PRICE_OF_1000_TOKENS_READ_AGAIN * tokens / 1_000);
    }

    private double earned(double prices) {
        double earned = -prices;
        double owed = 0;
        for (Kind kind : setting.kinds) {
            Outcome its = outcomes.get(kind.route.name());
            double worth = kind.route.priority() == 0 ? 3 : 2;
            earned += worth * (its.inTime + 0.75 * its.inTimeLater + 0.5 * its.late - 0.3 * its.refusedTwice);
            owed += worth * its.asked;
        }
        return earned / owed;
    }
}
