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

/** Single faults and their ends. Disks are lost only within what the deployment tolerates. */
final class FaultInjector {
    /** A machine counts as lost for this long after its return. */
    private static final double CATCH_UP_MS = 4_000;

    private static final double DELAYED_REPLIES_MS = 2_500;
    private static final double FINAL_DELAY_MS = 2_500;

    private final SimulatedSystem system;
    private final SplittableRandom random;
    private final boolean unbounded;

    /** @param unbounded whether faults that spare the disks affect any number of machines at once */
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

    /** The machine, if a fault that spares its disk is allowed. */
    Optional<ControllerMachine> forDiskSparingFault(ControllerMachine machine) {
        boolean isAllowed = unbounded && machine.isRunning() && !machine.isFrozen();
        return isAllowed ? Optional.of(machine) : forAnyFault(machine);
    }

    /** The machine, if any fault is allowed: no more machines than tolerated are lost. */
    Optional<ControllerMachine> forAnyFault(ControllerMachine machine) {
        boolean isAllowed = machine.isRunning()
                && machine.lostUntilMs() <= system.nowMs()
                && lostMachines() < system.toleratedMachines();
        return isAllowed ? Optional.of(machine) : Optional.empty();
    }

    private void markLost(ControllerMachine machine, double forMs) {
        machine.markLostUntil(system.nowMs() + forMs + CATCH_UP_MS);
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

    /** Every process may be killed, or lose power, at once; the disks stay. */
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

    void freeze(ControllerMachine machine, double forMs) {
        markLost(machine, forMs);
        machine.freeze();
        system.after(forMs, machine::resume);
    }

    void disk(ControllerMachine machine, SimulatedDisk.Mode mode) {
        double forMs = random.nextDouble(100, 4_000);
        system.trace(machine + " disk " + mode + " for " + (long) forMs + " ms");
        markLost(machine, forMs);
        machine.disk().mode = mode;
        machine.disk().slowMs = random.nextDouble(20, 700);
        system.after(forMs, () -> machine.disk().mode = SimulatedDisk.Mode.HEALTHY);
    }

    /** The wall clock steps; the process notices it at its next start. */
    void stepClock(ControllerMachine machine) {
        double byMs = random.nextDouble(-600_000, 600_000);
        system.trace(machine + " clock steps by " + (long) byMs + " ms");
        machine.stepClock(byMs);
    }

    /** Blocks the link from one host to another for a time. */
    void partition(String from, String to, double forMs) {
        system.network().block(from, to);
        system.after(forMs, () -> system.network().unblock(from, to));
    }

    void partitionBothWays(String one, String other, double forMs) {
        partition(one, other, forMs);
        partition(other, one, forMs);
    }

    /** Partitions a controller from the other controllers, and with {@code fromAll} from routers too. */
    void isolate(ControllerMachine machine, double forMs, boolean fromAll) {
        system.trace(machine + " cut off" + (fromAll ? " from all" : "") + " for " + (long) forMs + " ms");
        markLost(machine, forMs);
        for (ControllerMachine other : system.present()) {
            if (other != machine) {
                partitionBothWays(machine.host(), other.host(), forMs);
            }
        }
        if (fromAll) {
            system.routers().forEach(router -> partitionBothWays(machine.host(), router.host(), forMs));
        }
    }

    /** Messages of a controller, or messages to it, are lost. */
    void isolateOneWay(ControllerMachine machine, double forMs) {
        boolean isOutbound = random.nextBoolean();
        system.trace(machine + " cut off " + (isOutbound ? "outward" : "inward") + " for " + (long) forMs + " ms");
        markLost(machine, forMs);
        for (ControllerMachine other : system.present()) {
            if (other != machine && random.nextDouble() < 0.8) {
                String from = isOutbound ? machine.host() : other.host();
                String to = isOutbound ? other.host() : machine.host();
                partition(from, to, forMs);
            }
        }
    }

    /**
     * Replies to a controller's heartbeats, which are datagrams, are delayed by up to seconds, but not what is sent
     * over connections. Then nothing that it sends arrives, and new messages to it arrive last: it receives replies
     * from long ago and does not notice its successor.
     */
    void delayReplies(ControllerMachine machine, double forMs) {
        system.trace(machine + " hears answers late, then is cut off outward for " + (long) forMs + " ms");
        markLost(machine, DELAYED_REPLIES_MS + forMs);
        system.slowLinks();
        for (ControllerMachine other : system.present()) {
            if (other != machine) {
                delayReplies(machine.host(), other.host(), forMs);
            }
        }
    }

    private void delayReplies(String host, String other, double forMs) {
        Network network = system.network();
        network.delay(other, host, 0, Network.MAX_STALE_MS, HeartbeatReply.class::isInstance);
        system.after(DELAYED_REPLIES_MS, () -> {
            partition(host, other, forMs);
            network.delay(other, host, FINAL_DELAY_MS, Network.MAX_STALE_MS, message -> true);
        });
        system.after(DELAYED_REPLIES_MS + forMs, () -> network.removeDelay(other, host));
    }

    void splitInTwo(double forMs) {
        system.trace("the controllers are cut in two for " + (long) forMs + " ms");
        List<ControllerMachine> left = system.present().stream()
                .filter(machine -> random.nextBoolean())
                .toList();
        for (ControllerMachine one : system.present()) {
            markLost(one, forMs);
            for (ControllerMachine other : system.present()) {
                if (left.contains(one) != left.contains(other)) {
                    partition(one.host(), other.host(), forMs);
                }
            }
        }
    }

    /** Removed for good without warning; an empty machine at another address replaces it. */
    void replaceUnplanned(ControllerMachine machine) {
        system.trace(machine + " is taken away");
        machine.remove();
        double startMs = random.nextDouble(0, 1_500);
        ControllerMachine successor = addSuccessor(machine);
        successor.markLostUntil(system.nowMs() + startMs + CATCH_UP_MS);
        system.after(startMs, () -> successor.start(false));
    }

    /** The successor starts first, then the machine gets SIGTERM and is removed once it has ended. */
    void replacePlanned(ControllerMachine machine, Consumer<Boolean> onRemoved) {
        ControllerMachine successor = addSuccessor(machine);
        successor.start(false);
        double shutdownDelayMs = random.nextDouble(200, 2_500);
        machine.markLostUntil(system.nowMs() + shutdownDelayMs + CATCH_UP_MS);
        successor.markLostUntil(system.nowMs() + shutdownDelayMs + CATCH_UP_MS);
        system.after(
                shutdownDelayMs,
                () -> machine.terminate(detached -> {
                    system.trace(machine + " is taken away for good");
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
        successor.seeds(random.nextBoolean() ? machine.seeds() : others);
        return successor;
    }

    void restartGracefully(ControllerMachine machine) {
        double downMs = random.nextDouble(50, 1_500);
        markLost(machine, SimulatedSystem.CONTACT_MS + downMs);
        machine.terminate(detached -> system.after(downMs, () -> machine.start(false)));
    }

    /** Ends every fault. */
    void heal() {
        system.trace("all troubles end");
        system.network().unblockAll();
        for (ControllerMachine machine : system.present()) {
            machine.disk().mode = SimulatedDisk.Mode.HEALTHY;
            machine.resume();
            machine.start(false);
        }
    }
}
