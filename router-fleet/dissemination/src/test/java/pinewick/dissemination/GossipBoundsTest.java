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
 * How long changes take to reach every process, with 2 % of the datagrams lost and one router cut off, and
 * what a router
 * sends and receives while nothing changes. Figures are printed.
 */
class GossipBoundsTest {
    private static final double BOUND_MS = 1_000;
    private static final double REST_MS = 20_000;
    private static final double MOST_BYTES_A_SECOND = 3_000;
    private static final double MOST_TICKS_A_SECOND = 8;
    private static final double LOSS = 0.02;
    private static final int ROUTES = 400;
    private static final int CHANGES = 12;
    /** So many changed routes do not fit a datagram. */
    private static final int MANY_ROUTES = 100;

    private double longestMs;

    @ParameterizedTest
    @CsvSource({"3, 9, 11", "5, 84, 8", "9, 420, 40"})
    void changesReachEveryProcessWithinASecondAndRestIsCheap(int controllers, int routers, int replicas) {
        FleetSimulation fleet = FleetSimulation.started(controllers * 1_000L + routers, controllers, routers);
        fleet.lossRate = LOSS;
        fleet.run(5_000);
        commit(fleet, 0, TestDocuments.withRoutes(1, ROUTES));
        for (int i = 0; i < replicas; i++) {
            publish(fleet, i % controllers, TestRecords.ready("i-" + i, 1));
        }
        fleet.run(5_000);
        String rest = atRest(fleet, "rest");
        fleet.isolated.add(fleet.routers.get(0).address());
        String label = controllers + "+" + routers + ": ";

        for (int i = 0; i < CHANGES; i++) {
            commit(fleet, i % controllers, TestDocuments.withRoutes(10 + i, ROUTES, i));
            fleet.run(300);
        }
        String small = label + "small change " + format(longestMs);
        longestMs = 0;
        for (int i = 0; i < CHANGES; i++) {
            commit(fleet, i % controllers, TestDocuments.withRoutes(100 + i, ROUTES, MANY_ROUTES));
            fleet.run(300);
        }
        String large = "large change " + format(longestMs);
        longestMs = 0;
        for (int i = 0; i < CHANGES && i < replicas; i++) {
            drain(fleet, i % controllers, "i-" + i);
            fleet.run(300);
        }
        System.out.println(small + ", " + large + ", drain " + format(longestMs) + "; " + rest);
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
        boolean[] held = new boolean[1];
        origin.node.publishUntilAcknowledged(record, () -> held[0] = true, origin.localMs());
        awaitAll(
                fleet,
                process -> process.state.findReplica(instanceId).isPresent()
                        && process.state.findReplica(instanceId).orElseThrow().state() == ReplicaState.DRAINING);
        fleet.runUntil(() -> held[0], BOUND_MS);
        assertTrue(held[0], "another controller holds it");
    }

    private void awaitAll(FleetSimulation fleet, Predicate<FleetSimulation.Process> condition) {
        double tookMs = fleet.runUntilAll(condition, BOUND_MS);
        assertTrue(tookMs <= BOUND_MS, "reached every process within " + BOUND_MS + " ms");
        longestMs = Math.max(longestMs, tookMs);
    }

    private static String atRest(FleetSimulation fleet, String what) {
        fleet.resetCounters();
        fleet.run(REST_MS);
        LongSummaryStatistics sent = ofRouters(fleet, process -> process.bytesSent);
        LongSummaryStatistics received = ofRouters(fleet, process -> process.bytesReceived);
        LongSummaryStatistics messages = ofRouters(fleet, process -> process.messagesSent);
        double seconds = REST_MS / 1_000;
        double mean = (sent.getAverage() + received.getAverage()) / seconds;
        String text = String.format(
                "%s: a router sends %.0f and receives %.0f bytes/s (most %.0f, %.0f), sends %.1f messages/s; shares %s",
                what,
                sent.getAverage() / seconds,
                received.getAverage() / seconds,
                sent.getMax() / seconds,
                received.getMax() / seconds,
                messages.getAverage() / seconds,
                fleet.messagesByType);
        System.out.println(text);
        assertTrue(mean < MOST_BYTES_A_SECOND, text);
        double ticks = ofRouters(fleet, process -> process.ticks).getAverage() / seconds;
        assertTrue(ticks < MOST_TICKS_A_SECOND, "a router at rest ticks " + ticks + " times a second");
        return text;
    }

    private static LongSummaryStatistics ofRouters(
            FleetSimulation fleet, ToLongFunction<FleetSimulation.Process> count) {
        return fleet.routers.stream().mapToLong(count).summaryStatistics();
    }
}
