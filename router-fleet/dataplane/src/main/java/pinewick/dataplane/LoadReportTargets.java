package pinewick.dataplane;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import pinewick.membership.NodeDescriptor;
import pinewick.membership.PeerSampling;
import pinewick.membership.RandomChoice;
import pinewick.model.SocketAddress;

/**
 * Chooses the routers to which load reports and hints are sent: all others as long as this router knows all of them. In
 * a larger fleet its view is partial ({@link PeerSampling}), and each message goes to a few routers drawn at random,
 * which forward what is new to them: rumor mongering with the number of rounds fixed at one (Demers and others,
 * Epidemic Algorithms for Replicated Database Maintenance, PODC 1987). With a fanout of f a fraction s of the routers
 * is reached, s = 1 - exp(-f·s): 0.98 for 4. Most of them are drawn from the sender's own zone, since traffic between
 * zones has a cost; the paper's section on spatial distributions gives the reasoning. Performs no I/O.
 */
final class LoadReportTargets {
    /** From this many other routers on, a router's view may be partial. */
    static final int FULL_VIEW = PeerSampling.ROUTER_CAPACITY;

    /** Number of routers in the sender's zone to which a message is sent in a larger fleet. */
    static final int TARGETS_IN_ZONE = 3;

    /** Number of routers in other zones to which a message is sent in a larger fleet. */
    static final int TARGETS_IN_OTHER_ZONES = 1;

    private LoadReportTargets() {}

    /** Whether routers forward what others send them, given the number of other routers known. */
    static boolean isForwarding(int otherRouters) {
        return otherRouters >= FULL_VIEW;
    }

    /**
     * The routers to which the next message is sent.
     *
     * @param others the other routers that this one knows
     */
    static List<SocketAddress> choose(List<NodeDescriptor> others, String ownZone, RandomGenerator random) {
        if (!isForwarding(others.size())) {
            return others.stream().map(NodeDescriptor::address).toList();
        }
        List<SocketAddress> sameZone = new ArrayList<>();
        List<SocketAddress> otherZones = new ArrayList<>();
        for (NodeDescriptor other : others) {
            (other.zone().equals(ownZone) ? sameZone : otherZones).add(other.address());
        }
        int targets = TARGETS_IN_ZONE + TARGETS_IN_OTHER_ZONES;
        int otherZoneTargets = Math.max(TARGETS_IN_OTHER_ZONES, targets - sameZone.size());
        List<SocketAddress> chosen = new ArrayList<>(RandomChoice.draw(otherZones, otherZoneTargets, random));
        chosen.addAll(RandomChoice.draw(sameZone, targets - chosen.size(), random));
        return chosen;
    }
}
