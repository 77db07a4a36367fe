package pinewick.control;

import java.util.ArrayList;
import java.util.List;
import pinewick.model.Ipv4Address;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.SocketAddress;
import pinewick.model.Stage;

/**
 * Parses heartbeats and load reports of replicas. The fields that routing depends on (service, address, slots,
 * state, call sequence) are required; other fields have a default, and unknown fields are ignored.
 */
final class HeartbeatParser {
    private HeartbeatParser() {}

    /**
     * Parses a heartbeat of the instance {@code instanceId}.
     *
     * @throws InvalidFieldException with the first field that is wrong
     */
    static ReplicaRecord parse(String instanceId, byte[] body) throws InvalidFieldException {
        JsonFields fields = JsonFields.parse(body);
        return new ReplicaRecord(
                instanceId,
                fields.requiredText("service"),
                address(fields),
                fields.optionalText("zone"),
                fields.optionalText("version"),
                (int) fields.requiredNumber("slots", 1, Integer.MAX_VALUE),
                state(fields),
                (int) fields.optionalNumber("cold_remaining_ms", 0, Integer.MAX_VALUE),
                stage(fields),
                models(fields),
                fields.requiredNumber("call_sequence", 0, Long.MAX_VALUE),
                false);
    }

    /**
     * Parses the response of a replica to {@code GET /report}.
     *
     * @throws InvalidFieldException with the first field that is wrong
     */
    static ReplicaLoad parseReport(ReplicaRecord replica, byte[] body) throws InvalidFieldException {
        JsonFields fields = JsonFields.parse(body);
        return new ReplicaLoad(
                replica.instanceId(),
                replica.service(),
                replica.address(),
                replica.slots(),
                stage(fields),
                fields.optionalFlag("busy"),
                fields.requiredNumber("call_sequence", 0, Long.MAX_VALUE),
                (int) fields.requiredNumber("waiting", 0, Integer.MAX_VALUE),
                (int) fields.requiredNumber("running", 0, Integer.MAX_VALUE));
    }

    private static SocketAddress address(JsonFields fields) throws InvalidFieldException {
        SocketAddress address;
        try {
            address = SocketAddress.parse(fields.requiredText("address"));
        } catch (IllegalArgumentException e) {
            throw new InvalidFieldException("address", e.getMessage());
        }
        if (!Ipv4Address.isLiteral(address.host())) {
            throw new InvalidFieldException("address", "'" + address.host() + "' is not an IPv4 address");
        }
        return address;
    }

    private static ReplicaState state(JsonFields fields) throws InvalidFieldException {
        String name = fields.requiredText("state");
        switch (name) {
            case "ready":
                return ReplicaState.READY;
            case "draining":
                return ReplicaState.DRAINING;
            default:
                throw new InvalidFieldException("state", "'" + name + "' is neither ready nor draining");
        }
    }

    private static Stage stage(JsonFields fields) throws InvalidFieldException {
        String name = fields.optionalText("stage");
        return Stage.parse(name).orElseThrow(() -> new InvalidFieldException("stage", "'" + name + "' is no stage"));
    }

    private static List<ReplicaRecord.ModelVersion> models(JsonFields fields) throws InvalidFieldException {
        List<ReplicaRecord.ModelVersion> versions = new ArrayList<>();
        for (JsonFields model : fields.optionalObjects("models")) {
            int version = (int) model.optionalNumber("version", 0, Integer.MAX_VALUE);
            versions.add(new ReplicaRecord.ModelVersion(model.requiredText("name"), version));
        }
        return versions;
    }
}
