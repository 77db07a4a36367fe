package pinewick.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import pinewick.model.ConfigurationDocument;
import pinewick.model.Message;
import pinewick.model.SocketAddress;
import pinewick.replication.ReplicationMessages.Prepare;
import pinewick.replication.ReplicationMessages.Promise;
import pinewick.replication.ReplicationMessages.Status;

/** A simulated machine: a disk, and a process that may be stopped or frozen. */
final class Machine {
    final SimulatedCluster cluster;
    final SocketAddress address;
    final SocketAddress operatorApi;
    final SimulatedDisk disk = new SimulatedDisk();
    List<SocketAddress> seeds = List.of();
    /** Until this time the machine counts as lost, milliseconds. */
    double faultyUntilMs;

    boolean removed;
    private ReplicationNode node;
    private SimulatedStore store;
    private int generation;
    private boolean running;
    private boolean frozen;
    private final Deque<Runnable> deferredTasks = new ArrayDeque<>();
    private ConfigurationDocument newestConfiguration = ConfigurationDocument.EMPTY;

    Machine(SimulatedCluster cluster, SocketAddress address, SocketAddress operatorApi) {
        this.cluster = cluster;
        this.address = address;
        this.operatorApi = operatorApi;
    }

    boolean running() {
        return running;
    }

    boolean frozen() {
        return frozen;
    }

    boolean isCurrentGeneration(int expected) {
        return running && generation == expected;
    }

    /** The primary to which this process currently redirects a caller. */
    Optional<SocketAddress> redirectTarget() {
        node.advanceClock(cluster.nowMs());
        return node.primary();
    }

    /** The newest configuration of whose commit this process was notified. */
    ConfigurationDocument newestConfiguration() {
        return newestConfiguration;
    }

    ReplicationNode node() {
        return node;
    }

    boolean isPrimary() {
        return running && node.leadingNumber().isPresent();
    }

    long epoch() {
        return node.leadingNumber().get();
    }

    void start(boolean firstStart) {
        if (removed || running) {
            return;
        }
        generation++;
        running = true;
        frozen = false;
        deferredTasks.clear();
        newestConfiguration = ConfigurationDocument.EMPTY;
        int current = generation;
        store = new SimulatedStore(cluster, this, current);
        ReplicationSettings settings = new ReplicationSettings(
                address, operatorApi, seeds, firstStart, cluster.toleratedMachines, cluster.ackMs, cluster.leaseMs);
        node = new ReplicationNode(
                settings,
                store,
                (peer, message) -> cluster.transmit(this, peer, message),
                new java.util.Random(cluster.random.nextLong()),
                new ReplicationListener() {
                    @Override
                    public void onCommitted(ConfigurationDocument document) {
                        newestConfiguration = document;
                        cluster.checker.onCommitted(Machine.this, document);
                    }

                    @Override
                    public void onEvent(String event) {
                        cluster.logEvent(address + " " + event);
                    }
                });
        cluster.logEvent(address + " started, first start " + firstStart);
        node.start(cluster.nowMs());
        cluster.scheduleAfter(cluster.randomBetween(0, 50), () -> tick(current));
        cluster.scheduleAfter(500, () -> updateKnownControllers(current));
    }

    /** Periodically reports a random part of the other controllers, as the membership protocol does. */
    private void updateKnownControllers(int current) {
        if (!isCurrentGeneration(current)) {
            return;
        }
        List<SocketAddress> knownControllers = new ArrayList<>();
        for (Machine other : cluster.machines) {
            if (other != this && !other.removed && cluster.randomBoolean(cluster.knownControllerProbability)) {
                knownControllers.add(other.address);
            }
        }
        run(current, () -> node.setKnownControllers(knownControllers));
        cluster.scheduleAfter(500, () -> updateKnownControllers(current));
    }

    private void tick(int current) {
        if (!isCurrentGeneration(current)) {
            return;
        }
        run(current, () -> {
            node.onTick(cluster.nowMs());
            cluster.checker.onLeaseStatus(this, node.leadingEpoch(), cluster.nowMs(), cluster.leaseMs);
            node.configurationConfirmedAtMs()
                    .ifPresent(atMs -> cluster.checker.onConfirmed(this, newestConfiguration.version(), atMs));
            HistoryChecker.requireSoleAuthority(cluster.soleAuthorities());
        });
        cluster.scheduleAfter(frozen ? 50 : cluster.randomBetween(49, 53), () -> tick(current));
    }

    /** Runs a task in the process; if the process is frozen, once it thaws. */
    void run(int current, Runnable task) {
        if (!isCurrentGeneration(current)) {
            return;
        }
        if (!frozen) {
            task.run();
        } else if (deferredTasks.size() < 2_000) {
            deferredTasks.add(() -> {
                if (isCurrentGeneration(current)) {
                    task.run();
                }
            });
        }
    }

    void deliver(SocketAddress sender, Message message) {
        run(generation, () -> {
            if (message instanceof Prepare prepare && cluster.mutant == Mutant.LOSES_A_PROMISE) {
                Status status = node.status(false);
                Promise promise = new Promise(
                        prepare.request(),
                        prepare.number(),
                        status.self(),
                        status.accepted(),
                        status.stateVersion(),
                        false);
                cluster.transmit(this, sender, promise);
            } else {
                node.onMessage(sender, message, cluster.nowMs());
            }
        });
    }

    /** Stops the process abruptly. Its pending write may have reached the disk. */
    void kill() {
        if (running) {
            cluster.logEvent(address + " killed");
            running = false;
            store.crash();
        }
    }

    void wipe() {
        kill();
        cluster.logEvent(address + " lost its disk");
        if (cluster.mutant == Mutant.VOTES_ON_AN_EMPTY_DISK) {
            disk.wipeContent();
        } else {
            disk.wipe();
        }
    }

    void freeze() {
        cluster.logEvent(address + " frozen");
        frozen = true;
    }

    void thaw() {
        if (!frozen) {
            return;
        }
        cluster.logEvent(address + " thawed");
        frozen = false;
        List<Runnable> backlog = new ArrayList<>(deferredTasks);
        deferredTasks.clear();
        backlog.forEach(Runnable::run);
    }

    void beginShutdown() {
        if (running) {
            cluster.logEvent(address + " begins to shut down");
            run(generation, () -> node.beginShutdown(cluster.nowMs()));
        }
    }

    /** Submits a change as over a connection: it is lost if the machine is stopped, and delayed if it is frozen. */
    void submit(Change change, Consumer<ChangeOutcome> callback) {
        run(generation, () -> {
            node.advanceClock(cluster.nowMs());
            boolean leading = node.leadingNumber().isPresent();
            long epoch = leading ? epoch() : -1;
            if (leading && newestConfiguration.version() > 0 && rejectsWrongly(change)) {
                callback.accept(new ChangeOutcome.VersionConflict(newestConfiguration.version()));
                return;
            }
            node.submit(change.asSubmitted(), outcome -> {
                if (outcome instanceof ChangeOutcome.Accepted) {
                    cluster.checker.onAcknowledged(this, isPrimary() ? epoch() : epoch);
                }
                callback.accept(outcome);
            });
        });
    }

    private boolean rejectsWrongly(Change change) {
        return switch (cluster.mutant) {
            case REJECTS_A_RESENT_CHANGE -> change.base() != newestConfiguration.version();
            case REJECTS_WITHOUT_CONFIRMATION -> change.base() > newestConfiguration.version();
            default -> false;
        };
    }

    void read(Consumer<ReadOutcome> callback) {
        run(generation, () -> {
            boolean readsUnconfirmed = cluster.mutant == Mutant.READS_FROM_MEMORY;
            if (readsUnconfirmed && isPrimary() && newestConfiguration.version() > 0) {
                callback.accept(new ReadOutcome.Current(newestConfiguration));
                return;
            }
            node.advanceClock(cluster.nowMs());
            node.read(callback);
        });
    }

    @Override
    public String toString() {
        return address.host();
    }
}
