package pinewick.lab.demo;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import pinewick.lab.scale.FleetAddresses;
import pinewick.lab.scale.FolderTree;
import pinewick.lab.scale.HttpPeer;
import pinewick.lab.scale.SettingsText;
import pinewick.lab.scale.SystemProcess;
import pinewick.model.SocketAddress;

/** Three controller and three router processes of the system jar, with a temporary directory deleted on close. */
final class DemoFleet implements AutoCloseable {
    static final int CONTROLLERS = 3;
    static final int ROUTERS = 3;

    private static final int OK = 200;

    private final FleetAddresses addresses = FleetAddresses.free(CONTROLLERS);
    private final HttpPeer http;
    private final long maxProcessSeconds;
    private final Path directory = Files.createTempDirectory("pinewick-demo");
    private final List<SystemProcess> controllers = new ArrayList<>();
    private final List<SystemProcess> routers = new ArrayList<>();

    /** @param maxProcessSeconds lifetime after which every process exits unconditionally, seconds */
    DemoFleet(HttpPeer http, long maxProcessSeconds) throws IOException {
        this.http = http;
        this.maxProcessSeconds = maxProcessSeconds;
    }

    synchronized void start() throws IOException {
        for (int index = 0; index < CONTROLLERS; index++) {
            Path data = Files.createDirectories(directory.resolve("data-" + index));
            controllers.add(startProcess("controller", index, SettingsText.controller(addresses, index, data)));
        }
        for (int index = 0; index < ROUTERS; index++) {
            routers.add(startProcess("router", index, SettingsText.router(addresses, index)));
        }
    }

    private SystemProcess startProcess(String role, int index, String settingsText) throws IOException {
        Path settings = directory.resolve(role + "-" + index + ".toml");
        Files.writeString(settings, settingsText);
        Path log = directory.resolve(role + "-" + index + ".log");
        SystemProcess process = new SystemProcess(role, settings, log, maxProcessSeconds);
        process.start();
        return process;
    }

    /** The control-plane addresses of the controllers, for replicas and the operator. */
    List<SocketAddress> controlPlanes() {
        return addresses.controlPlanes();
    }

    /** The addresses of the routers for clients. */
    List<SocketAddress> frontends() {
        return IntStream.range(0, ROUTERS).mapToObj(addresses::frontend).toList();
    }

    SystemProcess controller(int index) {
        return controllers.get(index);
    }

    boolean allControllersRespond() throws InterruptedException {
        for (SocketAddress controlPlane : controlPlanes()) {
            if (http.report(controlPlane).isEmpty()) {
                return false;
            }
        }
        return true;
    }

    boolean allRoutersReady() throws InterruptedException {
        for (int index = 0; index < ROUTERS; index++) {
            if (http.status(addresses.readiness(index), "/ready") != OK) {
                return false;
            }
        }
        return true;
    }

    /** The controller that reports itself as primary of the configuration; empty if none does. */
    Optional<Integer> primary() throws InterruptedException {
        for (int index = 0; index < CONTROLLERS; index++) {
            if (configuration(index)
                    .filter(section -> section.has("leading_epoch"))
                    .isPresent()) {
                return Optional.of(index);
            }
        }
        return Optional.empty();
    }

    /** The configuration version of a controller; 0 if it does not respond. */
    long version(int controller) throws InterruptedException {
        return configuration(controller)
                .map(section -> section.get("version").getAsLong())
                .orElse(0L);
    }

    private Optional<JsonObject> configuration(int controller) throws InterruptedException {
        return http.report(addresses.controlPlane(controller)).map(report -> report.getAsJsonObject("configuration"));
    }

    /** Stops every process and deletes the temporary directory. */
    @Override
    public synchronized void close() throws IOException {
        List<SystemProcess> processes =
                Stream.concat(routers.stream(), controllers.stream()).toList();
        processes.forEach(SystemProcess::close);
        for (SystemProcess process : processes) {
            if (!process.awaitEnd()) {
                throw new IOException("a process of the fleet did not stop");
            }
        }
        FolderTree.delete(directory);
    }
}
