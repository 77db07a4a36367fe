package pinewick.storage;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import jetbrains.exodus.ExodusException;
import pinewick.replication.LoadedState;
import pinewick.replication.StableStore;
import pinewick.replication.StableWrite;
import pinewick.replication.StorageException;
import pinewick.replication.StorageException.Kind;
import pinewick.replication.StoredState;

/**
 * Keeps the state of a replica in a folder. One thread reads and writes; what calls end with is run by the executor
 * that was handed in. Files that cannot be read are set aside, and the disk counts as empty.
 */
public final class XodusStore implements StableStore, AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** A disk in trouble is told of once in this time. */
    private static final int QUIET_SECONDS = 5;

    private final StoreFolder folder;
    private final Executor completions;
    private final ExecutorService thread = Executors.newSingleThreadExecutor(task -> {
        Thread writer = new Thread(task, "storage");
        writer.setDaemon(true);
        return writer;
    });
    private Optional<XodusFiles> files = Optional.empty();
    private boolean foundDamaged;

    /**
     * @param directory folder of its own for the store; made if it is not there
     * @param completions runs what calls end with
     */
    public XodusStore(Path directory, Executor completions) {
        this.folder = new StoreFolder(directory);
        this.completions = completions;
        thread.execute(this::openAhead);
    }

    /** Opening takes a large part of a process's start, and needs nothing else of it. */
    private void openAhead() {
        try {
            open();
        } catch (ExodusException | IOException e) {
            LOGGER.atFine().withCause(e).log("Storage: not opened ahead");
            closeFiles();
        }
    }

    @Override
    public void load(Consumer<LoadedState> onLoaded, Consumer<StorageException> onFailed) {
        thread.execute(() -> {
            try {
                LoadedState loaded = load();
                completions.execute(() -> onLoaded.accept(loaded));
            } catch (StorageException e) {
                LOGGER.atWarning().withCause(e).log("Storage: %s", e.getMessage());
                completions.execute(() -> onFailed.accept(e));
            }
        });
    }

    @Override
    public void persist(StableWrite write, Runnable onDone, Consumer<StorageException> onFailed) {
        thread.execute(() -> {
            try {
                write(write);
                completions.execute(onDone);
            } catch (StorageException e) {
                LOGGER.atWarning().atMostEvery(QUIET_SECONDS, TimeUnit.SECONDS).log("Storage: %s", e.getMessage());
                completions.execute(() -> onFailed.accept(e));
            }
        });
    }

    /** Ends the thread after what it was asked to do; the files are closed. */
    @Override
    public void close() {
        thread.execute(this::closeFiles);
        thread.shutdown();
    }

    /** After {@link #close}, waits until the files are closed; returns whether they are. */
    boolean awaitClosed(long milliseconds) throws InterruptedException {
        return thread.awaitTermination(milliseconds, TimeUnit.MILLISECONDS);
    }

    private LoadedState load() throws StorageException {
        try {
            return read();
        } catch (ExodusException | IOException e) {
            closeFiles();
            return cutOffTornWrite() ? load() : onUnreadable(e);
        }
    }

    private LoadedState read() throws IOException {
        Optional<StoredState> stored = open().read();
        foundDamaged = false;
        return new LoadedState(stored, folder.hasDamaged());
    }

    /** Ends: each time a piece of the log is gone. */
    private boolean cutOffTornWrite() {
        try {
            boolean cut = new TornWrite(folder.live()).cutOff();
            if (cut) {
                LOGGER.atWarning().log("Storage: a write that a loss of power broke off is cut off");
            }
            return cut;
        } catch (IOException e) {
            LOGGER.atWarning().withCause(e).log("Storage: the log cannot be looked through");
            return false;
        }
    }

    /** Only a disk that works and shows the same fault twice is given up. */
    private LoadedState onUnreadable(Exception cause) throws StorageException {
        folder.requireWritable("open");
        if (!foundDamaged) {
            foundDamaged = true;
            throw new StorageException(Kind.FAILED, "open", cause);
        }
        LOGGER.atSevere().withCause(cause).log("Storage: unreadable files are set aside; this disk counts as empty");
        folder.setAside();
        return new LoadedState(Optional.empty(), true);
    }

    private void write(StableWrite write) throws StorageException {
        try {
            open().write(write);
        } catch (ExodusException | IOException e) {
            Kind kind = DiskFaults.kindOf(e);
            if (kind != Kind.FULL) {
                closeFiles();
            }
            throw new StorageException(kind, "write", e);
        }
    }

    private XodusFiles open() throws IOException {
        if (files.isEmpty()) {
            folder.prepare();
            files = Optional.of(XodusFiles.open(folder.live()));
        }
        return files.get();
    }

    private void closeFiles() {
        try {
            files.ifPresent(XodusFiles::close);
        } catch (ExodusException e) {
            LOGGER.atInfo().log("Storage: closed with a fault: %s", e.getMessage());
        }
        files = Optional.empty();
    }
}
