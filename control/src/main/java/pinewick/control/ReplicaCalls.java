package pinewick.control;

import java.util.Optional;
import java.util.function.Consumer;
import pinewick.model.ReplicaRecord;
import pinewick.model.Stage;

/** Calls that the holder of the planning lease makes to replicas. Nothing blocks; answers come on the control loop. */
interface ReplicaCalls {
    /** Asks a replica for its load; empty if it did not say in time. */
    void report(ReplicaRecord replica, Consumer<Optional<ReplicaLoad>> answer);

    /**
     * Orders a replica to serve another stage.
     *
     * @param replica as it reported; the order is void if it has taken another one since
     * @param status told the HTTP status, or 0 if there was no answer: the order may have been taken or not
     */
    void orderStage(ReplicaLoad replica, Stage stage, FencingTokens.Fence fence, Consumer<Integer> status);
}
