package pinewick.control;

import java.util.function.Consumer;
import pinewick.model.ReplicaRecord;

/** The endpoints for replicas: heartbeat and deregistration. */
final class ReplicaEndpoints {
    private final ReplicaRegistry registry;
    private final TaskLoop loop;

    ReplicaEndpoints(ReplicaRegistry registry, TaskLoop loop) {
        this.registry = registry;
        this.loop = loop;
    }

    /** {@code POST /instances/ID/heartbeat}. */
    void heartbeat(ApiRequest request, Consumer<ApiResponse> responder) {
        ReplicaRecord reported;
        try {
            reported = HeartbeatParser.parse(request.instanceId(), request.body());
        } catch (InvalidFieldException e) {
            responder.accept(ApiResponse.badField(e.field(), e.getMessage()));
            return;
        }
        LoopDispatcher.dispatch(
                loop, responder, () -> registry.heartbeat(reported, outcome -> responder.accept(toResponse(outcome))));
    }

    /** {@code POST /instances/ID/deregister}. */
    void deregister(ApiRequest request, Consumer<ApiResponse> responder) {
        String instanceId = request.instanceId();
        LoopDispatcher.dispatch(
                loop,
                responder,
                () -> registry.deregister(instanceId, outcome -> responder.accept(toResponse(outcome))));
    }

    private static ApiResponse toResponse(Acknowledgement outcome) {
        return switch (outcome) {
            case CONFIRMED -> ApiResponse.ok();
            case NOT_CONFIRMED -> ApiResponse.unavailable("not stored by enough controllers in time");
        };
    }
}
