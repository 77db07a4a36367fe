package pinewick.registry;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The snapshot on disk: files {@code view-NUMBER.kept}, of which the readable one with the highest number is valid. A
 * new snapshot is written to a temporary file, forced to disk and only then renamed; changes are appended to it and
 * forced. A single thread does all the writing, in order. A disk that is full or read-only leads to a log line, and
 * writing is suspended until the next full snapshot.
 */
public final class SnapshotFiles implements AutoCloseable {
    /** Number of change records in a file after which a new snapshot is requested. */
    private static final int MAX_CHANGE_RECORDS = 2000;

    private final Path folder;
    private final Consumer<String> log;
    private final ExecutorService writer;
    private FileChannel channel;
    private long number;
    private int changeRecords;
    private volatile boolean suspended = true;

    public SnapshotFiles(Path folder, Consumer<String> log) {
        this.folder = folder;
        this.log = log;
        writer = new ThreadPoolExecutor(0, 1, 1, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), task -> {
            Thread thread = new Thread(task, "kept-copy");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Reads the newest valid snapshot; null if there is none. To be called before anything is written. */
    public SnapshotCodec.Snapshot readLatest() {
        List<Path> files = files();
        SnapshotCodec.Snapshot newest = null;
        for (Path file : files) {
            number = Math.max(number, fileNumber(file));
            if (newest == null) {
                try {
                    byte[] bytes = Files.readAllBytes(file);
                    newest = SnapshotCodec.decode(bytes);
                    if (newest == null || newest.validBytes() < bytes.length) {
                        log.accept("kept copy " + file.getFileName() + ": " + (newest == null ? 0 : newest.validBytes())
                                + " of " + bytes.length + " bytes are sound");
                    }
                } catch (IOException e) {
                    log.accept("kept copy " + file.getFileName() + " can't be read: " + e.getMessage());
                }
            }
        }
        return newest;
    }

    /** Whether a full snapshot should be written next: at the start, after a write error, or after many changes. */
    public boolean needsSnapshot() {
        return suspended || changeRecords >= MAX_CHANGE_RECORDS;
    }

    /** Writes a new snapshot; the record is created on the writer thread. */
    public void writeSnapshot(Supplier<byte[]> record) {
        suspended = false;
        changeRecords = 0;
        long newNumber = ++number;
        submit(() -> {
            Files.createDirectories(folder);
            Path temporary = folder.resolve("view-" + newNumber + ".new");
            FileChannel next = FileChannel.open(
                    temporary,
                    StandardOpenOption.CREATE,
                    StandardOpenOption.TRUNCATE_EXISTING,
                    StandardOpenOption.WRITE);
            writeAll(next, record.get());
            Path target = folder.resolve("view-" + newNumber + ".kept");
            Files.move(temporary, target, StandardCopyOption.ATOMIC_MOVE);
            try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
                directory.force(true);
            }
            if (channel != null) {
                channel.close();
            }
            channel = next;
            for (Path old : files()) {
                if (!old.equals(target)) {
                    Files.deleteIfExists(old);
                }
            }
        });
    }

    public void appendChanges(byte[] record) {
        changeRecords++;
        submit(() -> {
            if (channel != null) {
                writeAll(channel, record);
            }
        });
    }

    private static void writeAll(FileChannel file, byte[] record) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(record);
        while (bytes.hasRemaining()) {
            file.write(bytes);
        }
        file.force(false);
    }

    private interface WriteTask {
        void run() throws IOException;
    }

    private void submit(WriteTask task) {
        writer.execute(() -> {
            if (suspended) {
                return;
            }
            try {
                task.run();
            } catch (IOException | RuntimeException e) {
                suspended = true;
                log.accept("the kept copy rests: " + e);
            }
        });
    }

    private List<Path> files() {
        List<Path> files = new ArrayList<>();
        try (DirectoryStream<Path> stream = Files.newDirectoryStream(folder, "view-*.kept")) {
            stream.forEach(files::add);
        } catch (IOException e) {
            return files;
        }
        files.removeIf(each -> fileNumber(each) < 0);
        files.sort(Comparator.comparingLong(SnapshotFiles::fileNumber).reversed());
        return files;
    }

    private static long fileNumber(Path file) {
        String name = file.getFileName().toString();
        String digits = name.substring("view-".length(), name.length() - ".kept".length());
        return digits.matches("[0-9]{1,15}") ? Long.parseLong(digits) : -1;
    }

    /** Waits up to 3 s until all submitted records are written. */
    @Override
    public void close() {
        writer.shutdown();
        try {
            writer.awaitTermination(3, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
