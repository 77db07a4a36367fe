package pinewick.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.nio.file.DirectoryNotEmptyException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;
import pinewick.model.SocketAddress;

/** Controllers that communicate over loopback sockets and store their data in subdirectories of one directory. */
final class ControllerCluster {
    static final int COUNT = 3;

    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final int MAX_REDIRECTS = 2;
    private static final int LAST_MACHINE = 4;

    final LoopbackNetwork network = new LoopbackNetwork();
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
        start(machine, firstStart, new Controller(network.controller(machine, dataDirectory(machine), firstStart)));
    }

    void start(int machine, boolean firstStart, Controller controller) throws ControllerException {
        running.put(machine, controller);
        controller.start();
    }

    Path dataDirectory(int machine) {
        return directory.resolve("core-" + machine);
    }

    /**
     * Deletes what a controller that does not run has stored, if it has stored anything. Its store may still be
     * closing, so files may appear or vanish meanwhile.
     */
    void loseDisk(int machine) throws IOException {
        long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;
        while (Files.exists(dataDirectory(machine))) {
            assertTrue(System.nanoTime() < deadlineNanos, "the disk was not deleted in time");
            try {
                deleteDirectory(dataDirectory(machine));
            } catch (NoSuchFileException | DirectoryNotEmptyException | UncheckedIOException e) {
                Thread.onSpinWait();
            }
        }
    }

    private static void deleteDirectory(Path directory) throws IOException {
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }

    /** Stops a controller gracefully, as on SIGTERM. */
    void stop(int machine) {
        running.remove(machine).stop();
        network.awaitReleased(machine);
    }

    /** Stops a controller abruptly, as on SIGKILL. */
    void kill(int machine) {
        running.remove(machine).close();
        network.awaitReleased(machine);
    }

    void killAll() {
        running.values().forEach(Controller::close);
        running.keySet().forEach(network::awaitReleased);
        running.clear();
        awaitStoresClosed();
    }

    /**
     * A store is closed on its own thread. Until that thread ends, it may write to the directory that the test removes.
     */
    private static void awaitStoresClosed() {
        long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;
        while (Thread.getAllStackTraces().keySet().stream()
                .anyMatch(thread -> thread.getName().equals("storage"))) {
            assertTrue(System.nanoTime() < deadlineNanos, "a store was not closed in time");
            Thread.onSpinWait();
        }
    }

    /** Reads the status report of a controller. */
    JsonObject status(int machine) throws IOException {
        RawHttpClient.Response response = RawHttpClient.request(network.api(machine), "GET", "/status", "");
        assertEquals(200, response.status());
        return JsonParser.parseString(response.body()).getAsJsonObject();
    }

    /** Polls the status of a controller until it meets a condition. */
    JsonObject awaitStatus(int machine, Predicate<JsonObject> condition) throws IOException {
        long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;
        JsonObject status = status(machine);
        while (!condition.test(status)) {
            assertTrue(
                    System.nanoTime() < deadlineNanos,
                    "condition not met in time at machine " + machine + ": " + status);
            Thread.onSpinWait();
            status = status(machine);
        }
        return status;
    }

    /** Waits until every running controller reports as many peers as other controllers are running. */
    void awaitAllPeers() throws IOException {
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

    /** Waits until the first running controller reports a running one as the primary; returns its machine. */
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
            boolean isPrimary = configuration.has("primary")
                    && network.api(machine)
                            .toString()
                            .equals(configuration.get("primary").getAsString());
            if (isPrimary) {
                return machine;
            }
        }
        return 0;
    }

    /**
     * Changes the configuration as the operator does: tries one controller after the other until a response is
     * definite.
     */
    RawHttpClient.Response change(String path, long baseVersion, String body) throws IOException {
        return retryUntilDefinite("POST", path, body, "X-Pinewick-Base-Version: " + baseVersion);
    }

    /** Reads the configuration; tries the controllers in the same way. */
    JsonObject read() throws IOException {
        return JsonParser.parseString(
                        retryUntilDefinite("GET", "/config/read", "").body())
                .getAsJsonObject();
    }

    private RawHttpClient.Response retryUntilDefinite(String method, String path, String body, String... headers)
            throws IOException {
        long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;
        int machine = 0;
        while (System.nanoTime() < deadlineNanos) {
            machine = machine % LAST_MACHINE + 1;
            RawHttpClient.Response response = callFollowingRedirects(network.api(machine), method, path, body, headers);
            if (response.status() < 500 && response.status() != 307) {
                return response;
            }
            Thread.onSpinWait();
        }
        throw new AssertionError("no definite response in time to " + method + " " + path);
    }

    private static RawHttpClient.Response callFollowingRedirects(
            SocketAddress address, String method, String path, String body, String... headers) throws IOException {
        SocketAddress target = address;
        RawHttpClient.Response response = callOr503(target, method, path, body, headers);
        for (int i = 0; i < MAX_REDIRECTS && response.status() == 307; i++) {
            String location = response.headers().get("location");
            assertTrue(location.endsWith(path), location);
            String authority = location.substring("http://".length(), location.length() - path.length());
            response = callOr503(SocketAddress.parse(authority), method, path, body, headers);
        }
        return response;
    }

    private static RawHttpClient.Response callOr503(
            SocketAddress target, String method, String path, String body, String... headers) throws IOException {
        try {
            return RawHttpClient.request(target, method, path, body, headers);
        } catch (ConnectException e) {
            return new RawHttpClient.Response(503, Map.of(), "");
        }
    }
}
