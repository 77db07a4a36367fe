package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pinewick.model.ConfigurationChecks;
import pinewick.model.ConfigurationDelta;
import pinewick.model.ConfigurationDocument;
import pinewick.replication.DurableState.Outcome;
import pinewick.replication.DurableState.Update;

/** Thousands of changes on one disk with periodic snapshots, and a full disk that rejects a snapshot. */
class SnapshotTest {
    private static final int CHANGES = 2_000;
    private static final int MAX_TAIL = 200;
    private static final int SERVICES = 50;
    private static final int CHECK_INTERVAL = 23;
    private static final EpochNumber NUMBER = new EpochNumber(1, "store");

    /** A store that completes each write at once, or rejects it. */
    private static final class ImmediateStore implements StableStore {
        private final SimulatedDisk disk = new SimulatedDisk();
        private final List<StableWrite.Content> writes = new ArrayList<>();
        private boolean full;

        @Override
        public void load(Consumer<LoadedState> onLoaded, Consumer<StorageException> onFailed) {
            onLoaded.accept(disk.load());
        }

        @Override
        public void persist(StableWrite write, Runnable onDone, Consumer<StorageException> onFailed) {
            writes.add(write.content());
            if (full) {
                onFailed.accept(new StorageException(StorageException.Kind.FULL, "write", null));
            } else {
                disk.apply(write);
                onDone.run();
            }
        }

        private StableWrite.Content lastWrite() {
            return writes.get(writes.size() - 1);
        }
    }

    private final ImmediateStore store = new ImmediateStore();
    private final DurableState durable = new DurableState(store, new ActiveClock(), () -> {});

    @BeforeEach
    void initialize() {
        durable.initialize("store");
        ConfigurationState empty = ConfigurationState.NONE.withVersion(new StateVersion(1, 0));
        durable.submit(() -> Optional.of(new Update(NUMBER, EpochRecord.NONE, empty, Optional.empty())), outcome -> {});
    }

    private static StoredChange change(ConfigurationDocument base) {
        JsonObject service = new JsonObject();
        String name = "s" + base.version() % SERVICES;
        service.addProperty("name", name);
        service.addProperty("max_connections", 1 + base.version());
        Map<String, JsonObject> upserts = new HashMap<>();
        upserts.put(name, service);
        long version = base.version() + 1;
        ConfigurationDelta delta =
                new ConfigurationDelta(base.version(), version, Map.of("services", upserts), Map.of(), base.fields());
        ChangeKey key = new ChangeKey(base.version(), version, String.format("%064x", version));
        return new StoredChange(ConfigurationChecks.writeDelta(delta), key);
    }

    private Outcome apply(StoredChange change) {
        Outcome[] result = new Outcome[1];
        durable.submit(
                () -> {
                    ConfigurationState current = durable.state();
                    ConfigurationState updated = current.apply(current.version().next(), change.delta(), change.key());
                    return Optional.of(new Update(NUMBER, EpochRecord.NONE, updated, Optional.of(change)));
                },
                outcome -> result[0] = outcome);
        return result[0];
    }

    private Outcome applyNext() {
        return apply(change(durable.state().document()));
    }

    private void assertRestartRestores(ConfigurationState expected) {
        DurableState restarted = new DurableState(store, new ActiveClock(), () -> {});
        restarted.restore(store.disk.load().stored().orElseThrow());
        assertEquals(expected.version(), restarted.state().version());
        assertEquals(expected.document(), restarted.state().document());
        for (long base = Math.max(0, expected.document().version() - AcceptedChanges.CAPACITY);
                base < expected.document().version();
                base += CHECK_INTERVAL) {
            String digest = String.format("%064x", base + 1);
            assertEquals(
                    base + 1,
                    restarted.state().changes().versionOf(base, digest).orElseThrow());
        }
    }

    @Test
    void keepsEveryChangeOnDiskAfterEachSnapshot() {
        int snapshots = 0;
        for (int number = 1; number <= CHANGES; number++) {
            assertEquals(Outcome.WRITTEN, applyNext());
            boolean isSnapshot = store.lastWrite() instanceof StableWrite.Replaced;
            snapshots += isSnapshot ? 1 : 0;
            if (isSnapshot || number % CHECK_INTERVAL == 0) {
                assertRestartRestores(durable.state());
            }
            assertTrue(store.disk.load().stored().orElseThrow().changes().size() <= MAX_TAIL);
        }
        assertEquals(CHANGES / (MAX_TAIL + 1), snapshots);
    }

    @Test
    void writesASnapshotAgainThatAFullDiskRejected() {
        for (int number = 0; number < MAX_TAIL; number++) {
            applyNext();
        }
        ConfigurationState before = durable.state();
        store.full = true;
        assertEquals(Outcome.FAILED, applyNext());
        assertInstanceOf(StableWrite.Replaced.class, store.lastWrite());
        assertEquals(before, durable.state());
        assertRestartRestores(before);
        store.full = false;
        assertEquals(Outcome.WRITTEN, applyNext());
        assertInstanceOf(StableWrite.Replaced.class, store.lastWrite());
        assertEquals(before.document().version() + 1, durable.state().document().version());
        assertRestartRestores(durable.state());
        assertEquals(Outcome.WRITTEN, applyNext());
        assertInstanceOf(StableWrite.Appended.class, store.lastWrite());
        assertRestartRestores(durable.state());
    }

    /** The write is on disk although it was not confirmed. The restarted process reads the complete snapshot. */
    @Test
    void restoresACompleteSnapshotWhoseWriteWasReportedAsFailed() {
        for (int number = 0; number < MAX_TAIL; number++) {
            applyNext();
        }
        StoredChange last = change(durable.state().document());
        ConfigurationState current = durable.state();
        ConfigurationState updated = current.apply(current.version().next(), last.delta(), last.key());
        StoredSnapshot snapshot =
                new StoredSnapshot(updated.documentBytes(), updated.changes().toBytes());
        store.disk.apply(new StableWrite(
                new StoredHead("store", NUMBER, EpochRecord.NONE, updated.version()),
                new StableWrite.Replaced(snapshot)));
        assertRestartRestores(updated);
    }
}
