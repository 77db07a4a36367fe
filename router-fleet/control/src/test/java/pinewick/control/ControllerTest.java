package pinewick.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls of replicas to three controllers over loopback sockets. */
@Timeout(120)
class ControllerTest {
    private static final String HEARTBEAT = "{\"service\":\"huvo11a\",\"address\":\"10.128.0.9:8080\",\"zone\":\"z\","
            + "\"version\":\"v1\",\"slots\":12,\"state\":\"%s\",\"cold_remaining_ms\":0,\"call_sequence\":%d}";

    /** Several times the time after which a controller counts as the only one. */
    private static final int SECONDS_ALONE = 4;

    private static final int MAX_ATTEMPTS = 20;

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

    private RawHttpClient.Response sendHeartbeat(int machine, String state, int callSequence) throws IOException {
        return RawHttpClient.request(
                cluster.network.api(machine),
                "POST",
                "/instances/i-1/heartbeat",
                HEARTBEAT.formatted(state, callSequence));
    }

    private static int count(JsonObject status, String state) {
        JsonObject services = status.getAsJsonObject("replicas");
        return services.has("huvo11a")
                ? services.getAsJsonObject("huvo11a").get(state).getAsInt()
                : 0;
    }

    @Test
    void propagatesAHeartbeatToAllControllers() throws IOException {
        cluster.awaitAllPeers();
        assertEquals(200, sendHeartbeat(1, "ready", 1).status());
        for (int machine = 1; machine <= ControllerCluster.COUNT; machine++) {
            cluster.awaitStatus(machine, status -> count(status, "ready") == 1);
        }
    }

    @Test
    void acknowledgesADrainOnceAnotherControllerConfirms() throws IOException {
        cluster.awaitAllPeers();
        assertEquals(200, sendHeartbeat(1, "ready", 1).status());
        assertEquals(200, sendHeartbeat(2, "draining", 2).status());
        int others = count(cluster.status(1), "draining") + count(cluster.status(3), "draining");
        assertTrue(others >= 1, "stored on another controller when it is acknowledged");
        assertEquals(
                200,
                RawHttpClient.request(cluster.network.api(3), "POST", "/instances/i-1/deregister", "")
                        .status());
        for (int machine = 1; machine <= ControllerCluster.COUNT; machine++) {
            cluster.awaitStatus(machine, status -> count(status, "gone") == 1);
        }
    }

    @Test
    void redirectsADrainThatNoOtherControllerConfirms() throws IOException {
        cluster.awaitAllPeers();
        cluster.kill(1);
        cluster.kill(3);
        assertEquals(503, sendHeartbeat(2, "draining", 2).status());
    }

    /** One copy of a drain would not survive the loss of a disk that is tolerated. */
    @Test
    void acknowledgesADrainOnTheLastControllerOnlyOnceAnotherOneIsBack() throws IOException, ControllerException {
        cluster.awaitAllPeers();
        cluster.kill(1);
        cluster.kill(3);
        long aloneUntilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(SECONDS_ALONE);
        int callSequence = 2;
        while (System.nanoTime() < aloneUntilNanos) {
            assertEquals(503, sendHeartbeat(2, "draining", callSequence++).status());
        }
        cluster.start(1, false);
        int status = 503;
        for (int attempt = 0; attempt < MAX_ATTEMPTS && status == 503; attempt++) {
            status = sendHeartbeat(2, "draining", callSequence++).status();
        }
        assertEquals(200, status);
        JsonObject registry = cluster.status(2).getAsJsonObject("registry");
        assertEquals(0, registry.get("removals_acknowledged_alone").getAsInt());
    }

    /** An acknowledged end was lost with all processes, and a heartbeat sent before it made the replica ready again. */
    @Test
    void aLateHeartbeatDoesNotReviveADeregisteredReplicaAfterAllControllersWereKilled()
            throws IOException, ControllerException {
        cluster.awaitAllPeers();
        assertEquals(200, sendHeartbeat(1, "ready", 1).status());
        assertEquals(
                200,
                RawHttpClient.request(cluster.network.api(2), "POST", "/instances/i-1/deregister", "")
                        .status());
        cluster.killAll();
        cluster.startAll(false);
        cluster.awaitAllPeers();
        assertEquals(200, sendHeartbeat(3, "ready", 2).status());
        for (int machine = 1; machine <= ControllerCluster.COUNT; machine++) {
            cluster.awaitStatus(machine, status -> count(status, "gone") == 1);
            assertEquals(0, count(cluster.status(machine), "ready"));
        }
    }

    /** Whichever disk is lost with the processes, another one has the acknowledged drain. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void anAcknowledgedDrainSurvivesTheLossOfADiskAndOfAllControllers(int lost)
            throws IOException, ControllerException {
        cluster.awaitAllPeers();
        assertEquals(200, sendHeartbeat(1, "draining", 2).status());
        cluster.killAll();
        cluster.loseDisk(lost);
        cluster.startAll(false);
        cluster.awaitAllPeers();
        assertEquals(200, sendHeartbeat(lost, "ready", 1).status());
        for (int machine = 1; machine <= ControllerCluster.COUNT; machine++) {
            cluster.awaitStatus(machine, status -> count(status, "draining") == 1);
            assertEquals(0, count(cluster.status(machine), "ready"));
        }
    }

    @Test
    void lapsesASilentReplicaOnAllControllersAndRestoresIt() throws IOException {
        assertEquals(200, sendHeartbeat(1, "ready", 1).status());
        for (int machine = 1; machine <= ControllerCluster.COUNT; machine++) {
            cluster.awaitStatus(machine, status -> count(status, "lapsed") == 1);
        }
        assertEquals(200, sendHeartbeat(2, "ready", 2).status());
        for (int machine = 1; machine <= ControllerCluster.COUNT; machine++) {
            cluster.awaitStatus(machine, status -> count(status, "lapsed") == 0);
        }
    }

    @Test
    void noticesTheShutdownOfAControllerAtOnce() throws IOException {
        cluster.awaitAllPeers();
        cluster.stop(3);
        cluster.awaitAllPeers();
        assertEquals(200, sendHeartbeat(1, "draining", 1).status());
    }

    @Test
    void reportsAnAddressInUse() {
        Controller second = new Controller(cluster.network.controller(1, directory.resolve("x"), true));
        ControllerException exception = assertThrows(ControllerException.class, second::start);
        assertEquals("open the transport", exception.step());
        assertTrue(exception.getMessage().contains("127.0.0.1"));
    }
}
