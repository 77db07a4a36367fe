package pinewick.lab;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.logging.LogManager;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import pinewick.emulator.control.ControlPlaneSimulation;
import pinewick.emulator.control.Mutant;
import pinewick.emulator.control.Scenario;
import pinewick.emulator.control.SimulationResult;

/**
 * Simulates the full control plane in virtual time with many seeds and checks its invariants; then simulates
 * deliberately broken variants, each of which must violate an invariant.
 */
@Command(name = "control", description = "Controllers, operators, replicas and routers under faults, in virtual time.")
final class ControlLab implements Callable<Integer> {
    private static final int QUICK_SEEDS = 800;
    private static final int FULL_SEEDS = 10_000;
    private static final int MAX_SEEDS_PER_VARIANT = 600;
    private static final int SLOWEST_SEEDS_SHOWN = 5;
    private static final double PERCENTILE_50 = 0.5;
    private static final double PERCENTILE_99 = 0.99;

    @Option(names = "--quick", description = "finishes within 45 s: fewer seeds")
    private boolean quick;

    @Option(names = "--seeds", description = "number of seeds to simulate")
    private Optional<Integer> seeds = Optional.empty();

    @Option(names = "--first", description = "first seed (default ${DEFAULT-VALUE})")
    private long first;

    @Option(names = "--seed", description = "simulates only this seed and prints its events")
    private Optional<Long> seed = Optional.empty();

    @Option(names = "--variant", description = "simulates this broken variant, alone or with --seed")
    private Optional<Mutant> variant = Optional.empty();

    @Option(names = "--scenario", description = "simulates this scenario with every seed: ${COMPLETION-CANDIDATES}")
    private Optional<Scenario> scenario = Optional.empty();

    @Option(names = "--no-variants", description = "skips the broken variants")
    private boolean withoutVariants;

    @Override
    public Integer call() {
        LogManager.getLogManager().reset();
        if (seed.isPresent()) {
            return replay(seed.get());
        }
        JsonObject figures = new JsonObject();
        figures.addProperty("experiment", "control, emulator (virtual time)");
        boolean pass = true;
        if (variant.isPresent()) {
            pass = isCaught(variant.get(), figures);
        } else {
            pass = runSeeds(figures);
            pass &= withoutVariants || areAllCaught(figures);
        }
        figures.addProperty("pass", pass);
        System.out.println(figures);
        return pass ? 0 : 1;
    }

    private SimulationResult run(long simulatedSeed, Mutant mutant, boolean traced) {
        Scenario selectedScenario = scenario.orElseGet(() -> mutant.scenarioOf(simulatedSeed));
        return ControlPlaneSimulation.run(simulatedSeed, selectedScenario, mutant, traced);
    }

    private int replay(long replayedSeed) {
        SimulationResult result = run(replayedSeed, variant.orElse(Mutant.NONE), true);
        result.trace().forEach(System.out::println);
        result.violation()
                .filter(violation -> violation.getCause() != null)
                .ifPresent(violation -> violation.getCause().printStackTrace(System.out));
        JsonObject figures = new JsonObject();
        figures.addProperty("seed", replayedSeed);
        result.violation().ifPresent(violation -> figures.addProperty("violation", violation.getMessage()));
        figures.addProperty("pass", result.violation().isEmpty());
        System.out.println(figures);
        return result.violation().isEmpty() ? 0 : 1;
    }

    private boolean runSeeds(JsonObject figures) {
        int count = seeds.orElse(quick ? QUICK_SEEDS : FULL_SEEDS);
        long startNanos = System.nanoTime();
        List<SimulationResult> results = LongStream.range(first, first + count)
                .parallel()
                .mapToObj(nextSeed -> run(nextSeed, Mutant.NONE, false))
                .toList();
        double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
        JsonArray violatingSeeds = new JsonArray();
        for (SimulationResult result : results) {
            result.violation().ifPresent(violation -> {
                System.out.println("seed " + result.seed() + ": " + violation.getMessage());
                violatingSeeds.add(result.seed());
            });
        }
        figures.addProperty("firstSeed", first);
        figures.addProperty("seeds", count);
        figures.addProperty("seedsASecond", Math.round(count / elapsedSeconds));
        figures.addProperty(
                "acknowledged",
                results.stream().mapToLong(SimulationResult::acknowledged).sum());
        figures.addProperty(
                "refused",
                results.stream().mapToLong(SimulationResult::rejected).sum());
        figures.addProperty(
                "reads", results.stream().mapToLong(SimulationResult::reads).sum());
        figures.addProperty(
                "endsAcknowledged",
                results.stream()
                        .mapToLong(SimulationResult::removalsAcknowledged)
                        .sum());
        addQuantiles(
                figures,
                "besideACutMs",
                results.stream()
                        .flatMap(result -> result.changeLatenciesMs().stream())
                        .toList());
        addQuantiles(
                figures,
                "repairedMs",
                results.stream()
                        .flatMap(result -> result.repairTimesMs().stream())
                        .toList());
        addQuantiles(
                figures,
                "besideACutOnCleanLinksMs",
                results.stream()
                        .filter(SimulationResult::cleanLinks)
                        .flatMap(result -> result.changeLatenciesMs().stream())
                        .toList());
        addQuantiles(
                figures,
                "repairedOnCleanLinksMs",
                results.stream()
                        .filter(SimulationResult::cleanLinks)
                        .flatMap(result -> result.repairTimesMs().stream())
                        .toList());
        addQuantiles(
                figures,
                "acknowledgedMs",
                results.stream()
                        .flatMap(result -> result.acknowledgementTimesMs().stream())
                        .toList());
        figures.add("slowestBesideACut", slowestSeeds(results, SimulationResult::changeLatenciesMs));
        figures.add("slowestRepairs", slowestSeeds(results, SimulationResult::repairTimesMs));
        figures.add("brokenSeeds", violatingSeeds);
        System.out.println(figures);
        return violatingSeeds.isEmpty();
    }

    /** The seeds with the longest times, in descending order. */
    private static JsonArray slowestSeeds(
            List<SimulationResult> results, Function<SimulationResult, List<Double>> timesMs) {
        ToDoubleFunction<SimulationResult> longest = result -> timesMs.apply(result).stream()
                .mapToDouble(Double::doubleValue)
                .max()
                .orElse(0);
        JsonArray seeds = new JsonArray();
        results.stream()
                .filter(result -> !timesMs.apply(result).isEmpty())
                .sorted(Comparator.comparingDouble(longest).reversed())
                .limit(SLOWEST_SEEDS_SHOWN)
                .forEach(result -> seeds.add(result.seed()));
        return seeds;
    }

    private static void addQuantiles(JsonObject figures, String name, List<Double> values) {
        List<Double> sorted = new ArrayList<>(values);
        sorted.sort(null);
        if (!sorted.isEmpty()) {
            JsonObject quantiles = new JsonObject();
            quantiles.addProperty("count", sorted.size());
            quantiles.addProperty("median", Math.round(sorted.get((int) (PERCENTILE_50 * (sorted.size() - 1)))));
            quantiles.addProperty("99%", Math.round(sorted.get((int) (PERCENTILE_99 * (sorted.size() - 1)))));
            quantiles.addProperty("worst", Math.round(sorted.get(sorted.size() - 1)));
            figures.add(name, quantiles);
        }
    }

    private boolean areAllCaught(JsonObject figures) {
        return Arrays.stream(Mutant.values())
                .parallel()
                .filter(mutant -> mutant != Mutant.NONE)
                .map(mutant -> isCaught(mutant, figures))
                .reduce(true, Boolean::logicalAnd);
    }

    /** Whether a broken variant violates an invariant within the maximum number of seeds. */
    private boolean isCaught(Mutant mutant, JsonObject figures) {
        int maxSeeds = seeds.filter(count -> variant.isPresent()).orElse(MAX_SEEDS_PER_VARIANT);
        LongStream seedOrder =
                LongStream.concat(LongStream.of(mutant.knownSeed()), LongStream.range(first, first + maxSeeds));
        Optional<SimulationResult> caught = seedOrder
                .mapToObj(nextSeed -> run(nextSeed, mutant, false))
                .filter(result -> result.violation().isPresent())
                .findFirst();
        String outcome = caught.map(result -> "caught by seed " + result.seed() + ", "
                        + result.violation().get().getMessage())
                .orElse("NOT CAUGHT by " + maxSeeds + " seeds");
        synchronized (figures) {
            System.out.println(mutant + " " + outcome);
            figures.addProperty(
                    mutant.name(), caught.map(SimulationResult::seed).orElse(-1L));
        }
        return caught.isPresent();
    }
}
