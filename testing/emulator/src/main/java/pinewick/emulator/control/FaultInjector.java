package pinewick.emulator.control;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import pinewick.model.SocketAddress;
import pinewick.replication.ReplicationMessages.HeartbeatReply;

/** Injects single faults and ends them. No more disks are lost at once than the deployment tolerates. */
final class FaultInjector {
    /** A machine counts as lost until this time after its return. */
    private static final double CATCH_UP_MS = 4_000;

    private static final double DELAYED_REPLIES_MS = 2_500;
    private static final double FINAL_DELAY_MS = 2_500;

    private final SimulatedSystem system;
    private final SplittableRandom random;
    private final boolean unbounded;

    /** @param unbounded whether faults that leave the disks intact may affect any number of machines at once */
    FaultInjector(SimulatedSystem system, SplittableRandom random, boolean unbounded) {
        this.system = system;
        this.random = random;
        this.unbounded = unbounded;
    }

    ControllerMachine anyController() {
        List<ControllerMachine> present = system.present();
        return present.get(random.nextInt(present.size()));
    }

    private long lostMachines() {
        return system.present().stream()
                .filter(machine -> machine.lostUntilMs() > system.nowMs())
                .count();
    }

    /** The machine, if a fault that leaves its disk intact is allowed. */
    Optional<ControllerMachine> forDiskSparingFault(ControllerMachine machine) {
        boolean allowed = unbounded && machine.isRunning() && !machine.isFrozen();
        return allowed ? Optional.of(machine) : forAnyFault(machine);
    }

    /** The machine, if any fault is allowed, so that no more machines are lost than tolerated. */
    Optional<ControllerMachine> forAnyFault(ControllerMachine machine) {
        boolean allowed = machine.isRunning()
                && machine.lostUntilMs() <= system.nowMs()
                && lostMachines() < system.toleratedMachines();
        return allowed ? Optional.of(machine) : Optional.empty();
    }

    private void markLost(ControllerMachine machine, double durationMs) {
        machine.markLostUntil(system.nowMs() + durationMs + CATCH_UP_MS);
    }

    private void restartLater(ControllerMachine machine, double delayMs) {
        markLost(machine, delayMs);
        system.after(delayMs, () -> machine.start(false));
    }

    void kill(ControllerMachine machine) {
        kill(machine, random.nextDouble(50, 3_000));
    }

    void kill(ControllerMachine machine, double downMs) {
        machine.kill();
        restartLater(machine, downMs);
    }

    /** Kills all processes at once, as in a power loss; the disks stay intact. */
    void killAll() {
        system.trace("all controllers lose power");
        for (ControllerMachine machine : system.present()) {
            machine.resume();
            machine.kill();
            restartLater(machine, random.nextDouble(50, 1_000));
        }
    }

    void wipe(ControllerMachine machine) {
        wipe(machine, random.nextDouble(50, 2_000));
    }

    void wipe(ControllerMachine machine, double downMs) {
        machine.wipe();
        markLost(machine, downMs);
        system.after(downMs, () -> machine.start(system.mutation().foundsAfterWipe()));
    }

    void wipeDuringPowerLoss() {
        if (lostMachines() > 0) {
            return;
        }
        List<ControllerMachine> machines = new ArrayList<>(system.present());
        Collections.shuffle(machines, new Random(random.nextLong()));
        int wiped = 1 + random.nextInt(Math.max(1, system.toleratedMachines()));
        for (int index = 0; index < machines.size(); index++) {
            ControllerMachine machine = machines.get(index);
            if (index < wiped) {
                wipe(machine);
            } else {
                machine.kill();
                restartLater(machine, random.nextDouble(50, 1_500));
            }
        }
    }

    void freeze(ControllerMachine machine, double durationMs) {
        markLost(machine, durationMs);
        machine.freeze();
        system.after(durationMs, machine::resume);
    }

    void impairDisk(ControllerMachine machine, SimulatedDisk.Mode mode) {
        double durationMs = random.nextDouble(100, 4_000);
        system.trace(machine + " disk " + mode + " for " + (long) durationMs + " ms");
        markLost(machine, durationMs);
        machine.disk().mode = mode;
        machine.disk().slowMs = random.nextDouble(20, 700);
        system.after(durationMs, () -> machine.disk().mode = SimulatedDisk.Mode.HEALTHY);
    }

    /** Steps the wall clock; the process is affected from its next start on. */
    void stepClock(ControllerMachine machine) {
        double stepMs = random.nextDouble(-600_000, 600_000);
        system.trace(machine + " clock steps by " + (long) stepMs + " ms");
        machine.stepClock(stepMs);
    }

    /** Blocks the link from one host to another temporarily. */
    void partition(String from, String to, double durationMs) {
        system.network().block(from, to);
        system.after(durationMs, () -> system.network().unblock(from, to));
    }

    void partitionBothWays(String left, String right, double durationMs) {
        partition(left, right, durationMs);
        partition(right, left, durationMs);
    }

    /** Partitions a controller from the other controllers, and with {@code fromAll} also from the routers. */
    void isolate(ControllerMachine machine, double durationMs, boolean fromAll) {
        system.trace(machine + " partitioned" + (fromAll ? " from all" : "") + " for " + (long) durationMs + " ms");
        markLost(machine, durationMs);
        for (ControllerMachine other : system.present()) {
            if (other != machine) {
                partitionBothWays(machine.host(), other.host(), durationMs);
            }
        }
        if (fromAll) {
            system.routers().forEach(router -> partitionBothWays(machine.host(), router.host(), durationMs));
        }
    }

    /** Either messages from a controller to others or messages to it are lost. */
    void isolateOneWay(ControllerMachine machine, double durationMs) {
        boolean isOutbound = random.nextBoolean();
        system.trace(
                machine + " partitioned " + (isOutbound ? "outward" : "inward") + " for " + (long) durationMs + " ms");
        markLost(machine, durationMs);
        for (ControllerMachine other : system.present()) {
            if (other != machine && random.nextDouble() < 0.8) {
                String from = isOutbound ? machine.host() : other.host();
                String to = isOutbound ? other.host() : machine.host();
                partition(from, to, durationMs);
            }
        }
    }

    /**
     * Delays the replies to a controller's heartbeats, which are datagrams, by up to several seconds, but not messages
     * on connections. Afterwards none of its messages are delivered, and new messages to it arrive after all others: it
     * receives outdated replies and does not detect its successor.
     */
    void delayReplies(ControllerMachine machine, double durationMs) {
        system.trace(machine + " receives replies late, then cannot send for " + (long) durationMs + " ms");
        markLost(machine, DELAYED_REPLIES_MS + durationMs);
        system.slowLinks();
        for (ControllerMachine other : system.present()) {
            if (other != machine) {
                delayReplies(machine.host(), other.host(), durationMs);
            }
        }
    }

    private void delayReplies(String host, String other, double durationMs) {
        Network network = system.network();
        network.delay(other, host, 0, Network.MAX_STALE_MS, HeartbeatReply.class::isInstance);
        system.after(DELAYED_REPLIES_MS, () -> {
            partition(host, other, durationMs);
            network.delay(other, host, FINAL_DELAY_MS, Network.MAX_STALE_MS, message -> true);
        });
        system.after(DELAYED_REPLIES_MS + durationMs, () -> network.removeDelay(other, host));
    }

    void splitInTwo(double durationMs) {
        system.trace("the controllers are partitioned in two for " + (long) durationMs + " ms");
        List<ControllerMachine> left = system.present().stream()
                .filter(machine -> random.nextBoolean())
                .toList();
        for (ControllerMachine machine : system.present()) {
            markLost(machine, durationMs);
            for (ControllerMachine other : system.present()) {
                if (left.contains(machine) != left.contains(other)) {
                    partition(machine.host(), other.host(), durationMs);
                }
            }
        }
    }

    /** Removes a machine permanently without warning; one with an empty disk at another address replaces it. */
    void replaceUnplanned(ControllerMachine machine) {
        system.trace(machine + " is removed");
        machine.remove();
        double startMs = random.nextDouble(0, 1_500);
        ControllerMachine successor = addSuccessor(machine);
        successor.markLostUntil(system.nowMs() + startMs + CATCH_UP_MS);
        system.after(startMs, () -> successor.start(false));
    }

    /** Starts the successor; then the machine receives SIGTERM, and is removed once it has exited. */
    void replacePlanned(ControllerMachine machine, Consumer<Boolean> onRemoved) {
        ControllerMachine successor = addSuccessor(machine);
        successor.start(false);
        double shutdownDelayMs = random.nextDouble(200, 2_500);
        machine.markLostUntil(system.nowMs() + shutdownDelayMs + CATCH_UP_MS);
        successor.markLostUntil(system.nowMs() + shutdownDelayMs + CATCH_UP_MS);
        system.after(
                shutdownDelayMs,
                () -> machine.terminate(detached -> {
                    system.trace(machine + " is removed permanently");
                    machine.remove();
                    onRemoved.accept(detached);
                }));
    }

    /** Adds a machine with an empty disk, whose process is not started yet, to replace another one. */
    ControllerMachine addSuccessor(ControllerMachine machine) {
        ControllerMachine successor = system.addController();
        List<SocketAddress> others = system.present().stream()
                .filter(other -> other != successor)
                .limit(3)
                .map(ControllerMachine::internal)
                .toList();
        successor.setSeeds(random.nextBoolean() ? machine.seeds() : others);
        return successor;
    }

    void restartGracefully(ControllerMachine machine) {
        double downMs = random.nextDouble(50, 1_500);
        markLost(machine, SimulatedSystem.CONTACT_MS + downMs);
        machine.terminate(detached -> system.after(downMs, () -> machine.start(false)));
    }

    /** Ends every fault. */
    void heal() {
        system.trace("all faults end");
        system.network().unblockAll();
        for (ControllerMachine machine : system.present()) {
            machine.disk().mode = SimulatedDisk.Mode.HEALTHY;
            machine.resume();
            machine.start(false);
        }
    }
}
