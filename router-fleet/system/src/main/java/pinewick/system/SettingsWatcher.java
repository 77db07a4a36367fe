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
 * Detects changes of the settings file and reports changed seed nodes. Each poll checks the modification time and the
 * size of the file. Every few polls, and after a signal, the file itself is read, because a modification time may be
 * too coarse to distinguish two writes. An invalid file is logged once and ignored: the current settings stay in force.
 * Used by one thread.
 */
final class SettingsWatcher {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** After this number of polls the file is read even if its modification time and size have not changed. */
    private static final int MAX_POLLS_BETWEEN_READS = 15;

    private final Path file;
    private final Consumer<List<SocketAddress>> onSeedsChanged;
    private List<SocketAddress> seeds;
    private String lastFingerprint = "";
    private String lastText;
    private int pollsSinceRead;
    private boolean unreadable;

    /**
     * @param file the settings file
     * @param text the text of the file at the start of the process; it is not parsed again
     * @param current the settings parsed from {@code text}
     * @param onSeedsChanged called on the polling thread with the seed nodes if they differ from the previous ones
     */
    SettingsWatcher(Path file, String text, NodeSettings current, Consumer<List<SocketAddress>> onSeedsChanged) {
        this.file = file;
        this.lastText = text;
        this.seeds = current.seedNodes();
        this.onSeedsChanged = onSeedsChanged;
    }

    /** Checks whether the file has changed. To be called about once per second. */
    void poll() {
        pollsSinceRead++;
        String fingerprint = currentFingerprint();
        if (!fingerprint.equals(lastFingerprint) || pollsSinceRead >= MAX_POLLS_BETWEEN_READS) {
            lastFingerprint = fingerprint;
            reload();
        }
    }

    /** Reads the file even if its modification time and size have not changed. */
    void reload() {
        pollsSinceRead = 0;
        try {
            String currentText = Files.readString(file);
            unreadable = false;
            if (!currentText.equals(lastText)) {
                lastText = currentText;
                notifyIfSeedsChanged(SettingsReader.parse(currentText, file.toString()));
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
            onSeedsChanged.accept(seeds);
        }
    }

    private String currentFingerprint() {
        try {
            return Files.getLastModifiedTime(file).toMillis() + "/" + Files.size(file);
        } catch (IOException e) {
            return "";
        }
    }
}
