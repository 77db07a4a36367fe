package pinewick.model;

import java.util.Comparator;
import java.util.List;

/**
 * What one replica instance last said of itself. Records of one instance are ordered by {@code callSequence}; see
 * {@link #merge}.
 *
 * @param instanceId the id of this start of the replica
 * @param service name of the service it belongs to
 * @param address where it takes requests
 * @param zone the zone it runs in
 * @param softwareVersion version of its software
 * @param slots requests it works on at the same time
 * @param state where it is in its life
 * @param coldRemainingMs how much longer it is slow from its start, milliseconds
 * @param stage the part it serves, {@link Stage#NONE} for a service without an engine
 * @param models names of the models it holds
 * @param callSequence rises with each call of the instance
 * @param lapsed whether the control plane has not heard from it for longer than heartbeats allow
 */
public record ReplicaRecord(
        String instanceId,
        String service,
        SocketAddress address,
        String zone,
        String softwareVersion,
        int slots,
        ReplicaState state,
        int coldRemainingMs,
        Stage stage,
        List<ModelVersion> models,
        long callSequence,
        boolean lapsed) {

    /**
     * Orders records of one instance by age. Everything but the state takes part, so that two records which a faulty
     * replica sent under one number are still merged alike everywhere.
     */
    private static final Comparator<ReplicaRecord> BY_AGE = Comparator.comparingLong(ReplicaRecord::callSequence)
            .thenComparing(ReplicaRecord::lapsed)
            .thenComparing(ReplicaRecord::service)
            .thenComparing(ReplicaRecord::address)
            .thenComparing(ReplicaRecord::zone)
            .thenComparing(ReplicaRecord::softwareVersion)
            .thenComparingInt(ReplicaRecord::slots)
            .thenComparingInt(ReplicaRecord::coldRemainingMs)
            .thenComparing(ReplicaRecord::stage)
            .thenComparing(record -> record.models().toString());

    public ReplicaRecord {
        models = List.copyOf(models);
    }

    /** A model that a replica holds. */
    public record ModelVersion(String name, int version) {}

    /** Whether a new request may be sent to it. */
    public boolean takesRequests() {
        return state == ReplicaState.READY && !lapsed;
    }

    /** The same record with another {@code lapsed}. */
    public ReplicaRecord withLapsed(boolean nowLapsed) {
        return new ReplicaRecord(
                instanceId,
                service,
                address,
                zone,
                softwareVersion,
                slots,
                state,
                coldRemainingMs,
                stage,
                models,
                callSequence,
                nowLapsed);
    }

    /** The same record in another state. */
    public ReplicaRecord withState(ReplicaState next) {
        return new ReplicaRecord(
                instanceId,
                service,
                address,
                zone,
                softwareVersion,
                slots,
                next,
                coldRemainingMs,
                stage,
                models,
                callSequence,
                lapsed);
    }

    /**
     * Joins two records of one instance: the newer call wins, but an announced end is never taken back. Commutative,
     * associative and idempotent.
     */
    public static ReplicaRecord merge(ReplicaRecord left, ReplicaRecord right) {
        ReplicaRecord newer = BY_AGE.compare(left, right) >= 0 ? left : right;
        ReplicaState state = left.state.compareTo(right.state) >= 0 ? left.state : right.state;
        return newer.state == state ? newer : newer.withState(state);
    }
}
