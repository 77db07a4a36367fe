package pinewick.lab;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import pinewick.emulator.SimulatedQueryRouterFleet;
import pinewick.standins.FleetProcesses;

/**
 * The mixers' view of each other: in virtual time among up to a thousand members, with the very classes that decide,
 * and among processes of the program behind a relay that breaks the way.
 */
@Command(name = "fleet", description = "Joins, crashes, pauses and splits of the mixers; emulator, then processes.")
final class FleetLab implements Callable<Integer> {
    private static final double LONGEST = 60;
    private static final List<String> CASES =
            List.of("crash", "join", "pause of 2 s", "split of 6 s healed", "seven in ten killed");

    @Option(names = "--quick", description = "ends within 45 s: one seed, no thousand with much loss")
    private boolean quick;

    @Option(names = "--seed", description = "of all chance (default ${DEFAULT-VALUE})")
    private long seed = 20261201;

    @Option(names = "--jar", description = "the mixer's program (default ${DEFAULT-VALUE})")
    private Path jar = Path.of("query-mixer/daemon/target/pinewick.jar");

    @Option(names = "--results", description = "folder for table, figures and chart (default ${DEFAULT-VALUE})")
    private Path results = Path.of("results/fleet");

    /** One size and loss: what its runs found. */
    private static final class Found {
        final Map<String, List<Double>> times = new LinkedHashMap<>();
        final Map<String, Double> worst = new LinkedHashMap<>();
        int falseDeaths;
        double bytes;
        double datagrams;
        int most;
        int runs;

        void took(String what, double[] each) {
            for (double one : each) {
                times.computeIfAbsent(what, any -> new ArrayList<>()).add(one);
                worst.merge(
                        what,
                        one,
                        (left, right) ->
                                Double.isNaN(left) || Double.isNaN(right) ? Double.NaN : Math.max(left, right));
            }
        }

        double median(String what) {
            List<Double> all = new ArrayList<>(times.get(what));
            all.sort(Comparator.naturalOrder()); // NaN, not settled, comes last
            return all.get(all.size() / 2);
        }
    }

    @Override
    public Integer call() throws Exception {
        if (!Files.exists(jar)) {
            System.err.println("pinewick-lab: --jar: " + jar + " is not there; build the daemon first");
            return 2;
        }
        JsonObject figures = new JsonObject();
        figures.addProperty("experiment", "fleet, emulator (virtual time) and processes");
        figures.addProperty("seed", seed);
        boolean pass = virtual(figures);
        pass &= processes(figures);
        figures.addProperty("pass", pass);
        Files.createDirectories(results);
        Files.writeString(results.resolve(quick ? "quick.json" : "full.json"), figures + "\n");
        System.out.println(figures);
        return pass ? 0 : 1;
    }

    private record Setting(int size, double loss) {}

    private boolean virtual(JsonObject figures) throws IOException {
        List<Setting> settings = new ArrayList<>();
        for (int size : new int[] {10, 100, 1000}) {
            for (double loss : new double[] {0, 0.1, 0.3}) {
                if (!quick || size < 1000 || loss == 0.1) {
                    settings.add(new Setting(size, loss));
                }
            }
        }
        Map<Setting, Found> found = new LinkedHashMap<>();
        settings.forEach(each -> found.put(each, new Found()));
        settings.parallelStream().forEach(each -> {
            // Each size gets fewer runs than the one before, as it costs about its square.
            int runs = quick ? each.size == 100 ? 3 : 1 : each.size == 1000 ? 2 : 20;
            for (int run = 0; run < runs; run++) {
                play(each, seed + run, found.get(each));
            }
        });
        StringBuilder table =
                new StringBuilder("Seconds until a live member holds the true view for good: median, worst "
                        + "(emulator, virtual time; datagrams take 1 to 18 ms, one in a hundred comes "
                        + "twice)\n\n| members, lost, runs |");
        CASES.forEach(each -> table.append(' ').append(each).append(" |"));
        table.append(" false deaths | datagrams, bytes a member a second | most datagrams in a second |\n| --- |"
                        + " --- |".repeat(CASES.size() + 3))
                .append('\n');
        boolean pass = true;
        for (Map.Entry<Setting, Found> each : found.entrySet()) {
            Setting setting = each.getKey();
            Found its = each.getValue();
            String name = setting.size + ", " + Math.round(setting.loss * 100) + "%";
            table.append("| ").append(name).append(", ").append(its.runs).append(" |");
            JsonObject mine = new JsonObject();
            for (String what : CASES) {
                table.append(String.format(" %.2f, %s |", its.median(what), text(its.worst.get(what))));
                number(mine, what + ", median s", its.median(what));
                number(mine, what + ", worst s", its.worst.get(what));
            }
            table.append(String.format(
                    " %d | %.1f, %.0f | %d |%n",
                    its.falseDeaths, its.datagrams / its.runs, its.bytes / its.runs, its.most));
            mine.addProperty("falseDeaths", its.falseDeaths);
            number(mine, "bytesASecond", its.bytes / its.runs);
            mine.addProperty("mostDatagramsInASecond", its.most);
            figures.add(name, mine);
            if (setting.loss <= 0.1) {
                pass &= its.falseDeaths == 0 && its.bytes / its.runs < 2000;
            }
            if (setting.size == 100 && setting.loss == 0.1) {
                pass &= its.worst.get("crash") <= 3
                        && its.worst.get("join") <= 2
                        && its.worst.get("split of 6 s healed") <= 3;
            }
        }
        double least = found.get(new Setting(10, 0.1)).bytes / found.get(new Setting(10, 0.1)).runs;
        double largest = found.get(new Setting(1000, 0.1)).bytes / found.get(new Setting(1000, 0.1)).runs;
        figures.addProperty("loadOfAThousandOverTen", Math.round(largest / least * 100) / 100.0);
        pass &= largest <= 1.25 * least;
        System.out.println(table);
        Files.createDirectories(results);
        Files.writeString(results.resolve(quick ? "emulator-quick.md" : "emulator.md"), table);
        chart(found);
        return pass;
    }

    private static String text(double seconds) {
        return Double.isNaN(seconds) ? "over " + Math.round(LONGEST) : String.format("%.2f", seconds);
    }

    private static void number(JsonObject in, String name, double value) {
        in.addProperty(name, Double.isNaN(value) ? null : Math.round(value * 100) / 100.0);
    }

    /** All cases of one setting with one seed, one after another in the same fleet, each from a settled view. */
    private static void play(Setting setting, long seed, Found found) {
        int size = setting.size;
        SimulatedQueryRouterFleet fleet = new SimulatedQueryRouterFleet(size, seed);
        fleet.datagrams().setLinkQuality(setting.loss, 0.01, 0.001, 0.018);
        fleet.startAll();
        rest(fleet, 10);
        long bytes = fleet.sentBytes();
        long datagrams = fleet.sent();
        fleet.datagrams().takeMaxPerSecond();
        rest(fleet, 10);
        double load = (fleet.sentBytes() - bytes) / 10.0 / size;
        double often = (fleet.sent() - datagrams) / 10.0 / size;
        Map<String, double[]> took = new LinkedHashMap<>();
        int falseDeaths = newDeaths(fleet, 0, dead -> false);

        fleet.datagrams().kill(size / 2);
        int before = fleet.deaths().size();
        took.put(CASES.get(0), fleet.secondsToConvergePerMember(LONGEST));
        rest(fleet, 3);
        falseDeaths += newDeaths(fleet, before, dead -> dead == size / 2);
        before = fleet.deaths().size();
        fleet.start(size / 2);
        took.put(CASES.get(1), fleet.secondsToConvergePerMember(LONGEST));
        rest(fleet, 3);
        fleet.datagrams().setPaused(1, true);
        rest(fleet, 2);
        fleet.datagrams().setPaused(1, false);
        took.put(CASES.get(2), fleet.secondsToConvergePerMember(LONGEST));
        rest(fleet, 3);
        falseDeaths += newDeaths(fleet, before, dead -> false);
        int part = Math.max(1, size / 5);
        fleet.datagrams().partition((from, to) -> from < part != to < part);
        rest(fleet, 6);
        fleet.datagrams().partition((from, to) -> false);
        took.put(CASES.get(3), fleet.secondsToConvergePerMember(LONGEST));
        rest(fleet, 3);
        before = fleet.deaths().size();
        int first = size / 10;
        int killed = size * 7 / 10;
        for (int each = first; each < first + killed; each++) {
            fleet.datagrams().kill(each);
        }
        took.put(CASES.get(4), fleet.secondsToConvergePerMember(LONGEST));
        falseDeaths += newDeaths(fleet, before, dead -> dead >= first && dead < first + killed);
        int most = fleet.datagrams().takeMaxPerSecond();
        synchronized (found) {
            took.forEach(found::took);
            found.falseDeaths += falseDeaths;
            found.bytes += load;
            found.datagrams += often;
            found.most = Math.max(found.most, most);
            found.runs++;
        }
    }

    private static void rest(SimulatedQueryRouterFleet fleet, double seconds) {
        fleet.datagrams().run(fleet.datagrams().now() + seconds);
    }

    /** Members held for dead since then by anyone though they were not. */
    private static int newDeaths(SimulatedQueryRouterFleet fleet, int from, java.util.function.IntPredicate truly) {
        return (int) fleet.deaths().subList(from, fleet.deaths().size()).stream()
                .mapToInt(each -> Integer.parseInt(each.split(" ")[0]))
                .distinct()
                .filter(each -> !truly.test(each))
                .count();
    }

    private void chart(Map<Setting, Found> found) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(800)
                .height(480)
                .title("Members that hold the true view after a crash, 10% lost")
                .xAxisTitle("seconds since the crash")
                .yAxisTitle("share of the live members")
                .build();
        for (int size : new int[] {10, 100, 1000}) {
            double[] times = found.get(new Setting(size, 0.1)).times.get("crash").stream()
                    .mapToDouble(each -> each)
                    .filter(each -> !Double.isNaN(each))
                    .sorted()
                    .toArray();
            double[] shares = IntStream.range(0, times.length)
                    .mapToDouble(each -> (each + 1.0) / times.length)
                    .toArray();
            chart.addSeries(size + " members", times, shares)
                    .setMarker(org.knowm.xchart.style.markers.SeriesMarkers.NONE);
        }
        VectorGraphicsEncoder.saveVectorGraphic(
                chart,
                results.resolve(quick ? "crash-quick" : "crash").toString(),
                VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
    }

    /** Real mixers, each a process, behind a relay that loses a tenth. */
    private boolean processes(JsonObject figures) throws Exception {
        int size = quick ? 5 : 7;
        int rounds = quick ? 1 : 5;
        Path folder = Files.createTempDirectory("pinewick-lab");
        Map<String, List<Double>> took = new LinkedHashMap<>();
        int falseDeaths = 0;
        int longest;
        String letters = "A".repeat(size);
        int[] all = IntStream.range(0, size).toArray();
        int[] others = IntStream.range(0, size - 1).toArray();
        try (FleetProcesses fleet = new FleetProcesses(size, jar, folder, null, seed)) {
            fleet.relay().setLinkQuality(0.1, 0.02, 0.001, 0.018);
            fleet.start(all);
            if (Double.isNaN(fleet.secondsUntil(30, letters, all))) {
                throw new IllegalStateException("the mixers did not see each other");
            }
            for (int round = 0; round < rounds; round++) {
                TimeUnit.SECONDS.sleep(1);
                fleet.router(size - 1).stop(false);
                add(took, "crash", fleet.secondsUntil(20, "A".repeat(size - 1) + "D", others));
                fleet.start(size - 1);
                if (!fleet.router(size - 1).awaitReady(20)) {
                    throw new IllegalStateException("a mixer did not start again");
                }
                add(took, "join, from ready on", fleet.secondsUntil(20, letters, all));
                fleet.router(1).signal("STOP");
                TimeUnit.SECONDS.sleep(2);
                fleet.router(1).signal("CONT");
                add(took, "pause of 2 s, from its end on", fleet.secondsUntil(20, letters, all));
                falseDeaths += fleet.deathDeclarations(1, others) - falseDeaths;
                fleet.relay().partition((from, to) -> from < 2 != to < 2);
                TimeUnit.SECONDS.sleep(6);
                fleet.relay().partition((from, to) -> false);
                add(took, "split of 6 s, from its end on", fleet.secondsUntil(20, letters, all));
                if (round + 1 < rounds) {
                    falseDeaths = fleet.deathDeclarations(1, others); // The split's own, which are none of the pauses'.
                }
            }
            longest = fleet.relay().maxDatagramBytes();
        }
        StringBuilder table =
                new StringBuilder("Seconds until all processes hold the view (" + size + " mixers on loopback, "
                        + "a tenth of the datagrams lost): median, worst\n\n| case | median | worst |\n| "
                        + "--- | --- | --- |\n");
        JsonObject mine = new JsonObject();
        boolean pass = longest <= 256;
        for (Map.Entry<String, List<Double>> each : took.entrySet()) {
            double[] times =
                    each.getValue().stream().mapToDouble(one -> one).sorted().toArray();
            table.append(String.format(
                    "| %s | %.2f | %.2f |%n", each.getKey(), times[times.length / 2], times[times.length - 1]));
            number(mine, each.getKey() + ", worst s", times[times.length - 1]);
            pass &= Arrays.stream(times).allMatch(one -> one <= (each.getKey().startsWith("join") ? 2 : 3.5));
        }
        mine.addProperty("longestDatagram", longest);
        figures.add("processes", mine);
        System.out.println(table);
        Files.writeString(results.resolve(quick ? "processes-quick.md" : "processes.md"), table);
        return pass;
    }

    private static void add(Map<String, List<Double>> took, String what, double seconds) {
        took.computeIfAbsent(what, any -> new ArrayList<>()).add(seconds);
    }
}
