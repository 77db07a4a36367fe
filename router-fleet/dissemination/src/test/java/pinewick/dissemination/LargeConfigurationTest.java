package pinewick.dissemination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.util.Map;
import org.junit.jupiter.api.Test;
import pinewick.dissemination.FleetMessages.ConfigurationUpdate;
import pinewick.dissemination.FleetSimulation.Process;
import pinewick.model.ConfigurationDelta;
import pinewick.model.ConfigurationDocument;

/** A configuration of over 2,000 routes that changes hundreds of times, in a fleet of 84 routers; also slow links. */
class LargeConfigurationTest {
    private static final int CONTROLLERS = 5;
    private static final int ROUTERS = 84;
    private static final int ROUTES = 2_200;
    private static final int MISSED = 300;
    private static final int CHANGES = 10;
    private static final int KEPT = 8;
    private static final double START_MS = 5_000;
    private static final double BETWEEN_MS = 200;
    private static final double CONTACT_MS = 3_000;

    /** 7 Mbit/s. */
    private static final double SLOW_LINK_BYTES_A_MS = 875;

    private static final double LONGEST_MS = 60_000;
    private static final long MOST_BYTES_A_CHANGE = 8_000;

    private static ConfigurationDocument changed(ConfigurationDocument document) {
        String name = document.sections().get("routes").keySet().iterator().next();
        JsonObject route = document.sections().get("routes").get(name).deepCopy();
        route.addProperty("timeout_ms", 1_000 + document.version());
        return new ConfigurationDelta(
                        document.version(),
                        document.version() + 1,
                        Map.of("routes", Map.of(name, route)),
                        Map.of(),
                        document.fields())
                .applyTo(document);
    }

    private static void commit(FleetSimulation fleet, ConfigurationDocument document) {
        Process origin = fleet.controllers.get(0);
        origin.state.offer(document);
        origin.node.publishConfiguration(origin.localMs());
    }

    private static double untilAllHold(FleetSimulation fleet, long version) {
        return fleet.runUntilAll(process -> process.state.configuration().version() >= version, LONGEST_MS);
    }

    private static FleetSimulation started(long seed, ConfigurationDocument document) {
        FleetSimulation fleet = FleetSimulation.started(seed, CONTROLLERS, ROUTERS);
        fleet.run(START_MS);
        commit(fleet, document);
        assertTrue(untilAllHold(fleet, document.version()) < LONGEST_MS);
        return fleet;
    }

    @Test
    void versionsThatShareMostRoutesAreRetainedWhateverTheirSize() {
        ConfigurationHistory history = new ConfigurationHistory();
        ConfigurationDocument document = TestDocuments.withRoutes(1, ROUTES);
        for (int change = 0; change < KEPT; change++) {
            history.add(document);
            document = changed(document);
        }
        for (long base = 1; base < KEPT; base++) {
            ConfigurationUpdate update = history.updateFrom(base);
            assertEquals(base, update.baseVersion());
            assertTrue(update.body().length <= ConfigurationGossip.MAX_PUSHED_BYTES);
        }
    }

    @Test
    void versionsThatShareNothingAreDroppedIfLarge() {
        ConfigurationHistory history = new ConfigurationHistory();
        for (long version = 1; version <= KEPT; version++) {
            history.add(TestDocuments.withRoutes(version, ROUTES));
        }
        assertEquals(KEPT - 1, history.previousVersion());
        assertEquals(
                ConfigurationDelta.FULL_DOCUMENT, history.updateFrom(KEPT - 2).baseVersion());
    }

    @Test
    void aChangeOfOneRouteTravelsAsADifference() {
        ConfigurationDocument document = TestDocuments.withRoutes(1, ROUTES);
        FleetSimulation fleet = started(1, document);
        fleet.lossRate = 0.02;
        fleet.resetCounters();
        for (int change = 0; change < CHANGES; change++) {
            document = changed(document);
            commit(fleet, document);
            assertTrue(untilAllHold(fleet, document.version()) < CONTACT_MS);
        }
        long mean =
                fleet.routers.stream().mapToLong(router -> router.bytesReceived).sum() / ROUTERS / CHANGES;
        System.out.printf("a change of one of %d routes: a router receives %d bytes%n", ROUTES, mean);
        assertTrue(mean < MOST_BYTES_A_CHANGE, "receives " + mean);
    }

    private static void changeAgain(FleetSimulation fleet, ConfigurationDocument document) {
        fleet.schedule(BETWEEN_MS, () -> {
            ConfigurationDocument next = changed(document);
            commit(fleet, next);
            changeAgain(fleet, next);
        });
    }

    /** All routers come back at once, while changes go on. */
    @Test
    void routersThatMissedHundredsOfVersionsCatchUpOnSlowLinks() {
        ConfigurationDocument document = TestDocuments.withRoutes(1, ROUTES);
        FleetSimulation fleet = started(2, document);
        fleet.routers.forEach(router -> fleet.isolated.add(router.address()));
        for (int change = 0; change < MISSED; change++) {
            document = changed(document);
            commit(fleet, document);
            fleet.run(BETWEEN_MS);
        }
        fleet.isolated.clear();
        fleet.linkBytesPerMs = SLOW_LINK_BYTES_A_MS;
        fleet.resetCounters();
        changeAgain(fleet, document);
        double tookMs = untilAllHold(fleet, document.version());
        long most = fleet.routers.stream()
                .mapToLong(router -> router.bytesReceived)
                .max()
                .orElse(0);
        long sent = fleet.controllers.stream()
                .mapToLong(controller -> controller.bytesSent)
                .max()
                .orElse(0);
        System.out.printf(
                "%d routers that missed %d versions of %d routes, 7 Mbit/s: current after %.0f ms; a router receives"
                        + " at most %d KB, a controller sends at most %d KB%n",
                ROUTERS, MISSED, ROUTES, tookMs, most / 1_024, sent / 1_024);
        assertTrue(tookMs < CONTACT_MS, "took " + tookMs);
    }
}
