package pinewick.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import pinewick.membership.MembershipMessages.PeerEntry;
import pinewick.model.SocketAddress;

/**
 * Peers that stopped answering or left. Their entries are not accepted from other peers unless they are newer than
 * that; those that stopped answering are retried for some time, so that a healed partition is noticed.
 */
final class UnreachablePeers {
    private static final int MAX_ENTRIES = 512;
    private static final double RETRY_DURATION_MS = 600_000;

    /**
     * @param node the peer as it was last known
     * @param heartbeat only an entry with a higher heartbeat is newer
     * @param hasLeft whether it announced that it leaves
     * @param sinceMs since when it is unreachable
     */
    private record UnreachablePeer(NodeDescriptor node, long heartbeat, boolean hasLeft, double sinceMs) {}

    private final Map<SocketAddress, UnreachablePeer> unreachable = new LinkedHashMap<>(16, 0.75f, false) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<SocketAddress, UnreachablePeer> eldest) {
            return size() > MAX_ENTRIES;
        }
    };

    /** A peer did not answer a request that was sent when its heartbeat was {@code heartbeat}. */
    void markUnreachable(NodeDescriptor node, long heartbeat, double nowMs) {
        add(new UnreachablePeer(node, heartbeat, false, nowMs));
    }

    /** A peer announced that it leaves; returns whether that was new. */
    boolean markLeft(NodeDescriptor node, double nowMs) {
        UnreachablePeer known = unreachable.get(node.address());
        if (known != null && known.hasLeft && known.node.incarnation() >= node.incarnation()) {
            return false;
        }
        add(new UnreachablePeer(node, Long.MAX_VALUE, true, nowMs));
        return true;
    }

    private void add(UnreachablePeer peer) {
        unreachable.remove(peer.node.address());
        unreachable.put(peer.node.address(), peer);
    }

    /** Whether an entry is newer than the time when its peer became unreachable, or the peer never was. */
    boolean admits(PeerEntry entry) {
        UnreachablePeer peer = unreachable.get(entry.node().address());
        return peer == null
                || entry.node().incarnation() > peer.node.incarnation()
                || (entry.node().incarnation() == peer.node.incarnation() && entry.heartbeat() > peer.heartbeat);
    }

    /** There was contact with the peer itself; returns false if it announced before that this incarnation leaves. */
    boolean onContact(NodeDescriptor node) {
        UnreachablePeer peer = unreachable.get(node.address());
        if (peer == null) {
            return true;
        }
        boolean isEarlierIncarnation = node.incarnation() < peer.node.incarnation();
        if (isEarlierIncarnation || (peer.hasLeft && node.incarnation() == peer.node.incarnation())) {
            return false;
        }
        unreachable.remove(node.address());
        return true;
    }

    /** The entry that an entry of this address has to exceed to be accepted again. */
    Optional<PeerEntry> lastEntryOf(SocketAddress address) {
        return Optional.ofNullable(unreachable.get(address)).map(peer -> new PeerEntry(peer.node, peer.heartbeat));
    }

    /** Addresses to be retried. */
    List<SocketAddress> retryCandidates(NodeRole role, double nowMs) {
        List<SocketAddress> addresses = new ArrayList<>();
        for (UnreachablePeer peer : unreachable.values()) {
            if (!peer.hasLeft && peer.node.role() == role && nowMs - peer.sinceMs < RETRY_DURATION_MS) {
                addresses.add(peer.node.address());
            }
        }
        return addresses;
    }
}
