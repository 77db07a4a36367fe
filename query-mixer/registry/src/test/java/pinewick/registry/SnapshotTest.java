package pinewick.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pinewick.core.SchedulerHost;

/** Stories of the kept copy: crashes at every byte, spoilt bytes, disks that fail. */
class SnapshotTest {
    static byte[] value(String phase) {
        return ("{\"addresses\":[\"127.0.0.1:1\"],\"phase\":\"" + phase + "\"}").getBytes(StandardCharsets.UTF_8);
    }

    private static RegistryView after(int changes) {
        RegistryView view = new RegistryView("s/");
        view.begin();
        view.page(10, List.of(new KeyValue("s/a", value("ready"), 3, 1), new KeyValue("s/b", value("ready"), 9, 2)));
        view.commit(false);
        for (int each = 1; each <= changes; each++) {
            view.apply(change(each));
        }
        return view;
    }

    private static List<KeyValue> change(int number) {
        return number % 3 == 0
                ? List.of(new KeyValue("s/a", null, 10 + number, 0))
                : List.of(new KeyValue("s/a", value(number % 2 == 0 ? "draining" : "ready"), 10 + number, 1));
    }

    @Test
    void aCrashAtEveryByteLeavesTheLastWholeState() {
        ByteArrayOutputStream file = new ByteArrayOutputStream();
        List<Integer> ends = new ArrayList<>();
        file.writeBytes(SnapshotCodec.whole(10, after(0).entries()));
        ends.add(file.size());
        for (int each = 1; each <= 7; each++) {
            file.writeBytes(SnapshotCodec.changes(10 + each, change(each)));
            ends.add(file.size());
        }
        byte[] bytes = file.toByteArray();
        for (int cut = 0; cut <= bytes.length; cut++) {
            int whole = -1;
            for (int end : ends) {
                whole += end <= cut ? 1 : 0;
            }
            SnapshotCodec.Kept kept = SnapshotCodec.read(Arrays.copyOf(bytes, cut));
            if (whole < 0) {
                assertNull(kept, "cut at " + cut);
                continue;
            }
            RegistryView view = new RegistryView("s/");
            SnapshotCodec.into(kept, view);
            assertEquals(10 + whole, view.revision(), "cut at " + cut);
            assertEquals(after(whole).stores(), view.stores(), "cut at " + cut);
        }
    }

    @Test
    void aSpoiltByteAnywhereIsNeverBelieved() {
        byte[] good = SnapshotCodec.whole(10, after(0).entries());
        byte[] more = SnapshotCodec.changes(11, change(1));
        byte[] file = Arrays.copyOf(good, good.length + more.length);
        System.arraycopy(more, 0, file, good.length, more.length);
        for (int at = 0; at < file.length; at++) {
            byte[] spoilt = file.clone();
            spoilt[at] ^= 0x20;
            SnapshotCodec.Kept kept = SnapshotCodec.read(spoilt);
            assertTrue(
                    at < good.length ? kept == null : kept.revision() == 10 && kept.sound() == good.length, "at " + at);
        }
    }

    @Test
    void theNewestFileCountsAndOlderOnesLeave(@TempDir Path folder) throws Exception {
        List<String> log = new ArrayList<>();
        try (SnapshotFiles files = new SnapshotFiles(folder, log::add)) {
            assertNull(files.read());
            assertTrue(files.wantsWhole());
            files.whole(() -> SnapshotCodec.whole(10, after(0).entries()));
            files.changes(SnapshotCodec.changes(11, change(1)));
            files.whole(() -> SnapshotCodec.whole(12, after(2).entries()));
            files.changes(SnapshotCodec.changes(13, change(3)));
        }
        try (var left = Files.list(folder)) {
            assertEquals(1, left.count());
        }
        try (SnapshotFiles files = new SnapshotFiles(folder, log::add)) {
            SnapshotCodec.Kept kept = files.read();
            RegistryView view = new RegistryView("s/");
            SnapshotCodec.into(kept, view);
            assertEquals(13, view.revision());
            assertEquals(after(3).stores(), view.stores());
        }
        assertEquals(List.of(), log);
    }

    @Test
    void aTornNewestFileFallsBackToTheOneBefore(@TempDir Path folder) throws Exception {
        byte[] older = SnapshotCodec.whole(10, after(0).entries());
        Files.write(folder.resolve("view-4.kept"), older);
        Files.write(folder.resolve("view-5.kept"), Arrays.copyOf(older, older.length / 2));
        List<String> log = new ArrayList<>();
        try (SnapshotFiles files = new SnapshotFiles(folder, log::add)) {
            assertNotNull(files.read());
            assertEquals(1, log.size());
            files.whole(() -> SnapshotCodec.whole(20, after(0).entries()));
        }
        assertTrue(Files.exists(folder.resolve("view-6.kept")));
    }

    @Test
    void aFolderThatCannotBeWrittenIsALineAndNoEnd(@TempDir Path folder) throws Exception {
        Path file = Files.writeString(folder.resolve("taken"), "no folder");
        List<String> log = new ArrayList<>();
        try (SnapshotFiles files = new SnapshotFiles(file, log::add)) {
            assertNull(files.read());
            files.whole(() -> SnapshotCodec.whole(10, after(0).entries()));
            files.changes(SnapshotCodec.changes(11, change(1)));
            files.changes(SnapshotCodec.changes(12, change(2)));
        }
        assertEquals(1, log.size());
        assertTrue(log.get(0).startsWith("the kept copy rests"), log.get(0));
    }

    @Test
    void aKeptDrainStaysADrain() {
        RegistryView view = new RegistryView("s/");
        SnapshotCodec.into(SnapshotCodec.read(SnapshotCodec.whole(12, after(2).entries())), view);
        assertEquals(
                SchedulerHost.LifecycleState.DRAINING,
                view.stores().iterator().next().stage());
    }
}
