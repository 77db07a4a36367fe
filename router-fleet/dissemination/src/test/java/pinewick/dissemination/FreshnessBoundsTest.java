package pinewick.dissemination;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pinewick.dissemination.FleetSimulation.Process;
import pinewick.model.SocketAddress;

/**
 * Tests the maximum age of the confirmation of a router's configuration in an idle fleet, after the primary fails,
 * without a path to any controller and with many datagrams lost, and the traffic of the requests. Prints the figures.
 */
class FreshnessBoundsTest {
    private static final int SEEDS = Integer.getInteger("freshness.seeds", 2);
    private static final double SETTLING_MS = 8_000;
    private static final double OBSERVATION_MS = 15_000;
    private static final double SAMPLE_INTERVAL_MS = 10;
    /** A heartbeat is sent every 200 ms, at the next tick, and confirmed shortly afterwards. */
    private static final double HEARTBEAT_INTERVAL_MS = 250;

    private static final double HEARTBEAT_ROUND_TRIP_MS = 5;
    /** Time from the failure of a primary until a quorum has confirmed its successor. */
    private static final double FAILOVER_MS = 1_000;

    private static final double MAX_IDLE_AGE_MS = 900;
    private static final double MAX_LOSSY_AGE_MS = 2_500;
    private static final double MAX_FAILOVER_AGE_MS = 3_000;
    private static final double MAX_RELAYED_AGE_MS = 3_000;
    private static final double MAX_BYTES_PER_SECOND = 300;

    /** A fleet whose configuration has tenants, with a model of the part of replication on which freshness depends. */
    private static final class Fleet {
        final FleetSimulation simulation;
        private Process primary;
        private double maxAgeMs;

        Fleet(long seed, int controllers, int routers, double lossRate) {
            simulation = FleetSimulation.started(seed, controllers, routers);
            simulation.lossRate = lossRate;
            setPrimary(0);
            simulation.controllers.forEach(controller -> controller.state.offer(TestDocuments.withTenants(1)));
            simulation.controllers.get(0).node.publishConfiguration(0);
            heartbeat();
            simulation.run(SETTLING_MS);
            simulation.resetCounters();
            sample();
        }

        void setPrimary(int controller) {
            primary = simulation.controllers.get(controller);
            simulation.controllers.forEach(other -> other.node.setKnownPrimary(Optional.of(primary.address())));
        }

        private void heartbeat() {
            if (primary.alive) {
                primary.node.confirmConfigurationUnderLease(primary.localMs() - HEARTBEAT_ROUND_TRIP_MS);
            }
            simulation.schedule(HEARTBEAT_INTERVAL_MS, this::heartbeat);
        }

        private void sample() {
            for (Process router : simulation.routers) {
                maxAgeMs = Math.max(
                        maxAgeMs, router.localMs() - router.node.freshness().confirmedAtMs());
            }
            simulation.schedule(SAMPLE_INTERVAL_MS, this::sample);
        }

        /** Runs the observation period; returns the maximum age at any router since the fleet settled, milliseconds. */
        double maxAgeMs() {
            simulation.run(OBSERVATION_MS);
            return maxAgeMs;
        }

        double bytesPerSecond() {
            int bytes = simulation.bytesByMessageType.getOrDefault("ConfirmationRequest", 0)
                    + simulation.bytesByMessageType.getOrDefault("ConfirmationReply", 0);
            return bytes * 1_000.0 / OBSERVATION_MS;
        }
    }

    @ParameterizedTest
    @CsvSource({"3, 9", "5, 84", "9, 420"})
    void idleAgesStayUnderASecondWithLimitedTraffic(int controllers, int routers) {
        double maxAgeMs = 0;
        double bytesPerSecond = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Fleet fleet = new Fleet(seed, controllers, routers, 0);
            maxAgeMs = Math.max(maxAgeMs, fleet.maxAgeMs());
            bytesPerSecond = Math.max(bytesPerSecond, fleet.bytesPerSecond());
        }
        System.out.printf(
                "%d+%d: idle age %.0f ms, %.0f bytes/s per router, %.0f at the primary%n",
                controllers, routers, maxAgeMs, bytesPerSecond / routers, bytesPerSecond);
        assertTrue(maxAgeMs <= MAX_IDLE_AGE_MS, "age " + maxAgeMs);
        assertTrue(bytesPerSecond / routers <= MAX_BYTES_PER_SECOND, "bytes per second " + bytesPerSecond / routers);
    }

    @ParameterizedTest
    @CsvSource({"3, 9, 0.02", "5, 84, 0.02", "9, 420, 0.02", "5, 84, 0.2"})
    void agesStayBoundedWithLostDatagrams(int controllers, int routers, double lossRate) {
        assertMaxAge(
                controllers + "+" + routers + ", loss rate " + lossRate,
                MAX_LOSSY_AGE_MS,
                seed -> new Fleet(seed, controllers, routers, lossRate));
    }

    @ParameterizedTest
    @CsvSource({"3, 9", "5, 84", "9, 420"})
    void agesStayBoundedDuringFailover(int controllers, int routers) {
        assertMaxAge(controllers + "+" + routers + ", primary failed", MAX_FAILOVER_AGE_MS, seed -> {
            Fleet fleet = new Fleet(seed, controllers, routers, 0.02);
            fleet.simulation.controllers.get(0).kill();
            fleet.simulation.schedule(FAILOVER_MS, () -> fleet.setPrimary(1));
            return fleet;
        });
    }

    /** A third of the routers can reach no controller. */
    @ParameterizedTest
    @CsvSource({"3, 9", "5, 84", "9, 420"})
    void routersWithoutAPathToControllersAreConfirmedThroughOthers(int controllers, int routers) {
        assertMaxAge(controllers + "+" + routers + ", no path to controllers", MAX_RELAYED_AGE_MS, seed -> {
            Fleet fleet = new Fleet(seed, controllers, routers, 0.02);
            List<SocketAddress> routersWithoutControllers = fleet.simulation.routers.subList(0, routers / 3).stream()
                    .map(Process::address)
                    .toList();
            Predicate<SocketAddress> isController = address -> fleet.simulation.controllers.stream()
                    .anyMatch(controller -> controller.address().equals(address));
            fleet.simulation.linkBlocked = (from, to) ->
                    (routersWithoutControllers.contains(from) && isController.test(to))
                            || (routersWithoutControllers.contains(to) && isController.test(from));
            return fleet;
        });
    }

    private interface Scenario {
        Fleet start(long seed);
    }

    private static void assertMaxAge(String label, double boundMs, Scenario scenario) {
        double maxAgeMs = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            maxAgeMs = Math.max(maxAgeMs, scenario.start(seed).maxAgeMs());
        }
        System.out.printf("%s: max age %.0f ms over %d seeds%n", label, maxAgeMs, SEEDS);
        assertTrue(maxAgeMs <= boundMs, "age " + maxAgeMs);
    }
}
