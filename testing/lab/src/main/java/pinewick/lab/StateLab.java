package pinewick.lab;

import com.google.gson.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import pinewick.emulator.SimulatedStateFleet;
import pinewick.fleet.state.Fact;
import pinewick.fleet.state.FactKind;
import pinewick.fleet.state.FactReplicationSettings;

/**
 * In virtual time, with the very classes that decide: how fast a warning gets round, what replication costs, how far a
 * mixer that returns is from those that stayed, and whether copies agree after a split.
 */
@Command(name = "state", description = "Facts replicated among mixers, in virtual time (emulator).")
final class StateLab implements Callable<Integer> {
    private static final int SEARCHERS = 200;
    private static final double[] AFTER = {0.25, 0.5, 1, 2};

    @Option(names = "--quick", description = "ends within 45 s: fewer runs")
    private boolean quick;

    @Option(names = "--seed", description = "of all chance (default ${DEFAULT-VALUE})")
    private long seed = 20261201;

    @Option(names = "--results", description = "folder for table and figures (default ${DEFAULT-VALUE})")
    private Path results = Path.of("results/state");

    private record Setting(int size, double loss) {}

    /** Of one setting: what its runs found. */
    private static final class Found {
        final List<Double> heldBy99 = new ArrayList<>();
        final List<List<Double>> errors = new ArrayList<>();
        final List<Double> agreed = new ArrayList<>();
        double bytes;
        int divergent;
        int runs;
    }

    @Override
    public Integer call() throws Exception {
        StringBuilder table =
                new StringBuilder("Facts of " + SEARCHERS + " searchers among mixers (emulator, virtual time; "
                        + "datagrams take 1 to 18 ms; each mixer hears of five searchers a second)\n\n| "
                        + "mixers, lost, runs | a warning at 99%: median, "
                        + "worst, s | bytes a member a second | a returning mixer beside the others, worst "
                        + "of nine in ten searchers, after "
                        + "0.25, 0.5, 1, 2 s | all copies agree after a 6-s split: median, worst, s | "
                        + "divergent at the end |\n"
                        + "| --- | --- | --- | --- | --- | --- |\n");
        JsonObject figures = new JsonObject();
        figures.addProperty("experiment", "state, emulator (virtual time)");
        figures.addProperty("seed", seed);
        boolean pass = true;
        double[] load = new double[2];
        for (int size : new int[] {100, 1000}) {
            for (double loss : new double[] {0, 0.1, 0.3}) {
                if (quick && size == 1000 && loss != 0.1) {
                    continue;
                }
                Found found = new Found();
                int runs = size == 1000 ? 1 : quick ? 3 : 10;
                java.util.stream.IntStream.range(0, runs)
                        .parallel()
                        .forEach(run -> play(new Setting(size, loss), seed + run, found));
                Collections.sort(found.heldBy99);
                Collections.sort(found.agreed);
                StringBuilder errors = new StringBuilder();
                JsonObject mine = new JsonObject();
                for (int each = 0; each < AFTER.length; each++) {
                    int at = each;
                    double worst = found.errors.stream()
                            .mapToDouble(run -> run.get(at))
                            .max()
                            .orElse(Double.NaN);
                    errors.append(each == 0 ? "" : ", ").append(percent(worst));
                    mine.addProperty("errorAfter" + AFTER[each], worst > 9 ? null : Math.round(worst * 1e3) / 1e3);
                    pass &= size != 100 || loss > 0.1 || AFTER[each] != 1 || worst <= 0.2;
                }
                double bytes = found.bytes / found.runs;
                table.append(String.format(
                        "| %d, %d%%, %d | %.2f, %s | %.0f | %s | %.1f, %s | %d |%n",
                        size,
                        Math.round(loss * 100),
                        found.runs,
                        found.heldBy99.get(runs / 2),
                        seconds(found.heldBy99.get(runs - 1)),
                        bytes,
                        errors,
                        found.agreed.get(runs / 2),
                        seconds(found.agreed.get(runs - 1)),
                        found.divergent));
                mine.addProperty("warningAt99WorstS", found.heldBy99.get(runs - 1));
                mine.addProperty("bytesASecond", Math.round(bytes));
                mine.addProperty("divergent", found.divergent);
                figures.add(size + ", " + Math.round(loss * 100) + "%", mine);
                if (loss == 0.1) {
                    load[size == 100 ? 0 : 1] = bytes;
                }
                pass &= size != 100 || loss > 0.1 || found.heldBy99.get(runs - 1) <= 1;
                pass &= loss > 0.1 || found.divergent == 0;
            }
        }
        pass &= load[1] <= 1.5 * load[0]
                && load[1] <= FactReplicationSettings.defaults().bytesPerSecond();
        figures.addProperty("pass", pass);
        System.out.println(table);
        Files.createDirectories(results);
        Files.writeString(results.resolve(quick ? "quick.md" : "full.md"), table);
        Files.writeString(results.resolve(quick ? "quick.json" : "full.json"), figures + "\n");
        System.out.println(figures);
        return pass ? 0 : 1;
    }

    private static String percent(double share) {
        return share > 9 ? "unknown" : Math.round(share * 100) + "%";
    }

    private static String seconds(double value) {
        return Double.isInfinite(value) ? "not" : String.format("%.2f", value);
    }

    private static void play(Setting setting, long seed, Found found) {
        SplittableRandom chance = new SplittableRandom(seed);
        SimulatedStateFleet world = new SimulatedStateFleet(setting.size, seed, FactReplicationSettings.defaults());
        world.datagrams().setLinkQuality(setting.loss, 0.01, 0.001, 0.018);
        world.startAll();
        traffic(world, 10, chance);
        long before = world.sentBytes();
        traffic(world, 10, chance);
        double bytes = (world.sentBytes() - before) / 10.0 / setting.size;

        int key = Fact.key("s-warned");
        double from = world.datagrams().now();
        world.state(1).recordObservation(from, key, FactKind.UNHEALTHY, 3, 0);
        double held = Double.POSITIVE_INFINITY;
        while (world.datagrams().now() < from + 3 && Double.isInfinite(held)) {
            world.datagrams().run(world.datagrams().now() + 0.02);
            int holders = 0;
            for (int place = 0; place < setting.size; place++) {
                holders +=
                        world.state(place).store().of(key, FactKind.UNHEALTHY).isEmpty() ? 0 : 1;
            }
            held = holders >= 0.99 * setting.size ? world.datagrams().now() - from : held;
        }
        world.datagrams().kill(7);
        world.start(7);
        List<Double> errors = new ArrayList<>();
        double back = world.datagrams().now();
        for (double after : AFTER) {
            traffic(world, back + after - world.datagrams().now(), chance);
            errors.add(error(world, 7, 20));
        }
        world.datagrams().partition((one, other) -> one < setting.size / 5 != other < setting.size / 5);
        traffic(world, 6, chance);
        world.datagrams().partition((one, other) -> false);
        double healed = world.datagrams().now();
        while (world.datagrams().now() < healed + 20 && world.divergentMembers() > 0) {
            world.datagrams().run(world.datagrams().now() + 0.2);
        }
        int divergent = world.divergentMembers();
        double agreed = divergent == 0 ? world.datagrams().now() - healed : Double.POSITIVE_INFINITY;
        synchronized (found) {
            found.bytes += bytes;
            found.heldBy99.add(held);
            found.errors.add(errors);
            found.agreed.add(agreed);
            found.divergent += divergent;
            found.runs++;
        }
    }

    /** How far one mixer's paces are from another's: the nine tenths quantile over searchers that the other knows. */
    private static double error(SimulatedStateFleet world, int place, int beside) {
        List<Double> errors = new ArrayList<>();
        for (int searcher = 0; searcher < SEARCHERS; searcher++) {
            int key = Fact.key("s-" + searcher);
            double others = world.state(beside)
                    .aggregator()
                    .latencySeconds(key, beside, world.datagrams().now());
            double its = world.state(place)
                    .aggregator()
                    .latencySeconds(key, place, world.datagrams().now());
            if (!Double.isNaN(others)) {
                errors.add(Double.isNaN(its) ? 10 : Math.abs(its - others) / others);
            }
        }
        Collections.sort(errors);
        return errors.get(errors.size() * 9 / 10);
    }

    /** Searchers' true paces lie between 20 ms and 0.5 s; what a mixer sees of one differs by a tenth. */
    private static void traffic(SimulatedStateFleet world, double seconds, SplittableRandom chance) {
        double until = world.datagrams().now() + seconds;
        while (world.datagrams().now() < until) {
            for (int place = 0; place < world.size(); place++) {
                if (world.datagrams().isRunning(place)) {
                    int searcher = chance.nextInt(SEARCHERS);
                    double pace = 0.02 * Math.pow(25, searcher / (double) SEARCHERS);
                    world.state(place)
                            .recordObservation(
                                    world.datagrams().now(),
                                    Fact.key("s-" + searcher),
                                    FactKind.LATENCY,
                                    pace * (0.9 + 0.2 * chance.nextDouble()),
                                    2);
                }
            }
            world.datagrams().run(Math.min(until, world.datagrams().now() + 0.2));
        }
    }
}
