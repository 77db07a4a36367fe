package pinewick.control;

import pinewick.model.SocketAddress;
import pinewick.model.Stage;

/**
 * What a replica with an engine says of itself in {@code GET /report}.
 *
 * @param instanceId the instance that was asked
 * @param service its service
 * @param address where it takes orders
 * @param slots requests it works on at the same time
 * @param stage the part it serves
 * @param busy whether an order is in progress
 * @param orders orders it has taken
 * @param waiting requests that wait
 * @param running requests that run
 */
record ReplicaLoad(
        String instanceId,
        String service,
        SocketAddress address,
        int slots,
        Stage stage,
        boolean busy,
        long orders,
        int waiting,
        int running) {
    /** Requests that it has, waiting or running. */
    int requests() {
        return waiting + running;
    }
}
