package pinewick.emulator.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** Plays one run from its seed: founds a system, troubles it, heals it, and checks what it saw. */
public final class ControlDay {
    private static final double TROUBLE_FROM_MS = 2_000;
    private static final double TROUBLE_FOR_MS = 8_000;
    private static final double RECOVERY_MS = ControlWorld.CONTACT_MS + ControlWorld.CONFIG_APPLY_MS;
    private static final double READ_PERIOD_MS = 150;
    private static final double KILL_AFTER_END_SHARE = 0.1;

    /** The combinations of troubles, one after the other by seed. */
    private enum Plan {
        RANDOM,
        LONG_CUT,
        RANDOM_AGAIN,
        SECOND_LOSS,
        PRIMARY_LOSSES,
        HAND_OVER,
        LATE_ANSWERS,
        LAGGARDS_FIRST
    }

    private final long seed;
    private final SplittableRandom random;
    private final ControlWorld world;
    private final Plan plan;
    private final Operator first;
    private final Operator second;
    private final List<Double> probeAfterMs = new ArrayList<>();
    private List<Double> repairedAfterMs = List.of();
    private double endMs = TROUBLE_FROM_MS + TROUBLE_FOR_MS;

    private ControlDay(long seed, BrokenVariant variant, boolean traced) {
        this.seed = seed;
        this.random = new SplittableRandom(seed);
        boolean large = seed % 4 == 3;
        plan = Plan.values()[(int) Math.floorMod(seed / 4, Plan.values().length)];
        world = new ControlWorld(random.nextLong(), large ? 2 : 1, variant.sabotage(), traced);
        switch (random.nextInt(6)) {
            case 0 -> world.linkQuality(0, random.nextDouble(0.05), random.nextDouble(0.2), 0.5);
            case 1, 2 -> world.linkQuality(
                    random.nextDouble(0.05), random.nextDouble(0.05), random.nextDouble(0.05), 0.1);
            default -> world.linkQuality(0, random.nextDouble(0.05), 0, 0);
        }
        int controllers = large ? 5 : 3 + (seed % 8 == 5 ? 1 : 0);
        world.found(controllers, 2, 2);
        first = operator(1);
        second = operator(2);
        first.partner(second);
        second.partner(first);
    }

    private Operator operator(int number) {
        Operator operator = new Operator(world, number, random.split());
        operator.loseAnswers(plan == Plan.PRIMARY_LOSSES ? 0.7 : random.nextBoolean() ? 0.02 : 0.3);
        operator.sendLongDocuments(random.nextInt(6) == 0 ? 0.08 : 0);
        operator.pace(plan == Plan.LONG_CUT || plan == Plan.LATE_ANSWERS ? 1_200 : 500);
        return operator;
    }

    /**
     * Plays a run.
     *
     * @param variant what is broken deliberately
     * @param traced whether events are kept
     */
    public static DayResult play(long seed, BrokenVariant variant, boolean traced) {
        ControlDay day = new ControlDay(seed, variant, traced);
        Optional<InvariantViolation> violation = day.run();
        violation
                .filter(broken -> day.world.firstViolation().isEmpty())
                .ifPresent(broken -> day.world.note("BROKEN " + broken.getMessage()));
        List<Double> after = new ArrayList<>(day.first.acknowledgedAfterMs());
        after.addAll(day.second.acknowledgedAfterMs());
        HistoryChecker history = day.world.history();
        return new DayResult(
                seed,
                violation,
                history.acknowledged(),
                history.refused(),
                history.reads(),
                day.world.fleetChecker().endsAcknowledged(),
                after,
                day.probeAfterMs,
                day.repairedAfterMs,
                day.world.trace());
    }

    private Optional<InvariantViolation> run() {
        try {
            trouble();
            return world.firstViolation();
        } catch (InvariantViolation violation) {
            return world.firstViolation().or(() -> Optional.of(violation));
        } catch (RuntimeException failure) {
            world.note("FAILED " + failure);
            InvariantViolation violation = new InvariantViolation(Invariant.NO_FAILURE, failure.toString());
            violation.initCause(failure);
            return Optional.of(violation);
        }
    }

    private void trouble() {
        Faults faults = begin();
        world.after(500, () -> first.work(endMs));
        world.after(700, () -> second.work(endMs));
        world.time().runUntil(endMs);
        faults.heal();
        world.linkQuality(0, 0, 0, 0);
        world.time().runUntil(endMs + RECOVERY_MS);
        faults.heal();
        world.fleetChecker().requireAllCurrent(world.history().newestAcknowledged());
        endCalmly();
        LinearizabilityChecker.check(world.history().calls(), world.history().chain());
    }

    private Faults begin() {
        if (plan == Plan.RANDOM || plan == Plan.RANDOM_AGAIN) {
            RandomTroubles troubles = new RandomTroubles(world, random.split(), endMs);
            ForcedTroubles ofReplicas = new ForcedTroubles(world, random.split());
            ofReplicas.restlessReplicas(TROUBLE_FROM_MS, endMs);
            ofReplicas.killAfterEnds(random.nextBoolean() ? KILL_AFTER_END_SHARE : 0, endMs);
            troubles.begin(TROUBLE_FROM_MS);
            return troubles.faults();
        }
        ForcedTroubles troubles = new ForcedTroubles(world, random.split());
        repairedAfterMs = troubles.repairedAfterMs();
        switch (plan) {
            case LONG_CUT -> longCut(troubles);
            case SECOND_LOSS -> troubles.secondLoss(random.nextDouble(TROUBLE_FROM_MS, 4_000));
            case LAGGARDS_FIRST -> troubles.laggardsReturnFirst(random.nextDouble(TROUBLE_FROM_MS, 4_000));
            case LATE_ANSWERS -> lateAnswers(troubles);
            case HAND_OVER -> troubles.lossAfterHandOver(random.nextDouble(TROUBLE_FROM_MS, 4_000));
            default -> troubles.primaryLosses(TROUBLE_FROM_MS, endMs);
        }
        troubles.restlessReplicas(TROUBLE_FROM_MS, endMs);
        return troubles.faults();
    }

    /** Operators that read often, at every controller, while one hears answers of long ago. */
    private void lateAnswers(ForcedTroubles troubles) {
        troubles.lateAnswers(random.nextDouble(TROUBLE_FROM_MS, 3_000));
        Operator reader = new Operator(world, 5, random.split());
        world.after(TROUBLE_FROM_MS, () -> readOften(reader));
    }

    private void readOften(Operator reader) {
        if (world.nowMs() < endMs) {
            if (!reader.busy()) {
                reader.read(() -> {});
            }
            world.after(random.nextDouble(READ_PERIOD_MS), () -> readOften(reader));
        }
    }

    private void longCut(ForcedTroubles troubles) {
        double atMs = random.nextDouble(TROUBLE_FROM_MS, 4_000);
        troubles.longCut(atMs);
        endMs = atMs + ForcedTroubles.LONG_CUT_MS + 2_000;
        Operator prober = new Operator(world, 3, random.split());
        world.after(atMs + ControlWorld.CONTACT_MS, () -> probe(prober, troubles, atMs + ForcedTroubles.LONG_CUT_MS));
    }

    /** While a controller is cut off, a change by an operator that reaches both sides. */
    private void probe(Operator prober, ForcedTroubles troubles, double untilMs) {
        double beganMs = world.nowMs();
        if (beganMs + ControlWorld.ACK_MS >= untilMs) {
            return;
        }
        boolean[] answered = new boolean[1];
        prober.submit(
                prober.validChange(),
                () -> {
                    answered[0] = true;
                    probeAfterMs.add(world.nowMs() - beganMs);
                },
                () -> answered[0] = true);
        world.after(ControlWorld.ACK_MS, () -> {
            boolean excused = !troubles.onlyCutBetween(beganMs, world.nowMs());
            InvariantViolation.require(
                    excused || answered[0],
                    Invariant.ACKNOWLEDGED_IN_TIME,
                    "beside a controller that is cut off, a change has no answer in " + ControlWorld.ACK_MS + " ms");
            probe(prober, troubles, untilMs);
        });
    }

    /** When nothing is amiss any more, a change is taken and read back. */
    private void endCalmly() {
        Operator last = new Operator(world, 4, random.split());
        long acknowledged = world.history().newestAcknowledged();
        boolean[] ended = new boolean[3];
        last.read(() -> ended[0] = true);
        await(ended, 0, Invariant.READ_IN_TIME, "a read");
        InvariantViolation.require(
                world.history().newestInForce() >= acknowledged,
                Invariant.ACKNOWLEDGED_IS_KEPT,
                "version " + acknowledged + " is lost");
        last.submit(last.validChange(), () -> ended[1] = true);
        await(ended, 1, Invariant.ACKNOWLEDGED_IN_TIME, "a change");
        last.read(() -> ended[2] = true);
        await(ended, 2, Invariant.READ_IN_TIME, "a read");
    }

    private void await(boolean[] ended, int step, Invariant invariant, String what) {
        double tookMs = world.time().runUntil(() -> ended[step], ControlWorld.ACK_MS);
        InvariantViolation.require(
                !Double.isNaN(tookMs), invariant, what + " has no answer in " + ControlWorld.ACK_MS + " ms");
    }
}
