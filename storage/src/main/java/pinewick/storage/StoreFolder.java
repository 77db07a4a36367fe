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

/** The folder of a store: the live files, and at most one set that could not be read. */
final class StoreFolder {
    private static final String LIVE = "live";
    private static final String DAMAGED = "damaged";
    private static final String PROBE = "probe";
    private static final int PROBE_BYTES = 4_096;

    /** Damaged files beyond this are not kept: the disk is small. */
    private static final long MOST_DAMAGED_BYTES = 16L << 20;

    private final Path directory;

    StoreFolder(Path directory) {
        this.directory = directory;
    }

    Path live() {
        return directory.resolve(LIVE);
    }

    /** Makes the folder of the live files, so that its name survives a loss of power. */
    void prepare() throws IOException {
        if (!Files.exists(live())) {
            Files.createDirectories(live());
            syncNames(directory);
            Path parent = directory.toAbsolutePath().getParent();
            if (parent != null) {
                syncNames(parent);
            }
        }
    }

    /** Whether files were ever set aside here. */
    boolean hasDamaged() {
        return Files.exists(directory.resolve(DAMAGED));
    }

    /** Fails if the disk takes no write at all. */
    void requireWritable(String step) throws StorageException {
        Path probe = directory.resolve(PROBE);
        try {
            Files.createDirectories(directory);
            try (FileChannel channel = FileChannel.open(
                    probe, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
                channel.write(ByteBuffer.allocate(PROBE_BYTES));
                channel.force(true);
            }
            Files.delete(probe);
        } catch (IOException e) {
            throw new StorageException(DiskFaults.kindOf(e), step, e);
        }
    }

    /** Moves the live files away, so that the store begins empty. */
    void setAside() throws StorageException {
        Path damaged = directory.resolve(DAMAGED);
        try {
            delete(damaged);
            if (sizeOf(live()) <= MOST_DAMAGED_BYTES) {
                Files.move(live(), damaged, StandardCopyOption.ATOMIC_MOVE);
            } else {
                Files.createDirectories(damaged);
                delete(live());
            }
            syncNames(directory);
        } catch (IOException e) {
            throw new StorageException(DiskFaults.kindOf(e), "set aside", e);
        }
    }

    private static void syncNames(Path folder) throws IOException {
        try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
            names.force(true);
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
