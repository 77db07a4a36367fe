package pinewick.control;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import pinewick.model.ReplicaRecord;
import pinewick.model.SocketAddress;

/** The operations of membership and dissemination that the control plane uses. Control loop only. */
interface FleetAccess extends HeartbeatTimes {
    /** Every replica record, including those of replicas that are gone. */
    Collection<ReplicaRecord> replicas();

    /** The record of an instance, empty if it is not known. */
    Optional<ReplicaRecord> findReplica(String instanceId);

    /** Merges a record into the state of this process and disseminates it. */
    void publish(ReplicaRecord record);

    /**
     * Publishes a removal as {@link #publish} does, and sends it to the other controllers to be stored.
     *
     * @param onDurable run once so many controllers have it on disk, another one among them, that it survives the
     *     loss of as many disks as are tolerated
     */
    void publishUntilDurable(ReplicaRecord record, Runnable onDurable);

    /** Whether a removal that only this process has on disk survives the loss of as many disks as are tolerated. */
    boolean isDurableWithoutOthers(ReplicaRecord record);

    /** Records a heartbeat that an instance has sent to this process. */
    void recordHeartbeat(String instanceId, long callSequence);

    /** Removes the heartbeat state of instances without a record. */
    void prune();

    /** Internal addresses of the other controllers believed to be running. */
    Set<SocketAddress> otherControllers();
}
