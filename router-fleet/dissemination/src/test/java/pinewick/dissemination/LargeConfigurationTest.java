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

/** Tests a configuration of 2,200 routes that changes hundreds of times in a fleet of 84 routers, and slow links. */
class LargeConfigurationTest {
    private static final int CONTROLLERS = 5;
    private static final int ROUTERS = 84;
    private static final int ROUTES = 2_200;
    private static final int MISSED_VERSIONS = 300;
    private static final int CHANGES = 10;
    private static final int VERSIONS_ADDED = 8;
    private static final double START_MS = 5_000;
    private static final double CHANGE_INTERVAL_MS = 200;
    private static final double CONTACT_MS = 3_000;

    /** 7 Mbit/s. */
    private static final double SLOW_LINK_BYTES_PER_MS = 875;

    private static final double TIMEOUT_MS = 60_000;
    private static final long MAX_BYTES_PER_CHANGE = 8_000;

    private static ConfigurationDocument withOneRouteChanged(ConfigurationDocument document) {
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

    private static double awaitVersionEverywhere(FleetSimulation fleet, long version) {
        return fleet.runUntilAll(process -> process.state.configuration().version() >= version, TIMEOUT_MS);
    }

    private static FleetSimulation started(long seed, ConfigurationDocument document) {
        FleetSimulation fleet = FleetSimulation.started(seed, CONTROLLERS, ROUTERS);
        fleet.run(START_MS);
        commit(fleet, document);
        assertTrue(awaitVersionEverywhere(fleet, document.version()) < TIMEOUT_MS);
        return fleet;
    }

    @Test
    void retainsLargeVersionsThatShareMostItems() {
        ConfigurationHistory history = new ConfigurationHistory();
        ConfigurationDocument document = TestDocuments.withRoutes(1, ROUTES);
        for (int change = 0; change < VERSIONS_ADDED; change++) {
            history.add(document);
            document = withOneRouteChanged(document);
        }
        for (long base = 1; base < VERSIONS_ADDED; base++) {
            ConfigurationUpdate update = history.updateFrom(base);
            assertEquals(base, update.baseVersion());
            assertTrue(update.body().length <= ConfigurationGossip.MAX_PUSHED_BYTES);
        }
    }

    @Test
    void dropsLargeVersionsThatShareNoItems() {
        ConfigurationHistory history = new ConfigurationHistory();
        for (long version = 1; version <= VERSIONS_ADDED; version++) {
            history.add(TestDocuments.withRoutes(version, ROUTES));
        }
        assertEquals(VERSIONS_ADDED - 1, history.previousVersion());
        assertEquals(
                ConfigurationDelta.FULL_DOCUMENT,
                history.updateFrom(VERSIONS_ADDED - 2).baseVersion());
    }

    @Test
    void changeOfOneRouteIsSentAsADelta() {
        ConfigurationDocument document = TestDocuments.withRoutes(1, ROUTES);
        FleetSimulation fleet = started(1, document);
        fleet.lossRate = 0.02;
        fleet.resetCounters();
        for (int change = 0; change < CHANGES; change++) {
            document = withOneRouteChanged(document);
            commit(fleet, document);
            assertTrue(awaitVersionEverywhere(fleet, document.version()) < CONTACT_MS);
        }
        long meanBytes =
                fleet.routers.stream().mapToLong(router -> router.bytesReceived).sum() / ROUTERS / CHANGES;
        System.out.printf("a change of one of %d routes: a router receives %d bytes%n", ROUTES, meanBytes);
        assertTrue(meanBytes < MAX_BYTES_PER_CHANGE, "receives " + meanBytes);
    }

    private static void scheduleChanges(FleetSimulation fleet, ConfigurationDocument document) {
        fleet.schedule(CHANGE_INTERVAL_MS, () -> {
            ConfigurationDocument next = withOneRouteChanged(document);
            commit(fleet, next);
            scheduleChanges(fleet, next);
        });
    }

    /** All routers reconnect at the same time, while changes continue. */
    @Test
    void routersThatMissedHundredsOfVersionsCatchUpOverSlowLinks() {
        ConfigurationDocument document = TestDocuments.withRoutes(1, ROUTES);
        FleetSimulation fleet = started(2, document);
        fleet.routers.forEach(router -> fleet.isolated.add(router.address()));
        for (int change = 0; change < MISSED_VERSIONS; change++) {
            document = withOneRouteChanged(document);
            commit(fleet, document);
            fleet.run(CHANGE_INTERVAL_MS);
        }
        fleet.isolated.clear();
        fleet.linkBytesPerMs = SLOW_LINK_BYTES_PER_MS;
        fleet.resetCounters();
        scheduleChanges(fleet, document);
        double tookMs = awaitVersionEverywhere(fleet, document.version());
        long maxBytesReceived = fleet.routers.stream()
                .mapToLong(router -> router.bytesReceived)
                .max()
                .orElse(0);
        long maxBytesSent = fleet.controllers.stream()
                .mapToLong(controller -> controller.bytesSent)
                .max()
                .orElse(0);
        System.out.printf(
                "%d routers that missed %d versions of %d routes, 7 Mbit/s: current after %.0f ms; a router receives"
                        + " at most %d KB, a controller sends at most %d KB%n",
                ROUTERS, MISSED_VERSIONS, ROUTES, tookMs, maxBytesReceived / 1_024, maxBytesSent / 1_024);
        assertTrue(tookMs < CONTACT_MS, "took " + tookMs);
    }
}
