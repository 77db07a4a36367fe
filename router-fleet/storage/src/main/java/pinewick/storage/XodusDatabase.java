package pinewick.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import jetbrains.exodus.ArrayByteIterable;
import jetbrains.exodus.ByteIterable;
import jetbrains.exodus.bindings.IntegerBinding;
import jetbrains.exodus.env.Cursor;
import jetbrains.exodus.env.Environment;
import jetbrains.exodus.env.EnvironmentConfig;
import jetbrains.exodus.env.Environments;
import jetbrains.exodus.env.Store;
import jetbrains.exodus.env.StoreConfig;
import jetbrains.exodus.env.Transaction;
import jetbrains.exodus.log.LogConfig;
import pinewick.model.RemovalStore;
import pinewick.model.ReplicaRecord;
import pinewick.replication.StableWrite;
import pinewick.replication.StoredChange;
import pinewick.replication.StoredHead;
import pinewick.replication.StoredSnapshot;
import pinewick.replication.StoredState;

/**
 * An open Xodus environment and the layout of its stores. Each write is one durable transaction, which contains
 * {@link WriteChecksum#MARKER} once. Used only by the storage thread.
 */
final class XodusDatabase {
    private static final long MAX_MEMORY_BYTES = 8L << 20;
    private static final long LOG_FILE_KIB = 1_024;

    /** Longer values are split into chunks: Xodus cannot store a value that is longer than one of its log files. */
    private static final int MAX_VALUE_BYTES = 64 * 1024;

    /** Interval and initial delay of garbage collection; short, because successive snapshots produce much garbage. */
    private static final int GC_INTERVAL_MS = 1_000;

    private static final ByteIterable HEAD = key("head");
    private static final ByteIterable CHECKSUM = key("checksum");
    private static final ByteIterable REMOVALS = key("removals");

    private final Environment environment;
    private final Store heads;
    private final Store documents;
    private final Store keys;
    private final Store changes;
    private final Store removals;
    private int nextChange;
    private int contentChecksum;
    private boolean positionKnown;

    private XodusDatabase(Environment environment, Transaction transaction) {
        this.environment = environment;
        this.heads = openStore(environment, "head", transaction);
        this.documents = openStore(environment, "document", transaction);
        this.keys = openStore(environment, "keys", transaction);
        this.changes = openStore(environment, "changes", transaction);
        this.removals = openStore(environment, "removals", transaction);
    }

    static XodusDatabase open(Path directory) {
        EnvironmentConfig config = new EnvironmentConfig()
                .setLogDurableWrite(true)
                .setLogFileSize(LOG_FILE_KIB)
                .setLogCacheShared(false)
                .setLogCacheUseNio(false)
                .setMemoryUsage(MAX_MEMORY_BYTES)
                .setEnvStoreGetCacheSize(0)
                .setEnvMonitorTxnsTimeout(0)
                .setEnvCloseForcedly(true)
                .setGcStartIn(GC_INTERVAL_MS)
                .setGcRunPeriod(GC_INTERVAL_MS)
                .setGcFilesDeletionDelay(GC_INTERVAL_MS)
                .setEnvGatherStatistics(false)
                .setManagementEnabled(false);
        // Only one thread of one process uses the directory. If opening fails, Xodus does not release its lock, and the
        // next attempt would fail.
        LogConfig logConfig = new LogConfig().setLocation(directory.toString());
        logConfig.setLockIgnored(true);
        Environment environment = Environments.newInstance(logConfig, config);
        // Opens all stores in one transaction, so that a new disk is synced only once.
        return environment.computeInTransaction(transaction -> new XodusDatabase(environment, transaction));
    }

    private static Store openStore(Environment environment, String name, Transaction transaction) {
        return environment.openStore(name, StoreConfig.WITHOUT_DUPLICATES, transaction);
    }

    /** Reads the complete stored configuration; empty before the first write. Removals are verified only. */
    Optional<StoredState> read() throws IOException {
        Transaction transaction = environment.beginReadonlyTransaction();
        try {
            readRemovals(transaction);
            ByteIterable headBytes = heads.get(transaction, HEAD);
            if (headBytes == null) {
                return Optional.empty();
            }
            StoredHead head = StoredFormat.readHead(bytesOf(headBytes));
            StoredSnapshot snapshot =
                    new StoredSnapshot(readChunks(documents, transaction), readChunks(keys, transaction));
            List<StoredChange> storedChanges = new ArrayList<>();
            for (byte[] change : valuesOf(changes, transaction)) {
                storedChanges.add(StoredFormat.readChange(change));
            }
            nextChange = storedChanges.size();
            contentChecksum = WriteChecksum.ofContent(snapshot, storedChanges);
            positionKnown = true;
            requireChecksum(bytesOf(headBytes), heads.get(transaction, CHECKSUM));
            return Optional.of(new StoredState(head, snapshot, storedChanges));
        } finally {
            transaction.abort();
        }
    }

    /** Accepts a missing checksum: disks of earlier releases have none before their next write. */
    private void requireChecksum(byte[] head, ByteIterable storedChecksum) throws IOException {
        if (storedChecksum != null
                && !Arrays.equals(bytesOf(storedChecksum), WriteChecksum.entry(contentChecksum, head))) {
            throw new IOException("checksum mismatch in the stored state");
        }
    }

    /**
     * Writes head and content in one durable transaction. If the database was opened again after another write failed,
     * the position of the next change is read first.
     */
    void write(StableWrite write) throws IOException {
        if (!positionKnown && !(write.content() instanceof StableWrite.Replaced)) {
            read();
        }
        ContentSummary summary = environment.computeInTransaction(transaction -> {
            ContentSummary written = writeContent(write.content(), transaction);
            byte[] head = StoredFormat.writeHead(write.head());
            heads.put(transaction, HEAD, new ArrayByteIterable(head));
            heads.put(transaction, CHECKSUM, new ArrayByteIterable(WriteChecksum.entry(written.checksum, head)));
            return written;
        });
        positionKnown = true;
        nextChange = summary.changes;
        contentChecksum = summary.checksum;
    }

    /** The number of changes after the snapshot, and the checksum of the snapshot and these changes. */
    private record ContentSummary(int changes, int checksum) {}

    private ContentSummary writeContent(StableWrite.Content content, Transaction transaction) {
        if (content instanceof StableWrite.Replaced replaced) {
            clear(changes, transaction);
            writeChunks(documents, replaced.snapshot().document(), transaction);
            writeChunks(keys, replaced.snapshot().changes(), transaction);
            return new ContentSummary(0, WriteChecksum.ofSnapshot(replaced.snapshot()));
        }
        if (content instanceof StableWrite.Appended appended) {
            byte[] bytes = StoredFormat.writeChange(appended.change());
            changes.put(transaction, IntegerBinding.intToEntry(nextChange), new ArrayByteIterable(bytes));
            return new ContentSummary(nextChange + 1, WriteChecksum.withChange(contentChecksum, bytes));
        }
        return new ContentSummary(nextChange, contentChecksum);
    }

    /** Reads the records of removed replicas. */
    List<ReplicaRecord> readRemovals() throws IOException {
        Transaction transaction = environment.beginReadonlyTransaction();
        try {
            return readRemovals(transaction);
        } finally {
            transaction.abort();
        }
    }

    private List<ReplicaRecord> readRemovals(Transaction transaction) throws IOException {
        List<ReplicaRecord> records = new ArrayList<>();
        for (byte[] value : valuesOf(removals, transaction)) {
            records.add(StoredFormat.readReplica(value));
        }
        return records;
    }

    /** Writes and deletes records of removed replicas in one durable transaction. */
    void write(RemovalStore.Update update) {
        environment.executeInTransaction(transaction -> {
            int checksum = 0;
            for (ReplicaRecord record : update.stored()) {
                byte[] value = StoredFormat.writeReplica(record);
                checksum = WriteChecksum.withChange(checksum, value);
                removals.put(transaction, key(record.instanceId()), new ArrayByteIterable(value));
            }
            update.forgotten().forEach(instanceId -> removals.delete(transaction, key(instanceId)));
            ByteIterable previous = heads.get(transaction, REMOVALS);
            byte[] chained = previous == null ? new byte[0] : bytesOf(previous);
            heads.put(transaction, REMOVALS, new ArrayByteIterable(WriteChecksum.entry(checksum, chained)));
        });
    }

    void close() {
        environment.close();
    }

    private static void writeChunks(Store store, byte[] bytes, Transaction transaction) {
        clear(store, transaction);
        int chunk = 0;
        for (int from = 0; from < bytes.length; from += MAX_VALUE_BYTES) {
            int length = Math.min(MAX_VALUE_BYTES, bytes.length - from);
            byte[] chunkBytes = new byte[length];
            System.arraycopy(bytes, from, chunkBytes, 0, length);
            store.put(transaction, IntegerBinding.intToEntry(chunk++), new ArrayByteIterable(chunkBytes));
        }
    }

    private static byte[] readChunks(Store store, Transaction transaction) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        valuesOf(store, transaction).forEach(bytes::writeBytes);
        return bytes.toByteArray();
    }

    private static List<byte[]> valuesOf(Store store, Transaction transaction) {
        List<byte[]> values = new ArrayList<>();
        try (Cursor cursor = store.openCursor(transaction)) {
            while (cursor.getNext()) {
                values.add(bytesOf(cursor.getValue()));
            }
        }
        return values;
    }

    private static void clear(Store store, Transaction transaction) {
        try (Cursor cursor = store.openCursor(transaction)) {
            while (cursor.getNext()) {
                cursor.deleteCurrent();
            }
        }
    }

    private static byte[] bytesOf(ByteIterable value) {
        byte[] bytes = new byte[value.getLength()];
        System.arraycopy(value.getBytesUnsafe(), 0, bytes, 0, bytes.length);
        return bytes;
    }

    private static ByteIterable key(String name) {
        return new ArrayByteIterable(name.getBytes(StandardCharsets.UTF_8));
    }
}
