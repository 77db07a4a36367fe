package pinewick.emulator.control;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;

/** Fixed combinations of faults, at random times. */
final class FaultScenarios {
    static final double LONG_PARTITION_MS = 20_000;

    private static final double UNDISTURBED_PARTITION_MS = 9_000;
    /** After this time the second fault and its effects have ended. */
    private static final double SECOND_FAULT_MS = 3_000 + SimulatedSystem.CONTACT_MS;

    private static final double LAG_MS = 1_600;

    private static final double REPAIR_POLL_MS = 10;
    /** A primary detects a loss by a time-out, and does not report it earlier. */
    private static final double REPORT_LAG_MS = 700;

    private static final double MAX_REPAIR_MS = 5_000;

    private final SimulatedSystem system;
    private final FaultInjector faults;
    private final SplittableRandom random;
    private double secondFaultAtMs = Double.POSITIVE_INFINITY;
    private final List<Double> repairTimesMs = new ArrayList<>();

    FaultScenarios(SimulatedSystem system, SplittableRandom random) {
        this.system = system;
        this.random = random;
        this.faults = new FaultInjector(system, random.split(), true);
    }

    FaultInjector faults() {
        return faults;
    }

    /**
     * A controller is partitioned for twenty seconds, from the other controllers only or from all; replicas prefer it,
     * a router starts on its side, and one more fault that a majority tolerates occurs meanwhile.
     */
    void longPartition(double atMs) {
        system.after(atMs, () -> {
            ControllerMachine target = target();
            if (random.nextInt(4) == 0) {
                faults.isolateOneWay(target, LONG_PARTITION_MS);
            } else {
                faults.isolate(target, LONG_PARTITION_MS, random.nextBoolean());
            }
            if (random.nextBoolean()) {
                system.replicas()
                        .forEach(replica -> replica.preferController(target, system.nowMs() + LONG_PARTITION_MS));
            }
            if (random.nextBoolean()) {
                limitRouterToController(target);
            }
            double secondFaultDelayMs = random.nextDouble(UNDISTURBED_PARTITION_MS, 15_000);
            secondFaultAtMs = system.nowMs() + secondFaultDelayMs;
            system.after(secondFaultDelayMs, () -> injectSecondFault(target));
        });
    }

    /** Whether the long partition was the only fault of the controllers in a past interval. */
    boolean isOnlyPartitionBetween(double fromMs, double toMs) {
        return toMs < secondFaultAtMs || fromMs > secondFaultAtMs + SECOND_FAULT_MS;
    }

    /** The primary, the first machine, or any machine. */
    private ControllerMachine target() {
        List<ControllerMachine> present = system.present();
        return switch (random.nextInt(3)) {
            case 0 -> system.primary().orElse(present.get(0));
            case 1 -> present.get(0);
            default -> present.get(random.nextInt(present.size()));
        };
    }

    /** A router restarts and reaches only the partitioned controller for some seconds. */
    private void limitRouterToController(ControllerMachine target) {
        RouterMachine router = system.routers().get(0);
        double durationMs = random.nextDouble(2_000, 12_000);
        for (ControllerMachine other : system.present()) {
            if (other != target) {
                faults.partitionBothWays(router.host(), other.host(), durationMs);
            }
        }
        system.routers().stream()
                .filter(other -> other != router)
                .forEach(other -> faults.partitionBothWays(router.host(), other.host(), durationMs));
        system.after(random.nextDouble(0, 1_000), router::restart);
    }

    private void injectSecondFault(ControllerMachine isolated) {
        Optional<ControllerMachine> other = system.present().stream()
                .filter(machine -> machine != isolated && machine.isRunning())
                .reduce((first, second) -> random.nextBoolean() ? first : second);
        other.ifPresent(machine -> {
            switch (random.nextInt(4)) {
                case 0 -> faults.kill(machine);
                case 1 -> faults.freeze(machine, random.nextDouble(500, 3_000));
                case 2 -> isolated.kill();
                default -> system.trace("no second fault");
            }
        });
    }

    /** A disk is wiped, and once the primary reports as many tolerable losses as before, another one is lost. */
    void secondLoss(double atMs) {
        system.after(atMs, () -> {
            List<ControllerMachine> present = system.present();
            int first = random.nextInt(present.size());
            int second = (first + 1 + random.nextInt(present.size() - 1)) % present.size();
            double downMs = random.nextDouble(50, 800);
            faults.wipe(present.get(first), downMs);
            whenRepaired(downMs, Math.max(downMs, REPORT_LAG_MS), () -> {
                if (random.nextBoolean()) {
                    faults.wipe(present.get(second));
                } else {
                    faults.replaceUnplanned(present.get(second));
                }
            });
        });
    }

    /**
     * A planned replacement, in which the new machine starts first. Once the old one has handed over and the primary
     * reports as many tolerable losses as before, another disk is lost.
     */
    void lossAfterHandover(double atMs) {
        system.after(
                atMs,
                () -> faults.replacePlanned(
                        target(),
                        detached -> whenRepaired(0, REPORT_LAG_MS, () -> faults.wipe(faults.anyController()))));
    }

    /**
     * Runs a task as soon as the primary reports as many tolerable losses as required.
     *
     * @param returnMs after which time the lost store returns
     * @param pollDelayMs after which time polling starts: the primary detects a loss only by a time-out
     */
    private void whenRepaired(double returnMs, double pollDelayMs, Runnable task) {
        double returnsAtMs = system.nowMs() + returnMs;
        system.after(pollDelayMs, () -> awaitRepaired(returnsAtMs, task));
    }

    private void awaitRepaired(double sinceMs, Runnable task) {
        if (tolerableLosses() >= system.toleratedMachines()) {
            repairTimesMs.add(system.nowMs() - sinceMs);
            system.trace("repaired after " + (long) (system.nowMs() - sinceMs) + " ms");
            task.run();
        } else if (system.nowMs() - sinceMs < MAX_REPAIR_MS) {
            system.after(REPAIR_POLL_MS, () -> awaitRepaired(sinceMs, task));
        }
    }

    private int tolerableLosses() {
        return system.primary()
                .flatMap(ControllerMachine::process)
                .map(process ->
                        process.report().faultTolerance().tolerableLosses().orElse(0))
                .orElse(0);
    }

    /** The duration of each repair. */
    List<Double> repairTimesMs() {
        return repairTimesMs;
    }

    /**
     * As many members as may be lost are partitioned while changes are accepted. Then as many others lose their disks
     * and the rest lose power, and the partitioned ones return first: what was acknowledged meanwhile is only on disks
     * that are not available yet.
     */
    void staleMembersReturnFirst(double atMs) {
        system.after(atMs, () -> system.primary().ifPresent(primary -> {
            List<ControllerMachine> others = new ArrayList<>(system.present());
            others.remove(primary);
            Collections.shuffle(others, new Random(random.nextLong()));
            int tolerated = system.toleratedMachines();
            List<ControllerMachine> stale = others.subList(0, tolerated);
            List<ControllerMachine> wiped = others.subList(tolerated, 2 * tolerated);
            List<ControllerMachine> poweredOff = new ArrayList<>(others.subList(2 * tolerated, others.size()));
            poweredOff.add(primary);
            stale.forEach(machine -> faults.isolate(machine, LAG_MS, false));
            system.after(LAG_MS - 50, () -> {
                wiped.forEach(machine -> faults.wipe(machine, random.nextDouble(50, 300)));
                poweredOff.forEach(machine -> faults.kill(machine, random.nextDouble(2_000, 3_500)));
            });
        }));
    }

    /** Replies to the primary are delayed; afterwards its own messages are lost. */
    void delayedReplies(double atMs) {
        system.after(atMs, () -> system.primary()
                .ifPresent(primary -> faults.delayReplies(primary, random.nextDouble(2_500, 4_000))));
    }

    /** The primary fails repeatedly, in different ways. */
    void primaryLosses(double fromMs, double toMs) {
        system.after(fromMs, () -> {
            if (system.nowMs() < toMs) {
                system.primary().ifPresent(this::losePrimary);
                primaryLosses(random.nextDouble(1_500, 3_500), toMs);
            }
        });
    }

    private void losePrimary(ControllerMachine primary) {
        switch (random.nextInt(5)) {
            case 0 -> faults.kill(primary);
            case 3 -> faults.delayReplies(primary, random.nextDouble(1_500, 3_000));
            case 1 -> faults.freeze(primary, random.nextDouble(700, 3_000));
            case 2 -> faults.isolate(primary, random.nextDouble(700, 3_000), true);
            default -> faults.restartGracefully(primary);
        }
    }

    /** Some controllers lose power immediately after they have acknowledged a removal. */
    void killAfterRemovals(double probability, double untilMs) {
        system.fleetChecker().onFirstAcknowledged(controller -> {
            if (system.nowMs() < untilMs && random.nextDouble() < probability) {
                system.after(0.5, () -> faults.forDiskSparingFault(controller).ifPresent(faults::kill));
            }
        });
    }

    /** Replicas drain, deregister or crash at random. */
    void churnReplicas(double fromMs, double toMs) {
        system.after(fromMs, () -> {
            if (system.nowMs() < toMs) {
                ReplicaActor replica =
                        system.replicas().get(random.nextInt(system.replicas().size()));
                switch (random.nextInt(4)) {
                    case 0, 1 -> replica.drain();
                    case 2 -> replica.deregisterWithoutDrain();
                    default -> replica.crash();
                }
                churnReplicas(random.nextDouble(200, 1_500), toMs);
            }
        });
    }
}
