package pinewick.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pinewick.model.ConfigurationDocument;
import pinewick.model.SocketAddress;
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
import pinewick.replication.StoredState;

class XodusStoreTest {
    private static final SocketAddress ADDRESS = SocketAddress.parse("10.0.0.1:7721");
    private static final long WAIT_SECONDS = 30;
    private static final int ROUTES = 400;
    private static final int CHANGES = 1_000;
    private static final long DISK_BYTES = 128L << 20;

    @TempDir
    Path directory;

    private final BlockingQueue<Runnable> completions = new LinkedBlockingQueue<>();

    private void runNext() throws InterruptedException {
        Runnable completion = completions.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertTrue(completion != null, "the store ran no callback in time");
        completion.run();
    }

    private XodusStore newStore() {
        return new XodusStore(directory.resolve("store"), completions::add);
    }

    private Object load(XodusStore store) throws InterruptedException {
        AtomicReference<Object> result = new AtomicReference<>();
        store.load(result::set, result::set);
        runNext();
        return result.get();
    }

    private StoredState loadStored(XodusStore store) throws InterruptedException {
        return assertInstanceOf(LoadedState.class, load(store)).stored().orElseThrow();
    }

    private void persist(XodusStore store, StableWrite write) throws InterruptedException {
        AtomicReference<StorageException> failure = new AtomicReference<>();
        store.persist(write, () -> {}, failure::set);
        runNext();
        assertEquals(null, failure.get());
    }

    private static StoredHead head(long sequence) {
        EpochRecord record = EpochRecord.founding(List.of(ADDRESS, SocketAddress.parse("10.0.0.2:7721")));
        return new StoredHead("10.0.0.1:7721", new EpochNumber(7, "other"), record, new StateVersion(7, sequence));
    }

    private static StoredChange change(int number, int bytes) {
        byte[] delta = new byte[bytes];
        new Random(number).nextBytes(delta);
        return new StoredChange(delta, new ChangeKey(number, number + 1, String.format("%064x", number)));
    }

    private static StableWrite snapshot(int bytes) {
        StoredSnapshot snapshot = new StoredSnapshot(
                change(1, bytes).delta(), change(2, bytes / 2).delta());
        return new StableWrite(head(0), new StableWrite.Replaced(snapshot));
    }

    @Test
    void loadsNoStateFromAnEmptyDisk() throws InterruptedException {
        try (XodusStore store = newStore()) {
            assertEquals(LoadedState.EMPTY, load(store));
        }
    }

    @Test
    void restoresTheWrittenStateAfterARestart() throws InterruptedException {
        try (XodusStore store = newStore()) {
            load(store);
            persist(store, snapshot(300_000));
            persist(store, new StableWrite(head(1), new StableWrite.Appended(change(1, 500))));
            persist(store, new StableWrite(head(2), new StableWrite.Appended(change(2, 100_000))));
            persist(store, new StableWrite(head(3), new StableWrite.Unchanged()));
        }
        try (XodusStore store = newStore()) {
            StoredState stored = loadStored(store);
            assertEquals(head(3), stored.head());
            assertEquals(300_000, stored.snapshot().document().length);
            assertEquals(150_000, stored.snapshot().changes().length);
            assertEquals(List.of(change(1, 0).key(), change(2, 0).key()), keys(stored));
            assertArrayEquals(
                    change(2, 100_000).delta(), stored.changes().get(1).delta());
            persist(store, new StableWrite(head(4), new StableWrite.Appended(change(3, 10))));
            assertEquals(3, loadStored(store).changes().size());
        }
    }

    private static List<ChangeKey> keys(StoredState stored) {
        return stored.changes().stream().map(StoredChange::key).toList();
    }

    @Test
    void snapshotReplacesEarlierChanges() throws InterruptedException {
        try (XodusStore store = newStore()) {
            load(store);
            persist(store, snapshot(1_000));
            persist(store, new StableWrite(head(1), new StableWrite.Appended(change(1, 500))));
            persist(store, snapshot(200_000));
            persist(store, new StableWrite(head(2), new StableWrite.Appended(change(9, 500))));
            StoredState stored = loadStored(store);
            assertEquals(List.of(change(9, 0).key()), keys(stored));
            assertEquals(200_000, stored.snapshot().document().length);
        }
    }

    @Test
    void quarantinesUnreadableFilesAndReportsTheDiskAsDamaged() throws Exception {
        try (XodusStore store = newStore()) {
            load(store);
            persist(store, snapshot(100_000));
        }
        overwriteWithRandomBytes(directory.resolve("store").resolve("live"));
        try (XodusStore store = newStore()) {
            assertInstanceOf(StorageException.class, load(store), "the first failure may be transient");
            assertEquals(new LoadedState(Optional.empty(), true), load(store));
            persist(store, snapshot(1_000));
        }
        try (XodusStore store = newStore()) {
            assertTrue(assertInstanceOf(LoadedState.class, load(store)).damaged());
            assertEquals(head(0), loadStored(store).head());
        }
    }

    private static void overwriteWithRandomBytes(Path liveDirectory) throws IOException {
        try (Stream<Path> files = Files.list(liveDirectory)) {
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".xd")).toList()) {
                byte[] randomBytes = new byte[(int) Files.size(file)];
                new Random(3).nextBytes(randomBytes);
                Files.write(file, randomBytes);
            }
        }
    }

    @Test
    void doesNotTreatAMemberWithDamagedFilesAsAFoundingMember() throws Exception {
        new SingleController(directory.resolve("store")).close();
        overwriteWithRandomBytes(directory.resolve("store").resolve("live"));
        try (XodusStore store = newStore()) {
            load(store);
            load(store);
            persist(store, snapshot(10));
            assertNotEquals("", loadStored(store).head().identity());
        }
        try (XodusStore store = newStore()) {
            assertTrue(assertInstanceOf(LoadedState.class, load(store)).damaged());
        }
    }

    @Test
    void limitsTheDiskUsageOfAThousandChangesOfALargeConfiguration() throws Exception {
        ConfigurationDocument last;
        try (SingleController controller = new SingleController(directory.resolve("store"))) {
            long version = controller.accept(SampleChanges.replacement(0, ROUTES));
            long firstBytes = diskUsage();
            long startNs = System.nanoTime();
            for (int number = 0; number < CHANGES; number++) {
                boolean isFullDocument = number % 10 == 9;
                version = controller.accept(
                        isFullDocument
                                ? SampleChanges.replacement(version, ROUTES)
                                : SampleChanges.update(version, ROUTES));
            }
            double msPerChange = (System.nanoTime() - startNs) / 1e6 / CHANGES;
            last = controller.read().orElseThrow();
            System.out.printf(
                    "storage: %d KB after the first change, %d KB after %d more, %.2f ms each%n",
                    firstBytes / 1024, diskUsage() / 1024, CHANGES, msPerChange);
        }
        assertTrue(diskUsage() < DISK_BYTES / 4, "disk usage in bytes: " + diskUsage());
        try (SingleController controller = new SingleController(directory.resolve("store"))) {
            assertEquals(last, controller.read().orElseThrow());
        }
    }

    private long diskUsage() throws IOException {
        try (Stream<Path> files = Files.walk(directory)) {
            return files.filter(Files::isRegularFile)
                    .mapToLong(XodusStoreTest::sizeOf)
                    .sum();
        }
    }

    private static long sizeOf(Path file) {
        try {
            return Files.size(file);
        } catch (java.nio.file.NoSuchFileException e) {
            return 0;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    void distinguishesAFullDiskFromAFailingOne() {
        assertEquals(
                StorageException.Kind.FULL,
                DiskErrorClassifier.kindOf(new RuntimeException(new IOException("No space left on device"))));
        assertEquals(StorageException.Kind.FAILED, DiskErrorClassifier.kindOf(new IOException("Input/output error")));
        assertFalse(new StoreDirectory(directory).hasDamaged());
    }
}
