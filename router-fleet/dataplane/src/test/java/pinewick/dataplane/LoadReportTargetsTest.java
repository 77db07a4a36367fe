package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pinewick.membership.NodeDescriptor;
import pinewick.membership.NodeRole;
import pinewick.model.SocketAddress;

class LoadReportTargetsTest {
    private static final int TARGETS = LoadReportTargets.TARGETS_IN_ZONE + LoadReportTargets.TARGETS_IN_OTHER_ZONES;

    private final SplittableRandom random = new SplittableRandom(1);

    private static List<NodeDescriptor> routers(String zone, int firstIndex, int count) {
        List<NodeDescriptor> routers = new ArrayList<>();
        for (int index = firstIndex; index < firstIndex + count; index++) {
            routers.add(new NodeDescriptor(new SocketAddress("10.0.0." + index, 7720), 1, NodeRole.ROUTER, zone));
        }
        return routers;
    }

    private long inZone(String zone, List<SocketAddress> chosen, List<NodeDescriptor> all) {
        return all.stream()
                .filter(router -> router.zone().equals(zone) && chosen.contains(router.address()))
                .count();
    }

    @Test
    void sendsToAllOtherRoutersIfTheViewContainsThemAll() {
        List<NodeDescriptor> others = routers("a", 1, 4);
        others.addAll(routers("b", 5, 25));

        List<SocketAddress> chosen = LoadReportTargets.choose(others, "a", random);

        assertEquals(LoadReportTargets.FULL_VIEW - 1, new HashSet<>(chosen).size());
    }

    @Test
    void drawsAFewMostlyFromTheOwnZoneInALargeFleet() {
        List<NodeDescriptor> others = routers("a", 1, 7);
        others.addAll(routers("b", 8, 23));

        for (int draw = 0; draw < 20; draw++) {
            List<SocketAddress> chosen = LoadReportTargets.choose(others, "a", random);

            assertEquals(TARGETS, new HashSet<>(chosen).size());
            assertEquals(LoadReportTargets.TARGETS_IN_ZONE, inZone("a", chosen, others));
        }
    }

    @Test
    void fillsUpFromOtherZonesIfTheOwnZoneHasTooFewRouters() {
        List<NodeDescriptor> others = routers("a", 1, 1);
        others.addAll(routers("b", 2, 30));

        assertEquals(TARGETS, LoadReportTargets.choose(others, "a", random).size());
        assertEquals(TARGETS, LoadReportTargets.choose(others, "c", random).size());
    }

    @Test
    void aFleetInOneZoneHasTheSameNumberOfTargets() {
        List<SocketAddress> chosen = LoadReportTargets.choose(routers("a", 1, 30), "a", random);

        assertEquals(TARGETS, chosen.size());
        assertTrue(new HashSet<>(chosen).size() == TARGETS);
    }
}
