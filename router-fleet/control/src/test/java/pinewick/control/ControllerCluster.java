package pinewick.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.ConnectException;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import pinewick.model.SocketAddress;

/** Controllers over loopback sockets, with their disks in a folder, and an operator who calls them. */
final class ControllerCluster {
    static final int COUNT = 3;

    private static final long PATIENCE_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final int MOST_REDIRECTIONS = 2;
    private static final int LAST_MACHINE = 4;

    final LoopbackNetwork loopback = new LoopbackNetwork();
    private final Path directory;
    private final Map<Integer, Controller> running = new TreeMap<>();

    ControllerCluster(Path directory) throws IOException {
        this.directory = directory;
    }

    void startAll(boolean firstStart) throws ControllerException {
        for (int machine = 1; machine <= COUNT; machine++) {
            start(machine, firstStart);
        }
    }

    void start(int machine, boolean firstStart) throws ControllerException {
        start(machine, firstStart, new Controller(loopback.controller(machine, disk(machine), firstStart)));
    }

    void start(int machine, boolean firstStart, Controller controller) throws ControllerException {
        running.put(machine, controller);
        controller.start();
    }

    Path disk(int machine) {
        return directory.resolve("core-" + machine);
    }

    /** Stops one as SIGTERM does. */
    void stop(int machine) {
        running.remove(machine).stop();
        loopback.awaitReleased(machine);
    }

    /** Ends one as SIGKILL does. */
    void kill(int machine) {
        running.remove(machine).close();
        loopback.awaitReleased(machine);
    }

    void killAll() {
        running.values().forEach(Controller::close);
        running.keySet().forEach(loopback::awaitReleased);
        running.clear();
        awaitDisksAtRest();
    }

    /** A closed store ends on its own thread; until then it may write below the folder that the test removes. */
    private static void awaitDisksAtRest() {
        long endNanos = System.nanoTime() + PATIENCE_NANOS;
        while (Thread.getAllStackTraces().keySet().stream()
                .anyMatch(thread -> thread.getName().equals("storage"))) {
            assertTrue(System.nanoTime() < endNanos, "a store has not been closed in time");
            Thread.onSpinWait();
        }
    }

    /** The status of one controller. */
    JsonObject status(int machine) throws IOException {
        RawHttpClient.Response answer = RawHttpClient.call(loopback.api(machine), "GET", "/status", "");
        assertEquals(200, answer.status());
        return JsonParser.parseString(answer.body()).getAsJsonObject();
    }

    /** Asks a controller for its status until it shows what is awaited. */
    JsonObject awaitStatus(int machine, Predicate<JsonObject> awaited) throws IOException {
        long endNanos = System.nanoTime() + PATIENCE_NANOS;
        JsonObject status = status(machine);
        while (!awaited.test(status)) {
            assertTrue(System.nanoTime() < endNanos, "not in time at machine " + machine + ": " + status);
            Thread.onSpinWait();
            status = status(machine);
        }
        return status;
    }

    /** Waits until every controller knows the others that run. */
    void awaitAcquainted() throws IOException {
        for (int machine : running.keySet()) {
            awaitStatus(machine, status -> peers(status) == running.size() - 1);
        }
    }

    static int peers(JsonObject status) {
        return status.getAsJsonObject("fleet").getAsJsonArray("peers").size();
    }

    static long version(JsonObject status) {
        return status.getAsJsonObject("configuration").get("version").getAsLong();
    }

    /** The machine that all running controllers take for the primary, once that is one of them. */
    int awaitPrimary() throws IOException {
        JsonObject status = awaitStatus(running.keySet().iterator().next(), this::namesRunningPrimary);
        return primaryOf(status);
    }

    private boolean namesRunningPrimary(JsonObject status) {
        return running.containsKey(primaryOf(status));
    }

    private int primaryOf(JsonObject status) {
        JsonObject configuration = status.getAsJsonObject("configuration");
        for (int machine = 1; machine <= LAST_MACHINE; machine++) {
            boolean named = configuration.has("primary")
                    && loopback.api(machine)
                            .toString()
                            .equals(configuration.get("primary").getAsString());
            if (named) {
                return machine;
            }
        }
        return 0;
    }

    /**
     * Changes the configuration as the operator does: again and again, at one after the other, until a clear
     * answer.
     */
    RawHttpClient.Response change(String path, long baseVersion, String body) throws IOException {
        return untilClear("POST", path, body, "X-Pinewick-Base-Version: " + baseVersion);
    }

    /** Reads the configuration, in the same way. */
    JsonObject read() throws IOException {
        return JsonParser.parseString(untilClear("GET", "/config/read", "").body())
                .getAsJsonObject();
    }

    private RawHttpClient.Response untilClear(String method, String path, String body, String... headers)
            throws IOException {
        long endNanos = System.nanoTime() + PATIENCE_NANOS;
        int machine = 0;
        while (System.nanoTime() < endNanos) {
            machine = machine % LAST_MACHINE + 1;
            RawHttpClient.Response answer = follow(loopback.api(machine), method, path, body, headers);
            if (answer.status() < 500 && answer.status() != 307) {
                return answer;
            }
            Thread.onSpinWait();
        }
        throw new AssertionError("no clear answer in time to " + method + " " + path);
    }

    private static RawHttpClient.Response follow(
            SocketAddress first, String method, String path, String body, String... headers) throws IOException {
        SocketAddress target = first;
        RawHttpClient.Response answer = callOr503(target, method, path, body, headers);
        for (int i = 0; i < MOST_REDIRECTIONS && answer.status() == 307; i++) {
            String location = answer.headers().get("location");
            assertTrue(location.endsWith(path), location);
            String authority = location.substring("http://".length(), location.length() - path.length());
            answer = callOr503(SocketAddress.parse(authority), method, path, body, headers);
        }
        return answer;
    }

    private static RawHttpClient.Response callOr503(
            SocketAddress target, String method, String path, String body, String... headers) throws IOException {
        try {
            return RawHttpClient.call(target, method, path, body, headers);
        } catch (ConnectException e) {
            return new RawHttpClient.Response(503, Map.of(), "");
        }
    }
}
