package pinewick.model;

import java.util.Comparator;
import java.util.List;

/**
 * The last reported state of one replica instance. Records of one instance are ordered by {@code callSequence}; see
 * {@link #merge}.
 *
 * @param instanceId id of the instance, unique for each start of the replica
 * @param service name of the service it belongs to
 * @param address address for requests
 * @param zone zone in which it runs
 * @param softwareVersion version of its software
 * @param slots number of requests that it can run concurrently
 * @param state its lifecycle state
 * @param warmUpRemainingMs remaining warm-up time, during which it is slower, milliseconds
 * @param stage the stage that it serves; {@link Stage#NONE} for a service without an engine
 * @param models the models that it serves
 * @param callSequence increases with each heartbeat of the instance
 * @param lapsed whether the control plane has received no heartbeat for too long
 */
public record ReplicaRecord(
        String instanceId,
        String service,
        SocketAddress address,
        String zone,
        String softwareVersion,
        int slots,
        ReplicaState state,
        @WireName("coldRemainingMs") int warmUpRemainingMs,
        Stage stage,
        List<ModelVersion> models,
        long callSequence,
        boolean lapsed) {

    /**
     * Orders records of one instance by age. Compares every component except the state, so that two records that a
     * faulty replica sent with the same call sequence are merged to the same result on every node.
     */
    private static final Comparator<ReplicaRecord> BY_AGE = Comparator.comparingLong(ReplicaRecord::callSequence)
            .thenComparing(ReplicaRecord::lapsed)
            .thenComparing(ReplicaRecord::service)
            .thenComparing(ReplicaRecord::address)
            .thenComparing(ReplicaRecord::zone)
            .thenComparing(ReplicaRecord::softwareVersion)
            .thenComparingInt(ReplicaRecord::slots)
            .thenComparingInt(ReplicaRecord::warmUpRemainingMs)
            .thenComparing(ReplicaRecord::stage)
            .thenComparing(record -> record.models().toString());

    public ReplicaRecord {
        models = List.copyOf(models);
    }

    /** A model that a replica serves. */
    public record ModelVersion(String name, int version) {}

    /** Whether a new request may be sent to it. */
    public boolean acceptsRequests() {
        return state == ReplicaState.READY && !lapsed;
    }

    /** Returns a copy with another value of {@code lapsed}. */
    public ReplicaRecord withLapsed(boolean isLapsed) {
        return new ReplicaRecord(
                instanceId,
                service,
                address,
                zone,
                softwareVersion,
                slots,
                state,
                warmUpRemainingMs,
                stage,
                models,
                callSequence,
                isLapsed);
    }

    /** Returns a copy with another state. */
    public ReplicaRecord withState(ReplicaState newState) {
        return new ReplicaRecord(
                instanceId,
                service,
                address,
                zone,
                softwareVersion,
                slots,
                newState,
                warmUpRemainingMs,
                stage,
                models,
                callSequence,
                lapsed);
    }

    /**
     * Merges two records of one instance: the record with the higher call sequence wins, but the state never reverts to
     * an earlier one. Commutative, associative and idempotent.
     */
    public static ReplicaRecord merge(ReplicaRecord left, ReplicaRecord right) {
        ReplicaRecord newer = BY_AGE.compare(left, right) >= 0 ? left : right;
        ReplicaState state = left.state.compareTo(right.state) >= 0 ? left.state : right.state;
        return newer.state == state ? newer : newer.withState(state);
    }
}
