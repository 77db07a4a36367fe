package pinewick.lab.recovery;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import pinewick.lab.scale.FleetAddresses;
import pinewick.lab.scale.HttpPeer;
import pinewick.lab.scale.ProcessUsage;
import pinewick.lab.scale.SettingsText;
import pinewick.lab.scale.SystemProcess;
import pinewick.model.SocketAddress;

/** Real controllers on loopback: three that bootstrap the system, and others that are added later. */
final class Cluster implements AutoCloseable {
    static final int INITIAL_CONTROLLERS = 3;

    /** Number of machine losses that the settings require the system to tolerate. */
    static final int TOLERATED_LOSSES = 1;

    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(300);
    private static final long START_TIMEOUT_MS = 30_000;

    private final Path folder;
    private final long maxLifetimeSeconds;
    private final FleetAddresses addresses = FleetAddresses.free(INITIAL_CONTROLLERS);
    private final HttpPeer http = new HttpPeer(REQUEST_TIMEOUT);
    private final Map<Integer, SystemProcess> controllers = new TreeMap<>();

    /** @param maxLifetimeSeconds time limit after which every process is killed unconditionally, seconds */
    Cluster(Path folder, long maxLifetimeSeconds) throws IOException {
        this.folder = folder;
        this.maxLifetimeSeconds = maxLifetimeSeconds;
    }

    /** Bootstraps the system; returns once it tolerates the required losses. */
    void bootstrap() throws IOException, InterruptedException {
        for (int number = 0; number < INITIAL_CONTROLLERS; number++) {
            create(number, SettingsText.controller(addresses, number, dataFolder(number)));
        }
        Polling.require(
                START_TIMEOUT_MS, "the initial controllers to be in sync", () -> toleratesLosses(TOLERATED_LOSSES));
    }

    /** Starts a new controller. */
    SystemProcess add(int number) throws IOException {
        create(number, SettingsText.withoutFirstStart(SettingsText.controller(addresses, number, dataFolder(number))));
        return controllers.get(number);
    }

    private void create(int number, String settings) throws IOException {
        Files.createDirectories(dataFolder(number));
        Path file = folder.resolve("controller-" + number + ".toml");
        Files.writeString(file, settings);
        Path log = folder.resolve("controller-" + number + ".log");
        SystemProcess process = new SystemProcess("controller", file, log, maxLifetimeSeconds);
        controllers.put(number, process);
        process.start();
    }

    /** Restarts an existing controller, as on a dedicated machine. */
    void restart(int number) throws IOException {
        Path file = folder.resolve("controller-" + number + ".toml");
        Files.writeString(file, SettingsText.withoutFirstStart(Files.readString(file)));
        controllers.get(number).start();
    }

    /** Deletes the data of a controller that is not running. */
    void wipe(int number) throws IOException {
        try (Stream<Path> files = Files.walk(dataFolder(number))) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
        Files.createDirectories(dataFolder(number));
    }

    private Path dataFolder(int number) {
        return folder.resolve("data-" + number);
    }

    SystemProcess process(int number) {
        return controllers.get(number);
    }

    /** Controllers that are running. */
    List<Integer> running() {
        return controllers.entrySet().stream()
                .filter(entry -> entry.getValue().running())
                .map(Map.Entry::getKey)
                .toList();
    }

    SocketAddress controlPlane(int number) {
        return addresses.controlPlane(number);
    }

    String internalAddress(int number) {
        return addresses.controller(number).toString();
    }

    /** The configuration section of a controller's status; empty if it does not respond. */
    Optional<JsonObject> configuration(int number) throws InterruptedException {
        return http.report(addresses.controlPlane(number)).map(report -> report.getAsJsonObject("configuration"));
    }

    /** The primary with the highest epoch among some controllers. */
    Optional<PrimaryReport> primaryAmong(List<Integer> numbers) throws InterruptedException {
        List<PrimaryReport> reports = new ArrayList<>();
        for (int number : numbers) {
            configuration(number)
                    .flatMap(configuration -> PrimaryReport.of(number, configuration))
                    .ifPresent(reports::add);
        }
        return reports.stream().max(Comparator.comparingLong(PrimaryReport::epoch));
    }

    /** The primary among the running controllers; waits until there is one. */
    int primary() throws InterruptedException {
        int[] primary = {-1};
        Polling.require(START_TIMEOUT_MS, "a primary", () -> {
            primaryAmong(running()).ifPresent(report -> primary[0] = report.controller());
            return primary[0] >= 0;
        });
        return primary[0];
    }

    /** Whether a primary reports that this many machine losses are tolerable. */
    boolean toleratesLosses(int losses) throws InterruptedException {
        return primaryAmong(running())
                .filter(report -> report.tolerableLosses() >= losses)
                .isPresent();
    }

    /** Whether a primary reports that the required losses are tolerable and that this controller is in sync. */
    boolean isRepairedWith(int number) throws InterruptedException {
        return primaryAmong(running())
                .filter(report -> report.tolerableLosses() >= TOLERATED_LOSSES
                        && report.inSync().contains(internalAddress(number)))
                .isPresent();
    }

    /** The configuration version of a controller, -1 if it does not respond. */
    long version(int number) throws InterruptedException {
        return configuration(number)
                .map(configuration -> configuration.get("version").getAsLong())
                .orElse(-1L);
    }

    /** CPU time of all running controllers, milliseconds. */
    double cpuMs() {
        return running().stream()
                .map(number -> controllers.get(number).usage())
                .mapToDouble(ProcessUsage::cpuMs)
                .sum();
    }

    /** Size of a controller's files, bytes. */
    long diskBytes(int number) throws IOException {
        try (Stream<Path> files = Files.walk(dataFolder(number))) {
            return files.map(Path::toFile)
                    .filter(java.io.File::isFile)
                    .mapToLong(java.io.File::length)
                    .sum();
        }
    }

    @Override
    public void close() {
        controllers.values().forEach(SystemProcess::close);
    }
}
