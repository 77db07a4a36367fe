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

/** One simulated machine: a disk, and a process that may be down or frozen. */
final class Machine {
    final SimulatedCluster cluster;
    final SocketAddress address;
    final SocketAddress operatorApi;
    final SimulatedDisk disk = new SimulatedDisk();
    List<SocketAddress> seeds = List.of();
    /** Until then this machine counts as lost. */
    double troubledUntilMs;

    boolean removed;
    private ReplicationNode node;
    private SimulatedStore store;
    private int generation;
    private boolean running;
    private boolean frozen;
    private final Deque<Runnable> held = new ArrayDeque<>();
    private ConfigurationDocument newest = ConfigurationDocument.EMPTY;

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

    boolean isGeneration(int asked) {
        return running && generation == asked;
    }

    /** Whom this process names to a caller now. */
    Optional<SocketAddress> named() {
        node.advanceClock(cluster.nowMs());
        return node.primary();
    }

    /** The newest configuration that this process was told to be committed. */
    ConfigurationDocument newest() {
        return newest;
    }

    ReplicationNode node() {
        return node;
    }

    boolean leads() {
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
        held.clear();
        newest = ConfigurationDocument.EMPTY;
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
                        newest = document;
                        cluster.checker.committed(Machine.this, document);
                    }

                    @Override
                    public void onEvent(String event) {
                        cluster.note(address + " " + event);
                    }
                });
        cluster.note(address + " starts, first " + firstStart);
        node.start(cluster.nowMs());
        cluster.after(cluster.between(0, 50), () -> tick(current));
        cluster.after(500, () -> learnControllers(current));
    }

    /** Membership tells of some controllers, now and then. */
    private void learnControllers(int current) {
        if (!isGeneration(current)) {
            return;
        }
        List<SocketAddress> known = new ArrayList<>();
        for (Machine other : cluster.machines) {
            if (other != this && !other.removed && cluster.chance(cluster.knownControllerShare)) {
                known.add(other.address);
            }
        }
        run(current, () -> node.setKnownControllers(known));
        cluster.after(500, () -> learnControllers(current));
    }

    private void tick(int current) {
        if (!isGeneration(current)) {
            return;
        }
        run(current, () -> {
            node.onTick(cluster.nowMs());
            cluster.checker.lease(this, node.leadingEpoch(), cluster.nowMs(), cluster.leaseMs);
            node.configurationConfirmedAtMs()
                    .ifPresent(atMs -> cluster.checker.confirmed(this, newest.version(), atMs));
            HistoryChecker.soleAuthorities(cluster.soleAuthorities());
        });
        cluster.after(frozen ? 50 : cluster.between(49, 53), () -> tick(current));
    }

    /** Runs something in the process; later, if it is frozen. */
    void run(int current, Runnable task) {
        if (!isGeneration(current)) {
            return;
        }
        if (!frozen) {
            task.run();
        } else if (held.size() < 2_000) {
            held.add(() -> {
                if (isGeneration(current)) {
                    task.run();
                }
            });
        }
    }

    void deliver(SocketAddress sender, Message message) {
        run(generation, () -> {
            if (message instanceof Prepare prepare && cluster.variant == Mutant.PROMISES_WITHOUT_REMEMBERING) {
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

    /** The process ends without a word; what it had asked the disk for may be there. */
    void kill() {
        if (running) {
            cluster.note(address + " killed");
            running = false;
            store.crash();
        }
    }

    void wipe() {
        kill();
        cluster.note(address + " loses its disk");
        if (cluster.variant == Mutant.VOTES_ON_AN_EMPTY_DISK) {
            disk.wipeContent();
        } else {
            disk.wipe();
        }
    }

    void freeze() {
        cluster.note(address + " frozen");
        frozen = true;
    }

    void thaw() {
        if (!frozen) {
            return;
        }
        cluster.note(address + " thaws");
        frozen = false;
        List<Runnable> backlog = new ArrayList<>(held);
        held.clear();
        backlog.forEach(Runnable::run);
    }

    void leave() {
        if (running) {
            cluster.note(address + " is asked to end");
            run(generation, () -> node.beginShutdown(cluster.nowMs()));
        }
    }

    /** As the operator's connection brings it: nothing happens at a machine that is down, and late at a frozen one. */
    void submit(Change change, Consumer<ChangeOutcome> callback) {
        run(generation, () -> {
            node.advanceClock(cluster.nowMs());
            boolean leading = node.leadingNumber().isPresent();
            long epoch = leading ? epoch() : -1;
            if (leading && newest.version() > 0 && refusesWrongly(change)) {
                callback.accept(new ChangeOutcome.VersionConflict(newest.version()));
                return;
            }
            node.submit(change.asSubmitted(), outcome -> {
                if (outcome instanceof ChangeOutcome.Accepted) {
                    cluster.checker.acknowledgedBy(this, leads() ? epoch() : epoch);
                }
                callback.accept(outcome);
            });
        });
    }

    private boolean refusesWrongly(Change change) {
        return switch (cluster.variant) {
            case REFUSES_A_RESENT_CHANGE -> change.base() != newest.version();
            case REFUSES_WITHOUT_CONFIRMATION -> change.base() > newest.version();
            default -> false;
        };
    }

    void read(Consumer<ReadOutcome> callback) {
        run(generation, () -> {
            boolean careless = cluster.variant == Mutant.READS_WITHOUT_CONFIRMATION;
            if (careless && leads() && newest.version() > 0) {
                callback.accept(new ReadOutcome.Current(newest));
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
