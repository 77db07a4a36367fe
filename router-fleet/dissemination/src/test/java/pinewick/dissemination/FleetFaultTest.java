package pinewick.dissemination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pinewick.dissemination.FleetSimulation.Process;
import pinewick.membership.NodeRole;
import pinewick.model.ConfigurationDocument;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.SocketAddress;

/** Tests restarts, partitions, duplicated and delayed messages, and departures on a simulated fleet. */
class FleetFaultTest {
    /** Maximum time from the healing of a partition until every process counts as connected. */
    private static final double CONTACT_MS = 3_000;

    private static FleetSimulation settled(long seed, int controllers, int routers) {
        FleetSimulation fleet = FleetSimulation.started(seed, controllers, routers);
        fleet.lossRate = 0.02;
        fleet.run(6_000);
        return fleet;
    }

    private static void commit(Process origin, ConfigurationDocument document) {
        origin.state.offer(document);
        origin.node.publishConfiguration(origin.localMs());
    }

    private static void publish(Process origin, ReplicaRecord record) {
        origin.node.publish(record, origin.localMs());
    }

    private static Predicate<Process> hasVersion(long version) {
        return process -> process.state.configuration().version() == version;
    }

    private static Predicate<Process> hasState(String instanceId, ReplicaState state) {
        return process -> process.state
                .findReplica(instanceId)
                .filter(record -> record.state() == state)
                .isPresent();
    }

    private static Predicate<Process> knows(SocketAddress address) {
        return process -> process.address().equals(address)
                || process.node.peers().stream().anyMatch(peer -> peer.address().equals(address));
    }

    private static void assertAll(FleetSimulation fleet, double limitMs, Predicate<Process> condition) {
        double tookMs = fleet.runUntilAll(condition, limitMs);
        assertTrue(
                tookMs <= limitMs,
                () -> "condition not met within " + limitMs + " ms at "
                        + fleet.connectedProcesses().stream()
                                .filter(condition.negate())
                                .map(Process::address)
                                .toList());
    }

    @Test
    void smallFleetIsFullyKnownAndCountedExactly() {
        FleetSimulation fleet = settled(1, 3, 9);
        for (Process process : fleet.allProcesses()) {
            assertEquals(11, process.node.peers().size());
            assertEquals(9, process.node.routerCount());
            assertTrue(process.node.routerCountUpperBound() >= 9);
            assertTrue(process.node.isSynchronised());
        }
    }

    @Test
    void processesRestartedWithLowerIncarnationRejoin() {
        FleetSimulation fleet = FleetSimulation.started(2, 3, 9);
        fleet.controllers.get(1).kill();
        fleet.routers.get(4).kill();
        fleet.startController(1, 1_000);
        fleet.startRouter(4, 1_000);
        fleet.run(6_000);
        commit(fleet.controllers.get(0), TestDocuments.withRoutes(5, 3));
        fleet.controllers.get(1).kill();
        fleet.routers.get(4).kill();
        fleet.run(500);
        Process controller = fleet.startController(1, 900);
        Process router = fleet.startRouter(4, 900);
        assertAll(
                fleet,
                CONTACT_MS,
                process -> process.node.isSynchronised()
                        && hasVersion(5).test(process)
                        && incarnationOf(process, controller.address()) > 1_000
                        && incarnationOf(process, router.address()) > 1_000);
    }

    private static long incarnationOf(Process process, SocketAddress address) {
        if (process.address().equals(address)) {
            return Long.MAX_VALUE;
        }
        return process.node.peers().stream()
                .filter(peer -> peer.address().equals(address))
                .mapToLong(peer -> peer.incarnation())
                .findAny()
                .orElse(-1);
    }

    @ParameterizedTest
    @ValueSource(ints = {9, 84})
    void partitionedSidesConvergeAfterHealing(int routers) {
        FleetSimulation fleet = settled(3, 3, routers);
        ReplicaRecord ready = TestRecords.ready("i-1", 1);
        publish(fleet.controllers.get(0), ready);
        assertAll(fleet, 1_000, hasState("i-1", ReplicaState.READY));
        Set<SocketAddress> oneSide = fleet.allProcesses().stream()
                .filter(process -> process.address().hashCode() % 2 == 0)
                .map(Process::address)
                .collect(Collectors.toSet());
        oneSide.add(fleet.controllers.get(0).address());
        oneSide.remove(fleet.controllers.get(1).address());
        oneSide.remove(fleet.controllers.get(2).address());
        fleet.linkBlocked = (from, to) -> oneSide.contains(from) != oneSide.contains(to);
        fleet.run(20_000);
        publish(fleet.controllers.get(0), TestRecords.draining(ready, 2));
        commit(fleet.controllers.get(1), TestDocuments.withRoutes(9, 40));
        fleet.run(20_000);
        fleet.linkBlocked = (from, to) -> false;
        assertAll(fleet, CONTACT_MS, hasVersion(9).and(hasState("i-1", ReplicaState.DRAINING)));
        List<SocketAddress> controllers =
                fleet.controllers.stream().map(Process::address).toList();
        controllers.forEach(controller -> assertAll(fleet, CONTACT_MS, knows(controller)));
    }

    @Test
    void partitionedRouterCatchesUpAfterHealing() {
        FleetSimulation fleet = settled(4, 3, 9);
        Process router = fleet.routers.get(3);
        fleet.isolated.add(router.address());
        fleet.run(30_000);
        commit(fleet.controllers.get(0), TestDocuments.withRoutes(4, 10));
        fleet.run(2_000);
        assertFalse(hasVersion(4).test(router));
        fleet.isolated.clear();
        assertAll(fleet, CONTACT_MS, hasVersion(4));
        commit(fleet.controllers.get(0), TestDocuments.withRoutes(6, 10));
        assertAll(fleet, 1_000, hasVersion(6));
    }

    @Test
    void duplicatedDelayedAndLostMessagesNeverRevertState() {
        FleetSimulation fleet = settled(5, 3, 20);
        fleet.lossRate = 0.2;
        fleet.duplicationRate = 0.3;
        fleet.jitterMs = 400;
        fleet.allProcesses().forEach(FleetFaultTest::failOnRegression);
        for (int round = 1; round <= 10; round++) {
            Process origin = fleet.controllers.get(round % 3);
            commit(origin, TestDocuments.withRoutes(round, 30, round));
            for (int i = 0; i < 5; i++) {
                publish(origin, TestRecords.ready("i-" + i, round));
            }
            fleet.run(200);
        }
        for (int i = 0; i < 5; i++) {
            publish(fleet.controllers.get(i % 3), TestRecords.draining(TestRecords.ready("i-" + i, 10), 11));
            fleet.run(100);
            publish(fleet.controllers.get((i + 1) % 3), TestRecords.ready("i-" + i, 10));
        }
        assertAll(fleet, 20_000, hasVersion(10));
        for (int i = 0; i < 5; i++) {
            assertAll(fleet, 20_000, hasState("i-" + i, ReplicaState.DRAINING));
        }
    }

    private static void failOnRegression(Process process) {
        long[] version = new long[1];
        process.state.addListener(new FleetStateListener() {
            @Override
            public void onConfigurationChanged(ConfigurationDocument document) {
                assertTrue(document.version() > version[0]);
                version[0] = document.version();
            }

            @Override
            public void onReplicaChanged(ReplicaRecord record) {
                assertEquals(Optional.of(record), process.state.findReplica(record.instanceId()));
                if (record.callSequence() >= 11) {
                    assertEquals(ReplicaState.DRAINING, record.state());
                }
            }
        });
    }

    @Test
    void leavingProcessIsRemovedAtOnceAndMayRejoin() {
        FleetSimulation fleet = settled(6, 3, 9);
        Process leavingRouter = fleet.routers.get(2);
        leavingRouter.node.leave(leavingRouter.localMs());
        leavingRouter.kill();
        fleet.run(200);
        fleet.connectedProcesses()
                .forEach(process -> assertFalse(knows(leavingRouter.address()).test(process)));
        fleet.run(3_000);
        fleet.connectedProcesses()
                .forEach(process -> assertFalse(knows(leavingRouter.address()).test(process)));
        fleet.connectedProcesses().forEach(process -> assertEquals(8, process.node.routerCount()));
        fleet.startRouter(2, 1);
        assertAll(fleet, CONTACT_MS, knows(leavingRouter.address()));
    }

    @Test
    void killedProcessesAreRemovedWithinTwentySeconds() {
        FleetSimulation fleet = settled(7, 3, 9);
        fleet.run(20_000);
        Process killed = fleet.routers.get(2);
        Process controller = fleet.controllers.get(2);
        killed.kill();
        controller.kill();
        double tookMs = fleet.runUntilAll(
                knows(killed.address()).or(knows(controller.address())).negate(), 20_000);
        assertTrue(tookMs <= 20_000);
        fleet.run(10_000);
        fleet.connectedProcesses()
                .forEach(process -> assertEquals(9, process.node.peers().size()));
    }

    @Test
    void restartedControllersRestoreStateFromRouters() {
        FleetSimulation fleet = settled(8, 3, 9);
        commit(fleet.controllers.get(0), TestDocuments.withRoutes(7, 400));
        publish(fleet.controllers.get(0), TestRecords.ready("i-1", 1));
        publish(fleet.controllers.get(1), TestRecords.draining(TestRecords.ready("i-2", 1), 2));
        fleet.run(2_000);
        fleet.controllers.forEach(Process::kill);
        fleet.run(15_000);
        for (int i = 0; i < 3; i++) {
            fleet.startController(i, 2);
        }
        assertAll(
                fleet,
                CONTACT_MS,
                process -> process.node.isSynchronised()
                        && hasVersion(7).test(process)
                        && hasState("i-1", ReplicaState.READY).test(process)
                        && hasState("i-2", ReplicaState.DRAINING).test(process));
    }

    @Test
    void routerRestartedWhileControllersAreDownBootstrapsFromRouters() {
        FleetSimulation fleet = settled(9, 3, 9);
        commit(fleet.controllers.get(0), TestDocuments.withRoutes(7, 400));
        publish(fleet.controllers.get(0), TestRecords.ready("i-1", 1));
        fleet.run(2_000);
        fleet.controllers.forEach(Process::kill);
        fleet.routers.get(5).kill();
        fleet.run(15_000);
        fleet.startRouter(5, 2);
        assertAll(
                fleet,
                CONTACT_MS,
                process -> process.node.isSynchronised()
                        && hasVersion(7).test(process)
                        && hasState("i-1", ReplicaState.READY).test(process));
    }

    @Test
    void fleetStartedAllAtOnceSynchronises() {
        FleetSimulation fleet = FleetSimulation.started(10, 3, 9);
        fleet.controllers.forEach(controller -> controller.state.offer(TestDocuments.withRoutes(3, 20)));
        assertAll(
                fleet,
                CONTACT_MS,
                process -> process.node.isSynchronised() && hasVersion(3).test(process));
    }

    @Test
    void startingRouterAdoptsNewestConfigurationOfItsPeers() {
        FleetSimulation fleet = settled(11, 3, 9);
        commit(fleet.controllers.get(0), TestDocuments.withRoutes(7, 20));
        fleet.run(2_000);
        fleet.routers.get(1).kill();
        fleet.run(1_000);
        Process stale = fleet.controllers.get(2);
        stale.kill();
        Process restarted = fleet.startController(2, 2);
        restarted.state.offer(TestDocuments.withRoutes(5, 20));
        Process router = fleet.startRouter(1, 2);
        double tookMs = fleet.runUntil(router.node::isSynchronised, CONTACT_MS);
        assertTrue(tookMs <= CONTACT_MS);
        assertEquals(7, router.state.configuration().version());
    }

    @Test
    void tombstonesExpireEverywhereAndDoNotReappear() {
        FleetSimulation fleet = settled(12, 3, 9);
        ReplicaRecord ready = TestRecords.ready("i-1", 1);
        publish(fleet.controllers.get(0), ready);
        fleet.run(2_000);
        Process partitionedRouter = fleet.routers.get(0);
        publish(fleet.controllers.get(1), TestRecords.gone(ready, 2));
        fleet.run(30_000);
        fleet.isolated.add(partitionedRouter.address());
        fleet.run(20_000);
        assertEquals(
                ReplicaState.GONE,
                partitionedRouter.state.findReplica("i-1").orElseThrow().state());
        fleet.isolated.clear();
        fleet.run(12_000);
        fleet.allProcesses()
                .forEach(process -> assertTrue(process.state.findReplica("i-1").isEmpty()));
        fleet.run(60_000);
        fleet.allProcesses()
                .forEach(process -> assertTrue(process.state.findReplica("i-1").isEmpty()));
    }

    @Test
    void routerPartitionedBeforeRemovalDoesNotRevertIt() {
        FleetSimulation fleet = settled(13, 3, 9);
        ReplicaRecord ready = TestRecords.ready("i-1", 1);
        publish(fleet.controllers.get(0), ready);
        fleet.run(2_000);
        Process partitionedRouter = fleet.routers.get(0);
        fleet.isolated.add(partitionedRouter.address());
        publish(fleet.controllers.get(1), TestRecords.gone(ready, 2));
        fleet.run(90_000);
        fleet.isolated.clear();
        double tookMs = fleet.runUntil(() -> hasState("i-1", ReplicaState.GONE).test(partitionedRouter), CONTACT_MS);
        assertTrue(tookMs <= CONTACT_MS);
        fleet.run(12_000);
        fleet.allProcesses()
                .forEach(process -> assertTrue(process.state.findReplica("i-1").isEmpty()));
    }

    @Test
    void restartedControllersLearnOfRoutersWithinTwoSeconds() {
        for (int seed = 0; seed < 40; seed++) {
            FleetSimulation fleet = FleetSimulation.started(900 + seed, 5, 2);
            fleet.run(6_000);
            fleet.controllers.forEach(Process::kill);
            fleet.run(400);
            for (int number = 0; number < 5; number++) {
                fleet.startController(number, 2);
            }
            fleet.run(2_000);
            for (Process controller : fleet.controllers) {
                long routers = controller.node.peers().stream()
                        .filter(peer -> peer.role() == NodeRole.ROUTER)
                        .count();
                assertTrue(routers > 0, "seed " + seed + ": " + controller.address() + " knows no router");
            }
        }
    }
}
