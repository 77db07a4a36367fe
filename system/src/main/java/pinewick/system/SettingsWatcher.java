package pinewick.system;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import pinewick.model.NodeSettings;
import pinewick.model.SocketAddress;

/**
 * Notices that the settings file has changed and hands over the seeds of the new one. The file's time and size are
 * looked at on each poll; every few polls, and after a signal, the file itself is read, because a time may be too
 * coarse to tell two writes apart. A file that is faulty is told of once and left unheeded: the process goes on with
 * what it has.
 */
final class SettingsWatcher {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Polls from one reading of the file to the next, whatever its time says. */
    private static final int POLLS_BETWEEN_READINGS = 15;

    private final Path file;
    private final Consumer<List<SocketAddress>> onSeeds;
    private List<SocketAddress> seeds;
    private String stamp = "";
    private String text = "";
    private int pollsSinceReading;
    private boolean unreadable;

    /**
     * @param file the settings file
     * @param current what the process has started with
     * @param onSeeds told of seeds that differ from the last ones, on the thread that polls
     */
    SettingsWatcher(Path file, NodeSettings current, Consumer<List<SocketAddress>> onSeeds) {
        this.file = file;
        this.seeds = current.seedNodes();
        this.onSeeds = onSeeds;
    }

    /** Looks whether the file has changed. To be called about once a second. */
    void poll() {
        pollsSinceReading++;
        String now = currentStamp();
        if (!now.equals(stamp) || pollsSinceReading >= POLLS_BETWEEN_READINGS) {
            stamp = now;
            reread();
        }
    }

    /** Reads the file, whatever its time says. */
    void reread() {
        pollsSinceReading = 0;
        try {
            String now = Files.readString(file);
            unreadable = false;
            if (!now.equals(text)) {
                text = now;
                handOver(SettingsReader.parse(now, file.toString()));
            }
        } catch (IOException e) {
            if (!unreadable) {
                logger.atWarning().log("settings file can't be read again, going on with the last: %s", e);
            }
            unreadable = true;
        } catch (InvalidSettingsException e) {
            logger.atWarning().log("changed settings file is faulty, going on with the last: %s", e.faults());
        }
    }

    private void handOver(NodeSettings settings) {
        if (!settings.seedNodes().equals(seeds)) {
            seeds = settings.seedNodes();
            logger.atInfo().log("seeds are now %s", seeds);
            onSeeds.accept(seeds);
        }
    }

    private String currentStamp() {
        try {
            return Files.getLastModifiedTime(file).toMillis() + "/" + Files.size(file);
        } catch (IOException e) {
            return "";
        }
    }
}
