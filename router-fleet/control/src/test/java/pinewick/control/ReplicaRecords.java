package pinewick.control;

import java.util.List;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.SocketAddress;
import pinewick.model.Stage;

/** Replica records for tests. */
final class ReplicaRecords {
    private ReplicaRecords() {}

    static ReplicaRecord ready(String instanceId, long callSequence) {
        return record(instanceId, "huvo11a", ReplicaState.READY, callSequence, 0);
    }

    static ReplicaRecord draining(String instanceId, long callSequence) {
        return record(instanceId, "huvo11a", ReplicaState.DRAINING, callSequence, 0);
    }

    static ReplicaRecord warmingUp(String instanceId, long callSequence, int warmUpRemainingMs) {
        return record(instanceId, "huvo11a", ReplicaState.READY, callSequence, warmUpRemainingMs);
    }

    static ReplicaRecord ofService(String instanceId, String service) {
        return record(instanceId, service, ReplicaState.READY, 1, 0);
    }

    private static ReplicaRecord record(
            String instanceId, String service, ReplicaState state, long callSequence, int warmUpRemainingMs) {
        return new ReplicaRecord(
                instanceId,
                service,
                new SocketAddress("10.128.0.9", 8080),
                "sala-mi",
                "v1",
                12,
                state,
                warmUpRemainingMs,
                Stage.DECODE,
                List.of(new ReplicaRecord.ModelVersion("m", 1)),
                callSequence,
                false);
    }
}
