package pinewick.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import pinewick.membership.MembershipMessages.PeerEntry;
import pinewick.model.SocketAddress;

/** A bounded set of peers of one role. When it is full, entries that were handed to others give way first. */
final class PartialView {
    private final int capacity;
    private final Map<SocketAddress, KnownPeer> peers = new LinkedHashMap<>();

    PartialView(int capacity) {
        this.capacity = capacity;
    }

    int size() {
        return peers.size();
    }

    boolean full() {
        return peers.size() >= capacity;
    }

    KnownPeer get(SocketAddress address) {
        return peers.get(address);
    }

    Collection<KnownPeer> all() {
        return peers.values();
    }

    KnownPeer remove(SocketAddress address) {
        return peers.remove(address);
    }

    /**
     * Takes an entry: adds it, or lets it replace an older one of its address.
     *
     * @param expendable addresses that may give way if the view is full
     */
    void offer(PeerEntry entry, Set<SocketAddress> expendable, double nowMs) {
        KnownPeer known = peers.get(entry.node().address());
        if (known != null) {
            known.update(entry, nowMs);
            return;
        }
        if (full()) {
            peers.remove(leastWanted(expendable));
        }
        peers.put(entry.node().address(), new KnownPeer(entry, nowMs));
    }

    private SocketAddress leastWanted(Set<SocketAddress> expendable) {
        for (SocketAddress address : expendable) {
            if (peers.containsKey(address)) {
                return address;
            }
        }
        return oldest().node().address();
    }

    /** The peer whose entry was made longest ago, or null. */
    KnownPeer oldest() {
        return peers.values().stream()
                .min(Comparator.comparingDouble(KnownPeer::madeAtMs))
                .orElse(null);
    }

    /** Up to {@code count} entries drawn at random, without that of one address. */
    List<PeerEntry> sample(int count, SocketAddress without, RandomGenerator random) {
        List<PeerEntry> entries = new ArrayList<>(peers.size());
        for (KnownPeer peer : peers.values()) {
            if (!peer.node().address().equals(without)) {
                entries.add(peer.entry());
            }
        }
        return RandomChoice.draw(entries, count, random);
    }
}
