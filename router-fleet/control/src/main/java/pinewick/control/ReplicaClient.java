package pinewick.control;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import pinewick.model.ReplicaRecord;
import pinewick.model.Stage;

/**
 * Sends the requests of the process that plans stages to replicas. No method blocks; callbacks run on the control loop.
 */
interface ReplicaClient {
    /** Time-out of a request, milliseconds. The connection is then reset, so that a delayed order is dropped. */
    long TIMEOUT_MS = 1_000;

    /** Requests the load of a replica; {@code onReport} gets an empty value if there is no usable response in time. */
    void requestReport(ReplicaRecord replica, Consumer<Optional<ReplicaLoad>> onReport);

    /**
     * Orders a replica to serve another stage.
     *
     * @param replica as of its last report; it rejects the order if it has accepted another one since
     * @param isLeaseHeld checked, on any thread, once the connection is established and right before the first byte
     *     is sent
     * @param onOutcome called exactly once
     */
    void orderStage(
            ReplicaLoad replica,
            Stage stage,
            FencingTokens.Fence fence,
            BooleanSupplier isLeaseHeld,
            Consumer<OrderOutcome> onOutcome);
}
