package pinewick.dissemination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pinewick.dissemination.FleetSimulation.Process;
import pinewick.model.SocketAddress;

/** Tests which configuration a router confirms if it starts while the controllers are partitioned from each other. */
class BootstrapDuringPartitionTest {
    private static final double CONTACT_MS = 3_000;
    private static final double PARTITION_MS = 20_000;
    private static final long OLD_VERSION = 5;
    private static final long NEW_VERSION = 6;

    /** A fleet that has installed the old version and confirmed it as the newest. */
    private static FleetSimulation settled(long seed, int routers) {
        FleetSimulation fleet = FleetSimulation.started(seed, 3, routers);
        fleet.lossRate = 0.02;
        fleet.run(6_000);
        commit(fleet.controllers.get(1), OLD_VERSION);
        fleet.run(2_000);
        return fleet;
    }

    private static void commit(Process origin, long version) {
        origin.state.offer(TestDocuments.withRoutes(version, 40));
        origin.node.publishConfiguration(origin.localMs());
    }

    private static long version(Process process) {
        return process.state.configuration().version();
    }

    /** Partitions the first controller and some routers from the rest. */
    private static void partitionWithFirstController(FleetSimulation fleet, int... routers) {
        Set<SocketAddress> minoritySide = new HashSet<>();
        minoritySide.add(fleet.controllers.get(0).address());
        for (int router : routers) {
            minoritySide.add(fleet.routers.get(router).address());
        }
        fleet.linkBlocked = (from, to) -> minoritySide.contains(from) != minoritySide.contains(to);
        fleet.quorumContact = controller -> !minoritySide.contains(controller.address());
    }

    private static void heal(FleetSimulation fleet) {
        fleet.linkBlocked = (from, to) -> false;
        fleet.quorumContact = controller -> true;
    }

    @Test
    void newFleetIsConfirmedOnceControllersHaveAQuorum() {
        FleetSimulation fleet = FleetSimulation.started(1, 3, 9);
        fleet.quorumContact = controller -> false;
        fleet.run(4_000);
        fleet.routers.forEach(router -> assertFalse(router.node.isConfigurationConfirmed()));
        fleet.quorumContact = controller -> true;
        fleet.run(1_000);
        fleet.routers.forEach(router -> assertTrue(router.node.isConfigurationConfirmed()));
    }

    @ParameterizedTest
    @ValueSource(ints = {9, 84})
    void routerStartedInMinorityPartitionServesOldVersionUnconfirmed(int routers) {
        FleetSimulation fleet = settled(2, routers);
        partitionWithFirstController(fleet, 0, 1);
        fleet.run(2_000);
        commit(fleet.controllers.get(1), NEW_VERSION);
        fleet.routers.get(1).kill();
        Process startedRouter = fleet.startRouter(1, 2);
        fleet.run(PARTITION_MS);
        assertTrue(startedRouter.node.isSynchronised());
        assertEquals(OLD_VERSION, version(startedRouter));
        assertFalse(startedRouter.node.isConfigurationConfirmed());
        heal(fleet);
        double tookMs = fleet.runUntil(
                () -> version(startedRouter) == NEW_VERSION && startedRouter.node.isConfigurationConfirmed(),
                CONTACT_MS);
        assertTrue(tookMs <= CONTACT_MS, "current and confirmed after the partition healed");
    }

    @Test
    void routerStartedInMinorityPartitionBoundsTheSizeOfTheWholeFleet() {
        FleetSimulation fleet = settled(6, 9);
        partitionWithFirstController(fleet, 0, 1);
        fleet.run(4_000);
        fleet.routers.get(1).kill();
        Process startedRouter = fleet.startRouter(1, 2);
        fleet.run(12_000);
        assertEquals(2, startedRouter.node.routerCount());
        assertTrue(
                startedRouter.node.routerCountUpperBound() >= 9,
                "upper bound covers the routers on the other side of the partition");
    }

    @Test
    void routerStartedInMajorityPartitionIsConfirmedWithinASecond() {
        FleetSimulation fleet = settled(3, 9);
        partitionWithFirstController(fleet, 0);
        fleet.run(2_000);
        commit(fleet.controllers.get(1), NEW_VERSION);
        fleet.run(1_000);
        fleet.routers.get(5).kill();
        Process startedRouter = fleet.startRouter(5, 2);
        double tookMs = fleet.runUntil(() -> startedRouter.node.isConfigurationConfirmed(), 1_000);
        assertTrue(tookMs <= 1_000, "confirmed in time");
        assertEquals(NEW_VERSION, version(startedRouter));
    }

    @Test
    void routerReachingTheMajorityOnlyThroughRoutersIsConfirmedByThem() {
        FleetSimulation fleet = settled(4, 9);
        fleet.quorumContact = controller -> controller != fleet.controllers.get(0);
        SocketAddress routerAddress = fleet.routers.get(5).address();
        Set<SocketAddress> majority = Set.of(
                fleet.controllers.get(1).address(), fleet.controllers.get(2).address());
        fleet.linkBlocked = (from, to) -> (from.equals(routerAddress) && majority.contains(to))
                || (to.equals(routerAddress) && majority.contains(from))
                || (from.equals(fleet.controllers.get(0).address()) && majority.contains(to))
                || (to.equals(fleet.controllers.get(0).address()) && majority.contains(from));
        commit(fleet.controllers.get(1), NEW_VERSION);
        fleet.run(1_000);
        fleet.routers.get(5).kill();
        Process startedRouter = fleet.startRouter(5, 2);
        double tookMs = fleet.runUntil(() -> startedRouter.node.isConfigurationConfirmed(), 2 * CONTACT_MS);
        assertTrue(tookMs <= 2 * CONTACT_MS, "confirmed by routers");
        assertEquals(NEW_VERSION, version(startedRouter));
    }

    @Test
    void routerStartedWithOnlyOneControllerRunningServesUnconfirmed() {
        FleetSimulation fleet = settled(5, 9);
        fleet.controllers.get(0).kill();
        fleet.controllers.get(1).kill();
        fleet.quorumContact = controller -> false;
        fleet.run(2_000);
        fleet.routers.get(3).kill();
        Process startedRouter = fleet.startRouter(3, 2);
        fleet.run(CONTACT_MS);
        assertTrue(startedRouter.node.isSynchronised());
        assertEquals(OLD_VERSION, version(startedRouter));
        assertFalse(startedRouter.node.isConfigurationConfirmed());
    }
}
