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
 * Checks that no process considers its configuration the newest as of a time at which a newer one had already been
 * acknowledged, whatever is lost, delayed, duplicated, isolated, paused and restarted, and whichever controller is the
 * primary.
 */
class FreshnessPropertyTest {
    private static final int CONTROLLERS = 3;
    private static final int ROUTERS = 4;
    private static final double SETTLING_MS = 4_000;
    private static final double FAULT_PHASE_MS = 12_000;
    private static final double RECOVERY_PHASE_MS = 4_000;
    private static final double STEP_MS = 10;
    private static final double HEARTBEAT_INTERVAL_MS = 250;
    private static final double MAX_HEARTBEAT_ROUND_TRIP_MS = 300;
    private static final double MAX_CHANGE_INTERVAL_MS = 300;
    private static final double MAX_FAULT_INTERVAL_MS = 600;
    private static final double MAX_FAULT_DURATION_MS = 2_500;
    private static final double MAX_RECOVERED_AGE_MS = 1_500;

    /**
     * One run, with a model of the part of replication on which freshness depends: one primary at a time acknowledges
     * changes.
     */
    private static final class Run {
        final FleetSimulation fleet;
        private final TreeMap<Long, Double> acknowledgedAtMs = new TreeMap<>();
        private ConfigurationDocument newest = TestDocuments.withTenants(1);
        private Process primary;
        private long incarnation = 1;
        private boolean injectingFaults;

        Run(long seed) {
            fleet = FleetSimulation.started(seed, CONTROLLERS, ROUTERS);
            setPrimary(0);
            heartbeat();
            commitNextVersion();
            runAndCheck(SETTLING_MS);
        }

        /** Makes a controller the only primary, with every acknowledged change; the previous one no longer leads. */
        private void setPrimary(int controller) {
            primary = fleet.controllers.get(controller);
            primary.state.offer(newest);
            for (Process other : fleet.controllers) {
                if (other == primary || fleet.random.nextBoolean()) {
                    other.node.setKnownPrimary(Optional.of(primary.address()));
                }
            }
        }

        /**
         * A heartbeat sent while a process is the primary proves its configuration, even if the replies arrive after
         * its term.
         */
        private void heartbeat() {
            Process sender = primary;
            double sentAtMs = sender.localMs();
            double roundTripMs = fleet.random.nextDouble() * MAX_HEARTBEAT_ROUND_TRIP_MS;
            fleet.schedule(roundTripMs, () -> sender.node.confirmConfigurationUnderLease(sentAtMs));
            fleet.schedule(HEARTBEAT_INTERVAL_MS, this::heartbeat);
        }

        private void commitNextVersion() {
            newest = TestDocuments.withTenants(newest.version() + 1);
            primary.state.offer(newest);
            acknowledgedAtMs.put(newest.version(), fleet.nowMs);
            primary.node.publishConfiguration(primary.localMs());
            fleet.schedule(fleet.random.nextDouble() * MAX_CHANGE_INTERVAL_MS, this::commitNextVersion);
        }

        void injectFaults() {
            injectingFaults = true;
            fleet.lossRate = fleet.random.nextDouble() * 0.3;
            fleet.duplicationRate = fleet.random.nextDouble() * 0.3;
            fleet.jitterMs = fleet.random.nextDouble() * 1_500;
            injectNextFault();
            runAndCheck(FAULT_PHASE_MS);
        }

        void recover() {
            injectingFaults = false;
            fleet.lossRate = 0;
            fleet.jitterMs = 1;
            runAndCheck(RECOVERY_PHASE_MS);
        }

        private void injectNextFault() {
            if (!injectingFaults) {
                return;
            }
            double durationMs = fleet.random.nextDouble() * MAX_FAULT_DURATION_MS;
            int router = fleet.random.nextInt(ROUTERS);
            int controller = fleet.random.nextInt(CONTROLLERS);
            switch (fleet.random.nextInt(5)) {
                case 0 -> freeze(fleet.allProcesses().get(fleet.random.nextInt(CONTROLLERS + ROUTERS)), durationMs);
                case 1 -> isolate(
                        fleet.allProcesses()
                                .get(fleet.random.nextInt(CONTROLLERS + ROUTERS))
                                .address(),
                        durationMs);
                case 2 -> {
                    fleet.routers.get(router).kill();
                    fleet.startRouter(router, ++incarnation);
                }
                case 3 -> setPrimary(controller);
                default -> restartController(controller);
            }
            fleet.schedule(fleet.random.nextDouble() * MAX_FAULT_INTERVAL_MS, this::injectNextFault);
        }

        private void freeze(Process process, double durationMs) {
            process.freeze();
            fleet.schedule(durationMs, process::resume);
        }

        private void isolate(SocketAddress address, double durationMs) {
            fleet.isolated.add(address);
            fleet.schedule(durationMs, () -> fleet.isolated.remove(address));
        }

        private void restartController(int controller) {
            Process stopped = fleet.controllers.get(controller);
            stopped.kill();
            fleet.startController(controller, ++incarnation);
            if (stopped == primary) {
                setPrimary((controller + 1) % CONTROLLERS);
            }
        }

        void runAndCheck(double durationMs) {
            for (double endMs = fleet.nowMs + durationMs; fleet.nowMs < endMs; ) {
                fleet.run(STEP_MS);
                fleet.allProcesses().forEach(this::assertConfirmationIsSound);
            }
        }

        private void assertConfirmationIsSound(Process process) {
            Confirmation confirmation = process.node.freshness();
            double confirmedAtMs = confirmation.confirmedAtMs() - process.clockOffsetMs;
            acknowledgedAtMs
                    .tailMap(confirmation.version(), false)
                    .forEach((version, atMs) -> assertTrue(
                            confirmedAtMs <= atMs + 1e-6,
                            () -> process.address() + " confirms version " + confirmation.version() + " as of "
                                    + confirmedAtMs + ", but " + version + " was acknowledged at " + atMs));
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
    void neverConfirmsAVersionAfterANewerOneWasAcknowledged(@ForAll long seed) {
        Run run = new Run(seed);
        run.injectFaults();
        run.recover();
        run.routerAgesMs().forEach(ageMs -> assertTrue(ageMs <= MAX_RECOVERED_AGE_MS, "age after recovery: " + ageMs));
    }
}
