package pinewick.replication;

import java.util.List;
import pinewick.model.Message;
import pinewick.model.SocketAddress;
import pinewick.model.WireName;

/**
 * Messages among the controllers. Each may be duplicated, delayed or lost. A request carries a {@link RequestId}, and
 * its reply repeats it. The round in which a message is sent:
 *
 * <ul>
 *   <li>no primary is known: {@link Status}, both ways;
 *   <li>a new epoch is proposed: {@link Prepare} and {@link Promise}, {@link Accept} and {@link Accepted}, or
 *       {@link Rejection}; {@link RecordChosen} once a quorum has accepted the record;
 *   <li>the primary confirms its epoch: {@link Heartbeat} and {@link HeartbeatReply};
 *   <li>the primary replicates: {@link RelabelState}, {@link InstallSnapshot} or {@link Replicate}, each answered by
 *       {@link ReplicationReply};
 *   <li>the primary steps down: {@link Resign};
 *   <li>a process shuts down: {@link ShutdownPermitted}, once the others no longer need its store.
 * </ul>
 *
 * A component whose name has changed keeps its place on the wire by {@link WireName}.
 */
public final class ReplicationMessages {
    private ReplicationMessages() {}

    /** Sent in place of an address that is not known. */
    public static final SocketAddress NO_ADDRESS = new SocketAddress("0.0.0.0", 0);

    /**
     * Where the primary was last observed.
     *
     * @param number its epoch
     * @param operatorApi where it serves the operator, or {@link #NO_ADDRESS} if no primary was observed recently
     * @param ageMs how long ago the sender observed it, milliseconds
     */
    public record PrimaryHint(EpochNumber number, SocketAddress operatorApi, double ageMs) {
        /** No primary was observed recently. */
        public static final PrimaryHint NONE = new PrimaryHint(EpochNumber.NONE, NO_ADDRESS, 0);
    }

    /**
     * What a process knows, sent as a request by one without contact to a primary, and as the reply to it.
     *
     * @param request the request, repeated in the reply
     * @param self store of the sender
     * @param promised the highest epoch number that the sender promised
     * @param accepted the newest epoch record that the sender accepted
     * @param stateVersion the state that the sender has on disk
     * @param leading whether the sender is a primary that a quorum confirmed recently
     * @param hasPrimaryContact whether the sender is that primary or had contact with it recently
     * @param primary where operators may be redirected to
     * @param replyRequested whether the receiver is to reply with its own status
     */
    public record Status(
            RequestId request,
            Member self,
            EpochNumber promised,
            EpochRecord accepted,
            @WireName("tag") StateVersion stateVersion,
            boolean leading,
            @WireName("hearsPrimary") boolean hasPrimaryContact,
            PrimaryHint primary,
            @WireName("answerWanted") boolean replyRequested)
            implements Message {}

    /**
     * Asks a witness to promise an epoch number (phase 1a of Paxos).
     *
     * @param request the request
     * @param number the number
     * @param requestedByPrimary whether the primary itself asked for the new epoch, so that contact with it is no
     *     reason to reject
     */
    public record Prepare(RequestId request, EpochNumber number, @WireName("handedOver") boolean requestedByPrimary)
            implements Message {}

    /**
     * A witness has promised a number, on disk (phase 1b of Paxos).
     *
     * @param request from the request
     * @param number the number
     * @param self store of the sender
     * @param accepted the newest epoch record that the sender accepted
     * @param stateVersion the state that the sender has on disk
     * @param shuttingDown whether the sender's process is shutting down
     */
    public record Promise(
            RequestId request,
            EpochNumber number,
            Member self,
            EpochRecord accepted,
            @WireName("tag") StateVersion stateVersion,
            @WireName("leaving") boolean shuttingDown)
            implements Message {}

    /** Asks a witness to accept a record (phase 2a of Paxos). */
    public record Accept(RequestId request, EpochRecord record) implements Message {}

    /** A witness has accepted a record, on disk (phase 2b of Paxos). */
    public record Accepted(RequestId request, EpochNumber number, String identity) implements Message {}

    /**
     * A witness neither promises nor accepts under a number.
     *
     * @param request from the request
     * @param number the number
     * @param identity store of the sender
     * @param promised the number that the sender has promised already
     */
    public record Rejection(RequestId request, EpochNumber number, String identity, EpochNumber promised)
            implements Message {}

    /** A record is chosen: a quorum has accepted it. */
    public record RecordChosen(EpochRecord record) implements Message {}

    /**
     * A primary announces itself, and asks whether its epoch is still the newest one promised.
     *
     * @param request the request; its sequence number identifies the heartbeat
     * @param number number of its epoch
     * @param committed the newest committed state, {@link StateVersion#NONE} before the epoch is established
     * @param operatorApi where the sender serves the operator
     */
    public record Heartbeat(RequestId request, EpochNumber number, StateVersion committed, SocketAddress operatorApi)
            implements Message {}

    /**
     * Answers a heartbeat.
     *
     * @param request from the heartbeat
     * @param number from the heartbeat
     * @param self store of the sender
     * @param promised the highest epoch number that the sender promised
     * @param accepted number of the newest epoch record that the sender accepted
     * @param knowsRecordChosen whether the sender knows that record to be chosen
     * @param stateVersion the state that the sender has on disk
     * @param shuttingDown whether the sender's process is shutting down
     * @param diskHealthy whether the sender's disk completed its last write in time
     */
    public record HeartbeatReply(
            RequestId request,
            EpochNumber number,
            Member self,
            EpochNumber promised,
            EpochNumber accepted,
            @WireName("settled") boolean knowsRecordChosen,
            @WireName("tag") StateVersion stateVersion,
            @WireName("leaving") boolean shuttingDown,
            @WireName("diskReady") boolean diskHealthy)
            implements Message {}

    /**
     * The receiver's state is unchanged in the new epoch; only its version is to change.
     *
     * @param request the request
     * @param number epoch of the sender, its primary
     * @param fromVersion the version that the receiver must have on disk
     * @param toVersion the version of the same state in the new epoch
     */
    public record RelabelState(
            RequestId request,
            EpochNumber number,
            @WireName("base") StateVersion fromVersion,
            @WireName("tag") StateVersion toVersion)
            implements Message {}

    /**
     * A complete state, for a receiver that lacks more than the recent changes.
     *
     * @param request the request
     * @param number epoch of the sender, its primary
     * @param stateVersion version of the state
     * @param document the configuration as a delta from the empty one
     * @param acceptedChanges keys of the recently accepted changes
     */
    public record InstallSnapshot(
            RequestId request,
            EpochNumber number,
            @WireName("tag") StateVersion stateVersion,
            byte[] document,
            @WireName("changes") byte[] acceptedChanges)
            implements Message {}

    /**
     * One change; applies to the state before {@code stateVersion}.
     *
     * @param request the request
     * @param number epoch of the sender, its primary
     * @param stateVersion version of the state after the change
     * @param delta the difference
     * @param key identifies the change when an operator sends it again
     */
    public record Replicate(
            RequestId request,
            EpochNumber number,
            @WireName("tag") StateVersion stateVersion,
            byte[] delta,
            ChangeKey key)
            implements Message {}

    /** What became of a replicated state. */
    public enum ReplicationResult {
        /** It, or a later one of the same epoch, is on disk. */
        STORED,
        /** It does not apply to the receiver's state, or the epoch has been superseded. */
        MISMATCH,
        /** The disk failed. */
        DISK_FAILED
    }

    /**
     * Answers {@link RelabelState}, {@link InstallSnapshot} and {@link Replicate}.
     *
     * @param request from the request
     * @param number epoch under which the state was sent
     * @param identity store of the sender
     * @param result what became of the state
     * @param promised the highest epoch number that the sender promised
     * @param stateVersion the state that the sender has on disk now
     */
    public record ReplicationReply(
            RequestId request,
            EpochNumber number,
            String identity,
            ReplicationResult result,
            EpochNumber promised,
            @WireName("held") StateVersion stateVersion)
            implements Message {}

    /**
     * A primary steps down.
     *
     * @param number its epoch
     * @param successor identity of the store that is to stand for election at once, or empty
     * @param shuttingDown whether it resigns because its process is shutting down; else its disk failed or it lost its
     *     quorum
     */
    public record Resign(EpochNumber number, String successor, @WireName("leaving") boolean shuttingDown)
            implements Message {}

    /**
     * The primary's answer to a store whose process is shutting down: the others do not need it in this epoch.
     *
     * @param number the epoch
     */
    public record ShutdownPermitted(EpochNumber number) implements Message {}

    /** Every class that the codec must know. The position is the type's id on the wire: append only. */
    public static List<Class<?>> types() {
        return List.of(
                byte[].class,
                List.of().getClass(),
                List.of("").getClass(),
                SocketAddress.class,
                EpochNumber.class,
                Member.class,
                EpochRecord.class,
                StateVersion.class,
                ChangeKey.class,
                ReplicationResult.class,
                Status.class,
                Prepare.class,
                Promise.class,
                Accept.class,
                Accepted.class,
                Rejection.class,
                RecordChosen.class,
                Heartbeat.class,
                HeartbeatReply.class,
                RelabelState.class,
                InstallSnapshot.class,
                Replicate.class,
                ReplicationReply.class,
                Resign.class,
                PrimaryHint.class,
                RequestId.class,
                ShutdownPermitted.class);
    }
}
