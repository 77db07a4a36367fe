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

    /**
     * Merges a record that arose here and tells the others at once.
     *
     * @param heldElsewhere run once another controller has confirmed that it holds the record
     */
    void publish(ReplicaRecord record, Runnable heldElsewhere);

    /** Notes that an instance was heard from just now. */
    void heard(String instanceId);

    /** Drops the record of an instance that ended long ago. */
    void forget(String instanceId);

    /** Internal addresses of the other controllers that are believed to be running. */
    Set<SocketAddress> otherControllers();
}
