package pinewick.emulator.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import pinewick.model.RemovalStore;
import pinewick.model.ReplicaRecord;
import pinewick.replication.LoadedState;
import pinewick.replication.StableStore;
import pinewick.replication.StableWrite;
import pinewick.replication.StorageException;

/** The view that one process has of its disk. Writes are processed in order, one at a time. */
final class SimulatedStore implements StableStore, RemovalStore {
    private static final double RETRY_INTERVAL_MS = 20;
    private static final double LATE_WRITE_MS = 80;
    private static final double FULL_BUT_WRITTEN_PROBABILITY = 0.2;
    private static final double POWER_LOST_BUT_WRITTEN_PROBABILITY = 0.5;

    /** A queued write; {@code effect} puts it on the disk. */
    private record Write(Runnable effect, Runnable onDone, Runnable onFailed) {}

    private final VirtualTime time;
    private final SimulatedDisk disk;
    private final ControllerProcess process;
    private final SplittableRandom random;
    private final Mutation mutation;
    private final Deque<Write> queue = new ArrayDeque<>();
    private boolean writing;

    SimulatedStore(
            VirtualTime time,
            SimulatedDisk disk,
            ControllerProcess process,
            SplittableRandom random,
            Mutation mutation) {
        this.time = time;
        this.disk = disk;
        this.process = process;
        this.random = random;
        this.mutation = mutation;
    }

    @Override
    public void load(Consumer<LoadedState> onLoaded, Consumer<StorageException> onFailed) {
        time.after(
                random.nextDouble(1, 20),
                () -> process.run(() -> {
                    LoadedState loaded = disk.load();
                    onLoaded.accept(mutation.onLoaded(process.machine().internal(), disk, loaded));
                }));
    }

    @Override
    public void persist(StableWrite write, Runnable onDone, Consumer<StorageException> onFailed) {
        StorageException full = new StorageException(StorageException.Kind.FULL, "write", null);
        queue.add(new Write(() -> disk.apply(mutation.onWrite(disk, write)), onDone, () -> onFailed.accept(full)));
        startNextWrite();
    }

    @Override
    public void loadRemovals(Consumer<List<ReplicaRecord>> onLoaded, Runnable onFailed) {
        time.after(
                random.nextDouble(1, 20),
                () -> process.run(() -> onLoaded.accept(mutation.onRemovalsLoaded(disk.removals()))));
    }

    @Override
    public void persistRemovals(RemovalStore.Update update, Runnable onDone, Runnable onFailed) {
        queue.add(new Write(() -> disk.apply(update), onDone, onFailed));
        startNextWrite();
    }

    private void startNextWrite() {
        if (writing || queue.isEmpty() || !process.isRunning()) {
            return;
        }
        writing = true;
        if (mutation.confirmsBeforeWriting()) {
            Write early = queue.peek();
            time.after(0.1, () -> process.run(early.onDone));
            time.after(LATE_WRITE_MS, () -> complete(early.effect, () -> {}));
            return;
        }
        processWrite();
    }

    private void processWrite() {
        if (!process.isRunning()) {
            return;
        }
        Write write = queue.peek();
        switch (disk.mode) {
            case STALLED -> time.after(RETRY_INTERVAL_MS, this::processWrite);
            case FULL -> time.after(0.3, () -> fail(write));
            default -> {
                double slowMs = disk.mode == SimulatedDisk.Mode.SLOW ? disk.slowMs : 0;
                time.after(random.nextDouble(0.8, 2.5) + slowMs, () -> complete(write.effect, write.onDone));
            }
        }
    }

    /** A write may be on the disk although it failed. */
    private void fail(Write write) {
        boolean written = random.nextDouble() < FULL_BUT_WRITTEN_PROBABILITY;
        complete(written ? write.effect : () -> {}, write.onFailed);
    }

    private void complete(Runnable effect, Runnable completion) {
        if (!process.isRunning()) {
            return;
        }
        effect.run();
        queue.poll();
        writing = false;
        process.run(completion);
        startNextWrite();
    }

    /** The process exits: the write in progress is on the disk completely or not at all. */
    void crash() {
        Write write = queue.peek();
        boolean canWrite = writing && disk.mode != SimulatedDisk.Mode.FULL && !mutation.confirmsBeforeWriting();
        if (write != null && canWrite && random.nextDouble() < POWER_LOST_BUT_WRITTEN_PROBABILITY) {
            write.effect.run();
        }
    }
}
