package pinewick.dataplane;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import pinewick.membership.NodeDescriptor;
import pinewick.model.SocketAddress;

/**
 * Decides which router a router that has just started asks for its estimates of the prefix caches: the one that has
 * run longest, since many routers may have started at the same time. Without any that has run longer than this one
 * there is nothing to learn. No I/O; used by one thread.
 */
final class PrefixCacheBootstrap {
    /** Another router is asked if none has answered after this time, milliseconds. */
    static final double RETRY_INTERVAL_MS = 1_000;

    /** Routers that are asked one after the other. */
    static final int MAX_REQUESTS = 3;

    /** A router that has started this much earlier, by its own clock, has learnt something, milliseconds. */
    static final long MIN_EARLIER_START_MS = 2_000;

    private final long ownIncarnation;
    private final Set<SocketAddress> asked = new HashSet<>();
    private double nextRequestAtMs = Double.NEGATIVE_INFINITY;
    private boolean done;

    /** @param ownIncarnation the time at which this router has started, milliseconds */
    PrefixCacheBootstrap(long ownIncarnation) {
        this.ownIncarnation = ownIncarnation;
    }

    /**
     * The router that is asked now, if any.
     *
     * @param others the other routers known at this moment
     */
    Optional<SocketAddress> nextRequest(List<NodeDescriptor> others, double nowMs) {
        if (done || nowMs < nextRequestAtMs || asked.size() >= MAX_REQUESTS) {
            return Optional.empty();
        }
        Optional<SocketAddress> oldest = others.stream()
                .filter(other -> other.incarnation() <= ownIncarnation - MIN_EARLIER_START_MS)
                .filter(other -> !asked.contains(other.address()))
                .min(Comparator.comparingLong(NodeDescriptor::incarnation))
                .map(NodeDescriptor::address);
        oldest.ifPresent(address -> {
            asked.add(address);
            nextRequestAtMs = nowMs + RETRY_INTERVAL_MS;
        });
        return oldest;
    }

    /** An answer has arrived; an empty one does not count. */
    void onSnapshot(PrefixCacheSnapshot snapshot) {
        done |= !snapshot.hints().isEmpty();
    }
}
