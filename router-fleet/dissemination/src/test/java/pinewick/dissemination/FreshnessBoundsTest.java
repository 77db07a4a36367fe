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
 * How old the confirmation of a router's configuration becomes: at rest, where the primary is lost, without a path to
 * any controller, with many datagrams lost; and what the requests cost. Figures are printed.
 */
class FreshnessBoundsTest {
    private static final int SEEDS = Integer.getInteger("freshness.seeds", 2);
    private static final double SETTLED_MS = 8_000;
    private static final double OBSERVED_MS = 15_000;
    private static final double SAMPLE_INTERVAL_MS = 10;
    /** A heartbeat is sent every 200 ms at a tick, and confirmed a little later. */
    private static final double HEARTBEAT_INTERVAL_MS = 250;

    private static final double HEARTBEAT_ROUND_TRIP_MS = 5;
    /** From the loss of a primary until its successor is confirmed by a quorum. */
    private static final double FAILOVER_MS = 1_000;

    private static final double AT_REST_MS = 900;
    private static final double LOSSY_MS = 2_500;
    private static final double FAILOVER_BOUND_MS = 3_000;
    private static final double RELAYED_MS = 3_000;
    private static final double MOST_BYTES_A_SECOND = 300;

    /** A fleet whose configuration has tenants, with the part of replication that freshness needs. */
    private static final class Fleet {
        final FleetSimulation simulation;
        private Process primary;
        private double oldestMs;

        Fleet(long seed, int controllers, int routers, double loss) {
            simulation = FleetSimulation.started(seed, controllers, routers);
            simulation.lossRate = loss;
            lead(0);
            simulation.controllers.forEach(controller -> controller.state.offer(TestDocuments.withTenants(1)));
            simulation.controllers.get(0).node.publishConfiguration(0);
            heartbeat();
            simulation.run(SETTLED_MS);
            simulation.resetCounters();
            sample();
        }

        void lead(int controller) {
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
                oldestMs = Math.max(
                        oldestMs, router.localMs() - router.node.freshness().confirmedAtMs());
            }
            simulation.schedule(SAMPLE_INTERVAL_MS, this::sample);
        }

        /** The largest age that was ever reached at a router while it is observed. */
        double oldestMs() {
            simulation.run(OBSERVED_MS);
            return oldestMs;
        }

        double bytesASecond() {
            int bytes = simulation.messagesByType.getOrDefault("ConfirmationRequest", 0)
                    + simulation.messagesByType.getOrDefault("ConfirmationReply", 0);
            return bytes * 1_000.0 / OBSERVED_MS;
        }
    }

    @ParameterizedTest
    @CsvSource({"3, 9", "5, 84", "9, 420"})
    void atRestAgesStayUnderASecondAtLittleCost(int controllers, int routers) {
        double oldestMs = 0;
        double bytesASecond = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Fleet fleet = new Fleet(seed, controllers, routers, 0);
            oldestMs = Math.max(oldestMs, fleet.oldestMs());
            bytesASecond = Math.max(bytesASecond, fleet.bytesASecond());
        }
        System.out.printf(
                "%d+%d: age at rest %.0f ms, %.0f bytes/s a router, %.0f at the primary%n",
                controllers, routers, oldestMs, bytesASecond / routers, bytesASecond);
        assertTrue(oldestMs <= AT_REST_MS, "age " + oldestMs);
        assertTrue(bytesASecond / routers <= MOST_BYTES_A_SECOND, "bytes a second " + bytesASecond / routers);
    }

    @ParameterizedTest
    @CsvSource({"3, 9, 0.02", "5, 84, 0.02", "9, 420, 0.02", "5, 84, 0.2"})
    void lostDatagramsCostAFewHundredMilliseconds(int controllers, int routers, double loss) {
        report(
                controllers + "+" + routers + ", lost " + loss,
                LOSSY_MS,
                seed -> new Fleet(seed, controllers, routers, loss));
    }

    @ParameterizedTest
    @CsvSource({"3, 9", "5, 84", "9, 420"})
    void aLostPrimaryCostsTheTimeToItsSuccessorAndLittleMore(int controllers, int routers) {
        report(controllers + "+" + routers + ", primary lost", FAILOVER_BOUND_MS, seed -> {
            Fleet fleet = new Fleet(seed, controllers, routers, 0.02);
            fleet.simulation.controllers.get(0).kill();
            fleet.simulation.schedule(FAILOVER_MS, () -> fleet.lead(1));
            return fleet;
        });
    }

    /** A third of the routers reaches no controller. */
    @ParameterizedTest
    @CsvSource({"3, 9", "5, 84", "9, 420"})
    void routersWithoutAPathToControllersLearnThroughOthers(int controllers, int routers) {
        report(controllers + "+" + routers + ", no path to controllers", RELAYED_MS, seed -> {
            Fleet fleet = new Fleet(seed, controllers, routers, 0.02);
            List<SocketAddress> severed = fleet.simulation.routers.subList(0, routers / 3).stream()
                    .map(Process::address)
                    .toList();
            Predicate<SocketAddress> isController = address -> fleet.simulation.controllers.stream()
                    .anyMatch(controller -> controller.address().equals(address));
            fleet.simulation.linkBlocked = (from, to) -> (severed.contains(from) && isController.test(to))
                    || (severed.contains(to) && isController.test(from));
            return fleet;
        });
    }

    private interface Scenario {
        Fleet start(long seed);
    }

    private static void report(String what, double boundMs, Scenario scenario) {
        double oldestMs = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            oldestMs = Math.max(oldestMs, scenario.start(seed).oldestMs());
        }
        System.out.printf("%s: age %.0f ms at most over %d seeds%n", what, oldestMs, SEEDS);
        assertTrue(oldestMs <= boundMs, "age " + oldestMs);
    }
}
