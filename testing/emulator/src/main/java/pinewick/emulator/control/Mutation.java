package pinewick.emulator.control;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import pinewick.control.ApiResponse;
import pinewick.model.Message;
import pinewick.model.ReplicaRecord;
import pinewick.model.SocketAddress;
import pinewick.replication.LoadedState;
import pinewick.replication.ReplicationSettings;
import pinewick.replication.StableWrite;

/**
 * The points at which a {@link Mutant} alters the behaviour. This one alters nothing; a mutant overrides what it
 * breaks.
 */
class Mutation {
    static final Mutation NONE = new Mutation();

    /** A message is sent: returns the message to transmit instead, null for none. */
    Message onSent(Network network, SocketAddress from, SocketAddress to, Message message) {
        return message;
    }

    /** A message is received: returns the message to handle instead, null for none. */
    Message onReceived(SocketAddress from, SocketAddress to, Message message) {
        return message;
    }

    /** A response that is sent to the operator without the controller handling the request; empty for none. */
    Optional<ApiResponse> overrideResponse(ControllerProcess controller, OperatorCall call) {
        return Optional.empty();
    }

    /** The request that the controller handles in place of the one that the operator sent. */
    OperatorCall onCall(ControllerProcess controller, OperatorCall call) {
        return call;
    }

    /** The response that is sent to the operator in place of that of the controller. */
    ApiResponse onResponse(ControllerProcess controller, OperatorCall call, ApiResponse response) {
        return response;
    }

    /** The settings of a process. */
    ReplicationSettings settings(ReplicationSettings settings) {
        return settings;
    }

    /** Whether a machine whose disk was wiped restarts as a founding member. */
    boolean foundsAfterWipe() {
        return false;
    }

    /** The state that a process reads from its disk. */
    LoadedState onLoaded(SocketAddress process, SimulatedDisk disk, LoadedState loaded) {
        return loaded;
    }

    /** The removals of replicas that a process reads from its disk. */
    List<ReplicaRecord> onRemovalsLoaded(List<ReplicaRecord> removals) {
        return removals;
    }

    /** The write that is applied to a disk in place of the requested one. */
    StableWrite onWrite(SimulatedDisk disk, StableWrite write) {
        return write;
    }

    /** Whether writes are confirmed before they are durable. */
    boolean confirmsBeforeWriting() {
        return false;
    }

    /** Whether a process that shuts down considers itself detached. */
    boolean isDetached(boolean actual) {
        return actual;
    }

    /** The epoch under which a process uses the lease. */
    Optional<Long> leadingEpoch(ControllerProcess controller, Optional<Long> epoch) {
        return epoch;
    }

    /** A controller receives a heartbeat of a replica. */
    void onHeartbeat(ControllerProcess controller, ReplicaRecord record) {}

    /** A router is about to handle a message. */
    void onHandledByRouter(RouterProcess router, Message message) {}

    /** The simulated time as of which a router considers its configuration the newest. */
    double confirmedAtMs(RouterProcess router, double confirmedAtMs) {
        return confirmedAtMs;
    }

    /** A router receives a message. {@code apply} makes it apply a version. */
    void onRouterReceived(RouterProcess router, Message message, Consumer<Long> apply) {}
}
