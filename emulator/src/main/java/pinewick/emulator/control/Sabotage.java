package pinewick.emulator.control;

import java.util.Optional;
import java.util.function.Consumer;
import pinewick.control.ApiResponse;
import pinewick.model.Message;
import pinewick.model.ReplicaRecord;
import pinewick.model.SocketAddress;
import pinewick.replication.LoadedState;
import pinewick.replication.ReplicationSettings;
import pinewick.replication.StableWrite;

/** Where a broken variant interposes. This one changes nothing; a variant overrides what it breaks. */
class Sabotage {
    static final Sabotage NONE = new Sabotage();

    /** A message on its way: what is carried instead, or null if nothing is. */
    Message sent(Network network, SocketAddress from, SocketAddress to, Message message) {
        return message;
    }

    /** A message at its receiver: what is handled instead, or null if nothing is. */
    Message received(SocketAddress from, SocketAddress to, Message message) {
        return message;
    }

    /** A call of the operator before the controller sees it: an answer that is given instead. */
    Optional<ApiResponse> answerInstead(ControllerLife controller, OperatorCall call) {
        return Optional.empty();
    }

    /** A call of the operator as the controller sees it. */
    OperatorCall called(ControllerLife controller, OperatorCall call) {
        return call;
    }

    /** An answer to the operator: what is answered instead. */
    ApiResponse answered(ControllerLife controller, OperatorCall call, ApiResponse answer) {
        return answer;
    }

    /** What a process is told. */
    ReplicationSettings settings(ReplicationSettings settings) {
        return settings;
    }

    /** Whether a machine whose disk was wiped comes back as a founder. */
    boolean foundsAfterWipe() {
        return false;
    }

    /** What a process reads from its disk. */
    LoadedState loaded(SocketAddress process, SimulatedDisk disk, LoadedState loaded) {
        return loaded;
    }

    /** What reaches a disk: what is applied instead. */
    StableWrite written(SimulatedDisk disk, StableWrite write) {
        return write;
    }

    /** Whether writes are confirmed before they are durable. */
    boolean confirmsBeforeWriting() {
        return false;
    }

    /** Whether a leaving process takes itself for detached. */
    boolean detached(boolean really) {
        return really;
    }

    /** The epoch that a process gives orders under. */
    Optional<Long> leadingEpoch(ControllerLife controller, Optional<Long> epoch) {
        return epoch;
    }

    /** A replica's record as a controller is told it. */
    void heartbeatTaken(ControllerLife controller, ReplicaRecord record) {}

    /** A router got a message. {@code shows} makes it serve a configuration. */
    void routerReceived(RouterLife router, Message message, Consumer<Long> shows) {}
}
