package pinewick.dissemination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import pinewick.dissemination.FleetSimulation.Process;
import pinewick.membership.NodeRole;

/** Tests the estimated number of routers, from which each router derives its share of the fleet-wide budget. */
class FleetSizeTest {
    /** The budget that all routers take together, as a multiple of the fleet-wide budget. */
    private static double sumOfBudgetShares(FleetSimulation fleet) {
        return fleet.routers.stream()
                .filter(router -> router.alive)
                .mapToDouble(router -> 1.0 / router.node.routerCountUpperBound())
                .sum();
    }

    @Test
    void estimatesLargeFleetsWithinTenPercentAndUpperBoundNeverUndercounts() {
        for (int routers : new int[] {84, 420}) {
            FleetSimulation fleet = FleetSimulation.started(routers, 5, routers);
            fleet.lossRate = 0.02;
            fleet.run(40_000);
            double lowest = Double.MAX_VALUE;
            double highest = 0;
            for (Process process : fleet.allProcesses()) {
                int estimate = process.node.routerCount();
                int bound = process.node.routerCountUpperBound();
                lowest = Math.min(lowest, estimate);
                highest = Math.max(highest, bound);
                assertEquals(routers, estimate, 0.1 * routers);
                assertTrue(bound >= routers && bound <= 1.3 * routers, "bound " + bound + " of " + routers);
            }
            System.out.printf(
                    "%d routers: lowest estimate %.0f, highest bound %.0f, shares %.2f%n",
                    routers, lowest, highest, sumOfBudgetShares(fleet));
        }
    }

    @Test
    void budgetSharesStayWithinBudgetWhileFleetGrows() {
        for (int routers : new int[] {9, 84}) {
            FleetSimulation fleet = FleetSimulation.started(routers + 1, 3, routers);
            fleet.run(40_000);
            double maxShares = sumOfBudgetShares(fleet);
            for (int i = routers; i < routers + routers / 2; i++) {
                fleet.startRouter(i, 1);
            }
            for (int i = 0; i < 60; i++) {
                fleet.run(250);
                maxShares = Math.max(maxShares, sumOfBudgetShares(fleet));
            }
            System.out.printf("%d routers, then half as many more: max shares %.2f%n", routers, maxShares);
            assertTrue(maxShares <= 1.1, "shares " + maxShares);
        }
    }

    @Test
    void upperBoundSurvivesPartitionOfThirtySeconds() {
        for (int routers : new int[] {9, 84}) {
            FleetSimulation fleet = FleetSimulation.started(routers + 2, 3, routers);
            fleet.run(40_000);
            fleet.linkBlocked = (from, to) -> from.hashCode() % 2 != to.hashCode() % 2;
            fleet.run(30_000);
            assertTrue(sumOfBudgetShares(fleet) <= 1, "shares " + sumOfBudgetShares(fleet));
        }
    }

    @Test
    void estimateFollowsShrinkingFleet() {
        FleetSimulation fleet = FleetSimulation.started(7, 3, 84);
        fleet.run(20_000);
        fleet.routers.subList(40, 84).forEach(Process::kill);
        fleet.run(130_000);
        for (Process process : fleet.connectedProcesses()) {
            assertEquals(40, process.node.routerCount(), 4);
            assertTrue(process.node.routerCountUpperBound() >= 40 && process.node.routerCountUpperBound() <= 55);
        }
    }

    @Test
    void newControllerBecomesKnownToAll() {
        FleetSimulation fleet = FleetSimulation.started(9, 9, 84);
        fleet.lossRate = 0.02;
        fleet.run(20_000);
        Process added = fleet.startController(9, 1);
        double controllersMs = fleet.runUntilAll(
                process -> process.descriptor.role() == NodeRole.ROUTER || process == added || knows(process, added),
                5_000);
        double allMs = fleet.runUntilAll(process -> process == added || knows(process, added), 20_000);
        System.out.printf(
                "a new controller: known to controllers after %.0f ms, to all after %.0f ms more%n",
                controllersMs, allMs);
        assertTrue(controllersMs <= 1_000, "controllers " + controllersMs);
        assertTrue(allMs <= 15_000, "all " + allMs);
    }

    private static boolean knows(Process process, Process other) {
        return process.node.peers().stream().anyMatch(peer -> peer.address().equals(other.address()));
    }

    @Test
    void everyProcessKnowsAllRunningControllers() {
        FleetSimulation fleet = FleetSimulation.started(8, 9, 84);
        fleet.lossRate = 0.02;
        fleet.run(6_000);
        fleet.controllers.subList(0, 4).forEach(Process::kill);
        fleet.run(30_000);
        for (Process process : fleet.connectedProcesses()) {
            long controllers = process.node.peers().stream()
                    .filter(peer -> peer.role() == NodeRole.CONTROLLER)
                    .count();
            assertEquals(process.descriptor.role() == NodeRole.CONTROLLER ? 4 : 5, controllers);
        }
    }
}
