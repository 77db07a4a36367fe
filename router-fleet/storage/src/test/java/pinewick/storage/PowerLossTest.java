package pinewick.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
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

/**
 * Loss of power within a write that folds changes into a snapshot: what was written before is there afterwards, and the
 * write itself either as a whole or not at all, whatever part of its bytes reached the disk.
 */
class PowerLossTest {
    private static final SocketAddress ADDRESS = SocketAddress.parse("10.0.0.1:7721");
    private static final String LIVE = "live";
    private static final long WAIT_SECONDS = 30;
    private static final int DOCUMENT_BYTES = 300_000;
    private static final int KEYS_BYTES = 144_000;
    private static final int CHANGE_BYTES = 600;
    private static final int CHANGES_BETWEEN = 20;
    private static final int FOLDINGS = 4;
    private static final int CUTS = 24;
    private static final int SECTOR_BYTES = 512;

    /** What the disk shows of a write that it was told to make durable, but had no time to. */
    private enum TornWrite {
        /** Bytes up to some point are there; later files are missing. */
        TRUNCATED,
        /** All files have their length, but from some point on they hold zeros. */
        ZEROS_AFTER,
        /** Files have their length; the first part of the write holds zeros, the rest is there. */
        ZEROS_BEFORE
    }

    @TempDir
    Path directory;

    private final BlockingQueue<Runnable> completions = new LinkedBlockingQueue<>();
    private long sequence;
    private byte[] lastChange;

    private record StoredContent(StoredHead head, int documentHash, int keysHash, List<ChangeKey> changes) {
        static StoredContent of(StoredState state) {
            return new StoredContent(
                    state.head(),
                    Arrays.hashCode(state.snapshot().document()),
                    Arrays.hashCode(state.snapshot().changes()),
                    state.changes().stream().map(StoredChange::key).toList());
        }
    }

    /** The files of a store just before and just after one write, while the store is open. */
    private record Write(Map<String, byte[]> before, Map<String, byte[]> after) {}

    @Test
    void earlierWritesSurviveAPowerLossAtEachPointOfACompaction() throws Exception {
        boolean newFile = false;
        for (int foldings = 1; foldings <= FOLDINGS; foldings++) {
            Write write = fold(directory.resolve("store-" + foldings), foldings);
            newFile |= write.after.size() > write.before.size();
            StoredContent before = load(copy(write.before, "before-" + foldings));
            StoredContent after = load(copy(write.after, "after-" + foldings));
            assertNotEquals(before, after);
            for (TornWrite loss : TornWrite.values()) {
                for (int cut = 0; cut <= CUTS; cut++) {
                    String name = loss + "-" + cut + "-of-" + CUTS + "-folding-" + foldings;
                    StoredContent found = load(copy(remains(write, loss, (double) cut / CUTS), name));
                    assertTrue(found.equals(before) || found.equals(after), name + " shows another state");
                }
            }
        }
        assertTrue(newFile, "no folding began a new file");
    }

    @Test
    void zerosBeforeTheLastWriteAreCorruption() throws Exception {
        Write write = fold(directory.resolve("store"), 1);
        Map<String, byte[]> spoilt = new TreeMap<>(write.before);
        byte[] log = spoilt.values().iterator().next().clone();
        int middle = log.length / 2;
        Arrays.fill(log, middle, middle + SECTOR_BYTES, (byte) 0);
        spoilt.put(spoilt.keySet().iterator().next(), log);
        assertFalse(new TornWriteRepair(copy(spoilt, "spoilt").resolve(LIVE)).truncate());
        assertArrayEquals(
                log,
                filesIn(directory.resolve("spoilt"))
                        .get(spoilt.keySet().iterator().next()));
    }

    @Test
    void aStateWithAnotherChecksumIsNotReturned() throws Exception {
        Write write = fold(directory.resolve("store"), 1);
        Map<String, byte[]> spoilt = new TreeMap<>(write.before);
        String last = write.before.keySet().stream().max(String::compareTo).orElseThrow();
        byte[] log = spoilt.get(last).clone();
        log[indexOf(log, lastChange)] ^= 1;
        spoilt.put(last, log);
        try (XodusStore store = new XodusStore(copy(spoilt, "spoilt"), completions::add)) {
            AtomicReference<Object> result = new AtomicReference<>();
            store.load(result::set, result::set);
            runNext();
            assertInstanceOf(StorageException.class, result.get());
        }
    }

    private static int indexOf(byte[] log, byte[] part) {
        for (int index = log.length - part.length; index >= 0; index--) {
            if (Arrays.equals(log, index, index + part.length, part, 0, part.length)) {
                return index;
            }
        }
        throw new AssertionError("the log does not hold it");
    }

    /** Writes snapshots with changes after each; what is returned is the last snapshot's write. */
    private Write fold(Path folder, int foldings) throws Exception {
        try (XodusStore store = new XodusStore(folder, completions::add)) {
            store.load(loaded -> {}, failure -> {});
            runNext();
            persist(store, snapshot());
            for (int folding = 0; folding < foldings; folding++) {
                persist(store, snapshot());
                for (int change = 0; change < CHANGES_BETWEEN; change++) {
                    lastChange = noise(CHANGE_BYTES);
                    persist(store, new StableWrite.Appended(new StoredChange(lastChange, key())));
                }
            }
            Map<String, byte[]> before = filesIn(folder);
            persist(store, snapshot());
            return new Write(before, filesIn(folder));
        }
    }

    private StableWrite.Replaced snapshot() {
        return new StableWrite.Replaced(new StoredSnapshot(noise(DOCUMENT_BYTES), noise(KEYS_BYTES)));
    }

    private byte[] noise(int length) {
        byte[] bytes = new byte[length];
        new Random(sequence).nextBytes(bytes);
        return bytes;
    }

    private ChangeKey key() {
        return new ChangeKey(sequence, sequence + 1, String.format("%064x", sequence));
    }

    private void persist(XodusStore store, StableWrite.Content content) throws InterruptedException {
        EpochRecord record = EpochRecord.founding(List.of(ADDRESS));
        StoredHead head = new StoredHead("store", new EpochNumber(7, "other"), record, new StateVersion(7, ++sequence));
        AtomicReference<StorageException> failure = new AtomicReference<>();
        store.persist(new StableWrite(head, content), () -> {}, failure::set);
        runNext();
        assertNull(failure.get());
    }

    private StoredContent load(Path folder) throws InterruptedException {
        try (XodusStore store = new XodusStore(folder, completions::add)) {
            AtomicReference<Object> result = new AtomicReference<>();
            store.load(result::set, result::set);
            runNext();
            LoadedState loaded = assertInstanceOf(LoadedState.class, result.get(), folder::toString);
            assertFalse(loaded.damaged());
            return StoredContent.of(loaded.stored().orElseThrow(() -> new AssertionError(folder + " shows nothing")));
        }
    }

    private void runNext() throws InterruptedException {
        Runnable completion = completions.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(completion, "the store did not answer");
        completion.run();
    }

    /** What a loss of power leaves of a write of which a share had reached the disk. */
    private static Map<String, byte[]> remains(Write write, TornWrite loss, double share) {
        long written = write.after.entrySet().stream()
                .mapToLong(file -> file.getValue().length - oldLength(write, file.getKey()))
                .sum();
        long cut = Math.round(written * share);
        Map<String, byte[]> remains = new TreeMap<>();
        long passed = 0;
        for (Map.Entry<String, byte[]> file : write.after.entrySet()) {
            int old = oldLength(write, file.getKey());
            byte[] bytes = file.getValue().clone();
            int whole = old + (int) Math.max(0, Math.min(bytes.length - old, cut - passed));
            passed += bytes.length - old;
            switch (loss) {
                case TRUNCATED -> bytes = Arrays.copyOf(bytes, whole);
                case ZEROS_AFTER -> Arrays.fill(bytes, whole, bytes.length, (byte) 0);
                case ZEROS_BEFORE -> Arrays.fill(bytes, old, whole, (byte) 0);
            }
            boolean missing = loss == TornWrite.TRUNCATED && bytes.length == 0;
            if (!missing) {
                remains.put(file.getKey(), bytes);
            }
        }
        return remains;
    }

    private static int oldLength(Write write, String file) {
        byte[] old = write.before.get(file);
        return old == null ? 0 : old.length;
    }

    private static Map<String, byte[]> filesIn(Path folder) throws IOException {
        Map<String, byte[]> files = new TreeMap<>();
        try (Stream<Path> paths = Files.list(folder.resolve(LIVE))) {
            for (Path path : paths.toList()) {
                files.put(path.getFileName().toString(), Files.readAllBytes(path));
            }
        }
        return files;
    }

    private Path copy(Map<String, byte[]> files, String name) throws IOException {
        Path folder = directory.resolve(name);
        Path live = Files.createDirectories(folder.resolve(LIVE));
        for (Map.Entry<String, byte[]> file : files.entrySet()) {
            Files.write(live.resolve(file.getKey()), file.getValue());
        }
        return folder;
    }
}
