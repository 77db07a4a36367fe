package pinewick.emulator.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import pinewick.replication.LoadedState;
import pinewick.replication.StableStore;
import pinewick.replication.StableWrite;
import pinewick.replication.StorageException;

/** The disk as one process sees it. Writes are taken in order, one at a time. */
final class SimulatedStore implements StableStore {
    private static final double RETRY_MS = 20;
    private static final double LATE_WRITE_MS = 80;
    private static final double FULL_BUT_WRITTEN_SHARE = 0.2;
    private static final double POWER_LOST_BUT_WRITTEN_SHARE = 0.5;

    private record Write(StableWrite write, Runnable onDone, Consumer<StorageException> onFailed) {}

    private final VirtualTime time;
    private final SimulatedDisk disk;
    private final ControllerLife life;
    private final SplittableRandom random;
    private final Sabotage sabotage;
    private final Deque<Write> queue = new ArrayDeque<>();
    private boolean busy;

    SimulatedStore(VirtualTime time, SimulatedDisk disk, ControllerLife life, SplittableRandom random, Sabotage by) {
        this.time = time;
        this.disk = disk;
        this.life = life;
        this.random = random;
        this.sabotage = by;
    }

    @Override
    public void load(Consumer<LoadedState> onLoaded, Consumer<StorageException> onFailed) {
        time.after(
                random.nextDouble(1, 20),
                () -> life.run(() -> {
                    LoadedState loaded = disk.load();
                    onLoaded.accept(sabotage.loaded(life.machine().internal(), disk, loaded));
                }));
    }

    @Override
    public void persist(StableWrite write, Runnable onDone, Consumer<StorageException> onFailed) {
        queue.add(new Write(write, onDone, onFailed));
        next();
    }

    private void next() {
        if (busy || queue.isEmpty() || !life.alive()) {
            return;
        }
        busy = true;
        if (sabotage.confirmsBeforeWriting()) {
            Write early = queue.peek();
            time.after(0.1, () -> life.run(early.onDone));
            time.after(LATE_WRITE_MS, () -> end(() -> apply(early.write), () -> {}));
            return;
        }
        step();
    }

    private void step() {
        if (!life.alive()) {
            return;
        }
        Write write = queue.peek();
        switch (disk.mode) {
            case STALLED -> time.after(RETRY_MS, this::step);
            case FULL -> time.after(0.3, () -> refuse(write));
            default -> {
                double slowMs = disk.mode == SimulatedDisk.Mode.SLOW ? disk.slowMs : 0;
                time.after(random.nextDouble(0.8, 2.5) + slowMs, () -> end(() -> apply(write.write), write.onDone));
            }
        }
    }

    private void apply(StableWrite write) {
        disk.apply(sabotage.written(disk, write));
    }

    /** A write that failed may be on the disk all the same. */
    private void refuse(Write write) {
        StorageException full = new StorageException(StorageException.Kind.FULL, "write", null);
        boolean written = random.nextDouble() < FULL_BUT_WRITTEN_SHARE;
        end(written ? () -> apply(write.write) : () -> {}, () -> write.onFailed.accept(full));
    }

    private void end(Runnable effect, Runnable completion) {
        if (!life.alive()) {
            return;
        }
        effect.run();
        queue.poll();
        busy = false;
        life.run(completion);
        next();
    }

    /** The process ends: what was being written is on the disk whole, or not at all. */
    void crash() {
        Write write = queue.peek();
        boolean canWrite = busy && disk.mode != SimulatedDisk.Mode.FULL && !sabotage.confirmsBeforeWriting();
        if (write != null && canWrite && random.nextDouble() < POWER_LOST_BUT_WRITTEN_SHARE) {
            apply(write.write);
        }
    }
}
