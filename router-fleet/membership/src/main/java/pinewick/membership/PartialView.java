package pinewick.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import pinewick.membership.MembershipMessages.PeerEntry;
import pinewick.model.SocketAddress;

/**
 * A bounded set of peers of one role. When it is full, the entries that this process has sent in the current exchange
 * are evicted first.
 */
final class PartialView {
    private final int capacity;
    private final Map<SocketAddress, KnownPeer> peers = new LinkedHashMap<>();

    PartialView(int capacity) {
        this.capacity = capacity;
    }

    int size() {
        return peers.size();
    }

    boolean isFull() {
        return peers.size() >= capacity;
    }

    boolean contains(SocketAddress address) {
        return peers.containsKey(address);
    }

    Optional<KnownPeer> find(SocketAddress address) {
        return Optional.ofNullable(peers.get(address));
    }

    Collection<KnownPeer> all() {
        return peers.values();
    }

    /** Removes a peer; returns whether it was there. */
    boolean remove(SocketAddress address) {
        return peers.remove(address) != null;
    }

    /**
     * Adds an entry, or replaces an older one of its address.
     *
     * @param evictable addresses that are evicted first if the view is full; if it contains none of them, the peer with
     *     the oldest entry is evicted
     */
    void offer(PeerEntry entry, Set<SocketAddress> evictable, double nowMs) {
        KnownPeer known = peers.get(entry.node().address());
        if (known != null) {
            known.update(entry, nowMs);
            return;
        }
        if (isFull()) {
            peers.remove(evictionCandidate(evictable));
        }
        peers.put(entry.node().address(), new KnownPeer(entry, nowMs));
    }

    private SocketAddress evictionCandidate(Set<SocketAddress> evictable) {
        for (SocketAddress address : evictable) {
            if (peers.containsKey(address)) {
                return address;
            }
        }
        return oldest().orElseThrow().node().address();
    }

    /** The peer with the oldest entry; empty if the view is. */
    Optional<KnownPeer> oldest() {
        return peers.values().stream().min(Comparator.comparingDouble(KnownPeer::entryTimeMs));
    }

    /** Up to {@code count} entries drawn at random, without that of {@code excluded}. */
    List<PeerEntry> sample(int count, SocketAddress excluded, RandomGenerator random) {
        List<PeerEntry> entries = new ArrayList<>(peers.size());
        for (KnownPeer peer : peers.values()) {
            if (!peer.node().address().equals(excluded)) {
                entries.add(peer.entry());
            }
        }
        return RandomChoice.draw(entries, count, random);
    }
}
