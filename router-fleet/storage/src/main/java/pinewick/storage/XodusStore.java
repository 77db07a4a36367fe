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
 * {@link StableStore} on Xodus, in a folder of its own. One thread, {@code storage}, reads and writes; callbacks run on
 * the given executor, which is the control loop. A torn write is truncated; other files that cannot be read twice in a
 * row are quarantined, and the disk counts as empty.
 *
 * <p>A failing disk is logged here and nowhere else: {@code disk read failed}, {@code disk write failed}, {@code torn
 * write removed}, {@code torn write not removed} and {@code store unreadable}. What follows from it, such as a primary
 * that steps down, is an event of the replication.
 */
public final class XodusStore implements StableStore, AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** A failing disk is logged at most once in this time. */
    private static final int LOG_INTERVAL_SECONDS = 5;

    private final StoreDirectory folder;
    private final Executor completions;
    private final ExecutorService thread = Executors.newSingleThreadExecutor(task -> {
        Thread writer = new Thread(task, "storage");
        writer.setDaemon(true);
        return writer;
    });
    private Optional<XodusDatabase> database = Optional.empty();
    private boolean damageSeen;

    /**
     * @param directory folder of the store alone; created if it does not exist
     * @param completions runs the callbacks
     */
    public XodusStore(Path directory, Executor completions) {
        this.folder = new StoreDirectory(directory);
        this.completions = completions;
        thread.execute(this::openEagerly);
    }

    /** Opens the files early: this takes a large part of a process's start, and needs nothing else of it. */
    private void openEagerly() {
        try {
            open();
        } catch (ExodusException | IOException e) {
            LOGGER.atFine().withCause(e).log("store not opened eagerly, will be opened when it is read");
            closeDatabase();
        }
    }

    @Override
    public void load(Consumer<LoadedState> onLoaded, Consumer<StorageException> onFailed) {
        thread.execute(() -> {
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
        thread.execute(() -> {
            try {
                write(write);
                completions.execute(onDone);
            } catch (StorageException e) {
                LOGGER.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                        "disk write failed: %s", e.getMessage());
                completions.execute(() -> onFailed.accept(e));
            }
        });
    }

    /** Ends the thread after the pending reads and writes; the files are closed. */
    @Override
    public void close() {
        thread.execute(this::closeDatabase);
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
            closeDatabase();
            return repairTornWrite() ? load() : onUnreadable(e);
        }
    }

    private LoadedState read() throws IOException {
        Optional<StoredState> stored = open().read();
        damageSeen = false;
        return new LoadedState(stored, folder.hasDamaged());
    }

    /** Terminates: each repair shortens the log. */
    private boolean repairTornWrite() {
        try {
            boolean isRepaired = new TornWriteRepair(folder.live()).truncate();
            if (isRepaired) {
                LOGGER.atWarning().log("torn write removed: power was lost during the last write");
            }
            return isRepaired;
        } catch (IOException e) {
            LOGGER.atWarning().withCause(e).log("torn write not removed: the log cannot be read");
            return false;
        }
    }

    /** Only a disk that can be written and fails to be read twice in a row is quarantined. */
    private LoadedState onUnreadable(Exception cause) throws StorageException {
        folder.requireWritable("open");
        if (!damageSeen) {
            damageSeen = true;
            throw new StorageException(Kind.FAILED, "open", cause);
        }
        LOGGER.atSevere().withCause(cause).log("store unreadable: moved to folder damaged, this disk counts as empty");
        folder.quarantine();
        return new LoadedState(Optional.empty(), true);
    }

    private void write(StableWrite write) throws StorageException {
        try {
            open().write(write);
        } catch (ExodusException | IOException e) {
            Kind kind = DiskErrorClassifier.kindOf(e);
            if (kind != Kind.FULL) {
                closeDatabase();
            }
            throw new StorageException(kind, "write", e);
        }
    }

    private XodusDatabase open() throws IOException {
        if (database.isEmpty()) {
            folder.prepare();
            database = Optional.of(XodusDatabase.open(folder.live()));
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
