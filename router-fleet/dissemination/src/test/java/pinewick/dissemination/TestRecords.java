package pinewick.dissemination;

import java.util.List;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.SocketAddress;
import pinewick.model.Stage;

/** Replica records for tests. */
final class TestRecords {
    private TestRecords() {}

    static ReplicaRecord ready(String instanceId, long callSequence) {
        return new ReplicaRecord(
                instanceId,
                "huvo11a",
                new SocketAddress("10.128.0.9", 8080),
                "port-louis",
                "v1",
                24,
                ReplicaState.READY,
                0,
                Stage.DECODE,
                List.of(new ReplicaRecord.ModelVersion("m", 1)),
                callSequence,
                false);
    }

    static ReplicaRecord draining(ReplicaRecord record, long callSequence) {
        return withSequence(record, callSequence).withState(ReplicaState.DRAINING);
    }

    static ReplicaRecord gone(ReplicaRecord record, long callSequence) {
        return withSequence(record, callSequence).withState(ReplicaState.GONE);
    }

    static ReplicaRecord withSequence(ReplicaRecord record, long callSequence) {
        return new ReplicaRecord(
                record.instanceId(),
                record.service(),
                record.address(),
                record.zone(),
                record.softwareVersion(),
                record.slots(),
                record.state(),
                record.warmUpRemainingMs(),
                record.stage(),
                record.models(),
                callSequence,
                record.lapsed());
    }
}
