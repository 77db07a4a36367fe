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

/** After a partition of 20 seconds heals, both sides become current in time and with limited traffic. */
class HealedPartitionTest {
    private static final double CONTACT_MS = 3_000;
    private static final double PARTITION_MS = 20_000;
    private static final int ROUTES = 400;
    private static final int REPLICAS = 40;
    private static final int DRAINED_REPLICAS = 10;
    /** More versions than are retained as bases of deltas. */
    private static final int CHANGES = 20;

    private static final int MAX_MULTIPLE_OF_IDLE_MESSAGES = 5;
    private static final long FIRST_VERSION = 5;

    private static ReplicaRecord replica(int number) {
        return TestRecords.ready("i-" + number, 1);
    }

    private static void commit(Process origin, long version) {
        origin.state.offer(TestDocuments.withRoutes(version, ROUTES, (int) (version - FIRST_VERSION)));
        origin.node.publishConfiguration(origin.localMs());
    }

    /**
     * Partitions one controller and some routers from the others. Meanwhile configurations change, and replicas drain
     * on both sides.
     */
    private static FleetSimulation changedDuringPartition(int controllers, int routers, int routersInMinority) {
        FleetSimulation fleet = FleetSimulation.started(21, controllers, routers);
        fleet.lossRate = 0.02;
        fleet.run(6_000);
        Process minority = fleet.controllers.get(0);
        Process majority = fleet.controllers.get(1);
        commit(majority, FIRST_VERSION);
        IntStream.range(0, REPLICAS).forEach(number -> majority.node.publish(replica(number), majority.localMs()));
        fleet.run(4_000);
        Set<SocketAddress> minoritySide = new HashSet<>();
        minoritySide.add(minority.address());
        fleet.routers.subList(0, routersInMinority).forEach(router -> minoritySide.add(router.address()));
        fleet.linkBlocked = (from, to) -> minoritySide.contains(from) != minoritySide.contains(to);
        fleet.quorumContact = controller -> !minoritySide.contains(controller.address());
        for (int change = 1; change <= CHANGES; change++) {
            commit(majority, FIRST_VERSION + change);
            fleet.run(PARTITION_MS / CHANGES);
        }
        for (int number = 0; number < DRAINED_REPLICAS; number++) {
            Process origin = number % 2 == 0 ? minority : majority;
            origin.node.publish(TestRecords.draining(replica(number), 2), origin.localMs());
        }
        fleet.run(1_000);
        return fleet;
    }

    private static boolean isCurrent(Process process) {
        return process.state.configuration().version() == FIRST_VERSION + CHANGES
                && IntStream.range(0, DRAINED_REPLICAS)
                        .allMatch(number -> process.state
                                        .findReplica("i-" + number)
                                        .orElseThrow()
                                        .state()
                                == ReplicaState.DRAINING);
    }

    private static long messages(FleetSimulation fleet) {
        return fleet.allProcesses().stream()
                .mapToLong(process -> process.messagesSent)
                .sum();
    }

    private static long bytes(FleetSimulation fleet) {
        return fleet.allProcesses().stream()
                .mapToLong(process -> process.bytesSent)
                .sum();
    }

    @ParameterizedTest
    @CsvSource({"3,9,4", "5,84,42", "5,84,4"})
    void bothSidesAreCurrentInTimeWithLimitedTraffic(int controllers, int routers, int routersInMinority) {
        FleetSimulation fleet = changedDuringPartition(controllers, routers, routersInMinority);
        fleet.resetCounters();
        fleet.linkBlocked = (from, to) -> false;
        fleet.quorumContact = controller -> true;
        double tookMs = fleet.runUntilAll(HealedPartitionTest::isCurrent, CONTACT_MS);
        assertTrue(tookMs <= CONTACT_MS, "all current within contact_ms");
        fleet.run(CONTACT_MS - tookMs);
        long messages = messages(fleet);
        long bytes = bytes(fleet);
        long maxBytes = fleet.allProcesses().stream()
                .mapToLong(process -> process.bytesSent)
                .max()
                .orElseThrow();
        fleet.run(10_000);
        fleet.resetCounters();
        fleet.run(CONTACT_MS);
        long idleMessages = messages(fleet);
        System.out.printf(
                "%d+%d, %d partitioned: current after %.0f ms; in 3 s %d messages, %d bytes, at most %d per process;"
                        + " idle %d messages%n",
                controllers, routers, routersInMinority, tookMs, messages, bytes, maxBytes, idleMessages);
        assertTrue(messages <= MAX_MULTIPLE_OF_IDLE_MESSAGES * idleMessages, "messages after the partition healed");
    }
}
