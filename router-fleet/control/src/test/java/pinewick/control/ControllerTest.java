package pinewick.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Replicas and three controllers over loopback sockets. */
@Timeout(120)
class ControllerTest {
    private static final String BEAT = "{\"service\":\"huvo11a\",\"address\":\"10.128.0.9:8080\",\"zone\":\"z\","
            + "\"version\":\"v1\",\"slots\":12,\"state\":\"%s\",\"cold_remaining_ms\":0,\"call_sequence\":%d}";

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

    private RawHttpClient.Response beat(int machine, String state, int callSequence) throws IOException {
        return RawHttpClient.call(
                fleet.loopback.api(machine), "POST", "/instances/i-1/heartbeat", BEAT.formatted(state, callSequence));
    }

    private static int count(JsonObject status, String state) {
        JsonObject services = status.getAsJsonObject("replicas");
        return services.has("huvo11a")
                ? services.getAsJsonObject("huvo11a").get(state).getAsInt()
                : 0;
    }

    @Test
    void aHeartbeatAtOneControllerIsKnownToAll() throws IOException {
        fleet.awaitAcquainted();
        assertEquals(200, beat(1, "ready", 1).status());
        for (int machine = 1; machine <= ControllerCluster.COUNT; machine++) {
            fleet.awaitStatus(machine, status -> count(status, "ready") == 1);
        }
    }

    @Test
    void aDrainIsAcknowledgedOnceAnotherConfirms() throws IOException {
        fleet.awaitAcquainted();
        assertEquals(200, beat(1, "ready", 1).status());
        assertEquals(200, beat(2, "draining", 2).status());
        int others = count(fleet.status(1), "draining") + count(fleet.status(3), "draining");
        assertTrue(others >= 1, "held elsewhere when it is acknowledged");
        assertEquals(
                200,
                RawHttpClient.call(fleet.loopback.api(3), "POST", "/instances/i-1/deregister", "")
                        .status());
        for (int machine = 1; machine <= ControllerCluster.COUNT; machine++) {
            fleet.awaitStatus(machine, status -> count(status, "gone") == 1);
        }
    }

    @Test
    void aDrainThatNoOtherControllerConfirmsIsRedirected() throws IOException {
        fleet.awaitAcquainted();
        fleet.kill(1);
        fleet.kill(3);
        assertEquals(503, beat(2, "draining", 2).status());
    }

    @Test
    void theLastControllerAcknowledgesDrainsByItself() throws IOException {
        fleet.awaitAcquainted();
        fleet.kill(1);
        fleet.kill(3);
        int status = beat(2, "draining", 2).status();
        for (int call = 3; status == 503; call++) {
            status = beat(2, "draining", call).status();
        }
        assertEquals(200, status);
        JsonObject registry = fleet.status(2).getAsJsonObject("registry");
        assertEquals(1, registry.get("removals_acknowledged_alone").getAsInt());
    }

    @Test
    void aReplicaWithoutHeartbeatsLapsesEverywhereAndComesBack() throws IOException {
        assertEquals(200, beat(1, "ready", 1).status());
        for (int machine = 1; machine <= ControllerCluster.COUNT; machine++) {
            fleet.awaitStatus(machine, status -> count(status, "lapsed") == 1);
        }
        assertEquals(200, beat(2, "ready", 2).status());
        for (int machine = 1; machine <= ControllerCluster.COUNT; machine++) {
            fleet.awaitStatus(machine, status -> count(status, "lapsed") == 0);
        }
    }

    @Test
    void theOthersNoticeAtOnceThatOneShutsDown() throws IOException {
        fleet.awaitAcquainted();
        fleet.stop(3);
        fleet.awaitAcquainted();
        assertEquals(200, beat(1, "draining", 1).status());
    }

    @Test
    void anAddressInUseIsNamed() {
        Controller second = new Controller(fleet.loopback.controller(1, directory.resolve("x"), true));
        ControllerException fault = assertThrows(ControllerException.class, second::start);
        assertEquals("open the transport", fault.step());
        assertTrue(fault.getMessage().contains("127.0.0.1"));
    }
}
