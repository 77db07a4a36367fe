package pinewick.emulator.control;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** Troubles that are brought about in a fixed combination, at random moments. */
final class ForcedTroubles {
    static final double LONG_CUT_MS = 20_000;

    private final ControlWorld world;
    private final Faults faults;
    private final SplittableRandom random;

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
            world.after(random.nextDouble(4_000, 15_000), () -> briefTroubleWithin(target));
        });
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

    /**
     * A disk is wiped, and as soon as its process has been back for {@code repairMs} another one is lost for good; with
     * f = 2 two are wiped one right after the other first.
     */
    void secondLoss(double atMs, double repairMs) {
        world.after(atMs, () -> {
            List<ControllerMachine> present = world.present();
            int first = random.nextInt(present.size());
            int second = (first + 1 + random.nextInt(present.size() - 1)) % present.size();
            double downMs = random.nextDouble(50, 800);
            faults.wipe(present.get(first), downMs);
            world.after(downMs + repairMs, () -> {
                if (random.nextBoolean()) {
                    faults.wipe(present.get(second));
                } else {
                    faults.replaceUnplanned(present.get(second));
                }
            });
        });
    }

    /**
     * A planned replacement, the new machine there first; another disk is lost some time after the old one has handed
     * over.
     */
    void lossAfterHandOver(double atMs, double repairMs) {
        world.after(atMs, () -> {
            ControllerMachine leaving = target();
            faults.replacePlanned(leaving, detached -> {
                if (detached) {
                    world.after(repairMs, () -> faults.wipe(faults.anyone()));
                }
            });
        });
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
        switch (random.nextInt(4)) {
            case 0 -> faults.kill(primary);
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
