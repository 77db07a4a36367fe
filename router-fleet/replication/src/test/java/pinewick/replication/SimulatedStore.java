package pinewick.replication;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/** The stable store of one process on its simulated disk. Writes are processed in order, one at a time. */
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
        cluster.scheduleAfter(cluster.randomBetween(1, 20), () -> {
            if (machine.isCurrentGeneration(generation)) {
                machine.run(generation, () -> onLoaded.accept(machine.disk.load()));
            }
        });
    }

    @Override
    public void persist(StableWrite write, Runnable onDone, Consumer<StorageException> onFailed) {
        queue.add(new Write(write, onDone, onFailed));
        startNext();
    }

    private void startNext() {
        if (busy || queue.isEmpty()) {
            return;
        }
        busy = true;
        if (cluster.mutant == Mutant.CONFIRMS_BEFORE_WRITING) {
            Write earlyWrite = queue.peek();
            cluster.scheduleAfter(0.1, () -> machine.run(generation, earlyWrite.onDone));
            cluster.scheduleAfter(80, () -> complete(() -> machine.disk.apply(earlyWrite.write), () -> {}));
            return;
        }
        processWrite();
    }

    private void processWrite() {
        SimulatedDisk disk = machine.disk;
        Write write = queue.peek();
        switch (disk.mode) {
            case STALLED -> cluster.scheduleAfter(20, () -> {
                if (machine.isCurrentGeneration(generation)) {
                    processWrite();
                }
            });
            case FULL -> cluster.scheduleAfter(0.3, () -> failWrite(write));
            default -> {
                double delayMs =
                        cluster.randomBetween(0.8, 2.5) + (disk.mode == SimulatedDisk.Mode.SLOW ? disk.slowMs : 0);
                cluster.scheduleAfter(delayMs, () -> complete(() -> disk.apply(write.write), write.onDone));
            }
        }
    }

    /** Fails a write, which may have reached the disk nevertheless. */
    private void failWrite(Write write) {
        StorageException full = new StorageException(StorageException.Kind.FULL, "write", null);
        Runnable effect = cluster.randomBoolean(0.2) ? () -> machine.disk.apply(write.write) : () -> {};
        complete(effect, () -> write.onFailed.accept(full));
    }

    private void complete(Runnable effect, Runnable completion) {
        if (!machine.isCurrentGeneration(generation)) {
            return;
        }
        effect.run();
        queue.poll();
        busy = false;
        machine.run(generation, completion);
        startNext();
    }

    /** The process ends. The write in progress may have reached the disk. */
    void crash() {
        Write write = queue.peek();
        boolean neverApplied = cluster.mutant == Mutant.CONFIRMS_BEFORE_WRITING;
        if (write != null
                && !neverApplied
                && machine.disk.mode != SimulatedDisk.Mode.FULL
                && cluster.randomBoolean(0.5)) {
            machine.disk.apply(write.write);
        }
    }
}
