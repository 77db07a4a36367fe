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
 * Measures how fast the membership views of query routers converge: in virtual time with up to 1,000 members, running
 * the production membership classes, and with real processes behind a relay that drops datagrams and cuts links.
 */
@Command(
        name = "fleet",
        description = "Joins, crashes, pauses and partitions of query routers; emulator, then processes.")
final class FleetLab implements Callable<Integer> {
    private static final double MAX_SECONDS = 60;
    private static final List<String> CASES =
            List.of("crash", "join", "pause of 2 s", "split of 6 s healed", "seven in ten killed");

    @Option(names = "--quick", description = "finishes within 45 s: one seed, 1,000 members only with 10% loss")
    private boolean quick;

    @Option(names = "--seed", description = "random seed (default ${DEFAULT-VALUE})")
    private long seed = 20261201;

    @Option(names = "--jar", description = "the query router's jar (default ${DEFAULT-VALUE})")
    private Path jar = Path.of("query-mixer/daemon/target/pinewick.jar");

    @Option(
            names = "--results",
            description = "output directory for table, figures and chart (default ${DEFAULT-VALUE})")
    private Path results = Path.of("results/fleet");

    /** The results of all runs with one fleet size and datagram loss. */
    private static final class SettingResult {
        final Map<String, List<Double>> times = new LinkedHashMap<>();
        final Map<String, Double> maxSeconds = new LinkedHashMap<>();
        int falseDeaths;
        double bytes;
        double datagrams;
        int maxDatagramsPerSecond;
        int runs;

        void addTimes(String caseName, double[] seconds) {
            for (double time : seconds) {
                times.computeIfAbsent(caseName, key -> new ArrayList<>()).add(time);
                maxSeconds.merge(
                        caseName,
                        time,
                        (left, right) ->
                                Double.isNaN(left) || Double.isNaN(right) ? Double.NaN : Math.max(left, right));
            }
        }

        double median(String caseName) {
            List<Double> sorted = new ArrayList<>(times.get(caseName));
            sorted.sort(Comparator.naturalOrder()); // NaN (not converged) sorts last
            return sorted.get(sorted.size() / 2);
        }
    }

    @Override
    public Integer call() throws Exception {
        if (!Files.exists(jar)) {
            System.err.println("pinewick-lab: --jar: " + jar + " not found; build the daemon first");
            return 2;
        }
        JsonObject figures = new JsonObject();
        figures.addProperty("experiment", "fleet, emulator (virtual time) and processes");
        figures.addProperty("seed", seed);
        boolean pass = runEmulator(figures);
        pass &= runProcesses(figures);
        figures.addProperty("pass", pass);
        Files.createDirectories(results);
        Files.writeString(results.resolve(quick ? "quick.json" : "full.json"), figures + "\n");
        System.out.println(figures);
        return pass ? 0 : 1;
    }

    private record Setting(int size, double loss) {}

    private boolean runEmulator(JsonObject figures) throws IOException {
        List<Setting> settings = new ArrayList<>();
        for (int size : new int[] {10, 100, 1000}) {
            for (double loss : new double[] {0, 0.1, 0.3}) {
                if (!quick || size < 1000 || loss == 0.1) {
                    settings.add(new Setting(size, loss));
                }
            }
        }
        Map<Setting, SettingResult> resultBySetting = new LinkedHashMap<>();
        settings.forEach(setting -> resultBySetting.put(setting, new SettingResult()));
        settings.parallelStream().forEach(setting -> {
            // Larger fleets get fewer runs: the cost of a run grows with about the square of the size.
            int runs = quick ? setting.size == 100 ? 3 : 1 : setting.size == 1000 ? 2 : 20;
            for (int run = 0; run < runs; run++) {
                runCases(setting, seed + run, resultBySetting.get(setting));
            }
        });
        StringBuilder table =
                new StringBuilder("Seconds until a live member holds the true view for good: median, worst "
                        + "(emulator, virtual time; datagrams take 1 to 18 ms, one in a hundred comes "
                        + "twice)\n\n| members, lost, runs |");
        CASES.forEach(caseName -> table.append(' ').append(caseName).append(" |"));
        table.append(" false deaths | datagrams, bytes a member a second | most datagrams in a second |\n| --- |"
                        + " --- |".repeat(CASES.size() + 3))
                .append('\n');
        boolean pass = true;
        for (Map.Entry<Setting, SettingResult> settingEntry : resultBySetting.entrySet()) {
            Setting setting = settingEntry.getKey();
            SettingResult result = settingEntry.getValue();
            String name = setting.size + ", " + Math.round(setting.loss * 100) + "%";
            table.append("| ").append(name).append(", ").append(result.runs).append(" |");
            JsonObject entry = new JsonObject();
            for (String caseName : CASES) {
                table.append(
                        String.format(" %.2f, %s |", result.median(caseName), format(result.maxSeconds.get(caseName))));
                addNumber(entry, caseName + ", median s", result.median(caseName));
                addNumber(entry, caseName + ", worst s", result.maxSeconds.get(caseName));
            }
            table.append(String.format(
                    " %d | %.1f, %.0f | %d |%n",
                    result.falseDeaths,
                    result.datagrams / result.runs,
                    result.bytes / result.runs,
                    result.maxDatagramsPerSecond));
            entry.addProperty("falseDeaths", result.falseDeaths);
            addNumber(entry, "bytesASecond", result.bytes / result.runs);
            entry.addProperty("mostDatagramsInASecond", result.maxDatagramsPerSecond);
            figures.add(name, entry);
            if (setting.loss <= 0.1) {
                pass &= result.falseDeaths == 0 && result.bytes / result.runs < 2000;
            }
            if (setting.size == 100 && setting.loss == 0.1) {
                pass &= result.maxSeconds.get("crash") <= 3
                        && result.maxSeconds.get("join") <= 2
                        && result.maxSeconds.get("split of 6 s healed") <= 3;
            }
        }
        double smallestFleetBytes =
                resultBySetting.get(new Setting(10, 0.1)).bytes / resultBySetting.get(new Setting(10, 0.1)).runs;
        double largestFleetBytes =
                resultBySetting.get(new Setting(1000, 0.1)).bytes / resultBySetting.get(new Setting(1000, 0.1)).runs;
        figures.addProperty("loadOfAThousandOverTen", Math.round(largestFleetBytes / smallestFleetBytes * 100) / 100.0);
        pass &= largestFleetBytes <= 1.25 * smallestFleetBytes;
        System.out.println(table);
        Files.createDirectories(results);
        Files.writeString(results.resolve(quick ? "emulator-quick.md" : "emulator.md"), table);
        chart(resultBySetting);
        return pass;
    }

    private static String format(double seconds) {
        return Double.isNaN(seconds) ? "over " + Math.round(MAX_SECONDS) : String.format("%.2f", seconds);
    }

    private static void addNumber(JsonObject target, String name, double value) {
        target.addProperty(name, Double.isNaN(value) ? null : Math.round(value * 100) / 100.0);
    }

    /** Runs all cases of one setting with one seed in the same fleet, in order, each from a converged view. */
    private static void runCases(Setting setting, long seed, SettingResult result) {
        int size = setting.size;
        SimulatedQueryRouterFleet fleet = new SimulatedQueryRouterFleet(size, seed);
        fleet.datagrams().setLinkQuality(setting.loss, 0.01, 0.001, 0.018);
        fleet.startAll();
        runFor(fleet, 10);
        long bytes = fleet.sentBytes();
        long datagrams = fleet.sent();
        fleet.datagrams().takeMaxPerSecond();
        runFor(fleet, 10);
        double bytesPerMember = (fleet.sentBytes() - bytes) / 10.0 / size;
        double datagramsPerMember = (fleet.sent() - datagrams) / 10.0 / size;
        Map<String, double[]> secondsByCase = new LinkedHashMap<>();
        int falseDeaths = countFalseDeaths(fleet, 0, member -> false);

        fleet.datagrams().kill(size / 2);
        int deathsBefore = fleet.deaths().size();
        secondsByCase.put(CASES.get(0), fleet.secondsToConvergePerMember(MAX_SECONDS));
        runFor(fleet, 3);
        falseDeaths += countFalseDeaths(fleet, deathsBefore, member -> member == size / 2);
        deathsBefore = fleet.deaths().size();
        fleet.start(size / 2);
        secondsByCase.put(CASES.get(1), fleet.secondsToConvergePerMember(MAX_SECONDS));
        runFor(fleet, 3);
        fleet.datagrams().setPaused(1, true);
        runFor(fleet, 2);
        fleet.datagrams().setPaused(1, false);
        secondsByCase.put(CASES.get(2), fleet.secondsToConvergePerMember(MAX_SECONDS));
        runFor(fleet, 3);
        falseDeaths += countFalseDeaths(fleet, deathsBefore, member -> false);
        int minority = Math.max(1, size / 5);
        fleet.datagrams().partition((from, to) -> from < minority != to < minority);
        runFor(fleet, 6);
        fleet.datagrams().partition((from, to) -> false);
        secondsByCase.put(CASES.get(3), fleet.secondsToConvergePerMember(MAX_SECONDS));
        runFor(fleet, 3);
        deathsBefore = fleet.deaths().size();
        int firstKilled = size / 10;
        int killedCount = size * 7 / 10;
        for (int index = firstKilled; index < firstKilled + killedCount; index++) {
            fleet.datagrams().kill(index);
        }
        secondsByCase.put(CASES.get(4), fleet.secondsToConvergePerMember(MAX_SECONDS));
        falseDeaths += countFalseDeaths(
                fleet, deathsBefore, member -> member >= firstKilled && member < firstKilled + killedCount);
        int maxDatagramsPerSecond = fleet.datagrams().takeMaxPerSecond();
        synchronized (result) {
            secondsByCase.forEach(result::addTimes);
            result.falseDeaths += falseDeaths;
            result.bytes += bytesPerMember;
            result.datagrams += datagramsPerMember;
            result.maxDatagramsPerSecond = Math.max(result.maxDatagramsPerSecond, maxDatagramsPerSecond);
            result.runs++;
        }
    }

    private static void runFor(SimulatedQueryRouterFleet fleet, double seconds) {
        fleet.datagrams().run(fleet.datagrams().now() + seconds);
    }

    /** Number of members that any member declared dead since {@code deathsBefore} although they were alive. */
    private static int countFalseDeaths(
            SimulatedQueryRouterFleet fleet, int deathsBefore, java.util.function.IntPredicate isDead) {
        return (int) fleet.deaths().subList(deathsBefore, fleet.deaths().size()).stream()
                .mapToInt(death -> Integer.parseInt(death.split(" ")[0]))
                .distinct()
                .filter(member -> !isDead.test(member))
                .count();
    }

    private void chart(Map<Setting, SettingResult> resultBySetting) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(800)
                .height(480)
                .title("Members that hold the true view after a crash, 10% lost")
                .xAxisTitle("seconds since the crash")
                .yAxisTitle("share of the live members")
                .build();
        for (int size : new int[] {10, 100, 1000}) {
            double[] times = resultBySetting.get(new Setting(size, 0.1)).times.get("crash").stream()
                    .mapToDouble(time -> time)
                    .filter(time -> !Double.isNaN(time))
                    .sorted()
                    .toArray();
            double[] shares = IntStream.range(0, times.length)
                    .mapToDouble(index -> (index + 1.0) / times.length)
                    .toArray();
            chart.addSeries(size + " members", times, shares)
                    .setMarker(org.knowm.xchart.style.markers.SeriesMarkers.NONE);
        }
        VectorGraphicsEncoder.saveVectorGraphic(
                chart,
                results.resolve(quick ? "crash-quick" : "crash").toString(),
                VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
    }

    /** Runs real query router processes behind a relay that drops a tenth of the datagrams. */
    private boolean runProcesses(JsonObject figures) throws Exception {
        int size = quick ? 5 : 7;
        int rounds = quick ? 1 : 5;
        Path directory = Files.createTempDirectory("pinewick-lab");
        Map<String, List<Double>> secondsByCase = new LinkedHashMap<>();
        int falseDeaths = 0;
        int longestDatagram;
        String allAlive = "A".repeat(size);
        int[] allMembers = IntStream.range(0, size).toArray();
        int[] otherMembers = IntStream.range(0, size - 1).toArray();
        try (FleetProcesses fleet = new FleetProcesses(size, jar, directory, null, seed)) {
            fleet.relay().setLinkQuality(0.1, 0.02, 0.001, 0.018);
            fleet.start(allMembers);
            if (Double.isNaN(fleet.secondsUntil(30, allAlive, allMembers))) {
                throw new IllegalStateException("the query routers did not see each other within 30 s");
            }
            for (int round = 0; round < rounds; round++) {
                TimeUnit.SECONDS.sleep(1);
                fleet.router(size - 1).stop(false);
                addTime(secondsByCase, "crash", fleet.secondsUntil(20, "A".repeat(size - 1) + "D", otherMembers));
                fleet.start(size - 1);
                if (!fleet.router(size - 1).awaitReady(20)) {
                    throw new IllegalStateException("a query router did not become ready within 20 s of its restart");
                }
                addTime(secondsByCase, "join, from ready on", fleet.secondsUntil(20, allAlive, allMembers));
                fleet.router(1).signal("STOP");
                TimeUnit.SECONDS.sleep(2);
                fleet.router(1).signal("CONT");
                addTime(secondsByCase, "pause of 2 s, from its end on", fleet.secondsUntil(20, allAlive, allMembers));
                falseDeaths += fleet.deathDeclarations(1, otherMembers) - falseDeaths;
                fleet.relay().partition((from, to) -> from < 2 != to < 2);
                TimeUnit.SECONDS.sleep(6);
                fleet.relay().partition((from, to) -> false);
                addTime(secondsByCase, "split of 6 s, from its end on", fleet.secondsUntil(20, allAlive, allMembers));
                if (round + 1 < rounds) {
                    falseDeaths = fleet.deathDeclarations(1, otherMembers); // due to the partition, not to a pause
                }
            }
            longestDatagram = fleet.relay().maxDatagramBytes();
        }
        StringBuilder table =
                new StringBuilder("Seconds until all processes hold the view (" + size + " mixers on loopback, "
                        + "a tenth of the datagrams lost): median, worst\n\n| case | median | worst |\n| "
                        + "--- | --- | --- |\n");
        JsonObject entry = new JsonObject();
        boolean pass = longestDatagram <= 256;
        for (Map.Entry<String, List<Double>> caseEntry : secondsByCase.entrySet()) {
            double[] times = caseEntry.getValue().stream()
                    .mapToDouble(seconds -> seconds)
                    .sorted()
                    .toArray();
            table.append(String.format(
                    "| %s | %.2f | %.2f |%n", caseEntry.getKey(), times[times.length / 2], times[times.length - 1]));
            addNumber(entry, caseEntry.getKey() + ", worst s", times[times.length - 1]);
            pass &= Arrays.stream(times)
                    .allMatch(seconds -> seconds <= (caseEntry.getKey().startsWith("join") ? 2 : 3.5));
        }
        entry.addProperty("longestDatagram", longestDatagram);
        figures.add("processes", entry);
        System.out.println(table);
        Files.writeString(results.resolve(quick ? "processes-quick.md" : "processes.md"), table);
        return pass;
    }

    private static void addTime(Map<String, List<Double>> secondsByCase, String caseName, double seconds) {
        secondsByCase.computeIfAbsent(caseName, key -> new ArrayList<>()).add(seconds);
    }
}
