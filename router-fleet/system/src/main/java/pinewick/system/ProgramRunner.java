package pinewick.system;

import com.google.common.flogger.FluentLogger;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import pinewick.model.NodeSettings;
import sun.misc.Signal;

/** Runs a program with its settings file until SIGTERM. The calling thread waits for signals and polls the file. */
final class ProgramRunner {
    /** Success. */
    static final int EXIT_OK = 0;
    /** The program failed to start or to stop. */
    static final int EXIT_FAILED = 1;
    /** The settings or the command line are invalid. */
    static final int EXIT_USAGE = 2;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long SETTINGS_POLL_INTERVAL_SECONDS = 1;

    private final Path settingsFile;
    private final String service;
    private final Program.Factory factory;
    private final BlockingQueue<ProcessEvent> events;

    /**
     * @param settingsFile the settings file, read at the start and polled for changes
     * @param service the interface that the program serves; settings whose {@code serves} does not contain it are
     *     rejected
     * @param factory creates the program
     * @param events the requests from the platform
     */
    ProgramRunner(Path settingsFile, String service, Program.Factory factory, BlockingQueue<ProcessEvent> events) {
        this.settingsFile = settingsFile;
        this.service = service;
        this.factory = factory;
        this.events = events;
    }

    /** Runs a program with the settings file named by the environment and returns its exit code. */
    static int run(Program.Kind kind) {
        LoggingSetup.install();
        BlockingQueue<ProcessEvent> events = new LinkedBlockingQueue<>();
        installSignalHandlers(events);
        return new ProgramRunner(SettingsReader.pathFromEnvironment(), kind.service(), kind.factory(), events).run();
    }

    /** Adds an event to {@code events} for each signal from the platform. */
    static void installSignalHandlers(BlockingQueue<ProcessEvent> events) {
        Signal.handle(new Signal("TERM"), signal -> events.add(ProcessEvent.STOP));
        Signal.handle(new Signal("INT"), signal -> events.add(ProcessEvent.STOP));
        Signal.handle(new Signal("HUP"), signal -> events.add(ProcessEvent.RELOAD_SETTINGS));
    }

    /** Starts the program, waits until it has stopped, and returns the exit code. */
    int run() {
        String settingsText;
        NodeSettings settings;
        try {
            settingsText = SettingsReader.readText(settingsFile);
            settings = SettingsReader.parse(settingsText, settingsFile.toString());
            requireService(settings);
        } catch (InvalidSettingsException e) {
            e.faults().forEach(System.err::println);
            return EXIT_USAGE;
        }
        try {
            Program program = factory.create(settings);
            program.start();
            LOGGER.atInfo().log("process started: role %s on node %s", settings.role(), settings.nodeName());
            awaitShutdown(new SettingsWatcher(settingsFile, settingsText, settings, program::updateSeeds));
            program.stop();
            LOGGER.atInfo().log("process stopped");
            return EXIT_OK;
        } catch (Exception e) {
            // Boundary of the process: every failure is logged with its cause and reported by the exit code.
            LOGGER.atSevere().withCause(e).log("process ends with an error: node %s", settings.nodeName());
            return EXIT_FAILED;
        }
    }

    private void requireService(NodeSettings settings) throws InvalidSettingsException {
        if (!settings.serves().contains(service)) {
            String reason = "does not name " + service + "; start this program in a role that serves it";
            throw new InvalidSettingsException(List.of(new SettingsFault("serves", reason)));
        }
    }

    private void awaitShutdown(SettingsWatcher watcher) throws InterruptedException {
        while (true) {
            ProcessEvent event = events.poll(SETTINGS_POLL_INTERVAL_SECONDS, TimeUnit.SECONDS);
            if (event == ProcessEvent.STOP) {
                return;
            }
            if (event == ProcessEvent.RELOAD_SETTINGS) {
                watcher.reload();
            } else {
                watcher.poll();
            }
        }
    }
}
