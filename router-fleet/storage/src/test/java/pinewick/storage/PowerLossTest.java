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
 * Power failure during a write that compacts changes into a snapshot. Earlier writes survive, and the interrupted write
 * is either complete or absent, regardless of which of its bytes reached the disk.
 */
class PowerLossTest {
    private static final SocketAddress ADDRESS = SocketAddress.parse("10.0.0.1:7721");
    private static final String LIVE = "live";
    private static final long WAIT_SECONDS = 30;
    private static final int DOCUMENT_BYTES = 300_000;
    private static final int KEYS_BYTES = 144_000;
    private static final int CHANGE_BYTES = 600;
    private static final int CHANGES_PER_COMPACTION = 20;
    private static final int COMPACTIONS = 4;
    private static final int CUT_POINTS = 24;
    private static final int SECTOR_BYTES = 512;

    /** State of the files on disk after a write that was interrupted before it was durable. */
    private enum TornWrite {
        /** The files are truncated at some point; later files are missing. */
        TRUNCATED,
        /** All files have their full length, but contain zeros from some point on. */
        ZEROS_AFTER,
        /** All files have their full length; the first part of the write contains zeros, the rest is intact. */
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

    /** The files of an open store immediately before and after one write. */
    private record Write(Map<String, byte[]> before, Map<String, byte[]> after) {}

    @Test
    void earlierWritesSurviveAPowerLossAtEachPointOfACompaction() throws Exception {
        boolean hasNewFile = false;
        for (int compactions = 1; compactions <= COMPACTIONS; compactions++) {
            Write write = compact(directory.resolve("store-" + compactions), compactions);
            hasNewFile |= write.after.size() > write.before.size();
            StoredContent before = load(copy(write.before, "before-" + compactions));
            StoredContent after = load(copy(write.after, "after-" + compactions));
            assertNotEquals(before, after);
            for (TornWrite tornWrite : TornWrite.values()) {
                for (int cutPoint = 0; cutPoint <= CUT_POINTS; cutPoint++) {
                    String name = tornWrite + "-" + cutPoint + "-of-" + CUT_POINTS + "-compaction-" + compactions;
                    StoredContent found =
                            load(copy(survivingFiles(write, tornWrite, (double) cutPoint / CUT_POINTS), name));
                    assertTrue(found.equals(before) || found.equals(after), name + " shows a different state");
                }
            }
        }
        assertTrue(hasNewFile, "no compaction started a new log file");
    }

    @Test
    void doesNotRepairZerosBeforeTheLastWrite() throws Exception {
        Write write = compact(directory.resolve("store"), 1);
        Map<String, byte[]> corrupt = new TreeMap<>(write.before);
        byte[] log = corrupt.values().iterator().next().clone();
        int middle = log.length / 2;
        Arrays.fill(log, middle, middle + SECTOR_BYTES, (byte) 0);
        corrupt.put(corrupt.keySet().iterator().next(), log);
        assertFalse(new TornWriteRepair(copy(corrupt, "corrupt").resolve(LIVE)).truncate());
        assertArrayEquals(
                log,
                filesIn(directory.resolve("corrupt"))
                        .get(corrupt.keySet().iterator().next()));
    }

    @Test
    void rejectsAStateWithAWrongChecksum() throws Exception {
        Write write = compact(directory.resolve("store"), 1);
        Map<String, byte[]> corrupt = new TreeMap<>(write.before);
        String last = write.before.keySet().stream().max(String::compareTo).orElseThrow();
        byte[] log = corrupt.get(last).clone();
        log[indexOf(log, lastChange)] ^= 1;
        corrupt.put(last, log);
        try (XodusStore store = new XodusStore(copy(corrupt, "corrupt"), completions::add)) {
            AtomicReference<Object> result = new AtomicReference<>();
            store.load(result::set, result::set);
            runNext();
            assertInstanceOf(StorageException.class, result.get());
        }
    }

    private static int indexOf(byte[] log, byte[] searched) {
        for (int index = log.length - searched.length; index >= 0; index--) {
            if (Arrays.equals(log, index, index + searched.length, searched, 0, searched.length)) {
                return index;
            }
        }
        throw new AssertionError("the log does not contain the bytes");
    }

    /** Writes snapshots, each followed by changes; returns the write of the last snapshot. */
    private Write compact(Path storeDirectory, int compactions) throws Exception {
        try (XodusStore store = new XodusStore(storeDirectory, completions::add)) {
            store.load(loaded -> {}, failure -> {});
            runNext();
            persist(store, snapshot());
            for (int compaction = 0; compaction < compactions; compaction++) {
                persist(store, snapshot());
                for (int change = 0; change < CHANGES_PER_COMPACTION; change++) {
                    lastChange = randomBytes(CHANGE_BYTES);
                    persist(store, new StableWrite.Appended(new StoredChange(lastChange, key())));
                }
            }
            Map<String, byte[]> before = filesIn(storeDirectory);
            persist(store, snapshot());
            return new Write(before, filesIn(storeDirectory));
        }
    }

    private StableWrite.Replaced snapshot() {
        return new StableWrite.Replaced(new StoredSnapshot(randomBytes(DOCUMENT_BYTES), randomBytes(KEYS_BYTES)));
    }

    private byte[] randomBytes(int length) {
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

    private StoredContent load(Path storeDirectory) throws InterruptedException {
        try (XodusStore store = new XodusStore(storeDirectory, completions::add)) {
            AtomicReference<Object> result = new AtomicReference<>();
            store.load(result::set, result::set);
            runNext();
            LoadedState loaded = assertInstanceOf(LoadedState.class, result.get(), storeDirectory::toString);
            assertFalse(loaded.damaged());
            return StoredContent.of(
                    loaded.stored().orElseThrow(() -> new AssertionError(storeDirectory + " contains no state")));
        }
    }

    private void runNext() throws InterruptedException {
        Runnable completion = completions.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(completion, "the store ran no callback in time");
        completion.run();
    }

    /** The files after a power failure at which the given share of a write had reached the disk. */
    private static Map<String, byte[]> survivingFiles(Write write, TornWrite tornWrite, double share) {
        long writtenBytes = write.after.entrySet().stream()
                .mapToLong(file -> file.getValue().length - previousLengthOf(write, file.getKey()))
                .sum();
        long cutPoint = Math.round(writtenBytes * share);
        Map<String, byte[]> survivingFiles = new TreeMap<>();
        long precedingBytes = 0;
        for (Map.Entry<String, byte[]> file : write.after.entrySet()) {
            int previousLength = previousLengthOf(write, file.getKey());
            byte[] bytes = file.getValue().clone();
            int intactLength = previousLength
                    + (int) Math.max(0, Math.min(bytes.length - previousLength, cutPoint - precedingBytes));
            precedingBytes += bytes.length - previousLength;
            switch (tornWrite) {
                case TRUNCATED -> bytes = Arrays.copyOf(bytes, intactLength);
                case ZEROS_AFTER -> Arrays.fill(bytes, intactLength, bytes.length, (byte) 0);
                case ZEROS_BEFORE -> Arrays.fill(bytes, previousLength, intactLength, (byte) 0);
            }
            boolean isMissing = tornWrite == TornWrite.TRUNCATED && bytes.length == 0;
            if (!isMissing) {
                survivingFiles.put(file.getKey(), bytes);
            }
        }
        return survivingFiles;
    }

    private static int previousLengthOf(Write write, String file) {
        byte[] previous = write.before.get(file);
        return previous == null ? 0 : previous.length;
    }

    private static Map<String, byte[]> filesIn(Path storeDirectory) throws IOException {
        Map<String, byte[]> files = new TreeMap<>();
        try (Stream<Path> paths = Files.list(storeDirectory.resolve(LIVE))) {
            for (Path path : paths.toList()) {
                files.put(path.getFileName().toString(), Files.readAllBytes(path));
            }
        }
        return files;
    }

    private Path copy(Map<String, byte[]> files, String name) throws IOException {
        Path storeDirectory = directory.resolve(name);
        Path live = Files.createDirectories(storeDirectory.resolve(LIVE));
        for (Map.Entry<String, byte[]> file : files.entrySet()) {
            Files.write(live.resolve(file.getKey()), file.getValue());
        }
        return storeDirectory;
    }
}
