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
import pinewick.model.RemovalStore;
import pinewick.model.ReplicaRecord;
import pinewick.replication.LoadedState;
import pinewick.replication.StableStore;
import pinewick.replication.StableWrite;
import pinewick.replication.StorageException;

/** Configuration changes by an operator on three controllers over loopback sockets, with their stores on disk. */
@Timeout(120)
class ControllerConfigurationTest {
    private static final String REPLACE = "/config/replace";
    private static final String UPDATE = "/config/update";
    private static final String FIRST_BODY = ConfigurationBodies.complete(3, ConfigurationBodies.route("r-1"));

    @TempDir
    private Path directory;

    private ControllerCluster cluster;

    @BeforeEach
    void startThree() throws IOException, ControllerException {
        cluster = new ControllerCluster(directory);
        cluster.startAll(true);
    }

    @AfterEach
    void killAll() {
        cluster.killAll();
    }

    private static List<String> routes(JsonObject configuration) {
        return configuration.getAsJsonArray("routes").asList().stream()
                .map(route -> route.getAsJsonObject().get("name").getAsString())
                .toList();
    }

    private void assertReads(long version, String... routes) throws IOException {
        JsonObject configuration = cluster.read();
        assertEquals(version, configuration.get("version").getAsLong());
        assertEquals(List.of(routes), routes(configuration));
    }

    @Test
    void readsBackAChangeAndDeliversItToEveryController() throws IOException {
        assertEquals(200, cluster.change(REPLACE, 0, FIRST_BODY).status());
        assertReads(3, "r-1");
        assertEquals(
                200,
                cluster.change(UPDATE, 3, ConfigurationBodies.update(7, ConfigurationBodies.route("r-2")))
                        .status());
        assertReads(7, "r-1", "r-2");
        for (int machine = 1; machine <= ControllerCluster.COUNT; machine++) {
            cluster.awaitStatus(machine, status -> ControllerCluster.version(status) == 7);
        }
    }

    @Test
    void redirectsFromAFollowerToThePrimary() throws IOException {
        int primary = cluster.awaitPrimary();
        int other = primary % ControllerCluster.COUNT + 1;
        cluster.awaitStatus(
                other, status -> status.getAsJsonObject("configuration").has("primary"));
        RawHttpClient.Response response = RawHttpClient.request(
                cluster.network.api(other), "POST", REPLACE, FIRST_BODY, "X-Pinewick-Base-Version: 0");
        assertEquals(307, response.status());
        assertEquals(
                "http://" + cluster.network.api(primary) + REPLACE,
                response.headers().get("location"));
    }

    @Test
    void acknowledgesAResentChangeAndRejectsAnotherOnTheSameBase() throws IOException {
        assertEquals(200, cluster.change(REPLACE, 0, FIRST_BODY).status());
        assertEquals(200, cluster.change(REPLACE, 0, FIRST_BODY).status());
        String other = ConfigurationBodies.complete(4, ConfigurationBodies.route("r-9"));
        assertEquals(412, cluster.change(REPLACE, 0, other).status());
        assertReads(3, "r-1");
    }

    @Test
    void reportsTheFaultsOfAnInvalidChange() throws IOException {
        String body = ConfigurationBodies.complete(3, ConfigurationBodies.routeToUnknownService("r-1"));
        RawHttpClient.Response response = cluster.change(REPLACE, 0, body);
        assertEquals(400, response.status());
        assertTrue(response.body().contains("r-1"), response.body());
        assertEquals(200, cluster.change(REPLACE, 0, FIRST_BODY).status(), "the invalid change had no effect");
    }

    @Test
    void acceptsExactlyOneOfTwoConcurrentChangesOnOneBase() throws Exception {
        assertEquals(200, cluster.change(REPLACE, 0, FIRST_BODY).status());
        List<CompletableFuture<Integer>> concurrentChanges = Stream.of("r-a", "r-b")
                .map(route -> CompletableFuture.supplyAsync(() -> changeUnchecked(4, route)))
                .toList();
        List<Integer> statuses =
                concurrentChanges.stream().map(CompletableFuture::join).sorted().toList();
        assertEquals(List.of(200, 412), statuses);
        assertEquals(4, cluster.read().get("version").getAsLong());
    }

    private int changeUnchecked(long version, String route) {
        try {
            return cluster.change(UPDATE, 3, ConfigurationBodies.update(version, ConfigurationBodies.route(route)))
                    .status();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void acceptsChangesAfterThePrimaryShutsDown() throws IOException {
        assertEquals(200, cluster.change(REPLACE, 0, FIRST_BODY).status());
        cluster.stop(cluster.awaitPrimary());
        assertEquals(
                200,
                cluster.change(UPDATE, 3, ConfigurationBodies.update(4, ConfigurationBodies.route("r-2")))
                        .status());
        assertReads(4, "r-1", "r-2");
    }

    @Test
    void acceptsChangesAfterThePrimaryIsKilled() throws IOException {
        assertEquals(200, cluster.change(REPLACE, 0, FIRST_BODY).status());
        cluster.kill(cluster.awaitPrimary());
        assertReads(3, "r-1");
        assertEquals(
                200,
                cluster.change(UPDATE, 3, ConfigurationBodies.update(4, ConfigurationBodies.route("r-2")))
                        .status());
        assertReads(4, "r-1", "r-2");
    }

    @Test
    void keepsAcknowledgedChangesWhenAllControllersAreKilled() throws IOException, ControllerException {
        assertEquals(200, cluster.change(REPLACE, 0, FIRST_BODY).status());
        assertEquals(
                200,
                cluster.change(UPDATE, 3, ConfigurationBodies.update(4, ConfigurationBodies.route("r-2")))
                        .status());
        cluster.killAll();
        cluster.startAll(false);
        assertReads(4, "r-1", "r-2");
        assertEquals(200, cluster.change(REPLACE, 0, FIRST_BODY).status(), "the accepted change is still known");
    }

    @Test
    void admitsAReplacementMachineAsAMember() throws IOException, ControllerException {
        assertEquals(200, cluster.change(REPLACE, 0, FIRST_BODY).status());
        int primary = cluster.awaitPrimary();
        int stopped = primary % ControllerCluster.COUNT + 1;
        cluster.stop(stopped);
        cluster.start(4, false);
        cluster.awaitStatus(4, status -> ControllerCluster.version(status) == 3);
        assertEquals(
                200,
                cluster.change(UPDATE, 3, ConfigurationBodies.update(4, ConfigurationBodies.route("r-2")))
                        .status());
        cluster.awaitStatus(4, status -> ControllerCluster.version(status) == 4);
    }

    @Test
    void servesReplicasAndResponds503ToTheOperatorWhileTheStoreLoads() throws Exception {
        cluster.kill(3);
        Controller loading = new Controller(
                cluster.network.controller(3, cluster.dataDirectory(3), false),
                (folder, loop) -> new Controller.Stores(new UnresponsiveStore(), new UnresponsiveStore()));
        cluster.start(3, false, loading);
        String heartbeat = "{\"service\":\"s\",\"address\":\"10.1.1.1:80\",\"slots\":6,\"state\":\"ready\","
                + "\"call_sequence\":1}";
        RawHttpClient.Response heartbeatResponse =
                RawHttpClient.request(cluster.network.api(3), "POST", "/instances/i-1/heartbeat", heartbeat);
        assertEquals(200, heartbeatResponse.status());
        RawHttpClient.Response response = RawHttpClient.request(
                cluster.network.api(3), "POST", REPLACE, FIRST_BODY, "X-Pinewick-Base-Version: 0");
        assertEquals(503, response.status());
        assertEquals(
                503,
                RawHttpClient.request(cluster.network.api(3), "GET", "/config/read", "")
                        .status());
    }

    /** A store whose operations never complete. */
    private static final class UnresponsiveStore implements StableStore, RemovalStore {
        @Override
        public void load(Consumer<LoadedState> onLoaded, Consumer<StorageException> onFailed) {}

        @Override
        public void persist(StableWrite write, Runnable onDone, Consumer<StorageException> onFailed) {}

        @Override
        public void loadRemovals(Consumer<List<ReplicaRecord>> onLoaded, Runnable onFailed) {}

        @Override
        public void persistRemovals(RemovalStore.Update update, Runnable onDone, Runnable onFailed) {}
    }
}
