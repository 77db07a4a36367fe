package pinewick.dataplane;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.eclipse.jetty.http.HttpFields;
import pinewick.model.EngineSpec;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.Route;
import pinewick.model.RouteKind;
import pinewick.model.SocketAddress;
import pinewick.model.Stage;
import pinewick.selection.ReplicaPair;
import pinewick.selection.ReplicaSelector;
import pinewick.selection.RequestShape;
import pinewick.selection.RetryBudget;

/** The lifecycle of one request, with scripted calls, a recorded client and virtual time. */
final class LifecycleTestContext {
    static final double TIMEOUT_MS = 4_000;
    static final double TARGET_LATENCY_MS = 300;

    final VirtualTimers timers = new VirtualTimers();
    final ScriptedUpstreamClient calls = new ScriptedUpstreamClient();
    final RecordedClient client = new RecordedClient();
    final ReplicaDirectory directory = new ReplicaDirectory();
    final List<RequestLifecycle> ended = new ArrayList<>();
    final RequestLifecycle lifecycle;
    final Route route;

    LifecycleTestContext(RouteKind kind, boolean resumable, boolean generation, int maxAttempts, long seed) {
        route = new Route(
                "r",
                "h",
                "/",
                kind,
                (int) TIMEOUT_MS,
                (int) TARGET_LATENCY_MS,
                1,
                List.of(new Route.WeightedService("s", 1)),
                maxAttempts,
                false,
                resumable,
                150,
                false);
        for (int i = 0; i < 4; i++) {
            directory.update(replica("d-" + i, generation ? Stage.DECODE : Stage.NONE));
            directory.update(replica("p-" + i, generation ? Stage.PREFILL : Stage.NONE));
        }
        ReplicaSelector selector = new ReplicaSelector(new SplittableRandom(seed));
        if (generation) {
            selector.setEngine("s", new EngineSpec(12, 500_000, 18_432, 1_000, 10, 5, 2));
        }
        DataPlaneServices services = new DataPlaneServices(
                selector,
                alwaysPrefillElsewhere(PairChooser.of(selector)),
                budget(),
                new KvTransferHealth(),
                directory,
                calls,
                new BufferBudget(),
                timers,
                new SplittableRandom(seed + 1));
        double nowMs = timers.nowMs();
        RequestShape shape = new RequestShape(
                route,
                "s",
                generation,
                "",
                generation ? 1_000 : 0,
                generation ? 20 : 0,
                List.of(),
                nowMs,
                nowMs + TIMEOUT_MS);
        ClientRequest request = new ClientRequest("q1", "POST", "/x", HttpFields.build(), UpstreamRequest.NO_BODY);
        lifecycle = new RequestLifecycle(
                request, shape, QuotaAdmission.unlimited(timers, services.random()), client, services, ended::add);
    }

    private static ReplicaRecord replica(String id, Stage stage) {
        return new ReplicaRecord(
                id,
                "s",
                new SocketAddress("10.0.0.1", 80),
                "z",
                "v",
                12,
                ReplicaState.READY,
                0,
                stage,
                List.of(),
                1,
                false);
    }

    private RetryBudget budget() {
        RetryBudget budget = new RetryBudget(0.2, 50, 100);
        budget.onRequest("s", timers.nowMs() - 1_000);
        return budget;
    }

    /** The delegate's choice, with a prefill replica whenever there is a candidate. */
    private PairChooser alwaysPrefillElsewhere(PairChooser delegate) {
        return new PairChooser() {
            @Override
            public Optional<ReplicaPair> choose(
                    RequestShape shape,
                    java.util.Collection<ReplicaRecord> candidates,
                    java.util.Set<String> excluded,
                    double nowMs) {
                Optional<ReplicaRecord> prefill = candidates.stream()
                        .filter(candidate ->
                                candidate.stage() == Stage.PREFILL && !excluded.contains(candidate.instanceId()))
                        .findFirst();
                return delegate.choose(shape, candidates, excluded, nowMs)
                        .map(pair -> new ReplicaPair(prefill, pair.decode()));
            }

            @Override
            public Optional<ReplicaRecord> chooseDecode(
                    RequestShape shape,
                    ReplicaRecord prefillReplica,
                    java.util.Collection<ReplicaRecord> candidates,
                    java.util.Set<String> excluded,
                    double nowMs) {
                return delegate.chooseDecode(shape, prefillReplica, candidates, excluded, nowMs);
            }
        };
    }
}
