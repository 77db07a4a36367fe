package pinewick.emulator.control;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.IntConsumer;
import java.util.function.IntSupplier;

/** Scenarios in which several controllers are lost or partitioned, within what the deployment must survive. */
final class ControllerLossScenarios {
    private static final double MAX_HALVES_MS = 5_000;
    private static final double MAX_MISSED_MS = 2_500;
    private static final double MAX_BETWEEN_HEAL_AND_KILL_MS = 30;

    /** A loss occurs at most this long before the SIGTERM of a planned shutdown. */
    private static final double LOSS_BEFORE_LEAVING_MS = 300;

    private static final double LOSS_AFTER_LEAVING_MS = 1_500;
    private static final double LOSS_AFTER_EXIT_MS = 60;
    private static final double MIN_SUCCESSOR_LEAD_MS = 200;
    private static final double MAX_SUCCESSOR_LEAD_MS = 2_500;
    private static final int MAX_LEAVING_STEPS = 150;

    private final SimulatedSystem system;
    private final FaultInjector faults;
    private final SplittableRandom random;
    private boolean diskLost;

    ControllerLossScenarios(SimulatedSystem system, SplittableRandom random) {
        this.system = system;
        this.random = random;
        this.faults = new FaultInjector(system, random.split(), true);
    }

    FaultInjector faults() {
        return faults;
    }

    /**
     * A controller shuts down as planned, in most runs permanently and after its successor has started; the disk of
     * another machine is lost shortly before, at any step of the shutdown, or right after the exit.
     */
    void lossWhileLeaving(double atMs) {
        system.after(atMs, () -> {
            List<ControllerMachine> present = system.present();
            ControllerMachine leaving = random.nextInt(3) == 0
                    ? system.primary().orElse(present.get(0))
                    : present.get(random.nextInt(present.size()));
            boolean isPermanent = random.nextInt(4) > 0;
            if (isPermanent) {
                faults.addSuccessor(leaving).start(false);
            }
            double leadMs = random.nextDouble(MIN_SUCCESSOR_LEAD_MS, MAX_SUCCESSOR_LEAD_MS);
            system.after(leadMs, () -> leave(leaving, isPermanent));
            drawLoss(leadMs, leaving);
        });
    }

    private void leave(ControllerMachine leaving, boolean isPermanent) {
        leaving.terminate(detached -> {
            if (isPermanent && detached) {
                leaving.remove();
                system.trace(leaving + " is removed permanently");
            } else {
                system.after(random.nextDouble(50, 1_500), () -> leaving.start(false));
            }
            system.after(random.nextDouble(LOSS_AFTER_EXIT_MS), () -> loseDisk(leaving));
        });
    }

    private void drawLoss(double leadMs, ControllerMachine leaving) {
        switch (random.nextInt(4)) {
            case 0 -> system.after(
                    Math.max(0, leadMs + random.nextDouble(-LOSS_BEFORE_LEAVING_MS, LOSS_AFTER_LEAVING_MS)),
                    () -> loseDisk(leaving));
            case 1, 2 -> system.after(leadMs, () -> {
                int step = random.nextInt(MAX_LEAVING_STEPS);
                system.onControllerMessages(countdown(step, () -> loseDisk(leaving)));
            });
            default -> system.trace("the loss follows the exit");
        }
    }

    private static IntConsumer countdown(int steps, Runnable task) {
        return count -> {
            if (count == steps) {
                task.run();
            }
        };
    }

    private void loseDisk(ControllerMachine except) {
        if (diskLost) {
            return;
        }
        diskLost = true;
        List<ControllerMachine> others = new ArrayList<>(system.present());
        others.remove(except);
        faults.wipe(others.get(random.nextInt(others.size())));
    }

    /** The controllers are partitioned into two groups; in some runs disks are lost meanwhile. */
    void halves(double fromMs, double untilMs) {
        system.after(fromMs, () -> {
            if (system.nowMs() >= untilMs) {
                return;
            }
            double durationMs = random.nextDouble(100, MAX_HALVES_MS);
            faults.splitInTwo(durationMs);
            if (random.nextBoolean() && !diskLost) {
                diskLost = true;
                system.after(random.nextDouble(durationMs), () -> wipeSome(shuffled(system.present())));
            }
            halves(durationMs + random.nextDouble(10, 1_500), untilMs);
        });
    }

    private List<ControllerMachine> shuffled(List<ControllerMachine> machines) {
        List<ControllerMachine> shuffled = new ArrayList<>(machines);
        Collections.shuffle(shuffled, new Random(random.nextLong()));
        return shuffled;
    }

    /** Wipes as many disks as the deployment tolerates to lose. */
    private void wipeSome(List<ControllerMachine> machines) {
        machines.stream().limit(system.toleratedMachines()).forEach(faults::wipe);
    }

    /** A minority misses changes; right after the partition has healed the processes of all others are killed. */
    void relievedMinority(double fromMs, double untilMs) {
        system.after(fromMs, () -> {
            if (system.nowMs() >= untilMs) {
                return;
            }
            List<ControllerMachine> machines = shuffled(system.present());
            List<ControllerMachine> minority = machines.subList(0, system.toleratedMachines());
            List<ControllerMachine> others = machines.subList(system.toleratedMachines(), machines.size());
            double durationMs = random.nextDouble(500, MAX_MISSED_MS);
            minority.forEach(machine -> faults.isolate(machine, durationMs, random.nextBoolean()));
            system.after(
                    durationMs + random.nextDouble(MAX_BETWEEN_HEAL_AND_KILL_MS),
                    () -> others.forEach(machine -> {
                        machine.resume();
                        faults.kill(machine, random.nextDouble(50, 2_000));
                    }));
            relievedMinority(durationMs + random.nextDouble(2_500, 4_500), untilMs);
        });
    }

    /**
     * A minority misses changes. Then as many others lose their disks and the rest is without power until after the
     * partition has healed.
     */
    void minorityBehind(double atMs) {
        system.after(atMs, () -> {
            List<ControllerMachine> machines = shuffled(system.present());
            int tolerated = system.toleratedMachines();
            double missedMs = random.nextDouble(500, MAX_MISSED_MS);
            double powerlessMs = random.nextDouble(500, 3_000);
            machines.subList(0, tolerated)
                    .forEach(machine ->
                            faults.isolate(machine, missedMs + powerlessMs * random.nextDouble(0.5, 1), false));
            system.after(missedMs, () -> {
                machines.subList(tolerated, 2 * tolerated).forEach(machine -> faults.wipe(machine, powerlessMs));
                machines.subList(2 * tolerated, machines.size()).forEach(machine -> faults.kill(machine, powerlessMs));
            });
        });
    }

    /**
     * Right after an acknowledgement, of a configuration or of a replica's removal, every controller and router loses
     * power, and some controllers their disks.
     */
    void powerLoss(double atMs) {
        IntSupplier acknowledgements =
                random.nextBoolean() ? system.history()::acknowledged : system.fleetChecker()::removalsAcknowledged;
        system.after(atMs, () -> awaitAcknowledgement(acknowledgements, acknowledgements.getAsInt()));
    }

    private void awaitAcknowledgement(IntSupplier acknowledgements, int previousCount) {
        if (acknowledgements.getAsInt() == previousCount) {
            system.after(1, () -> awaitAcknowledgement(acknowledgements, previousCount));
            return;
        }
        system.trace("all controllers and routers lose power");
        List<ControllerMachine> machines = shuffled(system.present());
        machines.forEach(ControllerMachine::resume);
        machines.stream().skip(system.toleratedMachines()).forEach(machine -> faults.kill(machine));
        wipeSome(machines);
        system.routers().forEach(RouterMachine::restart);
    }
}
