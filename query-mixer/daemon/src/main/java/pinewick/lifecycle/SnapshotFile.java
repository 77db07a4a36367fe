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
 * The file of a mixer's snapshot, beside the loop: a thread of its own writes it, to another name first, has the disk
 * take it, renames it and reads it back. Whatever goes wrong is said once, and again only after it went well in
 * between.
 */
final class SnapshotFile {
    private static final int MAX_BYTES = 16 << 20; // bytes; a longer file is nobody's snapshot

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

    /** What the file holds, sound or not; null where there is none or it can't be read. Blocks: for the start alone. */
    byte[] read() {
        try {
            if (Files.size(file) > MAX_BYTES) {
                warn.accept("snapshot " + file + ": too long to be one; asking the other mixers");
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

    /** Writes these bytes, unless the last ones are still being written. */
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
                    warn.accept("snapshot " + file + " can't be written: " + e + "; goes on without");
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
        // Danger: a disk that lies takes bytes and gives back others. Harm: one that lies later is found at the start
        // only.
        if (!Arrays.equals(Files.readAllBytes(temporary), snapshot)) {
            throw new IOException("the disk gave back other bytes than it was given");
        }
        try {
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (AtomicMoveNotSupportedException e) {
            throw new IOException("the file system can't rename at once", e);
        }
    }
}
