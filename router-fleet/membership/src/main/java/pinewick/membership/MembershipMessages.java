package pinewick.membership;

import java.util.List;
import pinewick.model.Message;

/** The messages of peer sampling. */
public final class MembershipMessages {
    private MembershipMessages() {}

    /** Every type that these messages are made of. The position is the type's id on the wire: append only. */
    public static List<Class<?>> types() {
        return List.of(
                NodeRole.class,
                NodeDescriptor.class,
                PeerEntry.class,
                SizeSketch.class,
                ShuffleRequest.class,
                ShuffleReply.class,
                LeaveAnnouncement.class);
    }

    /**
     * The entry of a process in a view.
     *
     * @param node the process
     * @param heartbeat milliseconds since the start of the process by its steady clock, increased only by the process
     *     itself: of two entries with the same incarnation, the one with the higher heartbeat is newer
     */
    public record PeerEntry(NodeDescriptor node, long heartbeat) {
        /** Whether this is newer than {@code other}, an entry of the same address. */
        boolean isNewerThan(PeerEntry other) {
            long incarnation = node.incarnation();
            long otherIncarnation = other.node.incarnation();
            return incarnation != otherIncarnation ? incarnation > otherIncarnation : heartbeat > other.heartbeat;
        }
    }

    /**
     * A linear counting sketch of the routers: each sets the bit that its address hashes to in this epoch, and the bits
     * of all are merged.
     *
     * @param epoch number of the count; a receiver in a lower epoch restarts its count
     * @param bits the merged bits
     * @param countBefore estimated number of routers at the end of the previous epoch
     */
    public record SizeSketch(int epoch, byte[] bits, int countBefore) {}

    /**
     * Offers a sample of the sender's view and requests one of the receiver's.
     *
     * @param requestId repeated in the reply
     * @param self entry of the sender
     * @param sample entries of some of the peers that the sender knows
     * @param sketch the sender's count of routers, null while its view contains all of them
     */
    public record ShuffleRequest(long requestId, PeerEntry self, List<PeerEntry> sample, SizeSketch sketch)
            implements Message {}

    /** Answers a {@link ShuffleRequest}; the fields mean the same. */
    public record ShuffleReply(long requestId, PeerEntry self, List<PeerEntry> sample, SizeSketch sketch)
            implements Message {}

    /**
     * Announces that a process is shutting down; forwarded by its receivers.
     *
     * @param node the process
     */
    public record LeaveAnnouncement(NodeDescriptor node) implements Message {}
}
