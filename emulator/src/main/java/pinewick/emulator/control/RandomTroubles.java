package pinewick.emulator.control;

import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** Troubles drawn by chance, at random times, some right after an acknowledgement. */
final class RandomTroubles {
    private static final int KINDS = 21;
    private static final int WILD_KINDS = 23;

    private final ControlWorld world;
    private final Faults faults;
    private final SplittableRandom random;
    private final double endMs;
    private final boolean wild;
    private final boolean triggered;
    private int seenAcknowledged;

    RandomTroubles(ControlWorld world, SplittableRandom random, double endMs) {
        this.world = world;
        this.random = random;
        this.endMs = endMs;
        this.wild = random.nextDouble() < 0.4;
        this.triggered = random.nextBoolean();
        this.faults = new Faults(world, random.split(), wild);
    }

    Faults faults() {
        return faults;
    }

    void begin(double firstMs) {
        world.after(firstMs, this::strike);
        if (triggered) {
            world.after(firstMs, this::watch);
        }
    }

    private void strike() {
        if (world.nowMs() < endMs) {
            trouble(random.nextInt(wild ? WILD_KINDS : KINDS));
            world.after(random.nextDouble(50, 2_200), this::strike);
        }
    }

    /** Some troubles come right after an acknowledgement. */
    private void watch() {
        if (world.nowMs() >= endMs) {
            return;
        }
        if (world.history().acknowledged() > seenAcknowledged && random.nextDouble() < 0.2) {
            switch (random.nextInt(4)) {
                case 0, 1 -> faults.wipeWhileTheOthersLosePower();
                case 2 -> faults.killAll();
                default -> toPrimary(faults::kill);
            }
        }
        seenAcknowledged = world.history().acknowledged();
        world.after(1, this::watch);
    }

    private void trouble(int kind) {
        switch (kind) {
            case 0, 1 -> toAnyone(faults::kill);
            case 2 -> toPrimary(faults::kill);
            case 3 -> faults.killAll();
            case 4 -> faults.calm(faults.anyone()).ifPresent(faults::wipe);
            case 5 -> faults.wipeWhileTheOthersLosePower();
            case 6 -> toAnyone(machine -> faults.freeze(machine, random.nextDouble(100, 4_000)));
            case 7 -> toPrimary(machine -> faults.freeze(machine, random.nextDouble(100, 4_000)));
            case 8 -> toAnyone(machine -> faults.disk(machine, SimulatedDisk.Mode.SLOW));
            case 9 -> toAnyone(machine -> faults.disk(machine, SimulatedDisk.Mode.STALLED));
            case 10 -> toAnyone(machine -> faults.disk(machine, SimulatedDisk.Mode.FULL));
            case 11 -> toPrimary(machine -> faults.disk(machine, SimulatedDisk.Mode.STALLED));
            case 12 -> toAnyone(machine -> faults.cutOff(machine, random.nextDouble(100, 5_000), random.nextBoolean()));
            case 13 -> toAnyone(machine -> faults.cutOneWay(machine, random.nextDouble(100, 5_000)));
            case 14 -> faults.calm(faults.anyone()).ifPresent(this::replace);
            case 15 -> toAnyone(faults::restartGracefully);
            case 16 -> world.primary().flatMap(faults::calm).ifPresent(this::replace);
            case 17 -> toPrimary(
                    machine -> faults.cutOff(machine, random.nextDouble(500, 5_000), random.nextBoolean()));
            case 18 -> faults.stepClock(faults.anyone());
            case 19 -> world.routers()
                    .get(random.nextInt(world.routers().size()))
                    .restart();
            case 20 -> toPrimary(machine -> faults.hearsLate(machine, random.nextDouble(1_500, 4_000)));
            default -> faults.cutInTwo(random.nextDouble(100, 5_000));
        }
    }

    private void replace(ControllerMachine machine) {
        if (random.nextBoolean()) {
            faults.replacePlanned(machine, detached -> {});
        } else {
            faults.replaceUnplanned(machine);
        }
    }

    private void toAnyone(Consumer<ControllerMachine> trouble) {
        faults.sparing(faults.anyone()).ifPresent(trouble);
    }

    private void toPrimary(Consumer<ControllerMachine> trouble) {
        Optional<ControllerMachine> primary = world.primary();
        primary.flatMap(faults::sparing).ifPresent(trouble);
    }
}
