package pinewick.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pinewick.model.RemovalStore;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.SocketAddress;
import pinewick.model.Stage;
import pinewick.replication.ChangeKey;
import pinewick.replication.EpochNumber;
import pinewick.replication.EpochRecord;
import pinewick.replication.LoadedState;
import pinewick.replication.StableWrite;
import pinewick.replication.StateVersion;
import pinewick.replication.StorageException;
import pinewick.replication.StoredChange;
import pinewick.replication.StoredHead;
import pinewick.replication.StoredSnapshot;

/** The removals of replicas on the disk of a controller, beside its configuration. */
class RemovalStorageTest {
    private static final long WAIT_SECONDS = 30;

    @TempDir
    Path directory;

    private final BlockingQueue<Runnable> completions = new LinkedBlockingQueue<>();

    private XodusStore newStore(Path folder) {
        return new XodusStore(folder, completions::add);
    }

    private void runNext() throws InterruptedException {
        Runnable completion = completions.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(completion, "the store ran no callback in time");
        completion.run();
    }

    private Object load(XodusStore store) throws InterruptedException {
        AtomicReference<Object> result = new AtomicReference<>();
        store.load(result::set, result::set);
        runNext();
        return result.get();
    }

    private Set<ReplicaRecord> removals(XodusStore store) throws InterruptedException {
        AtomicReference<List<ReplicaRecord>> result = new AtomicReference<>();
        store.loadRemovals(result::set, () -> {});
        runNext();
        assertNotNull(result.get(), "the removals could not be read");
        return Set.copyOf(result.get());
    }

    private void persist(XodusStore store, List<ReplicaRecord> stored, String... forgotten)
            throws InterruptedException {
        boolean[] done = new boolean[1];
        store.persistRemovals(new RemovalStore.Update(stored, List.of(forgotten)), () -> done[0] = true, () -> {});
        runNext();
        assertTrue(done[0], "the write failed");
    }

    private void persistConfiguration(XodusStore store, long sequence) throws InterruptedException {
        EpochRecord record = EpochRecord.founding(List.of(SocketAddress.parse("10.0.0.1:7721")));
        StoredHead head = new StoredHead("store", new EpochNumber(7, "other"), record, new StateVersion(7, sequence));
        ChangeKey key = new ChangeKey(sequence, sequence + 1, "digest-" + sequence);
        StableWrite.Content content = sequence == 0
                ? new StableWrite.Replaced(new StoredSnapshot(new byte[100], new byte[50]))
                : new StableWrite.Appended(new StoredChange(new byte[] {(byte) sequence}, key));
        AtomicReference<StorageException> failure = new AtomicReference<>();
        store.persist(new StableWrite(head, content), () -> {}, failure::set);
        runNext();
        assertEquals(null, failure.get());
    }

    private static ReplicaRecord removed(String id, ReplicaState state) {
        List<ReplicaRecord.ModelVersion> models = List.of(new ReplicaRecord.ModelVersion("m", 3));
        SocketAddress address = new SocketAddress("10.128.0.9", 8080);
        return new ReplicaRecord(id, "huvo11a", address, "zone", "v1", 6, state, 20, Stage.DECODE, models, 7, true);
    }

    @Test
    void restoresRemovalsAfterARestartAndForgetsTheDeletedOnes() throws InterruptedException {
        ReplicaRecord draining = removed("i-1", ReplicaState.DRAINING);
        ReplicaRecord gone = removed("i-2", ReplicaState.GONE);
        try (XodusStore store = newStore(directory)) {
            load(store);
            assertEquals(Set.of(), removals(store));
            persistConfiguration(store, 0);
            persist(store, List.of(draining, gone, removed("i-3", ReplicaState.GONE)));
            persistConfiguration(store, 1);
            persist(store, List.of(draining.withState(ReplicaState.GONE)), "i-3");
        }
        try (XodusStore store = newStore(directory)) {
            LoadedState loaded = assertInstanceOf(LoadedState.class, load(store));
            assertEquals(1, loaded.stored().orElseThrow().head().stateVersion().sequence());
            assertEquals(Set.of(draining.withState(ReplicaState.GONE), gone), removals(store));
        }
    }

    /** A text of a replica that cannot be written would keep every later removal from the disk. */
    @Test
    void storesTextsOfTheGreatestLengthThatAReplicaMaySend() throws InterruptedException {
        String zone = "\ud83d\ude80".repeat(16_000);
        SocketAddress address = new SocketAddress("10.128.0.9", 8080);
        ReplicaRecord gone = new ReplicaRecord(
                "i-1", "huvo11a", address, zone, "v1", 6, ReplicaState.GONE, 0, Stage.NONE, List.of(), 7, false);
        try (XodusStore store = newStore(directory)) {
            load(store);
            persist(store, List.of(gone));
        }
        try (XodusStore store = newStore(directory)) {
            load(store);
            assertEquals(Set.of(gone), removals(store));
        }
    }

    /** After a failed write the files are opened again, and the first write may be that of a removal. */
    @Test
    void aRemovalWrittenBeforeTheStateIsReadLeavesTheStateConsistent() throws InterruptedException {
        ReplicaRecord gone = removed("i-1", ReplicaState.GONE);
        try (XodusStore store = newStore(directory)) {
            load(store);
            persistConfiguration(store, 0);
            persistConfiguration(store, 1);
        }
        try (XodusStore store = newStore(directory)) {
            persist(store, List.of(gone));
            persistConfiguration(store, 2);
        }
        try (XodusStore store = newStore(directory)) {
            LoadedState loaded = assertInstanceOf(LoadedState.class, load(store));
            assertEquals(2, loaded.stored().orElseThrow().changes().size());
            assertEquals(Set.of(gone), removals(store));
        }
    }

    /** A power failure cuts the log in the last write: earlier removals remain, the last one is whole or absent. */
    @Test
    void earlierRemovalsSurviveAPowerLossAtEachPointOfAWrite() throws Exception {
        ReplicaRecord earlier = removed("i-1", ReplicaState.GONE);
        ReplicaRecord later = removed("i-2", ReplicaState.GONE);
        Path original = directory.resolve("original");
        long bytesBefore;
        long bytesAfter;
        try (XodusStore store = newStore(original)) {
            load(store);
            persistConfiguration(store, 0);
            persist(store, List.of(earlier));
            bytesBefore = Files.size(logFile(original));
            persist(store, List.of(later));
            bytesAfter = Files.size(logFile(original));
            for (boolean zeros : new boolean[] {false, true}) {
                for (long cut = bytesBefore; cut <= bytesAfter; cut += 13) {
                    Path copy = directory.resolve("cut-" + cut + zeros);
                    copyCut(original, copy, cut, zeros ? bytesAfter : cut);
                    requireEarlier(copy, earlier, later);
                }
            }
        }
        assertTrue(bytesAfter > bytesBefore);
    }

    private void requireEarlier(Path copy, ReplicaRecord earlier, ReplicaRecord later) throws Exception {
        try (XodusStore store = newStore(copy)) {
            LoadedState loaded = assertInstanceOf(LoadedState.class, load(store), copy::toString);
            assertTrue(loaded.stored().isPresent() && !loaded.damaged(), copy::toString);
            Set<ReplicaRecord> found = removals(store);
            assertTrue(found.equals(Set.of(earlier)) || found.equals(Set.of(earlier, later)), copy + ": " + found);
        }
    }

    private static Path logFile(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder.resolve("live"))) {
            List<Path> logs =
                    files.filter(file -> file.toString().endsWith(".xd")).collect(Collectors.toList());
            assertEquals(1, logs.size());
            return logs.get(0);
        }
    }

    private static void copyCut(Path original, Path copy, long keptBytes, long totalBytes) throws IOException {
        Path target = Files.createDirectories(copy.resolve("live"))
                .resolve(logFile(original).getFileName());
        Files.copy(logFile(original), target);
        try (FileChannel channel = FileChannel.open(target, StandardOpenOption.WRITE)) {
            channel.truncate(keptBytes);
            if (totalBytes > keptBytes) {
                channel.write(java.nio.ByteBuffer.allocate((int) (totalBytes - keptBytes)), keptBytes);
            }
        }
    }
}
