package pinewick.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import pinewick.replication.LoadedState;
import pinewick.replication.StableStore;
import pinewick.replication.StableWrite;
import pinewick.replication.StorageException;

/** An operator and three controllers over loopback sockets, with their stores on disk. */
@Timeout(120)
class ControllerConfigurationTest {
    private static final String REPLACE = "/config/replace";
    private static final String UPDATE = "/config/update";
    private static final String FIRST = ConfigurationBodies.whole(3, ConfigurationBodies.route("r-1"));

    @TempDir
    private Path directory;

    private ControllerCluster fleet;

    @BeforeEach
    void startThree() throws IOException, ControllerException {
        fleet = new ControllerCluster(directory);
        fleet.startAll(true);
    }

    @AfterEach
    void killAll() {
        fleet.killAll();
    }

    private static List<String> routes(JsonObject configuration) {
        return configuration.getAsJsonArray("routes").asList().stream()
                .map(route -> route.getAsJsonObject().get("name").getAsString())
                .toList();
    }

    private void assertReads(long version, String... routes) throws IOException {
        JsonObject configuration = fleet.read();
        assertEquals(version, configuration.get("version").getAsLong());
        assertEquals(List.of(routes), routes(configuration));
    }

    @Test
    void aChangeIsReadBackAndReachesEveryController() throws IOException {
        assertEquals(200, fleet.change(REPLACE, 0, FIRST).status());
        assertReads(3, "r-1");
        assertEquals(
                200,
                fleet.change(UPDATE, 3, ConfigurationBodies.update(7, ConfigurationBodies.route("r-2")))
                        .status());
        assertReads(7, "r-1", "r-2");
        for (int machine = 1; machine <= ControllerCluster.COUNT; machine++) {
            fleet.awaitStatus(machine, status -> ControllerCluster.version(status) == 7);
        }
    }

    @Test
    void aFollowerNamesThePrimary() throws IOException {
        int primary = fleet.awaitPrimary();
        int other = primary % ControllerCluster.COUNT + 1;
        fleet.awaitStatus(
                other, status -> status.getAsJsonObject("configuration").has("primary"));
        RawHttpClient.Response answer =
                RawHttpClient.call(fleet.loopback.api(other), "POST", REPLACE, FIRST, "X-Pinewick-Base-Version: 0");
        assertEquals(307, answer.status());
        assertEquals(
                "http://" + fleet.loopback.api(primary) + REPLACE,
                answer.headers().get("location"));
    }

    @Test
    void theSameChangeAgainIsAcknowledgedAndAnotherOnItsBaseIsNot() throws IOException {
        assertEquals(200, fleet.change(REPLACE, 0, FIRST).status());
        assertEquals(200, fleet.change(REPLACE, 0, FIRST).status());
        String other = ConfigurationBodies.whole(4, ConfigurationBodies.route("r-9"));
        assertEquals(412, fleet.change(REPLACE, 0, other).status());
        assertReads(3, "r-1");
    }

    @Test
    void anInvalidChangeNamesItsFaults() throws IOException {
        String body = ConfigurationBodies.whole(3, ConfigurationBodies.routeToNowhere("r-1"));
        RawHttpClient.Response answer = fleet.change(REPLACE, 0, body);
        assertEquals(400, answer.status());
        assertTrue(answer.body().contains("r-1"), answer.body());
        assertEquals(200, fleet.change(REPLACE, 0, FIRST).status(), "nothing of it is in force");
    }

    @Test
    void ofTwoChangesOnOneBaseExactlyOneWins() throws Exception {
        assertEquals(200, fleet.change(REPLACE, 0, FIRST).status());
        List<CompletableFuture<Integer>> racers = Stream.of("r-a", "r-b")
                .map(route -> CompletableFuture.supplyAsync(() -> changeQuietly(4, route)))
                .toList();
        List<Integer> statuses =
                racers.stream().map(CompletableFuture::join).sorted().toList();
        assertEquals(List.of(200, 412), statuses);
        assertEquals(4, fleet.read().get("version").getAsLong());
    }

    private int changeQuietly(long version, String route) {
        try {
            return fleet.change(UPDATE, 3, ConfigurationBodies.update(version, ConfigurationBodies.route(route)))
                    .status();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void aPrimaryThatStopsHandsOver() throws IOException {
        assertEquals(200, fleet.change(REPLACE, 0, FIRST).status());
        fleet.stop(fleet.awaitPrimary());
        assertEquals(
                200,
                fleet.change(UPDATE, 3, ConfigurationBodies.update(4, ConfigurationBodies.route("r-2")))
                        .status());
        assertReads(4, "r-1", "r-2");
    }

    @Test
    void aPrimaryThatIsKilledIsReplaced() throws IOException {
        assertEquals(200, fleet.change(REPLACE, 0, FIRST).status());
        fleet.kill(fleet.awaitPrimary());
        assertReads(3, "r-1");
        assertEquals(
                200,
                fleet.change(UPDATE, 3, ConfigurationBodies.update(4, ConfigurationBodies.route("r-2")))
                        .status());
        assertReads(4, "r-1", "r-2");
    }

    @Test
    void acknowledgedChangesSurviveWhenAllAreKilled() throws IOException, ControllerException {
        assertEquals(200, fleet.change(REPLACE, 0, FIRST).status());
        assertEquals(
                200,
                fleet.change(UPDATE, 3, ConfigurationBodies.update(4, ConfigurationBodies.route("r-2")))
                        .status());
        fleet.killAll();
        fleet.startAll(false);
        assertReads(4, "r-1", "r-2");
        assertEquals(200, fleet.change(REPLACE, 0, FIRST).status(), "an accepted change is known again");
    }

    @Test
    void aReplacementMachineBecomesAMember() throws IOException, ControllerException {
        assertEquals(200, fleet.change(REPLACE, 0, FIRST).status());
        int primary = fleet.awaitPrimary();
        int lost = primary % ControllerCluster.COUNT + 1;
        fleet.stop(lost);
        fleet.start(4, false);
        fleet.awaitStatus(4, status -> ControllerCluster.version(status) == 3);
        assertEquals(
                200,
                fleet.change(UPDATE, 3, ConfigurationBodies.update(4, ConfigurationBodies.route("r-2")))
                        .status());
        fleet.awaitStatus(4, status -> ControllerCluster.version(status) == 4);
    }

    @Test
    void whileTheStoreIsLoadedReplicasAreServedAndTheOperatorIsAnswered503() throws Exception {
        fleet.kill(3);
        Controller waiting =
                new Controller(fleet.loopback.controller(3, fleet.disk(3), false), (folder, loop) -> new HungStore());
        fleet.start(3, false, waiting);
        String beat = "{\"service\":\"s\",\"address\":\"10.1.1.1:80\",\"slots\":6,\"state\":\"ready\","
                + "\"call_sequence\":1}";
        RawHttpClient.Response beatAnswer =
                RawHttpClient.call(fleet.loopback.api(3), "POST", "/instances/i-1/heartbeat", beat);
        assertEquals(200, beatAnswer.status());
        RawHttpClient.Response answer =
                RawHttpClient.call(fleet.loopback.api(3), "POST", REPLACE, FIRST, "X-Pinewick-Base-Version: 0");
        assertEquals(503, answer.status());
        assertEquals(
                503,
                RawHttpClient.call(fleet.loopback.api(3), "GET", "/config/read", "")
                        .status());
    }

    /** A disk that never answers. */
    private static final class HungStore implements StableStore {
        @Override
        public void load(Consumer<LoadedState> onLoaded, Consumer<StorageException> onFailed) {}

        @Override
        public void persist(StableWrite write, Runnable onDone, Consumer<StorageException> onFailed) {}
    }
}
