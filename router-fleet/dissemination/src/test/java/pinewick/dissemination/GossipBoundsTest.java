package pinewick.dissemination;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LongSummaryStatistics;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pinewick.model.ConfigurationDocument;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;

/**
 * Tests how long changes take to reach every process, with 2 % of the datagrams lost and one router isolated, and how
 * much a router sends and receives while nothing changes. Prints the figures.
 */
class GossipBoundsTest {
    private static final double MAX_PROPAGATION_MS = 1_000;
    private static final double IDLE_MS = 20_000;
    private static final double MAX_BYTES_PER_SECOND = 3_000;
    private static final double MAX_TICKS_PER_SECOND = 8;
    private static final double LOSS_RATE = 0.02;
    private static final int ROUTES = 400;
    private static final int CHANGES = 12;
    /** A change of this many routes does not fit in a datagram. */
    private static final int MANY_CHANGED_ROUTES = 100;

    private double maxPropagationMs;

    @ParameterizedTest
    @CsvSource({"3, 9, 11", "5, 84, 8", "9, 420, 40"})
    void changesReachEveryProcessWithinASecondAndIdleTrafficIsLow(int controllers, int routers, int replicas) {
        FleetSimulation fleet = FleetSimulation.started(controllers * 1_000L + routers, controllers, routers);
        fleet.lossRate = LOSS_RATE;
        fleet.run(5_000);
        commit(fleet, 0, TestDocuments.withRoutes(1, ROUTES));
        for (int i = 0; i < replicas; i++) {
            publish(fleet, i % controllers, TestRecords.ready("i-" + i, 1));
        }
        fleet.run(5_000);
        String idleReport = measureIdle(fleet, "idle");
        fleet.isolated.add(fleet.routers.get(0).address());
        String label = controllers + "+" + routers + ": ";

        for (int i = 0; i < CHANGES; i++) {
            commit(fleet, i % controllers, TestDocuments.withRoutes(10 + i, ROUTES, i));
            fleet.run(300);
        }
        String smallReport = label + "small change " + format(maxPropagationMs);
        maxPropagationMs = 0;
        for (int i = 0; i < CHANGES; i++) {
            commit(fleet, i % controllers, TestDocuments.withRoutes(100 + i, ROUTES, MANY_CHANGED_ROUTES));
            fleet.run(300);
        }
        String largeReport = "large change " + format(maxPropagationMs);
        maxPropagationMs = 0;
        for (int i = 0; i < CHANGES && i < replicas; i++) {
            drain(fleet, i % controllers, "i-" + i);
            fleet.run(300);
        }
        System.out.println(
                smallReport + ", " + largeReport + ", drain " + format(maxPropagationMs) + "; " + idleReport);
    }

    private static String format(double ms) {
        return String.format("%.0f ms", ms);
    }

    private void commit(FleetSimulation fleet, int controller, ConfigurationDocument document) {
        FleetSimulation.Process origin = fleet.controllers.get(controller);
        origin.state.offer(document);
        origin.node.publishConfiguration(origin.localMs());
        awaitAll(fleet, process -> process.state.configuration().version() >= document.version());
    }

    private void publish(FleetSimulation fleet, int controller, ReplicaRecord record) {
        FleetSimulation.Process origin = fleet.controllers.get(controller);
        origin.node.publish(record, origin.localMs());
    }

    private void drain(FleetSimulation fleet, int controller, String instanceId) {
        FleetSimulation.Process origin = fleet.controllers.get(controller);
        ReplicaRecord record =
                TestRecords.draining(origin.state.findReplica(instanceId).orElseThrow(), 5);
        boolean[] acknowledged = new boolean[1];
        origin.node.publishUntilAcknowledged(record, () -> acknowledged[0] = true, origin.localMs());
        awaitAll(
                fleet,
                process -> process.state.findReplica(instanceId).isPresent()
                        && process.state.findReplica(instanceId).orElseThrow().state() == ReplicaState.DRAINING);
        fleet.runUntil(() -> acknowledged[0], MAX_PROPAGATION_MS);
        assertTrue(acknowledged[0], "not acknowledged by another controller");
    }

    private void awaitAll(FleetSimulation fleet, Predicate<FleetSimulation.Process> condition) {
        double tookMs = fleet.runUntilAll(condition, MAX_PROPAGATION_MS);
        assertTrue(tookMs <= MAX_PROPAGATION_MS, "did not reach every process within " + MAX_PROPAGATION_MS + " ms");
        maxPropagationMs = Math.max(maxPropagationMs, tookMs);
    }

    private static String measureIdle(FleetSimulation fleet, String label) {
        fleet.resetCounters();
        fleet.run(IDLE_MS);
        LongSummaryStatistics sent = routerStatistics(fleet, process -> process.bytesSent);
        LongSummaryStatistics received = routerStatistics(fleet, process -> process.bytesReceived);
        LongSummaryStatistics messages = routerStatistics(fleet, process -> process.messagesSent);
        double seconds = IDLE_MS / 1_000;
        double mean = (sent.getAverage() + received.getAverage()) / seconds;
        String report = String.format(
                "%s: a router sends %.0f and receives %.0f bytes/s (max %.0f, %.0f), sends %.1f messages/s; by type %s",
                label,
                sent.getAverage() / seconds,
                received.getAverage() / seconds,
                sent.getMax() / seconds,
                received.getMax() / seconds,
                messages.getAverage() / seconds,
                fleet.bytesByMessageType);
        System.out.println(report);
        assertTrue(mean < MAX_BYTES_PER_SECOND, report);
        double ticks = routerStatistics(fleet, process -> process.ticks).getAverage() / seconds;
        assertTrue(ticks < MAX_TICKS_PER_SECOND, "an idle router ticks " + ticks + " times per second");
        return report;
    }

    private static LongSummaryStatistics routerStatistics(
            FleetSimulation fleet, ToLongFunction<FleetSimulation.Process> count) {
        return fleet.routers.stream().mapToLong(count).summaryStatistics();
    }
}
