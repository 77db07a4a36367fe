package pinewick.membership;

import java.util.List;
import pinewick.model.Message;

/** The messages of peer sampling. */
public final class MembershipMessages {
    private MembershipMessages() {}

    /** Every type that these messages are made of, in the order of their ids. */
    public static List<Class<?>> types() {
        return List.of(
                NodeRole.class,
                NodeDescriptor.class,
                PeerEntry.class,
                SizeSketch.class,
                ShuffleRequest.class,
                ShuffleReply.class,
                Leaving.class);
    }

    /**
     * What one process says of another, or of itself.
     *
     * @param node the process
     * @param heartbeat milliseconds of its own steady clock since its start, raised by nobody else: of two entries with
     *     one incarnation, the one with the higher heartbeat is younger
     */
    public record PeerEntry(NodeDescriptor node, long heartbeat) {
        /** Whether this is younger than {@code other}, an entry of the same address. */
        boolean newerThan(PeerEntry other) {
            long incarnation = node.incarnation();
            long otherIncarnation = other.node.incarnation();
            return incarnation != otherIncarnation ? incarnation > otherIncarnation : heartbeat > other.heartbeat;
        }
    }

    /**
     * Bits that count routers: each sets the bit that its address hashes to in this epoch, and bits are joined.
     *
     * @param epoch number of the count; a higher one restarts it
     * @param bits the joined bits
     * @param countBefore what the epoch before came to
     */
    public record SizeSketch(int epoch, byte[] bits, int countBefore) {}

    /**
     * Offers a part of the sender's view and asks for one of the receiver's.
     *
     * @param requestId repeated in the reply
     * @param self the sender
     * @param sample some of the peers it knows
     * @param sketch its count of routers, null while it knows them all
     */
    public record ShuffleRequest(long requestId, PeerEntry self, List<PeerEntry> sample, SizeSketch sketch)
            implements Message {}

    /** Answers a {@link ShuffleRequest}; the fields mean the same. */
    public record ShuffleReply(long requestId, PeerEntry self, List<PeerEntry> sample, SizeSketch sketch)
            implements Message {}

    /** A process ends on purpose. */
    public record Leaving(NodeDescriptor node) implements Message {}
}
