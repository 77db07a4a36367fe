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
 * from those that started earlier. Many routers may start at the same time; they have no estimates to share, and would
 * all ask the same router if the one with the longest uptime were chosen. If no router started earlier, there is
 * nothing to ask for. Performs no I/O; used by one thread.
 */
final class PrefixCacheBootstrap {
    /** Another router is asked if none has replied after this time, milliseconds. */
    static final double RETRY_INTERVAL_MS = 1_000;

    /** Maximum number of routers that are asked, one after the other. */
    static final int MAX_REQUESTS = 3;

    /**
     * A router is asked only if it started at least this much earlier, by its own clock, and so had time to learn;
     * milliseconds.
     */
    static final long MIN_EARLIER_START_MS = 2_000;

    private final long ownIncarnation;
    private final RandomGenerator random;
    private final Set<SocketAddress> asked = new HashSet<>();
    private double nextRequestAtMs = Double.NEGATIVE_INFINITY;
    private boolean done;

    /** @param ownIncarnation the time at which this router started, milliseconds since the epoch */
    PrefixCacheBootstrap(long ownIncarnation, RandomGenerator random) {
        this.ownIncarnation = ownIncarnation;
        this.random = random;
    }

    /**
     * The router to be asked now, empty if none.
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

    /** Records a reply; an empty one does not count. */
    void onSnapshot(PrefixCacheSnapshot snapshot) {
        done |= !snapshot.hints().isEmpty();
    }
}
