package pinewick.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import pinewick.model.RemovalStore;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;

/** When a removal counts as durable, and which removals are on disk, on a disk whose writes the test ends. */
class DurableRemovalsTest {
    private static final String ID = "i-1";
    private static final ReplicaRecord DRAINING = ReplicaRecords.draining(ID, 4);
    private static final ReplicaRecord GONE = DRAINING.withState(ReplicaState.GONE);

    private final ManualLoop loop = new ManualLoop(10_000);
    private final ManualStore store = new ManualStore();
    private final List<ReplicaRecord> published = new ArrayList<>();
    private final DurableRemovals removals = new DurableRemovals(store, loop, this::publish);
    private int durableCount;

    private void publish(ReplicaRecord record) {
        published.add(record);
        removals.onReplicaChanged(record);
    }

    private void await(ReplicaRecord record) {
        removals.whenDurable(List.of(record), () -> durableCount++);
    }

    /** A disk on which the test decides when a read or write ends, and whether it fails. */
    private static final class ManualStore implements RemovalStore {
        private final Map<String, ReplicaRecord> disk = new TreeMap<>();
        private Runnable succeed = () -> {};
        private Runnable fail = () -> {};
        private int writes;

        @Override
        public void loadRemovals(Consumer<List<ReplicaRecord>> onLoaded, Runnable onFailed) {
            List<ReplicaRecord> stored = List.copyOf(disk.values());
            succeed = () -> onLoaded.accept(stored);
            fail = onFailed;
        }

        @Override
        public void persistRemovals(Update update, Runnable onDone, Runnable onFailed) {
            writes++;
            succeed = () -> {
                update.stored().forEach(record -> disk.put(record.instanceId(), record));
                update.forgotten().forEach(disk::remove);
                onDone.run();
            };
            fail = onFailed;
        }

        void succeed() {
            Runnable outcome = succeed;
            succeed = () -> {};
            outcome.run();
        }

        void fail() {
            Runnable outcome = fail;
            fail = () -> {};
            outcome.run();
        }
    }

    private void load() {
        removals.load();
        store.succeed();
    }

    @Test
    void isDurableOnlyOnceTheWriteHasEnded() {
        load();
        removals.onReplicaChanged(DRAINING);
        await(DRAINING);
        assertEquals(0, durableCount);
        store.succeed();
        assertEquals(1, durableCount);
        assertEquals(Map.of(ID, DRAINING), store.disk);
        await(DRAINING);
        assertEquals(2, durableCount, "already on disk");
        await(GONE);
        assertEquals(2, durableCount, "a later state needs a write of its own");
        store.succeed();
        assertEquals(3, durableCount);
    }

    @Test
    void writesOnlyStateChanges() {
        load();
        removals.onReplicaChanged(ReplicaRecords.ready(ID, 3));
        removals.onReplicaChanged(DRAINING);
        removals.onReplicaChanged(ReplicaRecords.draining(ID, 5));
        store.succeed();
        removals.onReplicaChanged(ReplicaRecords.draining(ID, 6));
        assertEquals(1, store.writes);
    }

    @Test
    void aStateThatChangesDuringAWriteIsWrittenAfterIt() {
        load();
        removals.onReplicaChanged(DRAINING);
        removals.onReplicaChanged(GONE);
        await(GONE);
        store.succeed();
        assertEquals(0, durableCount, "the first write has the earlier state");
        store.succeed();
        assertEquals(1, durableCount);
        assertEquals(Map.of(ID, GONE), store.disk);
    }

    @Test
    void doesNotWriteBeforeTheStoredRemovalsAreRead() {
        removals.load();
        removals.onReplicaChanged(DRAINING);
        await(DRAINING);
        assertEquals(0, store.writes);
        store.succeed();
        assertEquals(1, store.writes);
        store.succeed();
        assertEquals(1, durableCount);
    }

    @Test
    void readsAgainWhileTheDiskFails() {
        store.disk.put(ID, GONE);
        removals.load();
        store.fail();
        loop.advance(DurableRemovals.RETRY_INTERVAL_MS);
        store.succeed();
        assertEquals(List.of(GONE), published);
        assertTrue(removals.isDurable(GONE));
        assertEquals(0, store.writes, "it is on disk already");
    }

    @Test
    void aFailedWriteIsNotDurableAndIsRetried() {
        load();
        removals.onReplicaChanged(DRAINING);
        await(DRAINING);
        store.fail();
        assertFalse(removals.isDurable(DRAINING));
        loop.advance(DurableRemovals.RETRY_INTERVAL_MS);
        store.succeed();
        assertEquals(0, durableCount, "whoever asked has asked again or given up");
        assertTrue(removals.isDurable(DRAINING));
    }

    @Test
    void storesARemovalThatThisProcessHasForgotten() {
        load();
        await(GONE);
        assertEquals(0, durableCount);
        store.succeed();
        assertEquals(1, durableCount);
        assertEquals(Map.of(ID, GONE), store.disk);
    }

    @Test
    void deletesARemovalOnceItsTombstoneHasExpired() {
        load();
        removals.onReplicaChanged(GONE);
        store.succeed();
        removals.onReplicaDropped(ID);
        removals.onTick();
        store.succeed();
        assertEquals(Map.of(), store.disk);
        assertFalse(removals.isDurable(GONE));
    }

    @Test
    void deletesARemovalWhoseTombstoneExpiresDuringItsWrite() {
        load();
        removals.onReplicaChanged(GONE);
        removals.onReplicaDropped(ID);
        store.succeed();
        store.succeed();
        assertEquals(Map.of(), store.disk);
    }

    @Test
    void deletesTheDrainOfAReplicaThatLapsedLongAgo() {
        load();
        removals.onReplicaChanged(DRAINING);
        store.succeed();
        removals.onReplicaChanged(DRAINING.withLapsed(true));
        loop.advance(DurableRemovals.LAPSED_RETENTION_MS - 1);
        removals.onTick();
        assertEquals(Map.of(ID, DRAINING), store.disk);
        loop.advance(1);
        removals.onTick();
        store.succeed();
        assertEquals(Map.of(), store.disk);
    }

    @Test
    void keepsTheDrainOfAReplicaThatIsHeardAgain() {
        load();
        removals.onReplicaChanged(DRAINING);
        store.succeed();
        removals.onReplicaChanged(DRAINING.withLapsed(true));
        removals.onReplicaChanged(ReplicaRecords.draining(ID, 9));
        loop.advance(DurableRemovals.LAPSED_RETENTION_MS);
        removals.onTick();
        assertEquals(1, store.writes);
    }

    /** f + 1 disks: one copy may be lost, and the process that acknowledges may be the one that loses it. */
    @Test
    void copiesAreEnoughOnOneMoreDiskThanMayBeLost() {
        DurableCopies localAndRemote = new DurableCopies(1, () -> durableCount++);
        localAndRemote.addLocal();
        assertEquals(0, durableCount);
        localAndRemote.addRemote();
        assertEquals(1, durableCount);
        localAndRemote.addRemote();
        assertEquals(1, durableCount, "runs once");
        DurableCopies withoutOwnDisk = new DurableCopies(1, () -> durableCount++);
        withoutOwnDisk.addRemote();
        assertEquals(1, durableCount);
        withoutOwnDisk.addRemote();
        assertEquals(2, durableCount);
        DurableCopies twoLosses = new DurableCopies(2, () -> durableCount++);
        twoLosses.addLocal();
        twoLosses.addRemote();
        assertEquals(2, durableCount);
        twoLosses.addRemote();
        assertEquals(3, durableCount);
    }

    @Test
    void copiesOnTheOwnDiskAloneAreNotEnough() {
        DurableCopies noLossTolerated = new DurableCopies(0, () -> durableCount++);
        noLossTolerated.addLocal();
        assertEquals(0, durableCount);
        noLossTolerated.addRemote();
        assertEquals(1, durableCount);
    }
}
