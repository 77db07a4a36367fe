package pinewick.system;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.function.ThrowingSupplier;
import pinewick.model.SocketAddress;

/** Three controllers and three routers in this process, each with a separate loopback address. */
final class LoopbackFleet implements AutoCloseable {
    static final int CONTROLLERS = 3;
    static final int ROUTERS = 3;

    private static final long AWAIT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final int MIN_PORT = 20_000;
    private static final int MAX_PORT = 30_000;
    private static final int PORT_COUNT = 5;
    private static final int FRONTEND_OFFSET = 2;
    private static final int READINESS_OFFSET = 3;
    private static final int CONTROL_PLANE_OFFSET = 4;
    private static final int OK = 200;

    private final Path directory;
    private final String bounds;
    private final int firstPort = findFreePorts();
    private final List<Program> running = new ArrayList<>();

    /**
     * @param directory parent of the data directories of the controllers
     * @param bounds additional lines for the section {@code bounds} of every settings file
     */
    LoopbackFleet(Path directory, String bounds) {
        this.directory = directory;
        this.bounds = bounds;
    }

    /**
     * Returns the first of {@link #PORT_COUNT} consecutive ports that are free on all addresses, below the ephemeral
     * range.
     */
    private static int findFreePorts() {
        int first = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
        while (!IntStream.range(first, first + PORT_COUNT).allMatch(LoopbackFleet::isFree)) {
            first = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
        }
        return first;
    }

    private static boolean isFree(int port) {
        InetSocketAddress wildcardAddress = new InetSocketAddress("0.0.0.0", port);
        try (DatagramSocket datagrams = new DatagramSocket(wildcardAddress);
                ServerSocket server = new ServerSocket()) {
            server.bind(wildcardAddress);
            return datagrams.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    void start() throws Exception {
        for (int index = 0; index < CONTROLLERS; index++) {
            start(Program.Kind.CONTROLLER, controllerText(index));
        }
        for (int index = 0; index < ROUTERS; index++) {
            start(Program.Kind.ROUTER, routerText(index));
        }
    }

    private void start(Program.Kind kind, String settingsText) throws Exception {
        Program program = kind.factory().create(SettingsReader.parse(settingsText, kind.service()));
        running.add(program);
        program.start();
    }

    /** The address to which replicas and the operator send requests. */
    private SocketAddress controlPlane(int controller) {
        return new SocketAddress(controllerHost(controller), firstPort + CONTROL_PLANE_OFFSET);
    }

    /** The address to which clients send requests. */
    SocketAddress frontend(int router) {
        return new SocketAddress(routerHost(router), firstPort + FRONTEND_OFFSET);
    }

    static String routerHost(int router) {
        return "127.0.2." + (1 + router);
    }

    private static String controllerHost(int controller) {
        return "127.0.1." + (1 + controller);
    }

    /** Installs the first configuration; returns when a controller has acknowledged it. */
    void configure(String json) {
        await("a configuration to be acknowledged", () -> anyControllerAccepts("/config/replace", json));
    }

    /** Sends the heartbeat of a replica; returns whether it was acknowledged. */
    boolean sendHeartbeat(String instanceId, String json) {
        return anyControllerAccepts("/instances/" + instanceId + "/heartbeat", json);
    }

    private boolean anyControllerAccepts(String path, String json) {
        Map<String, String> headers = Map.of("Content-Type", "application/json", "X-Pinewick-Base-Version", "0");
        return IntStream.range(0, CONTROLLERS)
                .mapToObj(index -> new HttpCall(controlPlane(index), "POST", path, headers, json))
                .anyMatch(call -> statusOrZero(call) == OK);
    }

    /** Waits until every router is ready. */
    void awaitReady() {
        for (int index = 0; index < ROUTERS; index++) {
            SocketAddress readiness = new SocketAddress(routerHost(index), firstPort + READINESS_OFFSET);
            await("a router to be ready", () -> statusOrZero(HttpCall.get(readiness, "/ready")) == OK);
        }
    }

    /** The status of the response, or 0 if there is none. */
    static int statusOrZero(HttpCall call) {
        try {
            return call.send().status();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Polls a condition until it is met; fails the test after a time-out. */
    static void await(String condition, ThrowingSupplier<Boolean> isMet) {
        long deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT_NANOS;
        try {
            while (!isMet.get()) {
                if (System.nanoTime() > deadlineNanos) {
                    throw new AssertionError("timed out waiting for " + condition);
                }
                Thread.onSpinWait();
            }
        } catch (Throwable e) {
            throw e instanceof AssertionError assertionError ? assertionError : new AssertionError(condition, e);
        }
    }

    private String controllerText(int index) throws IOException {
        Path dataDirectory = Files.createDirectories(directory.resolve("core-" + index));
        return "serves = [\"control_plane\"]\ncounts_for_quorum = true\ndata_directory = '" + dataDirectory + "'\n"
                + commonText("core-" + index, controllerHost(index))
                + "[listen_addresses]\ncontrol_plane = \"" + controlPlane(index) + "\"\n";
    }

    private String routerText(int index) {
        return "serves = [\"frontend\"]\ncounts_for_quorum = false\n"
                + commonText("frontend-" + index, routerHost(index))
                + "[listen_addresses]\nfrontend = \"" + frontend(index) + "\"\nreadiness = \""
                + new SocketAddress(routerHost(index), firstPort + READINESS_OFFSET) + "\"\n";
    }

    private String commonText(String name, String host) {
        String seeds = IntStream.range(0, CONTROLLERS)
                .mapToObj(index -> "\"" + controlPlane(index) + "\"")
                .collect(Collectors.joining(","));
        return """
                node_name = "%s"
                role = "test"
                ip_address = "%s"
                zone = "zone"
                region = "region"
                internal_port_range = [%d,%d]
                seed_nodes = [%s]
                first_start = true
                heartbeat_ms = 1200
                [zones]
                zone = "region"
                [limits]
                cpu_share = 1.0
                cpu_cores = 2
                memory_mb = 430
                file_descriptors = 4100
                disk_mb = 128
                [fault_tolerance]
                machines = 1
                [bounds]
                contact_ms = 4000
                ack_ms = 5000
                config_apply_ms = 2500
                grace_period_s = 1
                %s
                """
                .formatted(name, host, firstPort, firstPort + 1, seeds, bounds);
    }

    @Override
    public void close() throws Exception {
        Collections.reverse(running);
        for (Program program : running) {
            program.stop();
        }
    }
}
