package pinewick.replication;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * What this process has on disk: its promise, its accepted epoch record and its configuration state. Every other class
 * reads them here and changes them by {@link #submit} only. Updates are written one at a time, in order. Each is
 * computed when its turn comes, from what is durable by then, so that memory never runs ahead of the disk. Control loop
 * only.
 */
final class DurableState {
    /** The disk counts as stalled if a write takes longer than this. */
    static final double STALL_TIMEOUT_MS = 500;

    /**
     * An update that waited in the queue for longer than this is dropped: whoever requested it has sent the request
     * again by then.
     */
    private static final double QUEUE_TIMEOUT_MS = 1_000;

    /** Interval between attempts to write to a failed disk. */
    private static final double RETRY_INTERVAL_MS = 500;

    /**
     * A snapshot is written in place of a further change once this many changes, or {@link #MAX_APPENDED_BYTES}, were
     * appended.
     */
    private static final int MAX_APPENDED_CHANGES = 200;

    private static final int MAX_APPENDED_BYTES = 256 * 1024;

    /** For a change of this length or more, a snapshot is written instead of appending the change. */
    private static final int MAX_APPENDED_CHANGE_BYTES = 64 * 1024;

    /** Outcome of an update. */
    enum Outcome {
        /** The update is on disk. */
        WRITTEN,
        /** Nothing was written: the planner returned no update, or the update waited too long. */
        SKIPPED,
        /** The write failed. The values in memory have not changed; the disk may hold either version. */
        FAILED
    }

    /**
     * The values that an update makes durable; {@code change} is present if the state differs from the previous one by
     * that change alone.
     */
    record Update(
            EpochNumber promised, EpochRecord accepted, ConfigurationState state, Optional<StoredChange> change) {}

    private record QueuedUpdate(double queuedAtMs, Supplier<Optional<Update>> planner, Consumer<Outcome> onEnd) {}

    private final StableStore store;
    private final ActiveClock clock;
    private final Runnable afterWrite;
    private final Deque<QueuedUpdate> queue = new ArrayDeque<>();
    private String identity = "";
    private EpochNumber promised = EpochNumber.NONE;
    private EpochRecord accepted = EpochRecord.NONE;
    private ConfigurationState state = ConfigurationState.NONE;
    private boolean identityDurable;
    private boolean writing;
    private double writingSinceMs;
    private boolean failing;
    private double failedMs;
    private boolean snapshotDue = true;
    private int appendedChanges;
    private int appendedBytes;

    /** @param afterWrite run after each write, whether it succeeded or failed */
    DurableState(StableStore store, ActiveClock clock, Runnable afterWrite) {
        this.store = store;
        this.clock = clock;
        this.afterWrite = afterWrite;
    }

    /** Starts with an empty store. */
    void initialize(String newIdentity) {
        identity = newIdentity;
    }

    /**
     * Restores the values that were read from the disk.
     *
     * @throws IllegalArgumentException if the stored parts are inconsistent; the values are unchanged then
     */
    void restore(StoredState stored) {
        StoredHead head = stored.head();
        StoredSnapshot snapshot = stored.snapshot();
        ConfigurationState restored =
                ConfigurationState.fromBytes(head.stateVersion(), snapshot.document(), snapshot.changes());
        for (StoredChange change : stored.changes()) {
            restored = restored.apply(head.stateVersion(), change.delta(), change.key());
            appendedBytes += change.delta().length;
        }
        state = restored;
        identity = head.identity();
        identityDurable = true;
        promised = head.promised();
        accepted = head.accepted();
        appendedChanges = stored.changes().size();
        snapshotDue = false;
    }

    String identity() {
        return identity;
    }

    /** Whether the identity is on disk, so that this store may become a member. */
    boolean isIdentityDurable() {
        return identityDurable;
    }

    EpochNumber promised() {
        return promised;
    }

    EpochRecord accepted() {
        return accepted;
    }

    ConfigurationState state() {
        return state;
    }

    /** Whether the write in progress has taken longer than {@link #STALL_TIMEOUT_MS}. */
    boolean isStalled() {
        return writing && clock.activeMs() - writingSinceMs > STALL_TIMEOUT_MS;
    }

    /** Whether the last write did not fail and the one in progress is not stalled. */
    boolean isHealthy() {
        return !failing && !isStalled();
    }

    /**
     * Queues an update.
     *
     * @param planner computes the update when its turn comes, after the updates before it have been written; empty if
     *     there is nothing to write
     * @param onEnd called with the outcome, after the values of this object reflect it
     */
    void submit(Supplier<Optional<Update>> planner, Consumer<Outcome> onEnd) {
        queue.add(new QueuedUpdate(clock.activeMs(), planner, onEnd));
        runNext();
    }

    /** An update of the promise alone. */
    Update withPromise(EpochNumber number) {
        return new Update(number, accepted, state, Optional.empty());
    }

    /**
     * Replaces the store by an empty one with another identity.
     *
     * @param onEnd run when that has been written or has failed
     */
    void reset(String newIdentity, Runnable onEnd) {
        submit(
                () -> {
                    identity = newIdentity;
                    identityDurable = false;
                    snapshotDue = true;
                    return Optional.of(
                            new Update(EpochNumber.NONE, EpochRecord.NONE, ConfigurationState.NONE, Optional.empty()));
                },
                outcome -> onEnd.run());
    }

    /** Retries a failed disk at intervals by writing the current values again. */
    void onTick() {
        if (failing && !writing && clock.activeMs() - failedMs >= RETRY_INTERVAL_MS) {
            submit(() -> Optional.of(new Update(promised, accepted, state, Optional.empty())), outcome -> {});
        }
    }

    private void runNext() {
        while (!writing && !queue.isEmpty()) {
            QueuedUpdate queued = queue.poll();
            boolean isExpired = clock.activeMs() - queued.queuedAtMs > QUEUE_TIMEOUT_MS;
            Optional<Update> update = isExpired ? Optional.empty() : queued.planner.get();
            if (update.isEmpty()) {
                queued.onEnd.accept(Outcome.SKIPPED);
            } else {
                write(queued, update.get());
            }
        }
    }

    private void write(QueuedUpdate queued, Update update) {
        writing = true;
        writingSinceMs = clock.activeMs();
        StoredHead head = new StoredHead(
                identity, update.promised(), update.accepted(), update.state().version());
        StableWrite.Content content = contentOf(update);
        store.persist(
                new StableWrite(head, content), () -> onWritten(queued, update, content), failure -> onFailed(queued));
    }

    private StableWrite.Content contentOf(Update update) {
        boolean isReplaced =
                update.state().document() != state.document() && update.change().isEmpty();
        if (snapshotDue
                || isReplaced
                || update.change().filter(this::requiresSnapshot).isPresent()) {
            return new StableWrite.Replaced(new StoredSnapshot(
                    update.state().documentBytes(), update.state().changes().toBytes()));
        }
        return update.change()
                .<StableWrite.Content>map(StableWrite.Appended::new)
                .orElseGet(StableWrite.Unchanged::new);
    }

    private boolean requiresSnapshot(StoredChange change) {
        return appendedChanges >= MAX_APPENDED_CHANGES
                || appendedBytes >= MAX_APPENDED_BYTES
                || change.delta().length >= MAX_APPENDED_CHANGE_BYTES;
    }

    private void onWritten(QueuedUpdate queued, Update update, StableWrite.Content content) {
        writing = false;
        failing = false;
        identityDurable = true;
        snapshotDue = false;
        promised = update.promised();
        accepted = update.accepted();
        state = update.state();
        if (content instanceof StableWrite.Replaced) {
            appendedChanges = 0;
            appendedBytes = 0;
        } else if (content instanceof StableWrite.Appended added) {
            appendedChanges++;
            appendedBytes += added.change().delta().length;
        }
        queued.onEnd.accept(Outcome.WRITTEN);
        runNext();
        afterWrite.run();
    }

    private void onFailed(QueuedUpdate queued) {
        writing = false;
        failing = true;
        failedMs = clock.activeMs();
        snapshotDue = true;
        queued.onEnd.accept(Outcome.FAILED);
        runNext();
        afterWrite.run();
    }
}
