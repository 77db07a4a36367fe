package pinewick.emulator.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.logging.LogManager;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A small fixed set of runs; {@code lab control} simulates many more. */
class ControlPlaneSimulationTest {
    private static final int SEEDS = 200;
    private static final int MAX_SEEDS_PER_VARIANT = 600;
    private static final int BUSY_RUNS = 12;
    private static final int BUSY_EVERY = 50;
    private static final int MANY_CHANGES = 220;

    @BeforeAll
    static void silenceLogs() {
        LogManager.getLogManager().reset();
    }

    @Test
    void satisfiesEveryInvariant() {
        List<SimulationResult> results = LongStream.range(0, SEEDS)
                .parallel()
                .mapToObj(seed -> ControlPlaneSimulation.run(seed, Mutant.NONE, false))
                .toList();
        List<String> violations = results.stream()
                .filter(result -> result.violation().isPresent())
                .map(result -> "seed " + result.seed() + ": "
                        + result.violation().get().getMessage())
                .toList();
        assertEquals(List.of(), violations);
        long acknowledged =
                results.stream().mapToLong(SimulationResult::acknowledged).sum();
        long removals = results.stream()
                .mapToLong(SimulationResult::removalsAcknowledged)
                .sum();
        assertTrue(acknowledged > 20L * SEEDS, "too few changes: " + acknowledged);
        assertTrue(removals > 3L * SEEDS, "too few removals of replicas: " + removals);
        long confirmations =
                results.stream().mapToLong(SimulationResult::confirmations).sum();
        assertTrue(confirmations > 15L * SEEDS, "too few confirmations: " + confirmations);
    }

    /** Also while a router misses changes and receives messages late, a confirmed configuration was the newest one. */
    @Test
    void routersThatMissChangesDoNotConsiderAnOldConfigurationTheNewest() {
        List<SimulationResult> results = LongStream.range(0, SEEDS)
                .parallel()
                .mapToObj(seed -> ControlPlaneSimulation.run(seed, Scenario.ROUTERS_BEHIND, Mutant.NONE, false))
                .toList();
        results.forEach(result -> assertEquals(Optional.empty(), result.violation(), "seed " + result.seed()));
        long confirmations =
                results.stream().mapToLong(SimulationResult::confirmations).sum();
        assertTrue(confirmations > 15L * SEEDS, "too few confirmations: " + confirmations);
    }

    /** An acknowledged drain or deregistration was lost when every controller and router lost power right after it. */
    @Test
    void acknowledgedRemovalsSurviveTheLossOfAllPower() {
        List<SimulationResult> results = LongStream.range(0, SEEDS)
                .parallel()
                .mapToObj(seed -> ControlPlaneSimulation.run(seed, Scenario.POWER_LOSS, Mutant.NONE, false))
                .toList();
        results.forEach(result -> assertEquals(Optional.empty(), result.violation(), "seed " + result.seed()));
        long removals = results.stream()
                .mapToLong(SimulationResult::removalsAcknowledged)
                .sum();
        assertTrue(removals > 3L * SEEDS, "too few removals of replicas: " + removals);
    }

    /** Stores compact their changes after 200, so these runs contain snapshots with hundreds of changes. */
    @Test
    void satisfiesEveryInvariantOverHundredsOfChanges() {
        List<SimulationResult> results = LongStream.range(0, SEEDS * BUSY_EVERY)
                .filter(ControlPlaneSimulation::isBusy)
                .limit(BUSY_RUNS)
                .parallel()
                .mapToObj(seed -> ControlPlaneSimulation.run(seed, Mutant.NONE, false))
                .toList();
        results.forEach(result -> assertEquals(Optional.empty(), result.violation(), "seed " + result.seed()));
        long withSnapshots = results.stream()
                .filter(result -> result.acknowledged() > MANY_CHANGES)
                .count();
        assertTrue(4 * withSnapshots >= BUSY_RUNS, "runs with hundreds of changes: " + withSnapshots);
    }

    /** The known seed runs first; after changes of the code another one may be the first to catch a variant. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void catchesABrokenVariant(Mutant variant) {
        LongStream seeds =
                LongStream.concat(LongStream.of(variant.knownSeed()), LongStream.range(0, MAX_SEEDS_PER_VARIANT));
        Optional<SimulationResult> caught = seeds.mapToObj(seed -> ControlPlaneSimulation.run(seed, variant, false))
                .filter(result -> result.violation().isPresent())
                .findFirst();
        assertTrue(caught.isPresent(), variant + " is not caught by " + MAX_SEEDS_PER_VARIANT + " seeds");
        System.out.println(variant + " caught by seed " + caught.get().seed() + ", "
                + caught.get().violation().get().getMessage());
    }

    @Test
    void repeatsTheRunOfASeed() {
        SimulationResult first = ControlPlaneSimulation.run(4, Mutant.NONE, true);
        SimulationResult again = ControlPlaneSimulation.run(4, Mutant.NONE, true);
        assertEquals(first.trace(), again.trace());
        assertEquals(first.acknowledgementTimesMs(), again.acknowledgementTimesMs());
    }
}
