package pinewick.replication;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * What this process has on disk. Steps are taken one at a time, in order; each is decided when its turn comes, from
 * what is durable then, so that memory and disk never differ.
 */
final class DurableState {
    /** A write that takes longer counts the disk as stalled. */
    static final double STALL_TIMEOUT_MS = 500;

    /** A step that waited longer for its turn is dropped: whoever asked for it has asked again. */
    private static final double QUEUE_TIMEOUT_MS = 1_000;

    /** How often a failing disk is tried. */
    private static final double RETRY_INTERVAL_MS = 500;

    /** Appended changes are folded into a snapshot beyond this many, and beyond this many bytes. */
    private static final int MAX_APPENDED_CHANGES = 200;

    private static final int MAX_APPENDED_BYTES = 256 * 1024;

    /** A longer change is stored as a snapshot. */
    private static final int MAX_APPENDED_CHANGE_BYTES = 64 * 1024;

    /** How a step ended. */
    enum Outcome {
        /** It is on disk. */
        WRITTEN,
        /** Nothing was to be written. */
        SKIPPED,
        /** The disk failed; nothing has changed. */
        FAILED
    }

    /** What a step is to make durable. */
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

    /** @param afterWrite run after each write that ended, well or not */
    DurableState(StableStore store, ActiveClock clock, Runnable afterWrite) {
        this.store = store;
        this.clock = clock;
        this.afterWrite = afterWrite;
    }

    /** Begins with an empty disk. */
    void initialize(String newIdentity) {
        identity = newIdentity;
    }

    /**
     * Goes on from what the disk holds.
     *
     * @throws IllegalArgumentException if the parts do not fit together; nothing has changed then
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

    /** Whether the identity is on disk, so that it may be given a vote. */
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

    /** Whether a write has been under way for too long. */
    boolean isStalled() {
        return writing && clock.activeMs() - writingSinceMs > STALL_TIMEOUT_MS;
    }

    /** Whether the disk did what was last asked of it, in time. */
    boolean isHealthy() {
        return !failing && !isStalled();
    }

    /**
     * Queues a step.
     *
     * @param planner asked when its turn comes, with everything before it on disk
     * @param onEnd told how it ended, after this object shows its effect
     */
    void submit(Supplier<Optional<Update>> planner, Consumer<Outcome> onEnd) {
        queue.add(new QueuedUpdate(clock.activeMs(), planner, onEnd));
        runNext();
    }

    /** A step that changes the promise alone. */
    Update withPromise(EpochNumber number) {
        return new Update(number, accepted, state, Optional.empty());
    }

    /**
     * Gives up what the disk holds: it becomes an empty store under another identity.
     *
     * @param onEnd run when that is on disk, or has failed
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

    /** While the disk fails, tries it now and then. */
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
