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
 * A mixer in a process of its own, from this build's classes, that follows a fake registry on sockets. Every wait has a
 * bound; no test depends on how long something took.
 */
class RegistryServeTest {
    private static final String SERVICE_CLASS =
            "{\"name\":\"any\",\"slo-ns\":1e9,\"hard-limit-ns\":3e9,\"effect\":\"retryable\"}";
    private static final String PREFIX = "/stores/";

    @TempDir
    Path folder;

    private StandinRegistry registry;
    private StandinReplicas searchers;
    private QueryRouterProcess mixer;
    private int queryCount;

    @BeforeEach
    void open() throws Exception {
        registry = new StandinRegistry(2);
        searchers = new StandinReplicas(4, 0);
        for (int each = 0; each < 4; each++) {
            put(each, "ready");
        }
        Path operator = folder.resolve("operator.json");
        Files.writeString(
                operator,
                "{\"registry\":{\"endpoints\":[\"" + registry.members().get(0).address() + "\",\""
                        + registry.members().get(1).address() + "\"],\"prefix\":\"" + PREFIX + "\",\"page-keys\":2,"
                        + "\"line-bytes\":65536,\"kept\":\"" + folder.resolve("kept") + "\"}}");
        mixer = new QueryRouterProcess(null, folder, operator, SERVICE_CLASS, 2);
    }

    @AfterEach
    void close() throws Exception {
        mixer.close();
        registry.close();
        searchers.close();
    }

    private void put(int searcher, String phase) {
        registry.put(
                PREFIX + "s-" + searcher,
                "{\"addresses\":[\"" + searchers.address(searcher) + "\"],\"cell\":" + searcher % 2 + ",\"phase\":\""
                        + phase + "\"}");
    }

    private void start() throws Exception {
        mixer.start();
        assertTrue(mixer.awaitReady(20), () -> log());
    }

    private String log() {
        try {
            return Files.readString(mixer.log());
        } catch (java.io.IOException unreadable) {
            return unreadable.toString();
        }
    }

    private void await(String what, BooleanSupplier condition) throws Exception {
        double deadline = StandinReplicas.clock() + 30;
        while (!condition.getAsBoolean()) {
            assertTrue(StandinReplicas.clock() < deadline, () -> what + " did not come\n" + log());
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    private boolean isAtRevision(long revision) {
        try {
            String counters = mixer.get("/counters");
            return counters != null && counters.contains("registry-revision " + revision + "\n");
        } catch (InterruptedException stopped) {
            throw new IllegalStateException(stopped);
        }
    }

    private void awaitNewest() throws Exception {
        await("revision " + registry.revision(), () -> isAtRevision(registry.revision()));
    }

    /** Sends queries; returns how many of their parts arrived at each replica. */
    private int[] ask(int queries) throws Exception {
        int before = searchers.arrivals().size();
        for (int each = 0; each < queries; each++) {
            assertEquals(200, mixer.ask("q-" + queryCount++, "any", 2, 2), () -> log());
        }
        int[] parts = new int[4];
        List<StandinReplicas.Arrival> all = searchers.arrivals();
        all.subList(before, all.size()).forEach(each -> parts[each.searcher()]++);
        return parts;
    }

    @Test
    void aDrainIsObeyedAndItsEndToo() throws Exception {
        start();
        ask(4);
        put(0, "draining");
        awaitNewest();
        assertEquals(0, ask(10)[0]);
        put(0, "ready");
        put(2, "draining");
        awaitNewest();
        int[] parts = ask(10);
        assertTrue(parts[0] == 10 && parts[2] == 0);
    }

    @Test
    void aDrainInACompactedRangeComesWithTheWholeView() throws Exception {
        start();
        registry.members().forEach(each -> each.down(true));
        put(1, "draining");
        registry.remove(List.of(PREFIX + "s-0"));
        registry.compact();
        assertEquals(200, mixer.ask("q-meanwhile", "any", 2, 2), "the last whole view serves on");
        registry.members().forEach(each -> each.down(false));
        awaitNewest();
        int[] parts = ask(10);
        assertTrue(parts[0] == 0 && parts[1] == 0);
        assertTrue(log().contains("is compacted"));
    }

    @Test
    void aRestartWhileTheRegistryIsDownServesFromTheKeptCopy() throws Exception {
        start();
        awaitNewest();
        mixer.stop(true);
        registry.members().forEach(each -> each.down(true));
        start();
        assertTrue(log().contains("from the kept copy"));
        ask(3);
        put(3, "draining");
        registry.compact();
        registry.members().forEach(each -> each.down(false));
        awaitNewest();
        assertEquals(0, ask(10)[3]);
    }

    @Test
    void aRestartAfterACompactedDrainNeverServesByTheOldCopy() throws Exception {
        start();
        awaitNewest();
        mixer.stop(false);
        put(0, "draining");
        registry.compact();
        start();
        assertEquals(0, ask(10)[0]);
    }

    @Test
    void halfALineAndACloseChangeNothing() throws Exception {
        start();
        registry.members().forEach(each -> each.breaksNextEvent = true);
        put(1, "draining");
        awaitNewest();
        assertEquals(0, ask(10)[1]);
    }

    @Test
    void answersSplitAtAnyByteAreRead() throws Exception {
        registry.members().forEach(each -> each.split = 3);
        start();
        put(2, "draining");
        awaitNewest();
        assertEquals(0, ask(5)[2]);
    }

    @Test
    void aWatchThatConnectsAndSaysNothingIsLeft() throws Exception {
        start();
        registry.members().forEach(each -> each.mute = true);
        put(2, "draining");
        awaitNewest();
        assertEquals(0, ask(5)[2]);
    }

    @Test
    void aHugeValueTakesNothingElseAway() throws Exception {
        start();
        registry.put(PREFIX + "s-0", new byte[4 << 20], 0);
        put(2, "draining");
        awaitNewest();
        int[] parts = ask(10);
        assertTrue(parts[0] == 10 && parts[2] == 0, "its last good state holds, and the drain is obeyed");
    }

    @Test
    void valuesThatCannotBeReadAreNamedInTheLog() throws Exception {
        start();
        registry.put(
                PREFIX + "s-1",
                "{\"addresses\":[\"127.0.0.1:1\"],\"phase\":\"asleep\"}".getBytes(StandardCharsets.UTF_8),
                0);
        registry.put(PREFIX + "s-9", "{\"addresses\":[]}");
        awaitNewest();
        ask(4);
        assertTrue(log().contains(
                        "/stores/s-1: phase: ready or draining is expected, not asleep; its last good state holds"));
        assertTrue(log().contains("/stores/s-9: addresses: at least one is expected"));
    }

    @Test
    void leasesThatRunOutInBulkEndAllSendsAndTheirReturnIsSeen() throws Exception {
        for (int each = 0; each < 4; each++) {
            registry.put(
                    PREFIX + "s-" + each,
                    ("{\"addresses\":[\"" + searchers.address(each) + "\"],\"cell\":" + each % 2 + "}")
                            .getBytes(StandardCharsets.UTF_8),
                    5);
        }
        start();
        registry.expire(5);
        awaitNewest();
        int before = searchers.arrivals().size();
        assertEquals(503, mixer.ask("q-none", "any", 2, 2));
        assertEquals(before, searchers.arrivals().size());
        for (int each = 0; each < 4; each++) {
            put(each, "ready");
        }
        awaitNewest();
        ask(3);
    }

    @Test
    void withoutAnyListTheListenerStaysClosed() throws Exception {
        registry.members().forEach(each -> each.down(true));
        mixer.start();
        await("a first try", () -> log().contains("left a member"));
        assertFalse(mixer.awaitReady(1.5));
        registry.members().forEach(each -> each.down(false));
        assertTrue(mixer.awaitReady(10));
    }

    @Test
    void mixersCountEachOtherMoreAtOnceFewerLater() throws Exception {
        Path operator = folder.resolve("operator.json");
        Files.writeString(
                operator,
                Files.readString(operator)
                        .replace(
                                "\"page-keys\"",
                                "\"mixers-prefix\":\"/mixers/\",\"lease-s\":2,\"lower-after-s\":1,\"page-keys\""));
        start();
        await("its own key", () -> countersContain("mixers-shown 1\nown-key-held 1"));
        // Two mixers are configured; three are counted once others register, under a lease that then expires.
        registry.put("/mixers/a", "{\"addresses\":[\"127.0.0.1:1\"]}".getBytes(StandardCharsets.UTF_8), 9);
        registry.put("/mixers/b", "{\"addresses\":[\"127.0.0.1:2\"]}".getBytes(StandardCharsets.UTF_8), 9);
        await("three mixers", () -> countersContain("mixers-counted 3\n"));
        ask(3);
        registry.expire(9);
        await("one mixer", () -> countersContain("mixers-counted 1\n"));
        mixer.stop(false);
        await("the end of its lease", () -> registry.keys("/mixers/") == 0);
    }

    private boolean countersContain(String lines) {
        try {
            String counters = mixer.get("/counters");
            return counters != null && counters.contains(lines);
        } catch (InterruptedException stopped) {
            throw new IllegalStateException(stopped);
        }
    }

    @Test
    void theLogIsJsonWithItsFieldsWhereTheOperatorSaysSo() throws Exception {
        Path operator = folder.resolve("operator.json");
        Files.writeString(
                operator,
                Files.readString(operator).replaceFirst("\\{", "{\"log\":{\"form\":\"json\",\"level\":\"info\"},"));
        start();
        awaitNewest();
        registry.put(PREFIX + "s-9", "{\"addresses\":[]}");
        await("the bad value's line", () -> log().contains("at least one is expected"));
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
    void tenThousandSearchersAndAValueOfSixtyMegabytesAreFollowed() throws Exception {
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
        awaitNewest();
        await("all keys", () -> countersContain("registry-keys 10004\n"));
        int[] parts = ask(10);
        assertTrue(parts[0] == 10 && parts[2] == 0);
    }

    @Test
    void aDrainWithAnAddressThatCannotBeUsedIsStillADrain() throws Exception {
        start();
        ask(4);
        registry.put(
                PREFIX + "s-0", "{\"addresses\":[\"indice3.example.org:7070\"],\"cell\":0,\"phase\":\"draining\"}");
        registry.put(PREFIX + "s-1", "{\"addresses\":[\"indice4.example.org:7070\"],\"cell\":1}");
        awaitNewest();
        int[] parts = ask(10);
        assertTrue(parts[0] == 0 && parts[1] == 0);
    }
}
