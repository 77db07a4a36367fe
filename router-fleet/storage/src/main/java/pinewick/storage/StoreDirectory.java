package pinewick.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import pinewick.replication.StorageException;

/** The directory of a store: the live files, and at most one set of quarantined files that could not be read. */
final class StoreDirectory {
    private static final String LIVE = "live";
    private static final String DAMAGED = "damaged";
    private static final String WRITE_TEST_FILE = "probe";
    private static final int WRITE_TEST_BYTES = 4_096;

    /** Damaged files above this total size are deleted instead of kept, because the disk is small. */
    private static final long MAX_DAMAGED_BYTES = 16L << 20;

    private final Path directory;

    StoreDirectory(Path directory) {
        this.directory = directory;
    }

    Path live() {
        return directory.resolve(LIVE);
    }

    /** Creates the directory of the live files and syncs its parents, so that it survives a power failure. */
    void prepare() throws IOException {
        if (!Files.exists(live())) {
            Files.createDirectories(live());
            syncDirectory(directory);
            Path parent = directory.toAbsolutePath().getParent();
            if (parent != null) {
                syncDirectory(parent);
            }
        }
    }

    /** Whether damaged files have ever been quarantined in this directory. */
    boolean hasDamaged() {
        return Files.exists(directory.resolve(DAMAGED));
    }

    /** Throws if the disk cannot be written; {@code step} is the operation named in the exception. */
    void requireWritable(String step) throws StorageException {
        Path testFile = directory.resolve(WRITE_TEST_FILE);
        try {
            Files.createDirectories(directory);
            try (FileChannel channel = FileChannel.open(
                    testFile,
                    StandardOpenOption.CREATE,
                    StandardOpenOption.WRITE,
                    StandardOpenOption.TRUNCATE_EXISTING)) {
                channel.write(ByteBuffer.allocate(WRITE_TEST_BYTES));
                channel.force(true);
            }
            Files.delete(testFile);
        } catch (IOException e) {
            throw new StorageException(DiskErrorClassifier.kindOf(e), step, e);
        }
    }

    /** Moves or deletes the live files, so that the store starts empty. */
    void quarantine() throws StorageException {
        Path quarantined = directory.resolve(DAMAGED);
        try {
            delete(quarantined);
            if (sizeOf(live()) <= MAX_DAMAGED_BYTES) {
                Files.move(live(), quarantined, StandardCopyOption.ATOMIC_MOVE);
            } else {
                Files.createDirectories(quarantined);
                delete(live());
            }
            syncDirectory(directory);
        } catch (IOException e) {
            throw new StorageException(DiskErrorClassifier.kindOf(e), "quarantine", e);
        }
    }

    private static void syncDirectory(Path path) throws IOException {
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private static long sizeOf(Path path) throws IOException {
        long bytes = 0;
        for (Path file : filesUnder(path)) {
            bytes += Files.isRegularFile(file) ? Files.size(file) : 0;
        }
        return bytes;
    }

    private static void delete(Path path) throws IOException {
        for (Path file : filesUnder(path)) {
            Files.delete(file);
        }
    }

    /** All files and directories under {@code path} including itself, deepest first; empty if it does not exist. */
    private static List<Path> filesUnder(Path path) throws IOException {
        if (!Files.exists(path)) {
            return List.of();
        }
        try (Stream<Path> files = Files.walk(path)) {
            return files.sorted(Comparator.reverseOrder()).toList();
        }
    }
}
