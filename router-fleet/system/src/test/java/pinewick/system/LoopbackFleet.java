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

/** Three controllers and three routers in this process, each with a loopback address of its own. */
final class LoopbackFleet implements AutoCloseable {
    static final int CONTROLLERS = 3;
    static final int ROUTERS = 3;

    private static final long PATIENCE_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final int MIN_PORT = 20_000;
    private static final int MAX_PORT = 30_000;
    private static final int PORTS = 5;
    private static final int FRONTEND = 2;
    private static final int READINESS = 3;
    private static final int CONTROL_PLANE = 4;
    private static final int OK = 200;

    private final Path folder;
    private final String bounds;
    private final int firstPort = freePorts();
    private final List<Program> running = new ArrayList<>();

    /**
     * @param folder for the controllers' disks
     * @param bounds lines of the section {@code bounds} of all settings files
     */
    LoopbackFleet(Path folder, String bounds) {
        this.folder = folder;
        this.bounds = bounds;
    }

    /** The first of some ports in a row that are free on all addresses, below those that the kernel hands out. */
    private static int freePorts() {
        int first = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
        while (!IntStream.range(first, first + PORTS).allMatch(LoopbackFleet::isFree)) {
            first = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
        }
        return first;
    }

    private static boolean isFree(int port) {
        InetSocketAddress everywhere = new InetSocketAddress("0.0.0.0", port);
        try (DatagramSocket datagrams = new DatagramSocket(everywhere);
                ServerSocket server = new ServerSocket()) {
            server.bind(everywhere);
            return datagrams.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    void start() throws Exception {
        for (int number = 0; number < CONTROLLERS; number++) {
            start(Program.Kind.CONTROLLER, controllerText(number));
        }
        for (int number = 0; number < ROUTERS; number++) {
            start(Program.Kind.ROUTER, routerText(number));
        }
    }

    private void start(Program.Kind kind, String settingsText) throws Exception {
        Program program = kind.factory().create(SettingsReader.parse(settingsText, kind.service()));
        running.add(program);
        program.start();
    }

    /** Where replicas and the operator call. */
    private SocketAddress controlPlane(int controller) {
        return new SocketAddress(controllerHost(controller), firstPort + CONTROL_PLANE);
    }

    /** Where clients call. */
    SocketAddress frontend(int router) {
        return new SocketAddress(routerHost(router), firstPort + FRONTEND);
    }

    static String routerHost(int router) {
        return "127.0.2." + (1 + router);
    }

    private static String controllerHost(int controller) {
        return "127.0.1." + (1 + controller);
    }

    /** Puts the first configuration in force; returns once a controller has acknowledged it. */
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
                .mapToObj(number -> new HttpCall(controlPlane(number), "POST", path, headers, json))
                .anyMatch(call -> statusOf(call) == OK);
    }

    /** Waits until every router is ready. */
    void awaitReady() {
        for (int number = 0; number < ROUTERS; number++) {
            SocketAddress readiness = new SocketAddress(routerHost(number), firstPort + READINESS);
            await("a router to be ready", () -> statusOf(HttpCall.get(readiness, "/ready")) == OK);
        }
    }

    /** The status of the answer, 0 for none. */
    static int statusOf(HttpCall call) {
        try {
            return call.send().status();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Tries again and again until it succeeds. */
    static void await(String what, ThrowingSupplier<Boolean> succeeds) {
        long endNanos = System.nanoTime() + PATIENCE_NANOS;
        try {
            while (!succeeds.get()) {
                if (System.nanoTime() > endNanos) {
                    throw new AssertionError("waited in vain for " + what);
                }
                Thread.onSpinWait();
            }
        } catch (Throwable e) {
            throw e instanceof AssertionError failed ? failed : new AssertionError(what, e);
        }
    }

    private String controllerText(int number) throws IOException {
        Path disk = Files.createDirectories(folder.resolve("core-" + number));
        return "serves = [\"control_plane\"]\ncounts_for_quorum = true\ndata_directory = '" + disk + "'\n"
                + commonText("core-" + number, controllerHost(number))
                + "[listen_addresses]\ncontrol_plane = \"" + controlPlane(number) + "\"\n";
    }

    private String routerText(int number) {
        return "serves = [\"frontend\"]\ncounts_for_quorum = false\n"
                + commonText("frontend-" + number, routerHost(number))
                + "[listen_addresses]\nfrontend = \"" + frontend(number) + "\"\nreadiness = \""
                + new SocketAddress(routerHost(number), firstPort + READINESS) + "\"\n";
    }

    private String commonText(String name, String host) {
        String seeds = IntStream.range(0, CONTROLLERS)
                .mapToObj(number -> "\"" + controlPlane(number) + "\"")
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
