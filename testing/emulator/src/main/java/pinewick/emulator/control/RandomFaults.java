package pinewick.emulator.control;

import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** Injects random faults at random times, some immediately after an acknowledgement. */
final class RandomFaults {
    private static final int KINDS = 21;
    private static final int UNBOUNDED_KINDS = 23;

    private final SimulatedSystem system;
    private final FaultInjector faults;
    private final SplittableRandom random;
    private final double endMs;
    private final boolean unbounded;
    private final boolean followsAcknowledgements;
    private int lastAcknowledged;

    RandomFaults(SimulatedSystem system, SplittableRandom random, double endMs) {
        this.system = system;
        this.random = random;
        this.endMs = endMs;
        this.unbounded = random.nextDouble() < 0.4;
        this.followsAcknowledgements = random.nextBoolean();
        this.faults = new FaultInjector(system, random.split(), unbounded);
    }

    FaultInjector faults() {
        return faults;
    }

    void start(double firstMs) {
        system.after(firstMs, this::injectNext);
        if (followsAcknowledgements) {
            system.after(firstMs, this::injectAfterAcknowledgement);
        }
    }

    private void injectNext() {
        if (system.nowMs() < endMs) {
            inject(random.nextInt(unbounded ? UNBOUNDED_KINDS : KINDS));
            system.after(random.nextDouble(50, 2_200), this::injectNext);
        }
    }

    /** Injects a fault immediately after some acknowledgements. */
    private void injectAfterAcknowledgement() {
        if (system.nowMs() >= endMs) {
            return;
        }
        if (system.history().acknowledged() > lastAcknowledged && random.nextDouble() < 0.2) {
            switch (random.nextInt(4)) {
                case 0, 1 -> faults.wipeDuringPowerLoss();
                case 2 -> faults.killAll();
                default -> onPrimary(faults::kill);
            }
        }
        lastAcknowledged = system.history().acknowledged();
        system.after(1, this::injectAfterAcknowledgement);
    }

    private void inject(int kind) {
        switch (kind) {
            case 0, 1 -> onAnyController(faults::kill);
            case 2 -> onPrimary(faults::kill);
            case 3 -> faults.killAll();
            case 4 -> faults.forAnyFault(faults.anyController()).ifPresent(faults::wipe);
            case 5 -> faults.wipeDuringPowerLoss();
            case 6 -> onAnyController(machine -> faults.freeze(machine, random.nextDouble(100, 4_000)));
            case 7 -> onPrimary(machine -> faults.freeze(machine, random.nextDouble(100, 4_000)));
            case 8 -> onAnyController(machine -> faults.impairDisk(machine, SimulatedDisk.Mode.SLOW));
            case 9 -> onAnyController(machine -> faults.impairDisk(machine, SimulatedDisk.Mode.STALLED));
            case 10 -> onAnyController(machine -> faults.impairDisk(machine, SimulatedDisk.Mode.FULL));
            case 11 -> onPrimary(machine -> faults.impairDisk(machine, SimulatedDisk.Mode.STALLED));
            case 12 -> onAnyController(
                    machine -> faults.isolate(machine, random.nextDouble(100, 5_000), random.nextBoolean()));
            case 13 -> onAnyController(machine -> faults.isolateOneWay(machine, random.nextDouble(100, 5_000)));
            case 14 -> faults.forAnyFault(faults.anyController()).ifPresent(this::replace);
            case 15 -> onAnyController(faults::restartGracefully);
            case 16 -> system.primary().flatMap(faults::forAnyFault).ifPresent(this::replace);
            case 17 -> onPrimary(
                    machine -> faults.isolate(machine, random.nextDouble(500, 5_000), random.nextBoolean()));
            case 18 -> faults.stepClock(faults.anyController());
            case 19 -> system.routers()
                    .get(random.nextInt(system.routers().size()))
                    .restart();
            case 20 -> onPrimary(machine -> faults.delayReplies(machine, random.nextDouble(1_500, 4_000)));
            default -> faults.splitInTwo(random.nextDouble(100, 5_000));
        }
    }

    private void replace(ControllerMachine machine) {
        if (random.nextBoolean()) {
            faults.replacePlanned(machine, detached -> {});
        } else {
            faults.replaceUnplanned(machine);
        }
    }

    private void onAnyController(Consumer<ControllerMachine> fault) {
        faults.forDiskSparingFault(faults.anyController()).ifPresent(fault);
    }

    private void onPrimary(Consumer<ControllerMachine> fault) {
        Optional<ControllerMachine> primary = system.primary();
        primary.flatMap(faults::forDiskSparingFault).ifPresent(fault);
    }
}
