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

/** The on-disk snapshot: truncation at every byte, corrupted bytes, disks that cannot be written. */
class SnapshotTest {
    static byte[] value(String phase) {
        return ("{\"addresses\":[\"127.0.0.1:1\"],\"phase\":\"" + phase + "\"}").getBytes(StandardCharsets.UTF_8);
    }

    private static RegistryView viewAfter(int changes) {
        RegistryView view = new RegistryView("s/");
        view.beginRebuild();
        view.addPage(10, List.of(new KeyValue("s/a", value("ready"), 3, 1), new KeyValue("s/b", value("ready"), 9, 2)));
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
    void truncationAtAnyByteRestoresTheLastCompleteState() {
        ByteArrayOutputStream file = new ByteArrayOutputStream();
        List<Integer> ends = new ArrayList<>();
        file.writeBytes(SnapshotCodec.encodeSnapshot(10, viewAfter(0).keyValues()));
        ends.add(file.size());
        for (int each = 1; each <= 7; each++) {
            file.writeBytes(SnapshotCodec.encodeChanges(10 + each, change(each)));
            ends.add(file.size());
        }
        byte[] bytes = file.toByteArray();
        for (int cut = 0; cut <= bytes.length; cut++) {
            int completeChanges = -1;
            for (int end : ends) {
                completeChanges += end <= cut ? 1 : 0;
            }
            SnapshotCodec.Snapshot snapshot = SnapshotCodec.decode(Arrays.copyOf(bytes, cut));
            if (completeChanges < 0) {
                assertNull(snapshot, "cut at " + cut);
                continue;
            }
            RegistryView view = new RegistryView("s/");
            SnapshotCodec.restore(snapshot, view);
            assertEquals(10 + completeChanges, view.revision(), "cut at " + cut);
            assertEquals(viewAfter(completeChanges).searchers(), view.searchers(), "cut at " + cut);
        }
    }

    @Test
    void corruptedByteIsAlwaysDetected() {
        byte[] good = SnapshotCodec.encodeSnapshot(10, viewAfter(0).keyValues());
        byte[] more = SnapshotCodec.encodeChanges(11, change(1));
        byte[] file = Arrays.copyOf(good, good.length + more.length);
        System.arraycopy(more, 0, file, good.length, more.length);
        for (int at = 0; at < file.length; at++) {
            byte[] corrupted = file.clone();
            corrupted[at] ^= 0x20;
            SnapshotCodec.Snapshot snapshot = SnapshotCodec.decode(corrupted);
            assertTrue(
                    at < good.length
                            ? snapshot == null
                            : snapshot.revision() == 10 && snapshot.validBytes() == good.length,
                    "at " + at);
        }
    }

    @Test
    void newestFileIsUsedAndOlderOnesAreDeleted(@TempDir Path folder) throws Exception {
        List<String> log = new ArrayList<>();
        try (SnapshotFiles files = new SnapshotFiles(folder, log::add)) {
            assertNull(files.readLatest());
            assertTrue(files.needsSnapshot());
            files.writeSnapshot(
                    () -> SnapshotCodec.encodeSnapshot(10, viewAfter(0).keyValues()));
            files.appendChanges(SnapshotCodec.encodeChanges(11, change(1)));
            files.writeSnapshot(
                    () -> SnapshotCodec.encodeSnapshot(12, viewAfter(2).keyValues()));
            files.appendChanges(SnapshotCodec.encodeChanges(13, change(3)));
        }
        try (var left = Files.list(folder)) {
            assertEquals(1, left.count());
        }
        try (SnapshotFiles files = new SnapshotFiles(folder, log::add)) {
            SnapshotCodec.Snapshot snapshot = files.readLatest();
            RegistryView view = new RegistryView("s/");
            SnapshotCodec.restore(snapshot, view);
            assertEquals(13, view.revision());
            assertEquals(viewAfter(3).searchers(), view.searchers());
        }
        assertEquals(List.of(), log);
    }

    @Test
    void tornNewestFileFallsBackToThePreviousOne(@TempDir Path folder) throws Exception {
        byte[] older = SnapshotCodec.encodeSnapshot(10, viewAfter(0).keyValues());
        Files.write(folder.resolve("view-4.kept"), older);
        Files.write(folder.resolve("view-5.kept"), Arrays.copyOf(older, older.length / 2));
        List<String> log = new ArrayList<>();
        try (SnapshotFiles files = new SnapshotFiles(folder, log::add)) {
            assertNotNull(files.readLatest());
            assertEquals(1, log.size());
            files.writeSnapshot(
                    () -> SnapshotCodec.encodeSnapshot(20, viewAfter(0).keyValues()));
        }
        assertTrue(Files.exists(folder.resolve("view-6.kept")));
    }

    @Test
    void unwritableFolderIsLoggedOnceAndNotFatal(@TempDir Path folder) throws Exception {
        Path file = Files.writeString(folder.resolve("taken"), "no folder");
        List<String> log = new ArrayList<>();
        try (SnapshotFiles files = new SnapshotFiles(file, log::add)) {
            assertNull(files.readLatest());
            files.writeSnapshot(
                    () -> SnapshotCodec.encodeSnapshot(10, viewAfter(0).keyValues()));
            files.appendChanges(SnapshotCodec.encodeChanges(11, change(1)));
            files.appendChanges(SnapshotCodec.encodeChanges(12, change(2)));
        }
        assertEquals(1, log.size());
        assertTrue(log.get(0).startsWith("the kept copy rests"), log.get(0));
    }

    @Test
    void drainSurvivesTheSnapshot() {
        RegistryView view = new RegistryView("s/");
        SnapshotCodec.restore(
                SnapshotCodec.decode(
                        SnapshotCodec.encodeSnapshot(12, viewAfter(2).keyValues())),
                view);
        assertEquals(
                SchedulerHost.LifecycleState.DRAINING,
                view.searchers().iterator().next().state());
    }
}
