package pinewick.control;

import pinewick.model.SocketAddress;
import pinewick.model.Stage;

/**
 * The load of a replica, from its response to {@code GET /report}.
 *
 * @param instanceId the instance that reported
 * @param service its service
 * @param address the address at which it accepts orders
 * @param slots number of requests that it can run concurrently
 * @param stage the stage that it serves at present
 * @param busy whether an order is in progress
 * @param acceptedOrders number of orders that it has accepted, {@code call_sequence} on the wire
 * @param waiting number of queued requests
 * @param running number of running requests
 */
record ReplicaLoad(
        String instanceId,
        String service,
        SocketAddress address,
        int slots,
        Stage stage,
        boolean busy,
        long acceptedOrders,
        int waiting,
        int running) {
    /** Number of queued and running requests. */
    int requests() {
        return waiting + running;
    }
}
