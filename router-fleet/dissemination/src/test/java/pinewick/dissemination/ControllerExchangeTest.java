package pinewick.dissemination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import pinewick.dissemination.FleetSimulation.Process;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;

/** Tests the exchange between controllers: acknowledged records, heartbeats and lapses. */
class ControllerExchangeTest {
    private static final ReplicaRecord READY = TestRecords.ready("i-1", 1);

    private static FleetSimulation settled(long seed, int controllers, int routers) {
        FleetSimulation fleet = FleetSimulation.started(seed, controllers, routers);
        fleet.run(6_000);
        return fleet;
    }

    private static boolean acknowledgedWithin(
            FleetSimulation fleet, Process origin, ReplicaRecord record, double limitMs) {
        boolean[] acknowledged = new boolean[1];
        origin.node.publishUntilAcknowledged(record, () -> acknowledged[0] = true, origin.localMs());
        return fleet.runUntil(() -> acknowledged[0], limitMs) <= limitMs;
    }

    @Test
    void acknowledgedRecordIsStoredByAnotherController() {
        FleetSimulation fleet = settled(1, 3, 3);
        Process origin = fleet.controllers.get(0);
        assertTrue(acknowledgedWithin(fleet, origin, READY, 100));
        assertTrue(acknowledgedWithin(fleet, origin, TestRecords.draining(READY, 2), 100));
        long controllersWithRecord = fleet.controllers.stream()
                .filter(process ->
                        process != origin && process.state.findReplica("i-1").isPresent())
                .filter(process ->
                        process.state.findReplica("i-1").orElseThrow().state() == ReplicaState.DRAINING)
                .count();
        assertTrue(controllersWithRecord >= 1);
    }

    @Test
    void acknowledgedDrainSurvivesLossOfAllControllers() {
        for (int seed = 0; seed < 20; seed++) {
            FleetSimulation fleet = settled(200 + seed, 3, 3);
            Process origin = fleet.controllers.get(0);
            assertTrue(acknowledgedWithin(fleet, origin, READY, 100));
            fleet.run(1_000);
            assertTrue(acknowledgedWithin(fleet, origin, TestRecords.draining(READY, 2), 100));
            fleet.controllers.forEach(Process::kill);
            fleet.run(500);
            for (Process router : fleet.routers) {
                assertEquals(
                        ReplicaState.DRAINING,
                        router.state.findReplica("i-1").orElseThrow().state(),
                        "seed " + seed);
            }
        }
    }

    @Test
    void acknowledgesAKnownRecordAgain() {
        FleetSimulation fleet = settled(2, 3, 3);
        Process origin = fleet.controllers.get(0);
        ReplicaRecord draining = TestRecords.draining(READY, 2);
        assertTrue(acknowledgedWithin(fleet, origin, draining, 100));
        assertTrue(acknowledgedWithin(fleet, origin, draining, 100));
        assertTrue(acknowledgedWithin(fleet, fleet.controllers.get(1), draining, 100));
    }

    @Test
    void retriesAfterLostAcknowledgements() {
        for (int seed = 0; seed < 50; seed++) {
            FleetSimulation fleet = settled(100 + seed, 3, 3);
            fleet.lossRate = 0.3;
            assertTrue(acknowledgedWithin(fleet, fleet.controllers.get(0), READY, 1_000), "seed " + seed);
        }
    }

    @Test
    void onePartitionedControllerDoesNotDelayAcknowledgement() {
        FleetSimulation fleet = settled(3, 3, 3);
        fleet.isolated.add(fleet.controllers.get(1).address());
        assertTrue(acknowledgedWithin(fleet, fleet.controllers.get(0), READY, 100));
    }

    @Test
    void partitionedControllerGetsNoAcknowledgementNotEvenFromRouters() {
        FleetSimulation fleet = settled(4, 3, 3);
        Process partitioned = fleet.controllers.get(0);
        fleet.linkBlocked = (from, to) -> fleet.controllers.stream()
                .anyMatch(other -> other != partitioned
                        && ((from.equals(partitioned.address()) && to.equals(other.address()))
                                || (to.equals(partitioned.address()) && from.equals(other.address()))));
        assertFalse(acknowledgedWithin(fleet, partitioned, READY, 3_000));
        assertTrue(fleet.routers.stream()
                .allMatch(router -> router.state.findReplica("i-1").isPresent()));
    }

    @Test
    void heartbeatsReachAllControllersWithoutTrafficToRouters() {
        FleetSimulation fleet = settled(5, 3, 9);
        Process origin = fleet.controllers.get(0);
        origin.node.publish(READY, origin.localMs());
        fleet.run(3_000);
        fleet.resetCounters();
        for (int sequence = 2; sequence < 12; sequence++) {
            origin.node.publish(TestRecords.withSequence(READY, sequence), origin.localMs());
            origin.node.recordHeartbeat("i-1", sequence, origin.localMs());
            fleet.run(1_200);
        }
        assertFalse(fleet.bytesByMessageType.containsKey("ReplicaUpdate"), fleet.bytesByMessageType.toString());
        assertFalse(fleet.bytesByMessageType.containsKey("ReplicaSummary"), fleet.bytesByMessageType.toString());
        for (Process controller : fleet.controllers) {
            double ageMs = controller.localMs() - controller.node.lastHeartbeatMs("i-1");
            assertEquals(1_200, ageMs, 5, "last heartbeat " + ageMs + " ms ago");
            assertEquals(11, controller.state.findReplica("i-1").orElseThrow().callSequence());
        }
        assertEquals(Double.NEGATIVE_INFINITY, origin.node.lastHeartbeatMs("i-2"));
    }

    @Test
    void outdatedLapseIsCorrectedByAnotherController() {
        FleetSimulation fleet = settled(6, 3, 9);
        Process heartbeatReceiver = fleet.controllers.get(0);
        Process lapseReporter = fleet.controllers.get(1);
        heartbeatReceiver.node.publish(READY, heartbeatReceiver.localMs());
        fleet.run(3_000);
        heartbeatReceiver.node.publish(TestRecords.withSequence(READY, 2), heartbeatReceiver.localMs());
        lapseReporter.node.publish(READY.withLapsed(true), lapseReporter.localMs());
        fleet.run(1_500);
        fleet.allProcesses()
                .forEach(process -> assertFalse(
                        process.state.findReplica("i-1").orElseThrow().lapsed()));
    }

    @Test
    void nextHeartbeatAtAnyControllerEndsALapse() {
        FleetSimulation fleet = settled(7, 3, 9);
        Process first = fleet.controllers.get(0);
        Process second = fleet.controllers.get(1);
        first.node.publish(READY, first.localMs());
        fleet.run(1_000);
        first.node.publish(READY.withLapsed(true), first.localMs());
        fleet.run(1_000);
        fleet.allProcesses()
                .forEach(process -> assertTrue(
                        process.state.findReplica("i-1").orElseThrow().lapsed()));
        second.node.recordHeartbeat("i-1", 2, second.localMs());
        second.node.publish(TestRecords.withSequence(READY, 2), second.localMs());
        fleet.run(1_000);
        fleet.allProcesses()
                .forEach(process -> assertFalse(
                        process.state.findReplica("i-1").orElseThrow().lapsed()));
    }
}
