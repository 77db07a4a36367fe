package pinewick.replication;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pinewick.model.Message;
import pinewick.model.Outbox;
import pinewick.model.SocketAddress;

/**
 * The known addresses of the other controllers, and sending to them. Collections keep insertion order, so that
 * simulated runs are reproducible. Control loop only.
 */
final class Peers {
    /** Beyond this many the least recently used address is evicted. */
    private static final int MAX_ADDRESSES = 64;

    private final SocketAddress self;
    private final Set<SocketAddress> seeds;
    private final Outbox outbox;
    private final Map<String, SocketAddress> addressByIdentity = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, SocketAddress> eldest) {
            return size() > MAX_ADDRESSES;
        }
    };
    private Set<SocketAddress> knownControllers = Set.of();

    Peers(SocketAddress self, Collection<SocketAddress> seeds, Outbox outbox) {
        this.self = self;
        this.seeds = new LinkedHashSet<>(seeds);
        this.outbox = outbox;
    }

    /** Replaces the addresses of the controllers that are known from gossip. */
    void setKnownControllers(Collection<SocketAddress> addresses) {
        knownControllers = new LinkedHashSet<>(addresses);
    }

    /** The addresses of the other controllers that are known from gossip; a copy. */
    Set<SocketAddress> knownControllers() {
        Set<SocketAddress> others = new LinkedHashSet<>(knownControllers);
        others.remove(self);
        return others;
    }

    /** Records the address from which a message of a store came. */
    void recordAddress(String identity, SocketAddress address) {
        if (!identity.isEmpty()) {
            addressByIdentity.put(identity, address);
        }
    }

    /** Records a member that another process named, unless an address is known for it; returns whether it was new. */
    boolean recordMember(Member member) {
        boolean isNew = !member.address().equals(self) && !addressByIdentity.containsKey(member.identity());
        if (isNew) {
            addressByIdentity.put(member.identity(), member.address());
        }
        return isNew;
    }

    /** The address from which the member's store sent last, or the one in the epoch record if none is known. */
    SocketAddress addressOf(Member member) {
        return addressByIdentity.getOrDefault(member.identity(), member.address());
    }

    /**
     * Every address at which a controller may be: members and previous members of the records, seeds, gossip, and
     * senders of earlier messages; without this process's own.
     */
    Set<SocketAddress> allAddresses(EpochRecord... records) {
        Set<SocketAddress> addresses = new LinkedHashSet<>();
        for (EpochRecord record : records) {
            record.members().forEach(member -> addresses.add(addressOf(member)));
            record.previousMembers().forEach(member -> addresses.add(addressOf(member)));
        }
        addresses.addAll(seeds);
        addresses.addAll(knownControllers);
        addresses.addAll(addressByIdentity.values());
        addresses.remove(self);
        return addresses;
    }

    void send(SocketAddress peer, Message message) {
        if (!peer.equals(self)) {
            outbox.send(peer, message);
        }
    }

    void send(Collection<SocketAddress> peers, Message message) {
        List.copyOf(peers).forEach(peer -> send(peer, message));
    }
}
