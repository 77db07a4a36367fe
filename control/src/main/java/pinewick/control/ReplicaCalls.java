package pinewick.control;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import pinewick.model.ReplicaRecord;
import pinewick.model.Stage;

/** Calls that the holder of the planning lease makes to replicas. Nothing blocks; answers come on the control loop. */
interface ReplicaCalls {
    /** How long a call may take, milliseconds; then its connection is reset, and what it holds up is lost. */
    long TIMEOUT_MS = 1_000;

    /** Asks a replica for its load; empty if it did not say in time. */
    void report(ReplicaRecord replica, Consumer<Optional<ReplicaLoad>> answer);

    /**
     * Orders a replica to serve another stage.
     *
     * @param replica as it reported; the order is void if it has taken another one since
     * @param mayStillSend asked on any thread once the connection has come about, right before the first byte
     * @param outcome told once
     */
    void orderStage(
            ReplicaLoad replica,
            Stage stage,
            FencingTokens.Fence fence,
            BooleanSupplier mayStillSend,
            Consumer<OrderOutcome> outcome);
}
