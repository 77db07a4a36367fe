package pinewick.dissemination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import pinewick.dissemination.FleetSimulation.Process;
import pinewick.model.ReplicaRecord;

/** Tests fleets with 2,200 replicas: concurrent registration, a router restart, and a few differing records. */
class ManyReplicasTest {
    private static final int REPLICAS = 2_200;
    private static final double HEARTBEAT_MS = 1_200;

    private static Predicate<Process> hasAllReplicas() {
        return process -> process.state.replicas().size() == REPLICAS;
    }

    private static FleetSimulation startedWithAllReplicas(long seed, int routers) {
        FleetSimulation fleet = FleetSimulation.started(seed, 5, routers);
        fleet.lossRate = 0.02;
        fleet.run(6_000);
        fleet.resetCounters();
        for (int i = 0; i < REPLICAS; i++) {
            Process controller = fleet.controllers.get(i % 5);
            ReplicaRecord record = TestRecords.ready("i-" + Integer.toHexString(i * 7_919 + 1_000_000), 1);
            fleet.schedule(
                    fleet.random.nextDouble() * HEARTBEAT_MS,
                    () -> controller.node.publish(record, controller.localMs()));
        }
        fleet.run(HEARTBEAT_MS);
        return fleet;
    }

    @Test
    void replicasRegisteringConcurrentlyBecomeKnownEverywhere() {
        FleetSimulation fleet = startedWithAllReplicas(1, 84);
        double tookMs = fleet.runUntilAll(hasAllReplicas(), 3_000);
        double bytes = fleet.routers.stream()
                .mapToLong(router -> router.bytesReceived)
                .average()
                .orElse(0);
        System.out.printf(
                "2,200 replicas registering, 84 routers: all known %.0f ms after the last, %.0f bytes per router%n",
                tookMs, bytes);
        assertTrue(tookMs <= 2_000, "took " + tookMs);
        assertTrue(bytes < 5_000_000, "bytes " + bytes);
    }

    @Test
    void restartedRouterReceivesAllRecordsDuringBootstrap() {
        FleetSimulation fleet = startedWithAllReplicas(2, 20);
        fleet.run(10_000);
        fleet.routers.get(3).kill();
        fleet.run(1_000);
        Process router = fleet.startRouter(3, 2);
        double tookMs = fleet.runUntil(router.node::isSynchronised, 2_000);
        assertTrue(tookMs <= 1_000, "took " + tookMs);
        assertEquals(REPLICAS, router.state.replicas().size());
        System.out.printf(
                "restart with 2,200 replicas: synchronised after %.0f ms, %d bytes%n", tookMs, router.bytesReceived);
        assertTrue(router.bytesReceived < 1_000_000, "bytes " + router.bytesReceived);
    }

    @Test
    void reconcilingFewDifferencesAmongManyRecordsTakesLittleTraffic() {
        FleetSimulation fleet = startedWithAllReplicas(3, 20);
        fleet.run(10_000);
        Process router = fleet.routers.get(3);
        fleet.isolated.add(router.address());
        fleet.run(1_000);
        for (int i = 0; i < 5; i++) {
            Process controller = fleet.controllers.get(i % 5);
            ReplicaRecord known = controller.state.replicas().stream()
                    .skip(i * 100L)
                    .findFirst()
                    .orElseThrow();
            ReplicaRecord draining = TestRecords.draining(known, 2);
            controller.node.publish(draining, controller.localMs());
            fleet.run(500);
        }
        fleet.run(2_000);
        fleet.resetCounters();
        router.bytesReceived = 0;
        fleet.isolated.clear();
        double tookMs = fleet.runUntil(() -> haveSameContent(router, fleet.controllers.get(0)), 3_000);
        assertTrue(fleet.bytesByMessageType.containsKey("BucketHashes"), fleet.bytesByMessageType.toString());
        System.out.printf("5 of 2,200 records missed: equal after %.0f ms, %d bytes%n", tookMs, router.bytesReceived);
        assertTrue(tookMs <= 3_000, "took " + tookMs);
        assertTrue(router.bytesReceived < 60_000, "bytes " + router.bytesReceived);
    }

    private static boolean haveSameContent(Process left, Process right) {
        return left.state.replicas().stream()
                .allMatch(record ->
                        ReplicaContent.isSame(Optional.of(record), right.state.findReplica(record.instanceId())));
    }
}
