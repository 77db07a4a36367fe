package pinewick.system;

import com.google.common.flogger.FluentLogger;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import pinewick.model.NodeSettings;
import sun.misc.Signal;

/**
 * Runs one program from its settings file until SIGTERM. The thread that calls it waits for signals and watches the
 * file.
 */
final class ProgramRunner {
    /** Everything went as asked. */
    static final int DONE = 0;
    /** The program could not start or stop as it should. */
    static final int FAILED = 1;
    /** The settings or the command line are wrong. */
    static final int MISUSED = 2;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long SETTINGS_POLL_SECONDS = 1;

    private final Path settingsFile;
    private final String service;
    private final Program.Factory factory;
    private final BlockingQueue<ProcessEvent> events;

    /**
     * @param settingsFile read once at the start, and watched
     * @param service what the program serves; settings that do not name it are refused
     * @param factory makes the program
     * @param events what the platform asks
     */
    ProgramRunner(Path settingsFile, String service, Program.Factory factory, BlockingQueue<ProcessEvent> events) {
        this.settingsFile = settingsFile;
        this.service = service;
        this.factory = factory;
        this.events = events;
    }

    /** Runs a program with the settings file of the environment, and returns its exit code. */
    static int run(Program.Kind kind) {
        LogSetup.install();
        BlockingQueue<ProcessEvent> events = new LinkedBlockingQueue<>();
        Signal.handle(new Signal("TERM"), signal -> events.add(ProcessEvent.STOP));
        Signal.handle(new Signal("INT"), signal -> events.add(ProcessEvent.STOP));
        Signal.handle(new Signal("HUP"), signal -> events.add(ProcessEvent.REREAD_SETTINGS));
        return new ProgramRunner(SettingsReader.pathFromEnvironment(), kind.service(), kind.factory(), events).run();
    }

    /** Starts the program, waits for its end, and returns the exit code. */
    int run() {
        NodeSettings settings;
        try {
            settings = SettingsReader.read(settingsFile);
            requireService(settings);
        } catch (InvalidSettingsException e) {
            e.faults().forEach(System.err::println);
            return MISUSED;
        }
        try {
            Program program = factory.create(settings);
            program.start();
            logger.atInfo().log("started as %s on %s", settings.role(), settings.nodeName());
            waitForEnd(new SettingsWatcher(settingsFile, settings, program::updateSeeds));
            program.stop();
            logger.atInfo().log("stopped");
            return DONE;
        } catch (Exception e) {
            logger.atSevere().withCause(e).log("%s ends", settings.nodeName());
            return FAILED;
        }
    }

    private void requireService(NodeSettings settings) throws InvalidSettingsException {
        if (!settings.serves().contains(service)) {
            String sentence = "does not name " + service + "; start this program in a role that serves it";
            throw new InvalidSettingsException(List.of(new SettingsFault("serves", sentence)));
        }
    }

    private void waitForEnd(SettingsWatcher watcher) throws InterruptedException {
        while (true) {
            ProcessEvent event = events.poll(SETTINGS_POLL_SECONDS, TimeUnit.SECONDS);
            if (event == ProcessEvent.STOP) {
                return;
            }
            if (event == ProcessEvent.REREAD_SETTINGS) {
                watcher.reread();
            } else {
                watcher.poll();
            }
        }
    }
}
