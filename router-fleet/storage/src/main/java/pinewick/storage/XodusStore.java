package pinewick.storage;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import jetbrains.exodus.ExodusException;
import pinewick.model.RemovalStore;
import pinewick.model.ReplicaRecord;
import pinewick.replication.LoadedState;
import pinewick.replication.StableStore;
import pinewick.replication.StableWrite;
import pinewick.replication.StorageException;
import pinewick.replication.StorageException.Kind;
import pinewick.replication.StoredState;

/**
 * {@link StableStore} and {@link RemovalStore} on Xodus, in one directory. One thread, {@code storage}, reads and
 * writes; callbacks run on the given executor, which is the control loop. A torn write is truncated. Files that fail to
 * be read twice in a row for other reasons are quarantined, and the disk is treated as empty.
 *
 * <p>Disk failures are logged only by this class: {@code disk read failed}, {@code disk write failed}, {@code torn
 * write removed}, {@code torn write not removed} and {@code store unreadable}. Their consequences, such as a primary
 * that steps down, are events of the replication module.
 */
public final class XodusStore implements StableStore, RemovalStore, AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Write failures are logged at most once per this interval. */
    private static final int LOG_INTERVAL_SECONDS = 5;

    /** One write to the open database. */
    @FunctionalInterface
    private interface DatabaseWrite {
        void applyTo(XodusDatabase database) throws IOException;
    }

    private final StoreDirectory storeDirectory;
    private final Executor completions;
    private final ExecutorService storageThread = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "storage");
        thread.setDaemon(true);
        return thread;
    });
    private Optional<XodusDatabase> database = Optional.empty();
    private boolean hasReadFailed;

    /**
     * @param directory directory used only by this store; created if it does not exist
     * @param completions executor that runs the callbacks
     */
    public XodusStore(Path directory, Executor completions) {
        this.storeDirectory = new StoreDirectory(directory);
        this.completions = completions;
        storageThread.execute(this::openEagerly);
    }

    /** Opens the files early: this takes a large part of a process's start-up time and is independent of the rest. */
    private void openEagerly() {
        try {
            open();
        } catch (ExodusException | IOException e) {
            LOGGER.atFine().withCause(e).log("store could not be opened early; it is opened again when it is read");
            closeDatabase();
        }
    }

    @Override
    public void load(Consumer<LoadedState> onLoaded, Consumer<StorageException> onFailed) {
        storageThread.execute(() -> {
            try {
                LoadedState loaded = load();
                completions.execute(() -> onLoaded.accept(loaded));
            } catch (StorageException e) {
                LOGGER.atWarning().withCause(e).log("disk read failed: %s", e.getMessage());
                completions.execute(() -> onFailed.accept(e));
            }
        });
    }

    @Override
    public void persist(StableWrite write, Runnable onDone, Consumer<StorageException> onFailed) {
        storageThread.execute(() -> {
            try {
                write(database -> database.write(write));
                completions.execute(onDone);
            } catch (StorageException e) {
                completions.execute(() -> onFailed.accept(e));
            }
        });
    }

    @Override
    public void loadRemovals(Consumer<List<ReplicaRecord>> onLoaded, Runnable onFailed) {
        storageThread.execute(() -> {
            try {
                List<ReplicaRecord> removals = open().readRemovals();
                completions.execute(() -> onLoaded.accept(removals));
            } catch (ExodusException | IOException e) {
                closeDatabase();
                LOGGER.atWarning().withCause(e).log("disk read failed: removals of replicas cannot be read");
                completions.execute(onFailed);
            }
        });
    }

    @Override
    public void persistRemovals(RemovalStore.Update update, Runnable onDone, Runnable onFailed) {
        storageThread.execute(() -> {
            try {
                write(database -> database.write(update));
                completions.execute(onDone);
            } catch (StorageException e) {
                completions.execute(onFailed);
            }
        });
    }

    /** Closes the files and stops the thread, both after the pending reads and writes. */
    @Override
    public void close() {
        storageThread.execute(this::closeDatabase);
        storageThread.shutdown();
    }

    /** Waits after {@link #close} until the files are closed, at most this long; returns whether they are. */
    boolean awaitClosed(long milliseconds) throws InterruptedException {
        return storageThread.awaitTermination(milliseconds, TimeUnit.MILLISECONDS);
    }

    private LoadedState load() throws StorageException {
        try {
            return read();
        } catch (ExodusException | IOException e) {
            closeDatabase();
            return repairTornWrite() ? load() : onUnreadable(e);
        }
    }

    private LoadedState read() throws IOException {
        Optional<StoredState> stored = open().read();
        hasReadFailed = false;
        return new LoadedState(stored, storeDirectory.hasDamaged());
    }

    /** Returns whether the log was truncated. Repeated repairs terminate, because each one shortens the log. */
    private boolean repairTornWrite() {
        try {
            boolean isRepaired = new TornWriteRepair(storeDirectory.live()).truncate();
            if (isRepaired) {
                LOGGER.atWarning().log("torn write removed: power was lost during the last write");
            }
            return isRepaired;
        } catch (IOException e) {
            LOGGER.atWarning().withCause(e).log("torn write not removed: the log cannot be read");
            return false;
        }
    }

    /** Quarantines the files only if the disk can be written and reading has failed twice in a row. */
    private LoadedState onUnreadable(Exception cause) throws StorageException {
        storeDirectory.requireWritable("open");
        if (!hasReadFailed) {
            hasReadFailed = true;
            throw new StorageException(Kind.FAILED, "open", cause);
        }
        LOGGER.atSevere().withCause(cause).log("store unreadable: moved to folder damaged, this disk counts as empty");
        storeDirectory.quarantine();
        return new LoadedState(Optional.empty(), true);
    }

    private void write(DatabaseWrite write) throws StorageException {
        try {
            write.applyTo(open());
        } catch (ExodusException | IOException e) {
            StorageException failure = new StorageException(DiskErrorClassifier.kindOf(e), "write", e);
            LOGGER.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "disk write failed: %s", failure.getMessage());
            if (failure.kind() != Kind.FULL) {
                closeDatabase();
            }
            throw failure;
        }
    }

    private XodusDatabase open() throws IOException {
        if (database.isEmpty()) {
            storeDirectory.prepare();
            database = Optional.of(XodusDatabase.open(storeDirectory.live()));
        }
        return database.get();
    }

    private void closeDatabase() {
        try {
            database.ifPresent(XodusDatabase::close);
        } catch (ExodusException e) {
            LOGGER.atInfo().log("closing the store failed: %s", e.getMessage());
        }
        database = Optional.empty();
    }
}
