package pinewick.emulator.control;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;

/** Troubles that are brought about in a fixed combination, at random moments. */
final class ForcedTroubles {
    static final double LONG_CUT_MS = 20_000;

    private static final double CALM_CUT_MS = 9_000;
    /** The other trouble has ended, and is over with, so long after its beginning. */
    private static final double MEANWHILE_MS = 3_000 + ControlWorld.CONTACT_MS;

    private static final double LAG_MS = 1_600;

    private static final double REPAIR_LOOK_MS = 10;
    /** A primary notices a loss by silence, and reports it no sooner. */
    private static final double REPORT_LAG_MS = 700;

    private static final double LONGEST_REPAIR_MS = 5_000;

    private final ControlWorld world;
    private final Faults faults;
    private final SplittableRandom random;
    private double meanwhileAtMs = Double.POSITIVE_INFINITY;
    private final List<Double> repairedAfterMs = new ArrayList<>();

    ForcedTroubles(ControlWorld world, SplittableRandom random) {
        this.world = world;
        this.random = random;
        this.faults = new Faults(world, random.split(), true);
    }

    Faults faults() {
        return faults;
    }

    /**
     * A controller is cut off for twenty seconds, from the other controllers alone or from all; replicas are lured to
     * it, routers start beside it, and one more trouble that a majority bears comes meanwhile.
     */
    void longCut(double atMs) {
        world.after(atMs, () -> {
            ControllerMachine target = target();
            if (random.nextInt(4) == 0) {
                faults.cutOneWay(target, LONG_CUT_MS);
            } else {
                faults.cutOff(target, LONG_CUT_MS, random.nextBoolean());
            }
            if (random.nextBoolean()) {
                world.replicas().forEach(replica -> replica.lureTo(target, world.nowMs() + LONG_CUT_MS));
            }
            if (random.nextBoolean()) {
                strandRouter(target);
            }
            double meanwhileMs = random.nextDouble(CALM_CUT_MS, 15_000);
            meanwhileAtMs = world.nowMs() + meanwhileMs;
            world.after(meanwhileMs, () -> briefTroubleWithin(target));
        });
    }

    /** Whether nothing but the long cut troubled the controllers in a span that is over. */
    boolean onlyCutBetween(double fromMs, double toMs) {
        return toMs < meanwhileAtMs || fromMs > meanwhileAtMs + MEANWHILE_MS;
    }

    /** The primary, the first machine, or any. */
    private ControllerMachine target() {
        List<ControllerMachine> present = world.present();
        return switch (random.nextInt(3)) {
            case 0 -> world.primary().orElse(present.get(0));
            case 1 -> present.get(0);
            default -> present.get(random.nextInt(present.size()));
        };
    }

    /** A router starts anew and reaches the cut-off controller alone for some seconds. */
    private void strandRouter(ControllerMachine target) {
        RouterMachine router = world.routers().get(0);
        double forMs = random.nextDouble(2_000, 12_000);
        for (ControllerMachine other : world.present()) {
            if (other != target) {
                faults.cutBothWays(router.host(), other.host(), forMs);
            }
        }
        world.routers().stream()
                .filter(other -> other != router)
                .forEach(other -> faults.cutBothWays(router.host(), other.host(), forMs));
        world.after(random.nextDouble(0, 1_000), router::restart);
    }

    private void briefTroubleWithin(ControllerMachine cutOff) {
        Optional<ControllerMachine> other = world.present().stream()
                .filter(machine -> machine != cutOff && machine.running())
                .reduce((first, second) -> random.nextBoolean() ? first : second);
        other.ifPresent(machine -> {
            switch (random.nextInt(4)) {
                case 0 -> faults.kill(machine);
                case 1 -> faults.freeze(machine, random.nextDouble(500, 3_000));
                case 2 -> cutOff.kill();
                default -> world.note("nothing else happens");
            }
        });
    }

    /** A disk is wiped, and once the primary says that as many losses are borne as before, another one is lost. */
    void secondLoss(double atMs) {
        world.after(atMs, () -> {
            List<ControllerMachine> present = world.present();
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
     * A planned replacement, the new machine there first; once the old one has handed over, and the primary says that
     * as many losses are borne as before, another disk is lost.
     */
    void lossAfterHandOver(double atMs) {
        world.after(
                atMs,
                () -> faults.replacePlanned(
                        target(), detached -> whenRepaired(0, REPORT_LAG_MS, () -> faults.wipe(faults.anyone()))));
    }

    /**
     * Runs a task as soon as the primary says that the system bears as many losses as are tolerated.
     *
     * @param returnMs when the lost store returns
     * @param lookMs from when on the primary is asked: it notices a loss by silence
     */
    private void whenRepaired(double returnMs, double lookMs, Runnable task) {
        double returnsAtMs = world.nowMs() + returnMs;
        world.after(lookMs, () -> awaitRepaired(returnsAtMs, task));
    }

    private void awaitRepaired(double sinceMs, Runnable task) {
        if (bornLosses() >= world.toleratedMachines()) {
            repairedAfterMs.add(world.nowMs() - sinceMs);
            world.note("repaired after " + (long) (world.nowMs() - sinceMs) + " ms");
            task.run();
        } else if (world.nowMs() - sinceMs < LONGEST_REPAIR_MS) {
            world.after(REPAIR_LOOK_MS, () -> awaitRepaired(sinceMs, task));
        }
    }

    private int bornLosses() {
        return world.primary()
                .flatMap(ControllerMachine::life)
                .map(life -> life.report().faultTolerance().tolerableLosses().orElse(0))
                .orElse(0);
    }

    /** How long each repair took. */
    List<Double> repairedAfterMs() {
        return repairedAfterMs;
    }

    /**
     * As many members as may be lost are cut off while changes go on. Then as many others lose their disks and the
     * rest lose power, and those who were cut off are the first to be there again: what was acknowledged meanwhile is
     * only on disks that are away.
     */
    void laggardsReturnFirst(double atMs) {
        world.after(atMs, () -> world.primary().ifPresent(primary -> {
            List<ControllerMachine> others = new ArrayList<>(world.present());
            others.remove(primary);
            Collections.shuffle(others, new Random(random.nextLong()));
            int tolerated = world.toleratedMachines();
            List<ControllerMachine> laggards = others.subList(0, tolerated);
            List<ControllerMachine> wiped = others.subList(tolerated, 2 * tolerated);
            List<ControllerMachine> powerless = new ArrayList<>(others.subList(2 * tolerated, others.size()));
            powerless.add(primary);
            laggards.forEach(machine -> faults.cutOff(machine, LAG_MS, false));
            world.after(LAG_MS - 50, () -> {
                wiped.forEach(machine -> faults.wipe(machine, random.nextDouble(50, 300)));
                powerless.forEach(machine -> faults.kill(machine, random.nextDouble(2_000, 3_500)));
            });
        }));
    }

    /** The primary hears answers late, then is cut off outward. */
    void lateAnswers(double atMs) {
        world.after(atMs, () -> world.primary()
                .ifPresent(primary -> faults.hearsLate(primary, random.nextDouble(2_500, 4_000))));
    }

    /** The primary goes away again and again, in one way or another. */
    void primaryLosses(double fromMs, double toMs) {
        world.after(fromMs, () -> {
            if (world.nowMs() < toMs) {
                world.primary().ifPresent(this::losePrimary);
                primaryLosses(random.nextDouble(1_500, 3_500), toMs);
            }
        });
    }

    private void losePrimary(ControllerMachine primary) {
        switch (random.nextInt(5)) {
            case 0 -> faults.kill(primary);
            case 3 -> faults.hearsLate(primary, random.nextDouble(1_500, 3_000));
            case 1 -> faults.freeze(primary, random.nextDouble(700, 3_000));
            case 2 -> faults.cutOff(primary, random.nextDouble(700, 3_000), true);
            default -> faults.restartGracefully(primary);
        }
    }

    /** Some controllers lose power right after they have acknowledged the end of a replica. */
    void killAfterEnds(double share, double untilMs) {
        world.fleetChecker().onFirstAcknowledged(by -> {
            if (world.nowMs() < untilMs && random.nextDouble() < share) {
                world.after(0.5, () -> faults.sparing(by).ifPresent(faults::kill));
            }
        });
    }

    /** Replicas end in every way while controllers come and go one at a time. */
    void restlessReplicas(double fromMs, double toMs) {
        world.after(fromMs, () -> {
            if (world.nowMs() < toMs) {
                ReplicaActor replica =
                        world.replicas().get(random.nextInt(world.replicas().size()));
                switch (random.nextInt(4)) {
                    case 0, 1 -> replica.drain();
                    case 2 -> replica.deregisterFirst();
                    default -> replica.crash();
                }
                restlessReplicas(random.nextDouble(200, 1_500), toMs);
            }
        });
    }
}
