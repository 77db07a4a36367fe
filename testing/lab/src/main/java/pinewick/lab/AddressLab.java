package pinewick.lab;

import com.google.gson.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.function.DoubleUnaryOperator;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import pinewick.dial.Address;
import pinewick.dial.AddressHistory;
import pinewick.dial.ConnectionRace;

/**
 * Measures in the simulator (virtual time, the production connection classes) how long it takes to connect to a search
 * replica with three addresses while some of them hang, refuse, flap or are slow, compared with three baselines.
 */
@Command(name = "addresses", description = "Connects over several addresses, in virtual time, compared with baselines.")
final class AddressLab implements Callable<Integer> {
    private static final double TIMEOUT_SECONDS = 0.5;
    private static final double FIXED_ATTEMPT_SECONDS = 0.25;
    private static final String UNIX_ADDRESS = "unix:/run/searcher.sock";
    private static final String IPV6_ADDRESS = "[2001:db8::3]:7070";
    private static final String IPV4_ADDRESS = "192.0.2.3:7070";

    /**
     * Behavior of each address as a function of the time: seconds until it connects; NaN if it hangs; if negative, it
     * refuses after the absolute value.
     */
    private record Case(String name, String goodAddress, Map<String, DoubleUnaryOperator> behaviors) {}

    @Option(names = "--quick", description = "fewer connection attempts")
    private boolean quick;

    @Option(names = "--seed", description = "random seed (default ${DEFAULT-VALUE})")
    private long seed = 20261201;

    @Option(names = "--results", description = "output directory for table and figures (default ${DEFAULT-VALUE})")
    private Path results = Path.of("results/addresses");

    @Override
    public Integer call() throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        int attempts = quick ? 500 : 5000;
        StringBuilder table = new StringBuilder(
                "Seconds to a connection, ms (simulator): first; then median and 99th percentile after "
                        + "the first 20, one connect a second, " + attempts
                        + " connects\n\n| case | known good alone | ours | one after "
                        + "another, fixed 250 ms | plain race, no history |\n| --- | --- | --- | --- | --- |\n");
        JsonObject figures = new JsonObject();
        figures.addProperty("experiment", "addresses, simulator");
        figures.addProperty("seed", seed);
        boolean pass = true;
        for (Case testCase : cases(random)) {
            Histogram[] times = {new Histogram(3), new Histogram(3), new Histogram(3), new Histogram(3)};
            double[] firstSeconds = new double[4];
            AddressHistory history = newHistory(testCase);
            int failed = 0;
            for (int attempt = 0; attempt < attempts; attempt++) {
                double now = attempt;
                double[] seconds = {
                    testCase.behaviors.get(testCase.goodAddress).applyAsDouble(now),
                    race(testCase, history, now),
                    connectSequentially(testCase, now),
                    race(testCase, newHistory(testCase), now)
                };
                for (int strategy = 0; strategy < 4; strategy++) {
                    if (attempt == 0) {
                        firstSeconds[strategy] = seconds[strategy];
                    }
                    if (attempt >= 20) {
                        times[strategy].recordValue(Math.round(
                                1e6 * (Double.isNaN(seconds[strategy]) ? TIMEOUT_SECONDS : seconds[strategy])));
                    }
                }
                failed += Double.isNaN(seconds[1]) ? 1 : 0;
            }
            table.append("| ").append(testCase.name);
            for (int strategy = 0; strategy < 4; strategy++) {
                table.append(String.format(
                        " | %.0f; %.1f, %.1f",
                        firstSeconds[strategy] * 1e3,
                        times[strategy].getValueAtPercentile(50) / 1e3,
                        times[strategy].getValueAtPercentile(99) / 1e3));
            }
            table.append(" |\n");
            boolean withinTolerance = times[1].getValueAtPercentile(50) <= 1.1 * times[0].getValueAtPercentile(50);
            boolean casePassed = withinTolerance && failed == 0 && firstSeconds[1] < 0.3;
            if (!casePassed) {
                table.append("| ")
                        .append(testCase.name)
                        .append(": not within 10% of the good address, or lost ")
                        .append(failed)
                        .append(", or the first over 300 ms | | | | |\n");
            }
            pass &= casePassed;
            JsonObject entry = new JsonObject();
            entry.addProperty("firstMs", Math.round(firstSeconds[1] * 1e4) / 10.0);
            entry.addProperty("medianMs", times[1].getValueAtPercentile(50) / 1e3);
            entry.addProperty("p99Ms", times[1].getValueAtPercentile(99) / 1e3);
            entry.addProperty("goodMedianMs", times[0].getValueAtPercentile(50) / 1e3);
            entry.addProperty("lost", failed);
            figures.add(testCase.name, entry);
        }
        System.out.println(table);
        figures.addProperty("pass", pass);
        Files.createDirectories(results);
        Files.writeString(results.resolve(quick ? "quick.md" : "full.md"), table);
        Files.writeString(results.resolve(quick ? "quick.json" : "full.json"), figures + "\n");
        System.out.println(figures);
        return pass ? 0 : 1;
    }

    private static List<Case> cases(SplittableRandom random) {
        DoubleUnaryOperator fast = now -> 0.002 - 0.0005 * Math.log(1 - random.nextDouble());
        DoubleUnaryOperator hangs = now -> Double.NaN;
        DoubleUnaryOperator refuses = now -> -0.001;
        DoubleUnaryOperator slow = now -> 0.15 + 0.02 * random.nextDouble();
        List<Case> cases = new ArrayList<>();
        cases.add(newCase("all well", UNIX_ADDRESS, fast, fast, fast));
        cases.add(newCase("IPv6 hangs, no Unix socket", IPV4_ADDRESS, null, hangs, fast));
        cases.add(newCase("Unix socket hangs", IPV6_ADDRESS, hangs, fast, fast));
        cases.add(newCase("Unix socket and IPv6 hang", IPV4_ADDRESS, hangs, hangs, fast));
        cases.add(newCase("Unix socket refuses", IPV6_ADDRESS, refuses, fast, fast));
        cases.add(newCase(
                "IPv6 flaps each second",
                IPV4_ADDRESS,
                null,
                now -> Math.floorMod((long) now, 2L) == 0 ? 0.002 : Double.NaN,
                fast));
        cases.add(newCase("IPv6 is slow, not dead", IPV4_ADDRESS, null, slow, fast));
        cases.add(newCase(
                "IPv6 returns after a minute", IPV4_ADDRESS, null, now -> now % 120 < 60 ? Double.NaN : 0.002, fast));
        return cases;
    }

    private static Case newCase(
            String name,
            String goodAddress,
            DoubleUnaryOperator unix,
            DoubleUnaryOperator ipv6,
            DoubleUnaryOperator ipv4) {
        Map<String, DoubleUnaryOperator> behaviors = new LinkedHashMap<>();
        if (unix != null) {
            behaviors.put(UNIX_ADDRESS, unix);
        }
        behaviors.put(IPV6_ADDRESS, ipv6);
        behaviors.put(IPV4_ADDRESS, ipv4);
        return new Case(name, goodAddress, behaviors);
    }

    private static AddressHistory newHistory(Case testCase) {
        AddressHistory history = new AddressHistory();
        history.setAddresses(
                testCase.behaviors.keySet().stream().map(Address::parse).toList());
        return history;
    }

    /** Tries the addresses sequentially in listed order, each with a fixed timeout; NaN if none connects. */
    private static double connectSequentially(Case testCase, double now) {
        double elapsed = 0;
        for (DoubleUnaryOperator behavior : testCase.behaviors.values()) {
            double seconds = behavior.applyAsDouble(now);
            if (seconds >= 0 && seconds <= FIXED_ATTEMPT_SECONDS) {
                return elapsed + seconds;
            }
            elapsed += seconds < 0 ? -seconds : FIXED_ATTEMPT_SECONDS;
        }
        return Double.NaN;
    }

    private record Event(double at, Runnable action) {}

    /** Runs one connection race in virtual time: seconds until an address connected, NaN if none did. */
    private static double race(Case testCase, AddressHistory history, double startedAt) {
        double[] now = {startedAt};
        Address[] winner = new Address[1];
        PriorityQueue<Event> queue = new PriorityQueue<>((left, right) -> Double.compare(left.at, right.at));
        ConnectionRace[] race = new ConnectionRace[1];
        race[0] = new ConnectionRace(history, startedAt, TIMEOUT_SECONDS, new ConnectionRace.Transport() {
            @Override
            public void connect(Address address) {
                double connectSeconds =
                        testCase.behaviors.get(address.toString()).applyAsDouble(startedAt);
                if (connectSeconds >= 0) {
                    queue.add(new Event(now[0] + connectSeconds, () -> race[0].onConnected(now[0], address)));
                } else if (connectSeconds < 0) {
                    queue.add(new Event(now[0] - connectSeconds, () -> race[0].onConnectFailed(now[0], address)));
                }
            }

            @Override
            public void cancel(Address address) {
                // The simulation holds no state per attempt.
            }

            @Override
            public void onWon(Address address) {
                winner[0] = address;
            }

            @Override
            public void onLost() {
                // The winner stays null.
            }
        });
        race[0].tick(startedAt);
        while (!race[0].isFinished()) {
            double tick = now[0] + 0.005;
            while (!queue.isEmpty() && queue.peek().at <= tick && !race[0].isFinished()) {
                Event event = queue.poll();
                now[0] = event.at;
                event.action.run();
            }
            if (!race[0].isFinished()) {
                now[0] = tick;
                race[0].tick(tick);
            }
        }
        if (winner[0] == null) {
            return Double.NaN;
        }
        history.onDataReceived(winner[0], now[0]);
        return now[0] - startedAt;
    }
}
