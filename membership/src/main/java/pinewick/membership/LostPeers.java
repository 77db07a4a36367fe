package pinewick.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pinewick.membership.MembershipMessages.PeerEntry;
import pinewick.model.SocketAddress;

/**
 * Peers that stopped answering or left. Their entries are not learnt again from others unless they are younger than the
 * loss; those that stopped answering are tried again for some time, so that a healed cut is noticed.
 */
final class LostPeers {
    private static final int MAX_REMEMBERED = 512;
    private static final double RETRY_FOR_MS = 600_000;

    /**
     * @param node the peer as it was known last
     * @param heartbeat an entry is news only above this
     * @param left whether it said that it ends
     * @param atMs when it was lost
     */
    private record Loss(NodeDescriptor node, long heartbeat, boolean left, double atMs) {}

    private final Map<SocketAddress, Loss> losses = new LinkedHashMap<>(16, 0.75f, false) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<SocketAddress, Loss> eldest) {
            return size() > MAX_REMEMBERED;
        }
    };

    /** A peer did not answer what was sent when its heartbeat was {@code heartbeat}. */
    void silent(NodeDescriptor node, long heartbeat, double nowMs) {
        add(new Loss(node, heartbeat, false, nowMs));
    }

    /** A peer said that it ends; returns whether that was new. */
    boolean left(NodeDescriptor node, double nowMs) {
        Loss known = losses.get(node.address());
        if (known != null && known.left && known.node.incarnation() >= node.incarnation()) {
            return false;
        }
        add(new Loss(node, Long.MAX_VALUE, true, nowMs));
        return true;
    }

    private void add(Loss loss) {
        losses.remove(loss.node.address());
        losses.put(loss.node.address(), loss);
    }

    /** Whether an entry tells of a time after the loss of its peer, or the peer was never lost. */
    boolean admits(PeerEntry entry) {
        Loss loss = losses.get(entry.node().address());
        return loss == null
                || entry.node().incarnation() > loss.node.incarnation()
                || entry.node().incarnation() == loss.node.incarnation() && entry.heartbeat() > loss.heartbeat;
    }

    /** The peer itself was heard; returns false if it said before that this life of it has ended. */
    boolean heard(NodeDescriptor node) {
        Loss loss = losses.get(node.address());
        if (loss == null) {
            return true;
        }
        boolean older = node.incarnation() < loss.node.incarnation();
        if (older || loss.left && node.incarnation() == loss.node.incarnation()) {
            return false;
        }
        losses.remove(node.address());
        return true;
    }

    /** The entry that an address would have to exceed to be admitted again, or null. */
    PeerEntry entryOf(SocketAddress address) {
        Loss loss = losses.get(address);
        return loss == null ? null : new PeerEntry(loss.node, loss.heartbeat);
    }

    /** Addresses worth trying again. */
    List<SocketAddress> worthRetrying(NodeRole role, double nowMs) {
        List<SocketAddress> addresses = new ArrayList<>();
        for (Loss loss : losses.values()) {
            if (!loss.left && loss.node.role() == role && nowMs - loss.atMs < RETRY_FOR_MS) {
                addresses.add(loss.node.address());
            }
        }
        return addresses;
    }
}
