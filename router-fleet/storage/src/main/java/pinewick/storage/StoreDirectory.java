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

/** The folder of a store: the live files, and at most one set of files that could not be read. */
final class StoreDirectory {
    private static final String LIVE = "live";
    private static final String DAMAGED = "damaged";
    private static final String WRITE_TEST_FILE = "probe";
    private static final int WRITE_TEST_BYTES = 4_096;

    /** Damaged files beyond this size are deleted: the disk is small. */
    private static final long MAX_DAMAGED_BYTES = 16L << 20;

    private final Path directory;

    StoreDirectory(Path directory) {
        this.directory = directory;
    }

    Path live() {
        return directory.resolve(LIVE);
    }

    /** Creates the folder of the live files, and syncs its parents so that it survives a power failure. */
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

    /** Whether files were ever quarantined here. */
    boolean hasDamaged() {
        return Files.exists(directory.resolve(DAMAGED));
    }

    /** Fails if the disk cannot be written at all. */
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

    /** Moves the live files away, so that the store starts empty. */
    void quarantine() throws StorageException {
        Path damaged = directory.resolve(DAMAGED);
        try {
            delete(damaged);
            if (sizeOf(live()) <= MAX_DAMAGED_BYTES) {
                Files.move(live(), damaged, StandardCopyOption.ATOMIC_MOVE);
            } else {
                Files.createDirectories(damaged);
                delete(live());
            }
            syncDirectory(directory);
        } catch (IOException e) {
            throw new StorageException(DiskErrorClassifier.kindOf(e), "set aside", e);
        }
    }

    private static void syncDirectory(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private static long sizeOf(Path folder) throws IOException {
        long bytes = 0;
        for (Path file : filesUnder(folder)) {
            bytes += Files.isRegularFile(file) ? Files.size(file) : 0;
        }
        return bytes;
    }

    private static void delete(Path folder) throws IOException {
        for (Path file : filesUnder(folder)) {
            Files.delete(file);
        }
    }

    /** Deepest first. */
    private static List<Path> filesUnder(Path folder) throws IOException {
        if (!Files.exists(folder)) {
            return List.of();
        }
        try (Stream<Path> files = Files.walk(folder)) {
            return files.sorted(Comparator.reverseOrder()).toList();
        }
    }
}
