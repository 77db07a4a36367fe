package pinewick.selection;

import java.util.List;
import pinewick.model.EngineSpec;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.Route;
import pinewick.model.RouteKind;
import pinewick.model.SocketAddress;
import pinewick.model.Stage;

/** Creates requests, replicas and load reports for tests. */
final class RequestShapes {
    static final EngineSpec ENGINE = new EngineSpec(12, 500_000, 18_432, 180_000, 11, 5, 2.3);

    private RequestShapes() {}

    static Route route(String name, int targetMs, int timeoutMs, int priority) {
        return new Route(
                name,
                "host",
                "/",
                RouteKind.STREAMING,
                timeoutMs,
                targetMs,
                priority,
                List.of(new Route.WeightedService("s", 1)),
                2,
                true,
                false,
                150,
                false);
    }

    static RequestShape plain(double nowMs) {
        return new RequestShape(route("plain", 400, 2_000, 1), "s", false, "", 0, 0, List.of(), nowMs, nowMs + 2_000);
    }

    /** A request with one shared and one unshared part. */
    static RequestShape generation(long sharedId, int shared, int unshared, double nowMs) {
        List<PromptPart> parts =
                List.of(new PromptPart(sharedId, shared), new PromptPart(1_000_000 + sharedId, unshared));
        return new RequestShape(
                route("generation", 300, 5_000, 0), "s", true, "m", shared + unshared, 40, parts, nowMs, nowMs + 5_000);
    }

    static ReplicaRecord replica(String id, Stage stage) {
        return replica(id, stage, ReplicaState.READY, "m");
    }

    static ReplicaRecord replica(String id, Stage stage, ReplicaState state, String model) {
        return new ReplicaRecord(
                id,
                "s",
                new SocketAddress("10.0.0.1", 80),
                "z",
                "v1",
                12,
                state,
                0,
                stage,
                List.of(new ReplicaRecord.ModelVersion(model, 1)),
                1,
                false);
    }

    static LoadReport report(Stage stage, int waiting, int running, double kvUsedFraction, double atMs) {
        return new LoadReport(stage, false, 0, waiting, running, (long) (1_000 * kvUsedFraction), 1_000, 0, atMs);
    }
}
