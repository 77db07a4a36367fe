package pinewick.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
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
import pinewick.replication.ChangeOutcome;
import pinewick.replication.ConfigurationChange;
import pinewick.replication.EpochNumber;
import pinewick.replication.EpochRecord;
import pinewick.replication.LoadedState;
import pinewick.replication.ReadOutcome;
import pinewick.replication.ReplicationListener;
import pinewick.replication.ReplicationNode;
import pinewick.replication.ReplicationSettings;
import pinewick.replication.StableWrite;
import pinewick.replication.StateTag;
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
    private static final double TICK_MS = 1;
    private static final double LONGEST_START_MS = 20_000;
    private static final long DISK_BYTES = 128L << 20;

    @TempDir
    Path directory;

    private final BlockingQueue<Runnable> completions = new LinkedBlockingQueue<>();

    private void runNext() throws InterruptedException {
        Runnable completion = completions.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertTrue(completion != null, "the store did not answer");
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

    private StoredState loaded(XodusStore store) throws InterruptedException {
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
        return new StoredHead("10.0.0.1:7721", new EpochNumber(7, "other"), record, new StateTag(7, sequence));
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
    void anEmptyDiskHoldsNothing() throws InterruptedException {
        try (XodusStore store = newStore()) {
            assertEquals(LoadedState.EMPTY, load(store));
        }
    }

    @Test
    void whatWasWrittenIsReadBackByTheNextProcess() throws InterruptedException {
        try (XodusStore store = newStore()) {
            load(store);
            persist(store, snapshot(300_000));
            persist(store, new StableWrite(head(1), new StableWrite.Appended(change(1, 500))));
            persist(store, new StableWrite(head(2), new StableWrite.Appended(change(2, 100_000))));
            persist(store, new StableWrite(head(3), new StableWrite.Unchanged()));
        }
        try (XodusStore store = newStore()) {
            StoredState stored = loaded(store);
            assertEquals(head(3), stored.head());
            assertEquals(300_000, stored.snapshot().document().length);
            assertEquals(150_000, stored.snapshot().changes().length);
            assertEquals(List.of(change(1, 0).key(), change(2, 0).key()), keys(stored));
            assertArrayEquals(
                    change(2, 100_000).delta(), stored.changes().get(1).delta());
            persist(store, new StableWrite(head(4), new StableWrite.Appended(change(3, 10))));
            assertEquals(3, loaded(store).changes().size());
        }
    }

    private static List<ChangeKey> keys(StoredState stored) {
        return stored.changes().stream().map(StoredChange::key).toList();
    }

    @Test
    void aSnapshotDropsTheChangesBeforeIt() throws InterruptedException {
        try (XodusStore store = newStore()) {
            load(store);
            persist(store, snapshot(1_000));
            persist(store, new StableWrite(head(1), new StableWrite.Appended(change(1, 500))));
            persist(store, snapshot(200_000));
            persist(store, new StableWrite(head(2), new StableWrite.Appended(change(9, 500))));
            StoredState stored = loaded(store);
            assertEquals(List.of(change(9, 0).key()), keys(stored));
            assertEquals(200_000, stored.snapshot().document().length);
        }
    }

    @Test
    void filesThatCannotBeReadAreSetAsideAndTheDiskCountsAsDamaged() throws Exception {
        try (XodusStore store = newStore()) {
            load(store);
            persist(store, snapshot(100_000));
        }
        spoil(directory.resolve("store").resolve("live"));
        try (XodusStore store = newStore()) {
            assertInstanceOf(StorageException.class, load(store), "the first time it may be a trouble that passes");
            assertEquals(new LoadedState(Optional.empty(), true), load(store));
            persist(store, snapshot(1_000));
        }
        try (XodusStore store = newStore()) {
            assertTrue(assertInstanceOf(LoadedState.class, load(store)).damaged());
            assertEquals(head(0), loaded(store).head());
        }
    }

    private static void spoil(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".xd")).toList()) {
                byte[] noise = new byte[(int) Files.size(file)];
                new Random(3).nextBytes(noise);
                Files.write(file, noise);
            }
        }
    }

    @Test
    void aFounderWhoseFilesAreDamagedIsNoFounder() throws Exception {
        try (XodusStore store = newStore()) {
            startAlone(store);
        }
        spoil(directory.resolve("store").resolve("live"));
        try (XodusStore store = newStore()) {
            load(store);
            load(store);
            persist(store, snapshot(10));
            assertNotEquals("", loaded(store).head().identity());
        }
        try (XodusStore store = newStore()) {
            assertTrue(assertInstanceOf(LoadedState.class, load(store)).damaged());
        }
    }

    /** A single controller that leads; its loop is this thread. */
    private ReplicationNode startAlone(XodusStore store) throws InterruptedException {
        ReplicationSettings settings =
                new ReplicationSettings(ADDRESS, ADDRESS, List.of(ADDRESS), true, 0, 4_000, 3_000);
        ReplicationNode node =
                new ReplicationNode(settings, store, (peer, message) -> {}, new Random(1), new ReplicationListener() {
                    @Override
                    public void committed(ConfigurationDocument document) {}
                });
        node.start(0);
        double nowMs = 0;
        while (read(node).isEmpty()) {
            nowMs += TICK_MS;
            node.onTick(nowMs);
            Runnable completion = completions.poll(1, TimeUnit.MILLISECONDS);
            if (completion != null) {
                completion.run();
            }
            assertTrue(nowMs < LONGEST_START_MS, "does not lead");
        }
        return node;
    }

    private static Optional<ConfigurationDocument> read(ReplicationNode node) {
        AtomicReference<ReadOutcome> outcome = new AtomicReference<>();
        node.read(outcome::set);
        return outcome.get() instanceof ReadOutcome.Current current
                ? Optional.of(current.document())
                : Optional.empty();
    }

    private long submit(ReplicationNode node, ConfigurationChange change) throws InterruptedException {
        AtomicReference<ChangeOutcome> outcome = new AtomicReference<>();
        node.submit(change, outcome::set);
        while (outcome.get() == null) {
            runNext();
        }
        return assertInstanceOf(ChangeOutcome.Accepted.class, outcome.get()).version();
    }

    @Test
    void aThousandChangesOfALargeConfigurationTakeLittleOfTheDisk() throws Exception {
        ConfigurationDocument last;
        try (XodusStore store = newStore()) {
            ReplicationNode node = startAlone(store);
            long version = submit(node, replacement(0, 1, ROUTES));
            long firstBytes = size();
            long begin = System.nanoTime();
            for (int number = 0; number < CHANGES; number++) {
                boolean whole = number % 10 == 9;
                version = submit(node, whole ? replacement(version, version + 1, ROUTES) : update(version, number));
            }
            double milliseconds = (System.nanoTime() - begin) / 1e6 / CHANGES;
            last = read(node).orElseThrow();
            System.out.printf(
                    "storage: %d KB after the first change, %d KB after %d more, %.2f ms each%n",
                    firstBytes / 1024, size() / 1024, CHANGES, milliseconds);
        }
        assertTrue(size() < DISK_BYTES / 4, "takes " + size());
        try (XodusStore store = newStore()) {
            assertEquals(last, read(startAlone(store)).orElseThrow());
        }
    }

    private long size() throws IOException {
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

    private static ConfigurationChange replacement(long base, long version, int routes) {
        StringBuilder body = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
        for (int index = 0; index < routes; index++) {
            body.append(index == 0 ? "" : ",").append(route(index, 1_000 + (int) version));
        }
        body.append("],\"services\":[{\"name\":\"s\",\"health_check_path\":\"/health\",\"max_connections\":210}]}");
        return new ConfigurationChange(
                ConfigurationChange.Kind.REPLACE, base, body.toString().getBytes(StandardCharsets.UTF_8));
    }

    private static ConfigurationChange update(long base, int number) {
        String body = "{\"version\":" + (base + 1) + ",\"upserts\":{\"routes\":["
                + route(number % ROUTES, 5_000 + number) + ","
                + route((number + 7) % ROUTES, 5_000 + number) + "]}}";
        return new ConfigurationChange(ConfigurationChange.Kind.UPDATE, base, body.getBytes(StandardCharsets.UTF_8));
    }

    private static String route(int index, int timeoutMs) {
        return "{\"name\":\"r-" + index + "\",\"hostname\":\"host" + index + ".example\",\"path_prefix\":\"/p" + index
                + "/\",\"route_kind\":\"streaming\",\"timeout_ms\":" + timeoutMs
                + ",\"target_latency_ms\":500,\"priority\":1,\"service\":\"s\",\"max_attempts\":1,"
                + "\"session_affinity\":true,\"resumable\":false,\"gap_aim_ms\":150}";
    }

    @Test
    void aFullDiskIsToldFromOneThatFails() {
        assertEquals(
                StorageException.Kind.FULL,
                DiskFaults.kindOf(new RuntimeException(new IOException("No space left on device"))));
        assertEquals(StorageException.Kind.FAILED, DiskFaults.kindOf(new IOException("Input/output error")));
        assertFalse(new StoreFolder(directory).hasDamaged());
    }
}
