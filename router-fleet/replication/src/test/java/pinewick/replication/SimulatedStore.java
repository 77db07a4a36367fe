package pinewick.replication;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/** The disk as one process sees it. Writes are taken in order, one at a time. */
final class SimulatedStore implements StableStore {
    private record Write(StableWrite write, Runnable onDone, Consumer<StorageException> onFailed) {}

    private final SimulatedCluster cluster;
    private final Machine machine;
    private final int generation;
    private final Deque<Write> queue = new ArrayDeque<>();
    private boolean busy;

    SimulatedStore(SimulatedCluster cluster, Machine machine, int generation) {
        this.cluster = cluster;
        this.machine = machine;
        this.generation = generation;
    }

    @Override
    public void load(Consumer<LoadedState> onLoaded, Consumer<StorageException> onFailed) {
        cluster.after(cluster.between(1, 20), () -> {
            if (machine.isGeneration(generation)) {
                machine.run(generation, () -> onLoaded.accept(machine.disk.load()));
            }
        });
    }

    @Override
    public void persist(StableWrite write, Runnable onDone, Consumer<StorageException> onFailed) {
        queue.add(new Write(write, onDone, onFailed));
        next();
    }

    private void next() {
        if (busy || queue.isEmpty()) {
            return;
        }
        busy = true;
        if (cluster.variant == Mutant.CONFIRMS_BEFORE_THE_DISK) {
            Write early = queue.peek();
            cluster.after(0.1, () -> machine.run(generation, early.onDone));
            cluster.after(80, () -> end(() -> machine.disk.apply(early.write), () -> {}));
            return;
        }
        step();
    }

    private void step() {
        SimulatedDisk disk = machine.disk;
        Write write = queue.peek();
        switch (disk.mode) {
            case STALLED -> cluster.after(20, () -> {
                if (machine.isGeneration(generation)) {
                    step();
                }
            });
            case FULL -> cluster.after(0.3, () -> refuse(write));
            default -> {
                double delayMs = cluster.between(0.8, 2.5) + (disk.mode == SimulatedDisk.Mode.SLOW ? disk.slowMs : 0);
                cluster.after(delayMs, () -> end(() -> disk.apply(write.write), write.onDone));
            }
        }
    }

    /** A write that failed may be on the disk all the same. */
    private void refuse(Write write) {
        StorageException full = new StorageException(StorageException.Kind.FULL, "write", null);
        Runnable effect = cluster.chance(0.2) ? () -> machine.disk.apply(write.write) : () -> {};
        end(effect, () -> write.onFailed.accept(full));
    }

    private void end(Runnable effect, Runnable completion) {
        if (!machine.isGeneration(generation)) {
            return;
        }
        effect.run();
        queue.poll();
        busy = false;
        machine.run(generation, completion);
        next();
    }

    /** The process ends: what was being written may have reached the disk. */
    void crash() {
        Write write = queue.peek();
        boolean lost = cluster.variant == Mutant.CONFIRMS_BEFORE_THE_DISK;
        if (write != null && !lost && machine.disk.mode != SimulatedDisk.Mode.FULL && cluster.chance(0.5)) {
            machine.disk.apply(write.write);
        }
    }
}
