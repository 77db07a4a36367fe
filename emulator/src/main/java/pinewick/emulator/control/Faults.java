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

/** Single troubles and their ends. Disks are lost only within what the deployment says is tolerated. */
final class Faults {
    /** A machine counts as lost for so long after its return. */
    private static final double CATCH_UP_MS = 4_000;

    private static final double HEARS_LATE_MS = 2_500;
    private static final double LAST_MS = 2_500;

    private final ControlWorld world;
    private final SplittableRandom random;
    private final boolean wild;

    /** @param wild whether troubles that spare the disks come to any number of machines at once */
    Faults(ControlWorld world, SplittableRandom random, boolean wild) {
        this.world = world;
        this.random = random;
        this.wild = wild;
    }

    ControllerMachine anyone() {
        List<ControllerMachine> present = world.present();
        return present.get(random.nextInt(present.size()));
    }

    private long lost() {
        return world.present().stream()
                .filter(machine -> machine.troubledUntilMs() > world.nowMs())
                .count();
    }

    /** The machine, if it may get into trouble that spares its disk. */
    Optional<ControllerMachine> sparing(ControllerMachine machine) {
        boolean allowed = wild && machine.running() && !machine.frozen();
        return allowed ? Optional.of(machine) : calm(machine);
    }

    /** The machine, if it may get into any trouble: no more of them than are tolerated are lost. */
    Optional<ControllerMachine> calm(ControllerMachine machine) {
        boolean allowed =
                machine.running() && machine.troubledUntilMs() <= world.nowMs() && lost() < world.toleratedMachines();
        return allowed ? Optional.of(machine) : Optional.empty();
    }

    private void troubled(ControllerMachine machine, double forMs) {
        machine.troubledUntil(world.nowMs() + forMs + CATCH_UP_MS);
    }

    private void restartLater(ControllerMachine machine, double delayMs) {
        troubled(machine, delayMs);
        world.after(delayMs, () -> machine.start(false));
    }

    void kill(ControllerMachine machine) {
        kill(machine, random.nextDouble(50, 3_000));
    }

    void kill(ControllerMachine machine, double downMs) {
        machine.kill();
        restartLater(machine, downMs);
    }

    /** Whatever is tolerated, every process may be killed, or lose power, at once; the disks stay. */
    void killAll() {
        world.note("all controllers lose power");
        for (ControllerMachine machine : world.present()) {
            machine.thaw();
            machine.kill();
            restartLater(machine, random.nextDouble(50, 1_000));
        }
    }

    void wipe(ControllerMachine machine) {
        wipe(machine, random.nextDouble(50, 2_000));
    }

    void wipe(ControllerMachine machine, double downMs) {
        machine.wipe();
        troubled(machine, downMs);
        world.after(downMs, () -> machine.start(world.sabotage().foundsAfterWipe()));
    }

    void wipeWhileTheOthersLosePower() {
        if (lost() > 0) {
            return;
        }
        List<ControllerMachine> machines = new ArrayList<>(world.present());
        Collections.shuffle(machines, new Random(random.nextLong()));
        int wiped = 1 + random.nextInt(Math.max(1, world.toleratedMachines()));
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
        troubled(machine, forMs);
        machine.freeze();
        world.after(forMs, machine::thaw);
    }

    void disk(ControllerMachine machine, SimulatedDisk.Mode mode) {
        double forMs = random.nextDouble(100, 4_000);
        world.note(machine + " disk " + mode + " for " + (long) forMs + " ms");
        troubled(machine, forMs);
        machine.disk().mode = mode;
        machine.disk().slowMs = random.nextDouble(20, 700);
        world.after(forMs, () -> machine.disk().mode = SimulatedDisk.Mode.GOOD);
    }

    /** A clock steps; the process feels it at its next start. */
    void stepClock(ControllerMachine machine) {
        double byMs = random.nextDouble(-600_000, 600_000);
        world.note(machine + " clock steps by " + (long) byMs + " ms");
        machine.stepClock(byMs);
    }

    /** Nothing gets from one host to another for a time. */
    void cut(String from, String to, double forMs) {
        world.network().cut(from, to);
        world.after(forMs, () -> world.network().join(from, to));
    }

    void cutBothWays(String one, String other, double forMs) {
        cut(one, other, forMs);
        cut(other, one, forMs);
    }

    /** Cuts a controller off from the other controllers, and with {@code fromAll} from routers too. */
    void cutOff(ControllerMachine machine, double forMs, boolean fromAll) {
        world.note(machine + " cut off" + (fromAll ? " from all" : "") + " for " + (long) forMs + " ms");
        troubled(machine, forMs);
        for (ControllerMachine other : world.present()) {
            if (other != machine) {
                cutBothWays(machine.host(), other.host(), forMs);
            }
        }
        if (fromAll) {
            world.routers().forEach(router -> cutBothWays(machine.host(), router.host(), forMs));
        }
    }

    /** What a controller sends, or what is sent to it, gets lost. */
    void cutOneWay(ControllerMachine machine, double forMs) {
        boolean outward = random.nextBoolean();
        world.note(machine + " cut off " + (outward ? "outward" : "inward") + " for " + (long) forMs + " ms");
        troubled(machine, forMs);
        for (ControllerMachine other : world.present()) {
            if (other != machine && random.nextDouble() < 0.8) {
                String from = outward ? machine.host() : other.host();
                String to = outward ? other.host() : machine.host();
                cut(from, to, forMs);
            }
        }
    }

    /**
     * Answers to a controller's heartbeats, which are datagrams, come late by up to seconds, but not what comes over
     * connections. Then nothing that it sends arrives any more, and what is sent to it from then on comes last: it
     * hears answers of long ago and does not hear who follows it.
     */
    void hearsLate(ControllerMachine machine, double forMs) {
        world.note(machine + " hears answers late, then is cut off outward for " + (long) forMs + " ms");
        troubled(machine, HEARS_LATE_MS + forMs);
        world.slowLinks();
        for (ControllerMachine other : world.present()) {
            if (other != machine) {
                hearsLate(machine.host(), other.host(), forMs);
            }
        }
    }

    private void hearsLate(String host, String other, double forMs) {
        Network network = world.network();
        network.slow(other, host, 0, Network.STALEST_MS, HeartbeatReply.class::isInstance);
        world.after(HEARS_LATE_MS, () -> {
            cut(host, other, forMs);
            network.slow(other, host, LAST_MS, Network.STALEST_MS, message -> true);
        });
        world.after(HEARS_LATE_MS + forMs, () -> network.slowNoMore(other, host));
    }

    void cutInTwo(double forMs) {
        world.note("the controllers are cut in two for " + (long) forMs + " ms");
        List<ControllerMachine> left =
                world.present().stream().filter(machine -> random.nextBoolean()).toList();
        for (ControllerMachine one : world.present()) {
            troubled(one, forMs);
            for (ControllerMachine other : world.present()) {
                if (left.contains(one) != left.contains(other)) {
                    cut(one.host(), other.host(), forMs);
                }
            }
        }
    }

    /** Taken away for good without warning; an empty machine at another address takes its place. */
    void replaceUnplanned(ControllerMachine machine) {
        world.note(machine + " is taken away");
        machine.remove();
        double startMs = random.nextDouble(0, 1_500);
        ControllerMachine successor = addSuccessor(machine);
        successor.troubledUntil(world.nowMs() + startMs + CATCH_UP_MS);
        world.after(startMs, () -> successor.start(false));
    }

    /** The successor is there first, then the machine gets SIGTERM and is taken away once it has ended. */
    void replacePlanned(ControllerMachine machine, Consumer<Boolean> onGone) {
        ControllerMachine successor = addSuccessor(machine);
        successor.start(false);
        double leaveMs = random.nextDouble(200, 2_500);
        machine.troubledUntil(world.nowMs() + leaveMs + CATCH_UP_MS);
        successor.troubledUntil(world.nowMs() + leaveMs + CATCH_UP_MS);
        world.after(
                leaveMs,
                () -> machine.terminate(detached -> {
                    world.note(machine + " is taken away for good");
                    machine.remove();
                    onGone.accept(detached);
                }));
    }

    private ControllerMachine addSuccessor(ControllerMachine machine) {
        ControllerMachine successor = world.addController();
        List<SocketAddress> others = world.present().stream()
                .filter(other -> other != successor)
                .limit(3)
                .map(ControllerMachine::internal)
                .toList();
        successor.seeds(random.nextBoolean() ? machine.seeds() : others);
        return successor;
    }

    void restartGracefully(ControllerMachine machine) {
        double downMs = random.nextDouble(50, 1_500);
        troubled(machine, ControlWorld.CONTACT_MS + downMs);
        machine.terminate(detached -> world.after(downMs, () -> machine.start(false)));
    }

    /** Ends every trouble. */
    void heal() {
        world.note("all troubles end");
        world.network().joinAll();
        for (ControllerMachine machine : world.present()) {
            machine.disk().mode = SimulatedDisk.Mode.GOOD;
            machine.thaw();
            machine.start(false);
        }
    }
}
