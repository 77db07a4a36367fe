package pinewick.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Three controllers over loopback sockets. */
@Timeout(60)
class ControllerTest {
    private static final String BEAT = "{\"service\":\"huvo11a\",\"address\":\"10.128.0.9:8080\",\"zone\":\"z\","
            + "\"version\":\"v1\",\"slots\":12,\"state\":\"%s\",\"cold_remaining_ms\":0,\"call_sequence\":%d}";

    private static final long PATIENCE_NANOS = TimeUnit.SECONDS.toNanos(20);

    @TempDir
    private Path directory;

    private final List<Controller> controllers = new ArrayList<>();
    private Loopback loopback;

    @BeforeEach
    void startThree() throws IOException, ControllerException {
        loopback = new Loopback();
        for (int machine = 1; machine <= 3; machine++) {
            start(machine);
        }
    }

    private void start(int machine) throws ControllerException {
        Path data = directory.resolve("core-" + machine);
        Controller controller = new Controller(loopback.controller(machine, data, true));
        controllers.add(controller);
        controller.start();
    }

    @AfterEach
    void stopAll() {
        controllers.forEach(Controller::stop);
    }

    private HttpCaller.Answer beat(int machine, String state, int callSequence) throws IOException {
        return HttpCaller.call(
                loopback.api(machine), "POST", "/instances/i-1/heartbeat", BEAT.formatted(state, callSequence));
    }

    private JsonObject status(int machine) throws IOException {
        HttpCaller.Answer answer = HttpCaller.call(loopback.api(machine), "GET", "/status", "");
        assertEquals(200, answer.status());
        return JsonParser.parseString(answer.body()).getAsJsonObject();
    }

    /** Asks a controller for its status until it shows what is awaited. */
    private JsonObject awaitStatus(int machine, Predicate<JsonObject> awaited) throws IOException {
        long endNanos = System.nanoTime() + PATIENCE_NANOS;
        JsonObject status = status(machine);
        while (!awaited.test(status)) {
            assertTrue(System.nanoTime() < endNanos, "not in time at machine " + machine + ": " + status);
            Thread.onSpinWait();
            status = status(machine);
        }
        return status;
    }

    private static int count(JsonObject status, String state) {
        JsonObject services = status.getAsJsonObject("replicas");
        return services.has("huvo11a") ? services.getAsJsonObject("huvo11a").get(state).getAsInt() : 0;
    }

    private static int peers(JsonObject status) {
        return status.getAsJsonObject("fleet").getAsJsonArray("peers").size();
    }

    @Test
    void aHeartbeatAtOneIsKnownToAll() throws IOException {
        awaitStatus(1, status -> peers(status) == 2);
        assertEquals(200, beat(1, "ready", 1).status());
        for (int machine = 1; machine <= 3; machine++) {
            awaitStatus(machine, status -> count(status, "ready") == 1);
        }
    }

    @Test
    void aDrainIsAcknowledgedOnceAnotherHoldsIt() throws IOException {
        awaitStatus(1, status -> peers(status) == 2);
        assertEquals(200, beat(1, "ready", 1).status());
        assertEquals(200, beat(2, "draining", 2).status());
        int others = count(status(1), "draining") + count(status(3), "draining");
        assertTrue(others >= 1, "held elsewhere when it is acknowledged");
        assertEquals(200, HttpCaller.call(loopback.api(3), "POST", "/instances/i-1/deregister", "").status());
        for (int machine = 1; machine <= 3; machine++) {
            awaitStatus(machine, status -> count(status, "gone") == 1);
        }
    }

    @Test
    void aReplicaThatFallsSilentLapsesEverywhereAndComesBack() throws IOException {
        assertEquals(200, beat(1, "ready", 1).status());
        for (int machine = 1; machine <= 3; machine++) {
            awaitStatus(machine, status -> count(status, "lapsed") == 1);
        }
        assertEquals(200, beat(2, "ready", 2).status());
        for (int machine = 1; machine <= 3; machine++) {
            awaitStatus(machine, status -> count(status, "lapsed") == 0);
        }
    }

    @Test
    void theOthersNoticeAtOnceThatOneStops() throws IOException {
        awaitStatus(1, status -> peers(status) == 2);
        awaitStatus(2, status -> peers(status) == 2);
        controllers.get(2).stop();
        awaitStatus(1, status -> peers(status) == 1);
        awaitStatus(2, status -> peers(status) == 1);
        assertEquals(200, beat(1, "draining", 1).status());
    }

    @Test
    void anAddressInUseIsNamed() {
        Controller second = new Controller(loopback.controller(1, directory.resolve("x"), true));
        ControllerException fault = assertThrows(ControllerException.class, second::start);
        assertEquals("open the transport", fault.step());
        assertTrue(fault.getMessage().contains("127.0.0.1"));
    }
}
