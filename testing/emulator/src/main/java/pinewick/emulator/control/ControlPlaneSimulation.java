package pinewick.emulator.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** Simulates one run from its seed: starts a system, injects faults, heals them, and checks the invariants. */
public final class ControlPlaneSimulation {
    private static final double FAULTS_FROM_MS = 2_000;
    private static final double FAULTS_DURATION_MS = 8_000;
    private static final double RECOVERY_MS = SimulatedSystem.CONTACT_MS + SimulatedSystem.CONFIG_APPLY_MS;
    private static final double MAX_READ_INTERVAL_MS = 150;
    private static final int BUSY_EVERY_SEEDS = 50;
    private static final int BUSY_SEED = 17;
    private static final double BUSY_INTERVAL_MS = 15;
    private static final double KILL_AFTER_REMOVAL_PROBABILITY = 0.1;

    private final SplittableRandom random;
    private final SimulatedSystem system;
    private final long seed;
    private final Scenario scenario;
    private final boolean cleanLinks;
    private final Operator first;
    private final Operator second;
    private final List<Double> changeLatenciesMs = new ArrayList<>();
    private List<Double> repairTimesMs = List.of();
    private double endMs = FAULTS_FROM_MS + FAULTS_DURATION_MS;

    private ControlPlaneSimulation(long seed, Scenario scenario, Mutant mutant, boolean isTraced) {
        this.seed = seed;
        this.scenario = scenario;
        this.random = new SplittableRandom(seed);
        boolean large = seed % 4 == 3;
        system = new SimulatedSystem(random.nextLong(), large ? 2 : 1, mutant.newMutation(), isTraced);
        switch (random.nextInt(6)) {
            case 0 -> system.setLinkQuality(0, random.nextDouble(0.05), random.nextDouble(0.2), 0.5);
            case 1, 2 -> system.setLinkQuality(
                    random.nextDouble(0.05), random.nextDouble(0.05), random.nextDouble(0.05), 0.1);
            default -> system.setLinkQuality(0, random.nextDouble(0.05), 0, 0);
        }
        cleanLinks = system.hasCleanLinks();
        int controllers = large ? 5 : 3 + (seed % 8 == 5 ? 1 : 0);
        system.startAll(controllers, 2, 2);
        first = operator(1);
        second = operator(2);
        first.setPartner(second);
        second.setPartner(first);
    }

    private Operator operator(int number) {
        Operator operator = new Operator(system, number, random.split());
        operator.loseResponses(scenario == Scenario.PRIMARY_LOSSES ? 0.7 : random.nextBoolean() ? 0.02 : 0.3);
        operator.sendLongDocuments(random.nextInt(6) == 0 ? 0.08 : 0);
        operator.setMeanIntervalMs(
                scenario == Scenario.LONG_PARTITION || scenario == Scenario.DELAYED_REPLIES ? 1_200 : 500);
        if (isBusy(seed)) {
            operator.loseResponses(0);
            operator.setMeanIntervalMs(BUSY_INTERVAL_MS);
        }
        return operator;
    }

    /** In some runs operators change the configuration so often that snapshots are made with hundreds of changes. */
    static boolean isBusy(long seed) {
        return Math.floorMod(seed, BUSY_EVERY_SEEDS) == BUSY_SEED;
    }

    /** The scenario of a seed; the scenarios alternate over consecutive seeds. */
    public static Scenario scenarioOf(long seed) {
        List<Scenario> scenarios = Scenario.inTurn();
        return scenarios.get((int) Math.floorMod(seed / 4, scenarios.size()));
    }

    /**
     * Simulates a run in the scenario of the mutant, or by default in that of the seed; see
     * {@link #run(long, Scenario, Mutant, boolean)}.
     */
    public static SimulationResult run(long seed, Mutant mutant, boolean isTraced) {
        return run(seed, mutant.scenarioOf(seed), mutant, isTraced);
    }

    /**
     * Simulates a run.
     *
     * @param scenario the combination of faults
     * @param mutant which variant of the code runs
     * @param isTraced whether events are recorded
     */
    public static SimulationResult run(long seed, Scenario scenario, Mutant mutant, boolean isTraced) {
        ControlPlaneSimulation simulation = new ControlPlaneSimulation(seed, scenario, mutant, isTraced);
        Optional<InvariantViolation> violation = simulation.run();
        violation
                .filter(found -> simulation.system.firstViolation().isEmpty())
                .ifPresent(found -> simulation.system.trace("VIOLATION " + found.getMessage()));
        List<Double> latenciesMs = new ArrayList<>(simulation.first.acknowledgementTimesMs());
        latenciesMs.addAll(simulation.second.acknowledgementTimesMs());
        HistoryChecker history = simulation.system.history();
        return new SimulationResult(
                seed,
                simulation.cleanLinks,
                violation,
                history.acknowledged(),
                history.rejected(),
                history.reads(),
                simulation.system.fleetChecker().removalsAcknowledged(),
                simulation.system.freshness().confirmations(),
                latenciesMs,
                simulation.changeLatenciesMs,
                simulation.repairTimesMs,
                simulation.system.traceLines());
    }

    private Optional<InvariantViolation> run() {
        try {
            runFaults();
            return system.firstViolation();
        } catch (InvariantViolation violation) {
            return system.firstViolation().or(() -> Optional.of(violation));
        } catch (RuntimeException failure) {
            system.trace("FAILED " + failure);
            InvariantViolation violation = new InvariantViolation(Invariant.NO_FAILURE, failure.toString());
            violation.initCause(failure);
            return Optional.of(violation);
        }
    }

    private void runFaults() {
        FaultInjector faults = startFaults();
        system.after(500, () -> first.run(endMs));
        system.after(700, () -> second.run(endMs));
        system.time().runUntil(endMs);
        faults.heal();
        system.routers().forEach(RouterMachine::resume);
        system.setLinkQuality(0, 0, 0, 0);
        system.time().runUntil(endMs + RECOVERY_MS);
        faults.heal();
        system.fleetChecker().requireAllCurrent(system.history().newestAcknowledged());
        verifyRecovery();
        LinearizabilityChecker.check(system.history().calls(), system.history().chain());
    }

    private FaultInjector startFaults() {
        if (scenario == Scenario.RANDOM || scenario == Scenario.RANDOM_AGAIN) {
            RandomFaults scenarios = new RandomFaults(system, random.split(), endMs);
            FaultScenarios replicaScenarios = new FaultScenarios(system, random.split());
            replicaScenarios.churnReplicas(FAULTS_FROM_MS, endMs);
            replicaScenarios.killAfterRemovals(random.nextBoolean() ? KILL_AFTER_REMOVAL_PROBABILITY : 0, endMs);
            scenarios.start(FAULTS_FROM_MS);
            return scenarios.faults();
        }
        if (scenario == Scenario.ROUTERS_BEHIND) {
            RouterFaults faults = new RouterFaults(system, random.split(), endMs);
            faults.start(FAULTS_FROM_MS);
            return faults.faults();
        }
        FaultScenarios scenarios = new FaultScenarios(system, random.split());
        repairTimesMs = scenarios.repairTimesMs();
        ControllerLossScenarios losses = new ControllerLossScenarios(system, random.split());
        switch (scenario) {
            case LEAVING -> losses.lossWhileLeaving(random.nextDouble(FAULTS_FROM_MS, 4_000));
            case HALVES -> losses.halves(FAULTS_FROM_MS, endMs);
            case RELIEVED_MINORITY -> losses.relievedMinority(FAULTS_FROM_MS, endMs);
            case MINORITY_BEHIND -> losses.minorityBehind(random.nextDouble(FAULTS_FROM_MS, 4_000));
            case POWER_LOSS -> losses.powerLoss(random.nextDouble(FAULTS_FROM_MS, 5_000));
            case LONG_PARTITION -> longPartition(scenarios);
            case SECOND_LOSS -> scenarios.secondLoss(random.nextDouble(FAULTS_FROM_MS, 4_000));
            case STALE_MEMBERS_FIRST -> scenarios.staleMembersReturnFirst(random.nextDouble(FAULTS_FROM_MS, 4_000));
            case DELAYED_REPLIES -> delayedReplies(scenarios);
            case HANDOVER -> scenarios.lossAfterHandover(random.nextDouble(FAULTS_FROM_MS, 4_000));
            default -> scenarios.primaryLosses(FAULTS_FROM_MS, endMs);
        }
        scenarios.churnReplicas(FAULTS_FROM_MS, endMs);
        return scenarios.faults();
    }

    /** An operator reads frequently, at every controller, while one of them receives outdated replies. */
    private void delayedReplies(FaultScenarios scenarios) {
        scenarios.delayedReplies(random.nextDouble(FAULTS_FROM_MS, 3_000));
        Operator reader = new Operator(system, 5, random.split());
        system.after(FAULTS_FROM_MS, () -> readOften(reader));
    }

    private void readOften(Operator reader) {
        if (system.nowMs() < endMs) {
            if (!reader.isBusy()) {
                reader.read(() -> {});
            }
            system.after(random.nextDouble(MAX_READ_INTERVAL_MS), () -> readOften(reader));
        }
    }

    private void longPartition(FaultScenarios scenarios) {
        double atMs = random.nextDouble(FAULTS_FROM_MS, 4_000);
        scenarios.longPartition(atMs);
        endMs = atMs + FaultScenarios.LONG_PARTITION_MS + 2_000;
        Operator operator = new Operator(system, 3, random.split());
        system.after(
                atMs + SimulatedSystem.CONTACT_MS,
                () -> submitPeriodically(operator, scenarios, atMs + FaultScenarios.LONG_PARTITION_MS));
    }

    /** While a controller is partitioned, an operator that reaches both sides submits changes. */
    private void submitPeriodically(Operator operator, FaultScenarios scenarios, double untilMs) {
        double startedMs = system.nowMs();
        if (startedMs + SimulatedSystem.ACK_MS >= untilMs) {
            return;
        }
        boolean[] responded = new boolean[1];
        operator.submit(
                operator.validChange(),
                () -> {
                    responded[0] = true;
                    if (scenarios.isOnlyPartitionBetween(startedMs, system.nowMs())) {
                        changeLatenciesMs.add(system.nowMs() - startedMs);
                    }
                },
                () -> responded[0] = true);
        system.after(SimulatedSystem.ACK_MS, () -> {
            boolean isExcused = !scenarios.isOnlyPartitionBetween(startedMs, system.nowMs());
            InvariantViolation.require(
                    isExcused || responded[0],
                    Invariant.ACKNOWLEDGED_IN_TIME,
                    "while one controller is partitioned, a change got no response within " + SimulatedSystem.ACK_MS
                            + " ms");
            submitPeriodically(operator, scenarios, untilMs);
        });
    }

    /** After all faults have ended, a change is accepted and read back. */
    private void verifyRecovery() {
        Operator verifier = new Operator(system, 4, random.split());
        long acknowledged = system.history().newestAcknowledged();
        boolean[] completed = new boolean[3];
        verifier.read(() -> completed[0] = true);
        await(completed, 0, Invariant.READ_IN_TIME, "a read");
        InvariantViolation.require(
                system.history().newestInForce() >= acknowledged,
                Invariant.ACKNOWLEDGED_IS_DURABLE,
                "acknowledged version " + acknowledged + " is lost");
        verifier.submit(verifier.validChange(), () -> completed[1] = true);
        await(completed, 1, Invariant.ACKNOWLEDGED_IN_TIME, "a change");
        verifier.read(() -> completed[2] = true);
        await(completed, 2, Invariant.READ_IN_TIME, "a read");
    }

    private void await(boolean[] completed, int step, Invariant invariant, String operation) {
        double elapsedMs = system.time().runUntil(() -> completed[step], SimulatedSystem.ACK_MS);
        InvariantViolation.require(
                !Double.isNaN(elapsedMs),
                invariant,
                operation + " got no response within " + SimulatedSystem.ACK_MS + " ms");
    }
}
