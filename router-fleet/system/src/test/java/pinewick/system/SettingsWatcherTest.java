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
    private Path folder;

    private final List<List<SocketAddress>> told = new ArrayList<>();
    private Path file;
    private SettingsWatcher watcher;

    @BeforeEach
    void start() throws IOException, InvalidSettingsException {
        file = folder.resolve("node.toml");
        write(SampleSettings.ROUTER, 1_000);
        watcher = new SettingsWatcher(file, SettingsReader.readText(file), SettingsReader.read(file), told::add);
        watcher.poll();
    }

    private void write(String text, long timeMs) throws IOException {
        Files.writeString(file, text);
        Files.setLastModifiedTime(file, FileTime.fromMillis(timeMs));
    }

    private static String otherSeed() {
        return SampleSettings.ROUTER.replace("10.3.0.10:8166", OTHER_SEED);
    }

    @Test
    void anUnchangedFileIsNotReported() {
        for (int poll = 0; poll < ENOUGH_POLLS; poll++) {
            watcher.poll();
        }
        watcher.reread();

        assertEquals(List.of(), told);
    }

    @Test
    void changedSeedsAreReportedAtTheNextPoll() throws IOException {
        write(otherSeed(), 2_000);
        watcher.poll();
        watcher.poll();

        assertEquals(1, told.size());
        assertEquals(SocketAddress.parse(OTHER_SEED), told.get(0).get(2));
    }

    @Test
    void changedSeedsAreReportedAtASignal() throws IOException {
        write(otherSeed(), 1_000);
        watcher.reread();

        assertEquals(1, told.size());
    }

    @Test
    void noticesAFileOfTheSameTimeAndSizeAfterSomePolls() throws IOException {
        write(SampleSettings.ROUTER.replace("10.3.0.10:8166", "10.3.0.77:8166"), 1_000);
        for (int poll = 0; poll < ENOUGH_POLLS; poll++) {
            watcher.poll();
        }

        assertEquals(1, told.size());
    }

    @Test
    void changesOtherThanSeedsAreNotReported() throws IOException {
        write(SampleSettings.ROUTER.replace("drain_ms = 2000", "drain_ms = 1"), 2_000);
        watcher.poll();

        assertEquals(List.of(), told);
    }

    @Test
    void theLastSeedsStayInForceWhenTheFileIsInvalidOrMissing() throws IOException {
        write("seed_nodes = [", 2_000);
        watcher.poll();
        Files.delete(file);
        watcher.poll();
        assertEquals(List.of(), told);

        write(otherSeed(), 3_000);
        watcher.poll();
        assertEquals(1, told.size());
    }
}
