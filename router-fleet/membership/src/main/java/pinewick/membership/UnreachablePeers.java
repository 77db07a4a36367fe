package pinewick.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import pinewick.membership.MembershipMessages.PeerEntry;
import pinewick.model.SocketAddress;

/**
 * Peers that stopped answering or left. An entry of such a peer is accepted from other peers only if it is newer than
 * the moment at which the peer became unreachable. Peers that stopped answering are retried for
 * {@link #RETRY_DURATION_MS}, so that a healed partition is noticed.
 */
final class UnreachablePeers {
    private static final int MAX_ENTRIES = 512;
    private static final double RETRY_DURATION_MS = 600_000;

    /**
     * @param node the peer as last known
     * @param heartbeat an entry of the same incarnation is newer only if its heartbeat is higher than this
     * @param hasLeft whether it announced its shutdown
     * @param sinceMs when it became unreachable, milliseconds
     */
    private record UnreachablePeer(NodeDescriptor node, long heartbeat, boolean hasLeft, double sinceMs) {}

    private final Map<SocketAddress, UnreachablePeer> unreachable = new LinkedHashMap<>(16, 0.75f, false) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<SocketAddress, UnreachablePeer> eldest) {
            return size() > MAX_ENTRIES;
        }
    };

    /** Adds a peer that did not answer a request, sent when its heartbeat was {@code heartbeat}. */
    void markUnreachable(NodeDescriptor node, long heartbeat, double nowMs) {
        add(new UnreachablePeer(node, heartbeat, false, nowMs));
    }

    /** Adds a peer that announced its shutdown; returns whether that was not known yet. */
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

    /** Whether an entry is to be accepted: its peer is not unreachable, or became so before the entry was created. */
    boolean admits(PeerEntry entry) {
        UnreachablePeer peer = unreachable.get(entry.node().address());
        return peer == null
                || entry.node().incarnation() > peer.node.incarnation()
                || (entry.node().incarnation() == peer.node.incarnation() && entry.heartbeat() > peer.heartbeat);
    }

    /**
     * Removes a peer that was contacted directly. Returns false, and keeps it, if this incarnation announced its
     * shutdown or a later incarnation is recorded.
     */
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

    /** The entry that an entry of this address has to exceed to be accepted; empty if the peer is not unreachable. */
    Optional<PeerEntry> lastEntryOf(SocketAddress address) {
        return Optional.ofNullable(unreachable.get(address)).map(peer -> new PeerEntry(peer.node, peer.heartbeat));
    }

    /** Addresses of the peers of a role that stopped answering and are still to be retried. */
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
