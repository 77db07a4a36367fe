package pinewick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pinewick.standins.QueryRouterProcess;
import pinewick.standins.StandinRegistry;
import pinewick.standins.StandinReplicas;

/**
 * A router in a separate process, with the classes of this build, that watches a fake registry on sockets. Every wait
 * has a bound; no test depends on how long something took.
 */
class RegistryServeTest {
    private static final String SERVICE_CLASS =
            "{\"name\":\"any\",\"slo-ns\":1e9,\"hard-limit-ns\":3e9,\"effect\":\"retryable\"}";
    private static final String PREFIX = "/stores/";

    @TempDir
    Path folder;

    private StandinRegistry registry;
    private StandinReplicas replicas;
    private QueryRouterProcess router;
    private int queryCount;

    @BeforeEach
    void open() throws Exception {
        registry = new StandinRegistry(2);
        replicas = new StandinReplicas(4, 0);
        for (int each = 0; each < 4; each++) {
            put(each, "ready");
        }
        Path operator = folder.resolve("operator.json");
        Files.writeString(
                operator,
                "{\"registry\":{\"endpoints\":[\"" + registry.members().get(0).address() + "\",\""
                        + registry.members().get(1).address() + "\"],\"prefix\":\"" + PREFIX + "\",\"page-keys\":2,"
                        + "\"line-bytes\":65536,\"kept\":\"" + folder.resolve("kept") + "\"}}");
        router = new QueryRouterProcess(null, folder, operator, SERVICE_CLASS, 2);
    }

    @AfterEach
    void close() throws Exception {
        router.close();
        registry.close();
        replicas.close();
    }

    private void put(int replica, String phase) {
        registry.put(
                PREFIX + "s-" + replica,
                "{\"addresses\":[\"" + replicas.address(replica) + "\"],\"cell\":" + replica % 2 + ",\"phase\":\""
                        + phase + "\"}");
    }

    private void start() throws Exception {
        router.start();
        assertTrue(router.awaitReady(20), () -> log());
    }

    private String log() {
        try {
            return Files.readString(router.log());
        } catch (java.io.IOException e) {
            return e.toString();
        }
    }

    private void await(String description, BooleanSupplier condition) throws Exception {
        double deadline = StandinReplicas.clock() + 30;
        while (!condition.getAsBoolean()) {
            assertTrue(
                    StandinReplicas.clock() < deadline, () -> description + " was not reached within 30 s\n" + log());
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    private boolean isAtRevision(long revision) {
        try {
            String counters = router.get("/counters");
            return counters != null && counters.contains("registry-revision " + revision + "\n");
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void awaitLatestRevision() throws Exception {
        await("revision " + registry.revision(), () -> isAtRevision(registry.revision()));
    }

    /** Sends queries; returns how many of their parts arrived at each replica. */
    private int[] query(int queries) throws Exception {
        int before = replicas.arrivals().size();
        for (int each = 0; each < queries; each++) {
            assertEquals(200, router.query("q-" + queryCount++, "any", 2, 2), () -> log());
        }
        int[] parts = new int[4];
        List<StandinReplicas.Arrival> all = replicas.arrivals();
        all.subList(before, all.size()).forEach(each -> parts[each.replica()]++);
        return parts;
    }

    @Test
    void drainStopsNewPartsUntilItEnds() throws Exception {
        start();
        query(4);
        put(0, "draining");
        awaitLatestRevision();
        assertEquals(0, query(10)[0]);
        put(0, "ready");
        put(2, "draining");
        awaitLatestRevision();
        int[] parts = query(10);
        assertTrue(parts[0] == 10 && parts[2] == 0);
    }

    @Test
    void drainInACompactedRangeIsReadWithTheFullView() throws Exception {
        start();
        registry.members().forEach(each -> each.setDown(true));
        put(1, "draining");
        registry.remove(List.of(PREFIX + "s-0"));
        registry.compact();
        assertEquals(200, router.query("q-meanwhile", "any", 2, 2), "serves from the last full view");
        registry.members().forEach(each -> each.setDown(false));
        awaitLatestRevision();
        int[] parts = query(10);
        assertTrue(parts[0] == 0 && parts[1] == 0);
        assertTrue(log().contains("is compacted"));
    }

    @Test
    void restartWhileTheRegistryIsDownServesFromTheCachedCopy() throws Exception {
        start();
        awaitLatestRevision();
        router.stop(true);
        registry.members().forEach(each -> each.setDown(true));
        start();
        assertTrue(log().contains("from the kept copy"));
        query(3);
        put(3, "draining");
        registry.compact();
        registry.members().forEach(each -> each.setDown(false));
        awaitLatestRevision();
        assertEquals(0, query(10)[3]);
    }

    @Test
    void restartAfterACompactedDrainDoesNotServeFromTheStaleCopy() throws Exception {
        start();
        awaitLatestRevision();
        router.stop(false);
        put(0, "draining");
        registry.compact();
        start();
        assertEquals(0, query(10)[0]);
    }

    @Test
    void truncatedEventLineIsNotApplied() throws Exception {
        start();
        registry.members().forEach(each -> each.breakNextEvent = true);
        put(1, "draining");
        awaitLatestRevision();
        assertEquals(0, query(10)[1]);
    }

    @Test
    void readsResponsesSplitAtAnyByte() throws Exception {
        registry.members().forEach(each -> each.maxWriteBytes = 3);
        start();
        put(2, "draining");
        awaitLatestRevision();
        assertEquals(0, query(5)[2]);
    }

    @Test
    void silentWatchIsAbandoned() throws Exception {
        start();
        registry.members().forEach(each -> each.watchSilent = true);
        put(2, "draining");
        awaitLatestRevision();
        assertEquals(0, query(5)[2]);
    }

    @Test
    void oversizedValueDoesNotAffectOtherKeys() throws Exception {
        start();
        registry.put(PREFIX + "s-0", new byte[4 << 20], 0);
        put(2, "draining");
        awaitLatestRevision();
        int[] parts = query(10);
        assertTrue(parts[0] == 10 && parts[2] == 0, "the last valid state stays in effect, and the drain is applied");
    }

    @Test
    void invalidValuesAreLoggedWithTheirKey() throws Exception {
        start();
        registry.put(
                PREFIX + "s-1",
                "{\"addresses\":[\"127.0.0.1:1\"],\"phase\":\"asleep\"}".getBytes(StandardCharsets.UTF_8),
                0);
        registry.put(PREFIX + "s-9", "{\"addresses\":[]}");
        awaitLatestRevision();
        query(4);
        assertTrue(log().contains(
                        "/stores/s-1: phase: ready or draining is expected, not asleep; its last good state holds"));
        assertTrue(log().contains("/stores/s-9: addresses: at least one is expected"));
    }

    @Test
    void expiryOfAllLeasesStopsAllPartsUntilTheReplicasReturn() throws Exception {
        for (int each = 0; each < 4; each++) {
            registry.put(
                    PREFIX + "s-" + each,
                    ("{\"addresses\":[\"" + replicas.address(each) + "\"],\"cell\":" + each % 2 + "}")
                            .getBytes(StandardCharsets.UTF_8),
                    5);
        }
        start();
        registry.expire(5);
        awaitLatestRevision();
        int before = replicas.arrivals().size();
        assertEquals(503, router.query("q-none", "any", 2, 2));
        assertEquals(before, replicas.arrivals().size());
        for (int each = 0; each < 4; each++) {
            put(each, "ready");
        }
        awaitLatestRevision();
        query(3);
    }

    @Test
    void doesNotListenBeforeAnyListIsKnown() throws Exception {
        registry.members().forEach(each -> each.setDown(true));
        router.start();
        await("the first connection attempt", () -> log().contains("left a member"));
        assertFalse(router.awaitReady(1.5));
        registry.members().forEach(each -> each.setDown(false));
        assertTrue(router.awaitReady(10));
    }

    @Test
    void routerCountRisesAtOnceAndFallsAfterADelay() throws Exception {
        Path operator = folder.resolve("operator.json");
        Files.writeString(
                operator,
                Files.readString(operator)
                        .replace(
                                "\"page-keys\"",
                                "\"mixers-prefix\":\"/mixers/\",\"lease-s\":2,\"lower-after-s\":1,\"page-keys\""));
        start();
        await("its own key", () -> countersContain("mixers-shown 1\nown-key-held 1"));
        // Two routers are configured; three are counted once others register, under a lease that then expires.
        registry.put("/mixers/a", "{\"addresses\":[\"127.0.0.1:1\"]}".getBytes(StandardCharsets.UTF_8), 9);
        registry.put("/mixers/b", "{\"addresses\":[\"127.0.0.1:2\"]}".getBytes(StandardCharsets.UTF_8), 9);
        await("three routers", () -> countersContain("mixers-counted 3\n"));
        query(3);
        registry.expire(9);
        await("one router", () -> countersContain("mixers-counted 1\n"));
        router.stop(false);
        await("the expiry of its lease", () -> registry.keyCount("/mixers/") == 0);
    }

    private boolean countersContain(String lines) {
        try {
            String counters = router.get("/counters");
            return counters != null && counters.contains(lines);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void logIsWrittenAsJsonWithFieldsIfConfigured() throws Exception {
        Path operator = folder.resolve("operator.json");
        Files.writeString(
                operator,
                Files.readString(operator).replaceFirst("\\{", "{\"log\":{\"form\":\"json\",\"level\":\"info\"},"));
        start();
        awaitLatestRevision();
        registry.put(PREFIX + "s-9", "{\"addresses\":[]}");
        await("the log line for the invalid value", () -> log().contains("at least one is expected"));
        boolean hasViewLine = false;
        for (String line : log().lines().toList()) {
            var entry = com.google.gson.JsonParser.parseString(line).getAsJsonObject();
            assertTrue(entry.has("time") && entry.has("level") && entry.has("component"), line);
            hasViewLine |= entry.get("component").getAsString().equals("registry")
                    && entry.get("message").getAsString().startsWith("registry: whole view")
                    && entry.get("revision").getAsString().equals("5");
        }
        assertTrue(hasViewLine, log());
    }

    @Test
    void followsTenThousandReplicasAndAValueOfSixtyMegabytes() throws Exception {
        Path operator = folder.resolve("operator.json");
        Files.writeString(
                operator,
                Files.readString(operator)
                        .replace("\"page-keys\":2,", "\"answer-s\":5,")
                        .replace("\"line-bytes\":65536", "\"line-bytes\":1048576"));
        start();
        for (int each = 0; each < 10_000; each++) {
            registry.put(PREFIX + "z-" + each, "{\"addresses\":[\"127.0.0.1:1\"],\"phase\":\"draining\"}");
        }
        registry.put(PREFIX + "s-0", new byte[60 << 20], 0);
        put(2, "draining");
        registry.members().forEach(StandinRegistry.Member::drop);
        awaitLatestRevision();
        await("all keys", () -> countersContain("registry-keys 10004\n"));
        int[] parts = query(10);
        assertTrue(parts[0] == 10 && parts[2] == 0);
    }

    @Test
    void drainWithAnUnusableAddressIsStillApplied() throws Exception {
        start();
        query(4);
        registry.put(
                PREFIX + "s-0", "{\"addresses\":[\"indice3.example.org:7070\"],\"cell\":0,\"phase\":\"draining\"}");
        registry.put(PREFIX + "s-1", "{\"addresses\":[\"indice4.example.org:7070\"],\"cell\":1}");
        awaitLatestRevision();
        int[] parts = query(10);
        assertTrue(parts[0] == 0 && parts[1] == 0);
    }
}
