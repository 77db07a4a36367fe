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
 * Detects changes of the settings file and passes on its seeds. The file's time and size are checked on each poll;
 * every few polls, and after a signal, the file itself is read, because a time may be too coarse to distinguish two
 * writes. An invalid file is logged once and ignored: the current settings stay in force. Used by one thread.
 */
final class SettingsWatcher {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** After this many polls the file is read, even if its time has not changed. */
    private static final int MAX_POLLS_BETWEEN_READS = 15;

    private final Path file;
    private final Consumer<List<SocketAddress>> onSeeds;
    private List<SocketAddress> seeds;
    private String lastStamp = "";
    private String lastText;
    private int pollsSinceRead;
    private boolean unreadable;

    /**
     * @param file the settings file
     * @param text the text of the file with which the process has started; it is not parsed again
     * @param current the settings that the text gave
     * @param onSeeds receives seeds that differ from the last ones, on the polling thread
     */
    SettingsWatcher(Path file, String text, NodeSettings current, Consumer<List<SocketAddress>> onSeeds) {
        this.file = file;
        this.lastText = text;
        this.seeds = current.seedNodes();
        this.onSeeds = onSeeds;
    }

    /** Checks whether the file has changed. To be called about once a second. */
    void poll() {
        pollsSinceRead++;
        String now = currentStamp();
        if (!now.equals(lastStamp) || pollsSinceRead >= MAX_POLLS_BETWEEN_READS) {
            lastStamp = now;
            reread();
        }
    }

    /** Reads the file, even if its time has not changed. */
    void reread() {
        pollsSinceRead = 0;
        try {
            String now = Files.readString(file);
            unreadable = false;
            if (!now.equals(lastText)) {
                lastText = now;
                notifyIfSeedsChanged(SettingsReader.parse(now, file.toString()));
            }
        } catch (IOException e) {
            if (!unreadable) {
                LOGGER.atWarning().log("settings file unreadable, the current settings stay in force: %s", e);
            }
            unreadable = true;
        } catch (InvalidSettingsException e) {
            LOGGER.atWarning().log("settings file invalid, the current settings stay in force: %s", e.faults());
        }
    }

    private void notifyIfSeedsChanged(NodeSettings settings) {
        if (!settings.seedNodes().equals(seeds)) {
            seeds = settings.seedNodes();
            LOGGER.atInfo().log("settings changed: seeds are %s", seeds);
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
