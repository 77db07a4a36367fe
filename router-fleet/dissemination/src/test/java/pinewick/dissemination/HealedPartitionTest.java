package pinewick.dissemination;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pinewick.dissemination.FleetSimulation.Process;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.SocketAddress;

/** After a cut of twenty seconds both sides are current in time, and it costs them little. */
class HealedPartitionTest {
    private static final double CONTACT_MS = 3_000;
    private static final double CUT_MS = 20_000;
    private static final int ROUTES = 400;
    private static final int REPLICAS = 40;
    private static final int DRAINED = 10;
    /** More than are kept to send differences from. */
    private static final int CHANGES = 20;

    private static final int MOST_TIMES_REST = 5;
    private static final long FIRST_VERSION = 5;

    private static ReplicaRecord replica(int number) {
        return TestRecords.ready("i-" + number, 1);
    }

    private static void commit(Process origin, long version) {
        origin.state.offer(TestDocuments.withRoutes(version, ROUTES, (int) (version - FIRST_VERSION)));
        origin.node.publishConfiguration(origin.localMs());
    }

    /** A controller and some routers are cut off while configurations change and replicas drain at either side. */
    private static FleetSimulation cutAndChanged(int controllers, int routers, int routersCutOff) {
        FleetSimulation fleet = FleetSimulation.started(21, controllers, routers);
        fleet.loss = 0.02;
        fleet.run(6_000);
        Process minority = fleet.controllers.get(0);
        Process majority = fleet.controllers.get(1);
        commit(majority, FIRST_VERSION);
        IntStream.range(0, REPLICAS).forEach(number -> majority.node.publish(replica(number), majority.localMs()));
        fleet.run(4_000);
        Set<SocketAddress> side = new HashSet<>();
        side.add(minority.address());
        fleet.routers.subList(0, routersCutOff).forEach(router -> side.add(router.address()));
        fleet.cut = (from, to) -> side.contains(from) != side.contains(to);
        fleet.quorumContact = controller -> !side.contains(controller.address());
        for (int change = 1; change <= CHANGES; change++) {
            commit(majority, FIRST_VERSION + change);
            fleet.run(CUT_MS / CHANGES);
        }
        for (int number = 0; number < DRAINED; number++) {
            Process origin = number % 2 == 0 ? minority : majority;
            origin.node.publish(TestRecords.draining(replica(number), 2), origin.localMs());
        }
        fleet.run(1_000);
        return fleet;
    }

    private static boolean current(Process process) {
        return process.state.configuration().version() == FIRST_VERSION + CHANGES
                && IntStream.range(0, DRAINED)
                        .allMatch(number -> process.state
                                        .findReplica("i-" + number)
                                        .orElseThrow()
                                        .state()
                                == ReplicaState.DRAINING);
    }

    private static long messages(FleetSimulation fleet) {
        return fleet.all().stream().mapToLong(process -> process.messagesSent).sum();
    }

    private static long bytes(FleetSimulation fleet) {
        return fleet.all().stream().mapToLong(process -> process.bytesSent).sum();
    }

    @ParameterizedTest
    @CsvSource({"3,9,4", "5,84,42", "5,84,4"})
    void bothSidesAreCurrentInTimeWithoutAStorm(int controllers, int routers, int routersCutOff) {
        FleetSimulation fleet = cutAndChanged(controllers, routers, routersCutOff);
        fleet.resetCounts();
        fleet.cut = (from, to) -> false;
        fleet.quorumContact = controller -> true;
        double tookMs = fleet.runUntilAll(HealedPartitionTest::current, CONTACT_MS);
        assertTrue(tookMs <= CONTACT_MS, "all current within contact_ms");
        fleet.run(CONTACT_MS - tookMs);
        long messages = messages(fleet);
        long bytes = bytes(fleet);
        long mostBytes = fleet.all().stream()
                .mapToLong(process -> process.bytesSent)
                .max()
                .orElseThrow();
        fleet.run(10_000);
        fleet.resetCounts();
        fleet.run(CONTACT_MS);
        long atRest = messages(fleet);
        System.out.printf(
                "%d+%d, %d cut off: current after %.0f ms; in 3 s %d messages, %d bytes, at most %d of one;"
                        + " at rest %d messages%n",
                controllers, routers, routersCutOff, tookMs, messages, bytes, mostBytes, atRest);
        assertTrue(messages <= MOST_TIMES_REST * atRest, "messages after the cut");
    }
}
