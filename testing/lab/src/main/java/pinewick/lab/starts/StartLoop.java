package pinewick.lab.starts;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import pinewick.lab.demo.DemoConfiguration;
import pinewick.lab.scale.FleetAddresses;
import pinewick.lab.scale.FolderTree;
import pinewick.lab.scale.HttpPeer;
import pinewick.lab.scale.SettingsText;
import pinewick.lab.scale.SystemProcess;

/**
 * Repeatedly starts routers and a controller while other controllers keep running. Kills each process as soon as it is
 * ready, and records those that exit unexpectedly, with the last lines of their log.
 */
public final class StartLoop {
    private static final int CONTROLLERS = 3;
    private static final int RESTARTED_CONTROLLER = 2;
    private static final int OK = 200;
    private static final long READY_TIMEOUT_MS = 60_000;
    private static final long MAX_LIFETIME_SECONDS = 3_600;
    private static final double NANOS_PER_MS = 1e6;
    private static final long POLL_MS = 10;
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(300);
    private static final Duration CHANGE_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_LOG_LINES = 40;

    private final int starts;
    private final int routers;
    private final StartCounts counts;
    private final AtomicInteger startedCount = new AtomicInteger();
    private final Path folder;
    private final FleetAddresses addresses;

    /** Checks whether a process is ready. */
    private interface Readiness {
        boolean isReady(HttpPeer http) throws InterruptedException;
    }

    /**
     * @param starts total number of starts
     * @param routers number of routers restarted concurrently with one controller
     */
    public StartLoop(int starts, int routers, StartCounts counts) throws IOException {
        this.starts = starts;
        this.routers = routers;
        this.counts = counts;
        this.folder = Files.createTempDirectory("pinewick-starts");
        this.addresses = FleetAddresses.free(CONTROLLERS);
    }

    /** Runs all starts; returns when the last one has finished. */
    public void run() throws Exception {
        List<SystemProcess> controllers = new ArrayList<>();
        for (int number = 0; number < CONTROLLERS; number++) {
            Path data = Files.createDirectories(folder.resolve("data-" + number));
            String settings = SettingsText.controller(addresses, number, data);
            controllers.add(process("controller", number, settings, StartVariant.AS_DEPLOYED));
            controllers.get(number).start();
        }
        configure();
        ExecutorService workers = Executors.newFixedThreadPool(routers + 1);
        try {
            List<Callable<Boolean>> tasks = new ArrayList<>();
            for (int number = 0; number < routers; number++) {
                int router = number;
                tasks.add(() -> restartRouter(router));
            }
            tasks.add(() -> restartController(controllers.get(RESTARTED_CONTROLLER)));
            for (Future<Boolean> result : workers.invokeAll(tasks)) {
                result.get();
            }
        } finally {
            workers.shutdownNow();
            workers.awaitTermination(READY_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            controllers.forEach(SystemProcess::close);
            controllers.forEach(SystemProcess::awaitEnd);
            FolderTree.delete(folder);
        }
    }

    /** Commits a configuration, without which routers do not become ready. */
    private void configure() throws InterruptedException {
        HttpPeer http = new HttpPeer(CHANGE_TIMEOUT);
        byte[] configuration = DemoConfiguration.initial(1);
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
        int number = 0;
        while (http.change(addresses.controlPlane(number), "/config/replace", 0, configuration) != OK) {
            if (System.nanoTime() > deadlineNs) {
                throw new IllegalStateException("no controller accepted the configuration");
            }
            number = (number + 1) % CONTROLLERS;
            Thread.sleep(POLL_MS);
        }
    }

    private SystemProcess process(String role, int number, String settingsText, StartVariant variant)
            throws IOException {
        Path settings = folder.resolve(role + "-" + number + ".toml");
        Files.writeString(settings, settingsText);
        Path log = folder.resolve(role + "-" + number + ".log");
        return new SystemProcess(role, settings, log, MAX_LIFETIME_SECONDS, variant::apply);
    }

    private boolean restartRouter(int number) throws IOException, InterruptedException {
        String settings = SettingsText.router(addresses, number);
        for (int start = startedCount.getAndIncrement(); start < starts; start = startedCount.getAndIncrement()) {
            StartVariant variant = StartVariant.values()[start % StartVariant.values().length];
            SystemProcess process = process("router", number, settings, variant);
            startOnce("router", variant, process, http -> http.status(addresses.readiness(number), "/ready") == OK);
        }
        return true;
    }

    private boolean restartController(SystemProcess initialProcess) throws IOException, InterruptedException {
        awaitReady(initialProcess, this::isControllerResponding);
        initialProcess.kill();
        Path data = folder.resolve("data-" + RESTARTED_CONTROLLER);
        String settings =
                SettingsText.withoutFirstStart(SettingsText.controller(addresses, RESTARTED_CONTROLLER, data));
        for (int start = startedCount.getAndIncrement(); start < starts; start = startedCount.getAndIncrement()) {
            StartVariant variant = StartVariant.values()[start % StartVariant.values().length];
            SystemProcess process = process("controller", RESTARTED_CONTROLLER, settings, variant);
            startOnce("controller", variant, process, this::isControllerResponding);
        }
        return true;
    }

    private boolean isControllerResponding(HttpPeer http) throws InterruptedException {
        return http.report(addresses.controlPlane(RESTARTED_CONTROLLER)).isPresent();
    }

    private void startOnce(String role, StartVariant variant, SystemProcess process, Readiness readiness)
            throws IOException, InterruptedException {
        String label = role + ", " + variant;
        process.start();
        if (awaitReady(process, readiness)) {
            counts.addReady(label, (System.nanoTime() - process.startedAtNs()) / NANOS_PER_MS);
        } else {
            String outcome =
                    process.running() ? "is not ready after " + READY_TIMEOUT_MS + " ms" : "exited unexpectedly";
            counts.addFault(label + " " + outcome + "\n" + String.join("\n", process.lastLogLines(MAX_LOG_LINES)));
        }
        process.kill();
        process.awaitEnd();
    }

    private boolean awaitReady(SystemProcess process, Readiness readiness) throws InterruptedException {
        HttpPeer http = new HttpPeer(REQUEST_TIMEOUT);
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
        while (System.nanoTime() < deadlineNs && process.running()) {
            if (readiness.isReady(http)) {
                return true;
            }
            Thread.sleep(POLL_MS);
        }
        return false;
    }
}
