package pinewick.control;

import java.util.Collection;
import java.util.Set;
import pinewick.model.ReplicaRecord;
import pinewick.model.SocketAddress;

/** What the control plane needs of membership and dissemination. Called on the control loop. */
interface FleetAccess extends HeartbeatTimes {
    /** Every replica record, those of replicas that are gone included. */
    Collection<ReplicaRecord> replicas();

    /** The record of an instance, or null. */
    ReplicaRecord replica(String instanceId);

    /** Merges a record that arose here and tells the others. */
    void publish(ReplicaRecord record);

    /**
     * As {@link #publish}, and gives the record to the other controllers until one has confirmed it.
     *
     * @param heldElsewhere run once another controller has confirmed that it holds the record
     */
    void publishUntilHeld(ReplicaRecord record, Runnable heldElsewhere);

    /** Notes that an instance was heard from just now. */
    void heard(String instanceId, long callSequence);

    /** Drops what is kept beside the records of instances that have none any more. */
    void prune();

    /** Internal addresses of the other controllers that are believed to be running. */
    Set<SocketAddress> otherControllers();
}
