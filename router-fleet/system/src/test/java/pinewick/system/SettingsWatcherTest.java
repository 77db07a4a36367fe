package pinewick.system;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pinewick.model.SocketAddress;

class SettingsWatcherTest {
    private static final String OTHER_SEED = "10.9.9.9:8166";
    private static final int ENOUGH_POLLS = 20;

    @TempDir
    private Path directory;

    private final List<List<SocketAddress>> reportedSeeds = new ArrayList<>();
    private Path file;
    private SettingsWatcher watcher;

    @BeforeEach
    void start() throws IOException, InvalidSettingsException {
        file = directory.resolve("node.toml");
        write(SampleSettings.ROUTER, 1_000);
        watcher =
                new SettingsWatcher(file, SettingsReader.readText(file), SettingsReader.read(file), reportedSeeds::add);
        watcher.poll();
    }

    private void write(String text, long timeMs) throws IOException {
        Files.writeString(file, text);
        Files.setLastModifiedTime(file, FileTime.fromMillis(timeMs));
    }

    private static String settingsWithOtherSeed() {
        return SampleSettings.ROUTER.replace("10.3.0.10:8166", OTHER_SEED);
    }

    @Test
    void doesNotReportAnUnchangedFile() {
        for (int poll = 0; poll < ENOUGH_POLLS; poll++) {
            watcher.poll();
        }
        watcher.reload();

        assertEquals(List.of(), reportedSeeds);
    }

    @Test
    void reportsChangedSeedsAtTheNextPoll() throws IOException {
        write(settingsWithOtherSeed(), 2_000);
        watcher.poll();
        watcher.poll();

        assertEquals(1, reportedSeeds.size());
        assertEquals(SocketAddress.parse(OTHER_SEED), reportedSeeds.get(0).get(2));
    }

    @Test
    void reportsChangedSeedsOnReload() throws IOException {
        write(settingsWithOtherSeed(), 1_000);
        watcher.reload();

        assertEquals(1, reportedSeeds.size());
    }

    @Test
    void detectsAChangeThatKeepsTimeAndSizeAfterSomePolls() throws IOException {
        write(SampleSettings.ROUTER.replace("10.3.0.10:8166", "10.3.0.77:8166"), 1_000);
        for (int poll = 0; poll < ENOUGH_POLLS; poll++) {
            watcher.poll();
        }

        assertEquals(1, reportedSeeds.size());
    }

    @Test
    void doesNotReportChangesOtherThanSeeds() throws IOException {
        write(SampleSettings.ROUTER.replace("drain_ms = 2000", "drain_ms = 1"), 2_000);
        watcher.poll();

        assertEquals(List.of(), reportedSeeds);
    }

    @Test
    void keepsTheSeedsWhenTheFileIsInvalidOrMissing() throws IOException {
        write("seed_nodes = [", 2_000);
        watcher.poll();
        Files.delete(file);
        watcher.poll();
        assertEquals(List.of(), reportedSeeds);

        write(settingsWithOtherSeed(), 3_000);
        watcher.poll();
        assertEquals(1, reportedSeeds.size());
    }
}
