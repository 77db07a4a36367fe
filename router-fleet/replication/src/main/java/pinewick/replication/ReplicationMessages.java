package pinewick.replication;

import java.util.List;
import pinewick.model.Message;
import pinewick.model.SocketAddress;
import pinewick.model.WireName;

/**
 * Messages between controllers. Any of them may be lost, delayed, duplicated or reordered. A request carries a {@link
 * RequestId}, which its reply repeats. The messages of each step:
 *
 * <ul>
 *   <li>a controller has no contact with a primary: {@link Status}, as request and as reply;
 *   <li>a new epoch is proposed: {@link Prepare} and {@link Promise}, then {@link Accept} and {@link Accepted}, or
 *       {@link Rejection} in either phase; {@link RecordChosen} once a quorum has accepted the record;
 *   <li>the primary confirms its epoch: {@link Heartbeat} and {@link HeartbeatReply};
 *   <li>the primary replicates: {@link RelabelState}, {@link InstallSnapshot} or {@link Replicate}, each answered by
 *       {@link ReplicationReply};
 *   <li>the primary steps down: {@link Resign};
 *   <li>a follower shuts down: {@link ShutdownPermitted}, once the other stores no longer need its store.
 * </ul>
 *
 * The transport encodes the components of a record in the order of their names. A renamed component keeps its place on
 * the wire by {@link WireName} with the earlier name.
 */
public final class ReplicationMessages {
    private ReplicationMessages() {}

    /** Placeholder on the wire for an unknown address. */
    public static final SocketAddress NO_ADDRESS = new SocketAddress("0.0.0.0", 0);

    /**
     * Where and when the primary was last observed, for redirecting operators.
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
     * What a process knows of the epoch. A process without contact to a primary sends its own status as a request, and
     * gets the receiver's status as the reply.
     *
     * @param request the request, repeated in the reply
     * @param self the sender's store
     * @param promised the highest epoch number that the sender promised
     * @param accepted the newest epoch record that the sender accepted
     * @param stateVersion version of the state that the sender has on disk
     * @param leading whether the sender is a primary that a quorum confirmed recently
     * @param hasPrimaryContact whether the sender is such a primary, or recently had contact with a primary
     * @param primary where operators may be redirected to, {@link PrimaryHint#NONE} if that is unknown
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
     * Asks a witness to promise an epoch number, and so to reject every other number whose counter is not higher (phase
     * 1a of Paxos).
     *
     * @param request the request
     * @param number the number to promise
     * @param requestedByPrimary whether the primary itself asked for the new epoch; a witness then does not reject it
     *     for being in contact with that primary
     */
    public record Prepare(RequestId request, EpochNumber number, @WireName("handedOver") boolean requestedByPrimary)
            implements Message {}

    /**
     * A witness has promised a number, and has the promise on disk (phase 1b of Paxos).
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

    /** A witness has accepted a record, and has it on disk (phase 2b of Paxos). */
    public record Accepted(RequestId request, EpochNumber number, String identity) implements Message {}

    /**
     * A witness refuses to promise a number, or to accept the record with that number.
     *
     * @param request from the request
     * @param number the number
     * @param identity store of the sender
     * @param promised the number that the sender has promised already
     */
    public record Rejection(RequestId request, EpochNumber number, String identity, EpochNumber promised)
            implements Message {}

    /**
     * Announces that a record is chosen: a quorum has accepted it, so no other record can be chosen under its counter.
     */
    public record RecordChosen(EpochRecord record) implements Message {}

    /**
     * Announces the primary, and asks whether its epoch is still the highest that the receiver promised. Replies by a
     * quorum renew the lease of the primary ({@link EpochLease}).
     *
     * @param request the request; its sequence number identifies the heartbeat
     * @param number number of its epoch
     * @param committed the newest committed state, {@link StateVersion#NONE} before the epoch is established
     * @param operatorApi where the sender serves the operator
     */
    public record Heartbeat(RequestId request, EpochNumber number, StateVersion committed, SocketAddress operatorApi)
            implements Message {}

    /**
     * Answers a {@link Heartbeat}. It confirms the epoch only if {@code promised} equals {@code number}.
     *
     * @param request from the heartbeat
     * @param number from the heartbeat
     * @param self store of the sender
     * @param promised the highest epoch number that the sender promised
     * @param accepted number of the newest epoch record that the sender accepted
     * @param knowsRecordChosen whether the sender knows that record to be chosen
     * @param stateVersion the state that the sender has on disk
     * @param shuttingDown whether the sender's process is shutting down
     * @param diskHealthy whether the sender's last write to disk succeeded and the one in progress is not stalled
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
     * Asks a follower that has the state from which the epoch starts to store it under its version in the new epoch;
     * the configuration itself is not sent.
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
     * A complete state, for a follower that cannot be brought up to date by the recent changes alone.
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
     * One change. The receiver applies it only to the state whose version immediately precedes {@code stateVersion}.
     *
     * @param request the request
     * @param number epoch of the sender, its primary
     * @param stateVersion version of the state after the change
     * @param delta the difference between the two states, encoded
     * @param key recognises the change if an operator submits it again
     */
    public record Replicate(
            RequestId request,
            EpochNumber number,
            @WireName("tag") StateVersion stateVersion,
            byte[] delta,
            ChangeKey key)
            implements Message {}

    /** Outcome of a replication request. */
    public enum ReplicationResult {
        /** The state, or a later one of the same epoch, is on disk. */
        STORED,
        /** The message does not apply to the receiver's state, or the receiver has promised a higher epoch. */
        MISMATCH,
        /** Writing to disk failed. */
        DISK_FAILED
    }

    /**
     * Answers {@link RelabelState}, {@link InstallSnapshot} and {@link Replicate}.
     *
     * @param request from the request
     * @param number number of the epoch in which the state was sent
     * @param identity store of the sender
     * @param result how the request ended
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
     * A primary announces that it steps down.
     *
     * @param number its epoch
     * @param successor identity of the store whose process is to start an election at once, or empty
     * @param shuttingDown whether it resigns because its process is shutting down; else its disk failed or it lost its
     *     quorum
     */
    public record Resign(EpochNumber number, String successor, @WireName("leaving") boolean shuttingDown)
            implements Message {}

    /**
     * Sent by the primary to a store whose process is shutting down: in this epoch the other stores no longer need it.
     * Lost permits are sent again ({@link ShutdownPermits}).
     *
     * @param number the epoch
     */
    public record ShutdownPermitted(EpochNumber number) implements Message {}

    /**
     * Every class that the codec has to know. The position in the list is the type's id on the wire, so types may only
     * be appended.
     */
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
