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
 * The kept copy on disk: files {@code view-NUMBER.kept}, of which the highest number that can be read counts. A new
 * one is written beside the old, forced to the disk and only then given its name; changes are added to it and forced.
 * All writing is done by a thread of its own, in order; a disk that is full or read-only is a line in the log, and the
 * copy rests until the next whole view.
 */
public final class SnapshotFiles implements AutoCloseable {
    /** Changes in one file before a whole view is asked for again. */
    private static final int CHANGES_MOST = 2000;

    private final Path folder;
    private final Consumer<String> log;
    private final ExecutorService writer;
    private FileChannel channel;
    private long number;
    private int changes;
    private volatile boolean resting = true;

    public SnapshotFiles(Path folder, Consumer<String> log) {
        this.folder = folder;
        this.log = log;
        writer = new ThreadPoolExecutor(0, 1, 1, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), work -> {
            Thread thread = new Thread(work, "kept-copy");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** The newest copy that can be read; null where there is none. To be called before anything is written. */
    public SnapshotCodec.Kept read() {
        List<Path> files = files();
        SnapshotCodec.Kept newest = null;
        for (Path file : files) {
            number = Math.max(number, number(file));
            if (newest == null) {
                try {
                    byte[] bytes = Files.readAllBytes(file);
                    newest = SnapshotCodec.read(bytes);
                    if (newest == null || newest.sound() < bytes.length) {
                        log.accept("kept copy " + file.getFileName() + ": " + (newest == null ? 0 : newest.sound())
                                + " of " + bytes.length + " bytes are sound");
                    }
                } catch (IOException odd) {
                    log.accept("kept copy " + file.getFileName() + " can't be read: " + odd.getMessage());
                }
            }
        }
        return newest;
    }

    /** Whether a whole view should be written next: at first, after a fault, or once many changes have come. */
    public boolean wantsWhole() {
        return resting || changes >= CHANGES_MOST;
    }

    /** The record is made by the writing thread. */
    public void whole(Supplier<byte[]> record) {
        resting = false;
        changes = 0;
        long mine = ++number;
        submit(() -> {
            Files.createDirectories(folder);
            Path made = folder.resolve("view-" + mine + ".new");
            FileChannel next = FileChannel.open(
                    made, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE);
            writeAll(next, record.get());
            Path named = folder.resolve("view-" + mine + ".kept");
            Files.move(made, named, StandardCopyOption.ATOMIC_MOVE);
            try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
                directory.force(true);
            }
            if (channel != null) {
                channel.close();
            }
            channel = next;
            for (Path old : files()) {
                if (!old.equals(named)) {
                    Files.deleteIfExists(old);
                }
            }
        });
    }

    public void changes(byte[] record) {
        changes++;
        submit(() -> {
            if (channel != null) {
                writeAll(channel, record);
            }
        });
    }

    private static void writeAll(FileChannel to, byte[] record) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(record);
        while (bytes.hasRemaining()) {
            to.write(bytes);
        }
        to.force(false);
    }

    private interface Work {
        void run() throws IOException;
    }

    private void submit(Work work) {
        writer.execute(() -> {
            if (resting) {
                return;
            }
            try {
                work.run();
            } catch (IOException | RuntimeException wrong) {
                resting = true;
                log.accept("the kept copy rests: " + wrong);
            }
        });
    }

    private List<Path> files() {
        List<Path> files = new ArrayList<>();
        try (DirectoryStream<Path> all = Files.newDirectoryStream(folder, "view-*.kept")) {
            all.forEach(files::add);
        } catch (IOException none) {
            return files;
        }
        files.removeIf(each -> number(each) < 0);
        files.sort(Comparator.comparingLong(SnapshotFiles::number).reversed());
        return files;
    }

    private static long number(Path file) {
        String name = file.getFileName().toString();
        String digits = name.substring("view-".length(), name.length() - ".kept".length());
        return digits.matches("[0-9]{1,15}") ? Long.parseLong(digits) : -1;
    }

    /** Waits until all that was handed in is written, a few seconds at most. */
    @Override
    public void close() {
        writer.shutdown();
        try {
            writer.awaitTermination(3, TimeUnit.SECONDS);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
