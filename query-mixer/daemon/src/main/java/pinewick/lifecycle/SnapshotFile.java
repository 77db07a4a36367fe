package pinewick.lifecycle;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.AtomicMoveNotSupportedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * A router's snapshot file. A thread of its own writes it under a temporary name, forces it to disk, reads it back and
 * renames it. A failure to write is logged once, and again only after a write has succeeded in between.
 */
final class SnapshotFile {
    private static final int MAX_BYTES = 16 << 20; // no snapshot is longer

    private final Path file;
    private final Consumer<String> warn;
    private final AtomicBoolean isWriting = new AtomicBoolean();
    private final ExecutorService writer = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "snapshot");
        thread.setDaemon(true);
        return thread;
    });
    private volatile boolean isFailing;

    SnapshotFile(Path file, Consumer<String> warn) {
        this.file = file;
        this.warn = warn;
    }

    /** The file's content, unchecked; null if it is missing, too long or unreadable. Blocks: only for use at start. */
    byte[] read() {
        try {
            if (Files.size(file) > MAX_BYTES) {
                warn.accept("snapshot " + file + ": longer than any snapshot; asking the other mixers");
                return null;
            }
            return Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            return null;
        } catch (IOException e) {
            warn.accept("snapshot " + file + " can't be read: " + e + "; asking the other mixers");
            return null;
        }
    }

    /** Writes the snapshot in the background; dropped if the previous one is still being written. */
    void write(byte[] snapshot) {
        if (!isWriting.compareAndSet(false, true)) {
            return;
        }
        writer.execute(() -> {
            try {
                replace(snapshot);
                isFailing = false;
            } catch (IOException e) {
                if (!isFailing) {
                    isFailing = true;
                    warn.accept("snapshot " + file + " can't be written: " + e + "; continuing without a snapshot");
                }
            } finally {
                isWriting.set(false);
            }
        });
    }

    private void replace(byte[] snapshot) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + ".new");
        try (FileChannel out = FileChannel.open(
                temporary, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            ByteBuffer bytes = ByteBuffer.wrap(snapshot);
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
        // Detects a disk that returns other bytes than were written. Later corruption is found only at the next start.
        if (!Arrays.equals(Files.readAllBytes(temporary), snapshot)) {
            throw new IOException("bytes read back from disk differ from those written");
        }
        try {
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (AtomicMoveNotSupportedException e) {
            throw new IOException("the file system does not support atomic renames", e);
        }
    }
}
