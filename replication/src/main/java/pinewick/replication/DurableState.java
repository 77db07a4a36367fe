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
    static final double STALL_MS = 500;

    /** A step that waited longer for its turn is dropped: whoever asked for it has asked again. */
    private static final double STALE_MS = 1_000;

    /** How often a failing disk is tried. */
    private static final double PROBE_MS = 500;

    /** Appended changes are folded into a snapshot beyond this many, and beyond this many bytes. */
    private static final int MOST_APPENDED = 200;

    private static final int MOST_APPENDED_BYTES = 256 * 1024;

    /** A longer change is stored as a snapshot. */
    private static final int LARGEST_APPENDED_BYTES = 64 * 1024;

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
    record Step(EpochNumber promised, EpochRecord accepted, ConfigurationState state, Optional<StoredChange> change) {}

    private record Task(double queuedAtMs, Supplier<Optional<Step>> plan, Consumer<Outcome> ended) {}

    private final StableStore store;
    private final ActiveClock clock;
    private final Runnable afterWrite;
    private final Deque<Task> tasks = new ArrayDeque<>();
    private String identity = "";
    private EpochNumber promised = EpochNumber.NONE;
    private EpochRecord accepted = EpochRecord.NONE;
    private ConfigurationState state = ConfigurationState.NONE;
    private boolean identityStored;
    private boolean busy;
    private double busySinceMs;
    private boolean failing;
    private double failedMs;
    private boolean snapshotDue = true;
    private int appended;
    private int appendedBytes;

    /** @param afterWrite run after each write that ended, well or not */
    DurableState(StableStore store, ActiveClock clock, Runnable afterWrite) {
        this.store = store;
        this.clock = clock;
        this.afterWrite = afterWrite;
    }

    /** Begins with an empty disk. */
    void begin(String newIdentity) {
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
        ConfigurationState restored = ConfigurationState.fromBytes(head.tag(), snapshot.document(), snapshot.changes());
        for (StoredChange change : stored.changes()) {
            restored = restored.apply(head.tag(), change.delta(), change.key());
            appendedBytes += change.delta().length;
        }
        state = restored;
        identity = head.identity();
        identityStored = true;
        promised = head.promised();
        accepted = head.accepted();
        appended = stored.changes().size();
        snapshotDue = false;
    }

    String identity() {
        return identity;
    }

    /** Whether the identity is on disk, so that it may be given a vote. */
    boolean identityStored() {
        return identityStored;
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
    boolean stalled() {
        return busy && clock.activeMs() - busySinceMs > STALL_MS;
    }

    /** Whether the disk did what was last asked of it, in time. */
    boolean ready() {
        return !failing && !stalled();
    }

    /**
     * Queues a step.
     *
     * @param plan asked when its turn comes, with everything before it on disk
     * @param ended told how it ended, after this object shows its effect
     */
    void submit(Supplier<Optional<Step>> plan, Consumer<Outcome> ended) {
        tasks.add(new Task(clock.activeMs(), plan, ended));
        runNext();
    }

    /** A step that changes the promise alone. */
    Step promising(EpochNumber number) {
        return new Step(number, accepted, state, Optional.empty());
    }

    /**
     * Gives up what the disk holds: it becomes an empty store under another identity.
     *
     * @param ended run when that is on disk, or has failed
     */
    void startOver(String newIdentity, Runnable ended) {
        submit(
                () -> {
                    identity = newIdentity;
                    identityStored = false;
                    snapshotDue = true;
                    return Optional.of(
                            new Step(EpochNumber.NONE, EpochRecord.NONE, ConfigurationState.NONE, Optional.empty()));
                },
                outcome -> ended.run());
    }

    /** While the disk fails, tries it now and then. */
    void onTick() {
        if (failing && !busy && clock.activeMs() - failedMs >= PROBE_MS) {
            submit(() -> Optional.of(new Step(promised, accepted, state, Optional.empty())), outcome -> {});
        }
    }

    private void runNext() {
        while (!busy && !tasks.isEmpty()) {
            Task task = tasks.poll();
            boolean stale = clock.activeMs() - task.queuedAtMs > STALE_MS;
            Optional<Step> step = stale ? Optional.empty() : task.plan.get();
            if (step.isEmpty()) {
                task.ended.accept(Outcome.SKIPPED);
            } else {
                write(task, step.get());
            }
        }
    }

    private void write(Task task, Step step) {
        busy = true;
        busySinceMs = clock.activeMs();
        StoredHead head = new StoredHead(
                identity, step.promised(), step.accepted(), step.state().tag());
        StableWrite.Content content = contentOf(step);
        store.persist(new StableWrite(head, content), () -> written(task, step, content), failure -> failed(task));
    }

    private StableWrite.Content contentOf(Step step) {
        boolean replaced =
                step.state().document() != state.document() && step.change().isEmpty();
        if (snapshotDue || replaced || step.change().filter(this::isFoldedIn).isPresent()) {
            return new StableWrite.Replaced(new StoredSnapshot(
                    step.state().documentBytes(), step.state().changes().toBytes()));
        }
        return step.change().<StableWrite.Content>map(StableWrite.Appended::new).orElseGet(StableWrite.Unchanged::new);
    }

    private boolean isFoldedIn(StoredChange change) {
        return appended >= MOST_APPENDED
                || appendedBytes >= MOST_APPENDED_BYTES
                || change.delta().length >= LARGEST_APPENDED_BYTES;
    }

    private void written(Task task, Step step, StableWrite.Content content) {
        busy = false;
        failing = false;
        identityStored = true;
        snapshotDue = false;
        promised = step.promised();
        accepted = step.accepted();
        state = step.state();
        if (content instanceof StableWrite.Replaced) {
            appended = 0;
            appendedBytes = 0;
        } else if (content instanceof StableWrite.Appended added) {
            appended++;
            appendedBytes += added.change().delta().length;
        }
        task.ended.accept(Outcome.WRITTEN);
        runNext();
        afterWrite.run();
    }

    private void failed(Task task) {
        busy = false;
        failing = true;
        failedMs = clock.activeMs();
        snapshotDue = true;
        task.ended.accept(Outcome.FAILED);
        runNext();
        afterWrite.run();
    }
}
