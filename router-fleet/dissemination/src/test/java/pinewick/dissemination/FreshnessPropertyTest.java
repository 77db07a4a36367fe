package pinewick.dissemination;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import pinewick.dissemination.FleetSimulation.Process;
import pinewick.model.ConfigurationDocument;
import pinewick.model.SocketAddress;

/**
 * No process takes its configuration for the newest as of a time at which a newer one had been acknowledged, whatever
 * is lost, late, doubled, cut, frozen and restarted, and whoever is the primary.
 */
class FreshnessPropertyTest {
    private static final int CONTROLLERS = 3;
    private static final int ROUTERS = 4;
    private static final double SETTLED_MS = 4_000;
    private static final double TROUBLE_MS = 12_000;
    private static final double CALM_MS = 4_000;
    private static final double STEP_MS = 10;
    private static final double HEARTBEAT_INTERVAL_MS = 250;
    private static final double MAX_HEARTBEAT_ROUND_TRIP_MS = 300;
    private static final double MAX_CHANGE_INTERVAL_MS = 300;
    private static final double MAX_TROUBLE_INTERVAL_MS = 600;
    private static final double MAX_TROUBLE_DURATION_MS = 2_500;
    private static final double CALM_AGE_MS = 1_500;

    /** A run, with the part of replication that freshness needs: one primary at a time, which acknowledges changes. */
    private static final class Run {
        final FleetSimulation fleet;
        private final TreeMap<Long, Double> acknowledgedAtMs = new TreeMap<>();
        private ConfigurationDocument newest = TestDocuments.withTenants(1);
        private Process primary;
        private long incarnation = 1;
        private boolean troubled;

        Run(long seed) {
            fleet = FleetSimulation.started(seed, CONTROLLERS, ROUTERS);
            lead(0);
            heartbeat();
            change();
            pass(SETTLED_MS);
        }

        /** A controller becomes primary: it has all that was acknowledged, and the earlier one no longer leads. */
        private void lead(int controller) {
            primary = fleet.controllers.get(controller);
            primary.state.offer(newest);
            for (Process other : fleet.controllers) {
                if (other == primary || fleet.random.nextBoolean()) {
                    other.node.setKnownPrimary(Optional.of(primary.address()));
                }
            }
        }

        /** What is sent while a process leads proves its configuration, also where the answers come after its reign. */
        private void heartbeat() {
            Process sender = primary;
            double sentAtMs = sender.localMs();
            double roundTripMs = fleet.random.nextDouble() * MAX_HEARTBEAT_ROUND_TRIP_MS;
            fleet.schedule(roundTripMs, () -> sender.node.confirmConfigurationUnderLease(sentAtMs));
            fleet.schedule(HEARTBEAT_INTERVAL_MS, this::heartbeat);
        }

        private void change() {
            newest = TestDocuments.withTenants(newest.version() + 1);
            primary.state.offer(newest);
            acknowledgedAtMs.put(newest.version(), fleet.nowMs);
            primary.node.publishConfiguration(primary.localMs());
            fleet.schedule(fleet.random.nextDouble() * MAX_CHANGE_INTERVAL_MS, this::change);
        }

        void trouble() {
            troubled = true;
            fleet.lossRate = fleet.random.nextDouble() * 0.3;
            fleet.duplicationRate = fleet.random.nextDouble() * 0.3;
            fleet.jitterMs = fleet.random.nextDouble() * 1_500;
            injectNext();
            pass(TROUBLE_MS);
        }

        void calm() {
            troubled = false;
            fleet.lossRate = 0;
            fleet.jitterMs = 1;
            pass(CALM_MS);
        }

        private void injectNext() {
            if (!troubled) {
                return;
            }
            double forMs = fleet.random.nextDouble() * MAX_TROUBLE_DURATION_MS;
            int router = fleet.random.nextInt(ROUTERS);
            int controller = fleet.random.nextInt(CONTROLLERS);
            switch (fleet.random.nextInt(5)) {
                case 0 -> freeze(fleet.allProcesses().get(fleet.random.nextInt(CONTROLLERS + ROUTERS)), forMs);
                case 1 -> cutOff(
                        fleet.allProcesses()
                                .get(fleet.random.nextInt(CONTROLLERS + ROUTERS))
                                .address(),
                        forMs);
                case 2 -> {
                    fleet.routers.get(router).kill();
                    fleet.startRouter(router, ++incarnation);
                }
                case 3 -> lead(controller);
                default -> loseController(controller);
            }
            fleet.schedule(fleet.random.nextDouble() * MAX_TROUBLE_INTERVAL_MS, this::injectNext);
        }

        private void freeze(Process process, double forMs) {
            process.freeze();
            fleet.schedule(forMs, process::resume);
        }

        private void cutOff(SocketAddress address, double forMs) {
            fleet.isolated.add(address);
            fleet.schedule(forMs, () -> fleet.isolated.remove(address));
        }

        private void loseController(int controller) {
            Process lost = fleet.controllers.get(controller);
            lost.kill();
            fleet.startController(controller, ++incarnation);
            if (lost == primary) {
                lead((controller + 1) % CONTROLLERS);
            }
        }

        void pass(double durationMs) {
            for (double endMs = fleet.nowMs + durationMs; fleet.nowMs < endMs; ) {
                fleet.run(STEP_MS);
                fleet.allProcesses().forEach(this::check);
            }
        }

        private void check(Process process) {
            Confirmation confirmation = process.node.freshness();
            double confirmedAtMs = confirmation.confirmedAtMs() - process.clockOffsetMs;
            acknowledgedAtMs
                    .tailMap(confirmation.version(), false)
                    .forEach((version, atMs) -> assertTrue(
                            confirmedAtMs <= atMs + 1e-6,
                            () -> process.address() + " confirms " + confirmation.version() + " as of " + confirmedAtMs
                                    + ", but " + version + " was acknowledged at " + atMs));
        }

        List<Double> routerAgesMs() {
            List<Double> agesMs = new ArrayList<>();
            for (Process router : fleet.routers) {
                agesMs.add(router.localMs() - router.node.freshness().confirmedAtMs());
            }
            return agesMs;
        }
    }

    @Property(tries = 60)
    void noConfirmationIsTooLate(@ForAll long seed) {
        Run run = new Run(seed);
        run.trouble();
        run.calm();
        run.routerAgesMs().forEach(ageMs -> assertTrue(ageMs <= CALM_AGE_MS, "age after all troubles: " + ageMs));
    }
}
