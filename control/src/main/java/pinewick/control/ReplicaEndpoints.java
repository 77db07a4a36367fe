package pinewick.control;

import java.util.function.Consumer;
import pinewick.model.ReplicaRecord;

/** The calls of replicas: heartbeat and deregistration. */
final class ReplicaEndpoints {
    private final ReplicaRegistry registry;
    private final TaskLoop loop;

    ReplicaEndpoints(ReplicaRegistry registry, TaskLoop loop) {
        this.registry = registry;
        this.loop = loop;
    }

    /** {@code POST /instances/ID/heartbeat}. */
    void heartbeat(ApiCall call, Consumer<ApiAnswer> answer) {
        ReplicaRecord heard;
        try {
            heard = HeartbeatParser.parse(call.subject(), call.body());
        } catch (InvalidFieldException e) {
            answer.accept(ApiAnswer.badField(e.field(), e.getMessage()));
            return;
        }
        LoopCall.run(loop, answer, () -> registry.heartbeat(heard, outcome -> answer.accept(toAnswer(outcome))));
    }

    /** {@code POST /instances/ID/deregister}. */
    void deregister(ApiCall call, Consumer<ApiAnswer> answer) {
        String instanceId = call.subject();
        LoopCall.run(loop, answer, () -> registry.deregister(instanceId, outcome -> answer.accept(toAnswer(outcome))));
    }

    private static ApiAnswer toAnswer(Acknowledgement outcome) {
        return switch (outcome) {
            case HELD -> ApiAnswer.ok();
            case NOT_CONFIRMED -> ApiAnswer.unavailable("no other controller has confirmed it in time");
        };
    }
}
