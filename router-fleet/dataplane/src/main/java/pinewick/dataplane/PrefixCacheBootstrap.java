package pinewick.dataplane;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import pinewick.membership.NodeDescriptor;
import pinewick.model.SocketAddress;

/**
 * Decides which router a router that has just started asks for its estimates of the prefix caches: one drawn at random
 * from those that have run longer. Many may start at the same time: they have nothing to tell each other, and would all
 * ask the same one if it were the one that has run longest. Without any that has run longer there is nothing to learn.
 * No I/O; used by one thread.
 */
final class PrefixCacheBootstrap {
    /** Another router is asked if none has answered after this time, milliseconds. */
    static final double RETRY_INTERVAL_MS = 1_000;

    /** Routers that are asked one after the other. */
    static final int MAX_REQUESTS = 3;

    /** A router that has started this much earlier, by its own clock, has learnt something, milliseconds. */
    static final long MIN_EARLIER_START_MS = 2_000;

    private final long ownIncarnation;
    private final RandomGenerator random;
    private final Set<SocketAddress> asked = new HashSet<>();
    private double nextRequestAtMs = Double.NEGATIVE_INFINITY;
    private boolean done;

    /** @param ownIncarnation the time at which this router has started, milliseconds */
    PrefixCacheBootstrap(long ownIncarnation, RandomGenerator random) {
        this.ownIncarnation = ownIncarnation;
        this.random = random;
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
        List<SocketAddress> earlier = new ArrayList<>();
        for (NodeDescriptor other : others) {
            if (other.incarnation() <= ownIncarnation - MIN_EARLIER_START_MS && !asked.contains(other.address())) {
                earlier.add(other.address());
            }
        }
        if (earlier.isEmpty()) {
            return Optional.empty();
        }
        SocketAddress chosen = earlier.get(random.nextInt(earlier.size()));
        asked.add(chosen);
        nextRequestAtMs = nowMs + RETRY_INTERVAL_MS;
        return Optional.of(chosen);
    }

    /** An answer has arrived; an empty one does not count. */
    void onSnapshot(PrefixCacheSnapshot snapshot) {
        done |= !snapshot.hints().isEmpty();
    }
}
