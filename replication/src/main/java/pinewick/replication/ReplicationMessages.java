package pinewick.replication;

import java.util.List;
import pinewick.model.Message;
import pinewick.model.SocketAddress;

/**
 * Messages among the controllers. Each can come twice, late, or not at all. A question carries a {@link RequestId}; its
 * answer carries the same one.
 */
public final class ReplicationMessages {
    private ReplicationMessages() {}

    /** Stands for an address that is not known. */
    public static final SocketAddress NO_ADDRESS = new SocketAddress("0.0.0.0", 0);

    /**
     * A primary that was heard.
     *
     * @param number its epoch
     * @param operatorApi where it serves the operator, or {@link #NO_ADDRESS} if none was heard lately
     * @param ageMs how long ago the teller heard it
     */
    public record PrimarySighting(EpochNumber number, SocketAddress operatorApi, double ageMs) {
        /** None was heard lately. */
        public static final PrimarySighting NONE = new PrimarySighting(EpochNumber.NONE, NO_ADDRESS, 0);
    }

    /**
     * What a process knows, sent by one that hears no primary, and in answer to it.
     *
     * @param request the question, also in its answer
     * @param self store of the sender
     * @param promised the highest epoch number it promised
     * @param accepted the newest epoch record it accepted
     * @param tag the state it holds
     * @param leading whether it is a primary that a majority confirmed lately
     * @param hearsPrimary whether it heard a primary lately or is one
     * @param primary where callers may be sent to
     * @param answerWanted whether the receiver is to answer with its own status
     */
    public record Status(
            RequestId request,
            Member self,
            EpochNumber promised,
            EpochRecord accepted,
            StateTag tag,
            boolean leading,
            boolean hearsPrimary,
            PrimarySighting primary,
            boolean answerWanted)
            implements Message {}

    /**
     * Asks a witness to promise a number.
     *
     * @param request the question
     * @param number the number
     * @param handedOver whether the primary itself asked for this, so that its being heard is no hindrance
     */
    public record Prepare(RequestId request, EpochNumber number, boolean handedOver) implements Message {}

    /**
     * A witness has promised a number, on disk.
     *
     * @param request from the question
     * @param number the number
     * @param self store of the sender
     * @param accepted the newest epoch record it accepted
     * @param tag the state it holds
     * @param leaving whether its process is about to end
     */
    public record Promise(
            RequestId request, EpochNumber number, Member self, EpochRecord accepted, StateTag tag, boolean leaving)
            implements Message {}

    /** Asks a witness to accept a record. */
    public record Accept(RequestId request, EpochRecord record) implements Message {}

    /** A witness has accepted a record, on disk. */
    public record Accepted(RequestId request, EpochNumber number, String identity) implements Message {}

    /**
     * A witness promises or accepts nothing under a number.
     *
     * @param request from the question
     * @param number the number
     * @param identity store of the sender
     * @param promised what it has promised already
     */
    public record Refusal(RequestId request, EpochNumber number, String identity, EpochNumber promised)
            implements Message {}

    /** A record stands: a quorum has accepted it. */
    public record Established(EpochRecord record) implements Message {}

    /**
     * A primary tells that it leads, and asks whether its epoch is still honoured.
     *
     * @param request the question; its sequence number is the round
     * @param number number of its epoch
     * @param committed the newest state that is committed, {@link StateTag#NONE} before the epoch has begun
     * @param operatorApi where it serves the operator
     */
    public record Heartbeat(RequestId request, EpochNumber number, StateTag committed, SocketAddress operatorApi)
            implements Message {}

    /**
     * Answers a heartbeat.
     *
     * @param request from the heartbeat
     * @param number from the heartbeat
     * @param self store of the sender
     * @param promised the highest epoch number it promised
     * @param accepted number of the newest epoch record it accepted
     * @param settled whether it knows that record to stand
     * @param tag the state it holds
     * @param leaving whether its process is about to end
     * @param diskReady whether its disk did what was asked of it lately
     */
    public record HeartbeatReply(
            RequestId request,
            EpochNumber number,
            Member self,
            EpochNumber promised,
            EpochNumber accepted,
            boolean settled,
            StateTag tag,
            boolean leaving,
            boolean diskReady)
            implements Message {}

    /**
     * The state that the receiver holds under one tag is to go under another.
     *
     * @param request the question
     * @param number epoch of the sender, its primary
     * @param base the tag it goes under
     * @param tag the tag it goes under from now on
     */
    public record Retag(RequestId request, EpochNumber number, StateTag base, StateTag tag) implements Message {}

    /**
     * A whole state.
     *
     * @param request the question
     * @param number epoch of the sender, its primary
     * @param tag names the state
     * @param document the configuration as a delta from the empty one
     * @param changes keys of the changes accepted lately
     */
    public record Install(RequestId request, EpochNumber number, StateTag tag, byte[] document, byte[] changes)
            implements Message {}

    /**
     * One change; applies to the state before {@code tag}.
     *
     * @param request the question
     * @param number epoch of the sender, its primary
     * @param tag names the state after the change
     * @param delta the difference
     * @param key by what the change is known again
     */
    public record Replicate(RequestId request, EpochNumber number, StateTag tag, byte[] delta, ChangeKey key)
            implements Message {}

    /** What became of a state that was sent. */
    public enum StateResult {
        /** It, or a later one of the same epoch, is on disk. */
        HELD,
        /** It does not fit the state that is there, or the epoch is over. */
        MISFIT,
        /** The disk refused it. */
        DISK_FAILED
    }

    /**
     * Answers a state.
     *
     * @param request from the state
     * @param number epoch under which it was sent
     * @param identity store of the sender
     * @param result what became of it
     * @param promised the highest epoch number the sender promised
     * @param held the state that the sender holds now
     */
    public record StateReply(
            RequestId request,
            EpochNumber number,
            String identity,
            StateResult result,
            EpochNumber promised,
            StateTag held)
            implements Message {}

    /**
     * A primary leads no more.
     *
     * @param number its epoch
     * @param successor identity of the one that is to follow at once, or empty
     * @param leaving whether it resigns because its process is about to end; else it is in trouble
     */
    public record Resign(EpochNumber number, String successor, boolean leaving) implements Message {}

    /** Every class that the codec must know, in an order that never changes. */
    public static List<Class<?>> types() {
        return List.of(
                byte[].class,
                List.of().getClass(),
                List.of("").getClass(),
                SocketAddress.class,
                EpochNumber.class,
                Member.class,
                EpochRecord.class,
                StateTag.class,
                ChangeKey.class,
                StateResult.class,
                Status.class,
                Prepare.class,
                Promise.class,
                Accept.class,
                Accepted.class,
                Refusal.class,
                Established.class,
                Heartbeat.class,
                HeartbeatReply.class,
                Retag.class,
                Install.class,
                Replicate.class,
                StateReply.class,
                Resign.class,
                PrimarySighting.class,
                RequestId.class);
    }
}
