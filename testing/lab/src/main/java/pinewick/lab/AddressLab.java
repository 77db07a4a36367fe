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
 * In the simulator (virtual time, the very classes that decide): how long it takes to get a connection to a searcher of
 * three addresses while some of them hang, refuse, flap or are slow, beside three baselines.
 */
@Command(name = "addresses", description = "Connects over several addresses, in virtual time, beside baselines.")
final class AddressLab implements Callable<Integer> {
    private static final double MOST = 0.5;
    private static final double FIXED = 0.25;
    private static final String UNIX = "unix:/run/searcher.sock";
    private static final String SIX = "[2001:db8::3]:7070";
    private static final String FOUR = "192.0.2.3:7070";

    /** What an address does at a time: seconds until it opens; NaN hangs, negative refuses after so many seconds. */
    private record Case(String name, String good, Map<String, DoubleUnaryOperator> does) {}

    @Option(names = "--quick", description = "fewer connects")
    private boolean quick;

    @Option(names = "--seed", description = "of all chance (default ${DEFAULT-VALUE})")
    private long seed = 20261201;

    @Option(names = "--results", description = "folder for table and figures (default ${DEFAULT-VALUE})")
    private Path results = Path.of("results/addresses");

    @Override
    public Integer call() throws Exception {
        SplittableRandom chance = new SplittableRandom(seed);
        int connects = quick ? 500 : 5000;
        StringBuilder table = new StringBuilder(
                "Seconds to a connection, ms (simulator): first; then median and 99th percentile after "
                        + "the first 20, one connect a second, " + connects
                        + " connects\n\n| case | known good alone | ours | one after "
                        + "another, fixed 250 ms | plain race, no history |\n| --- | --- | --- | --- | --- |\n");
        JsonObject figures = new JsonObject();
        figures.addProperty("experiment", "addresses, simulator");
        figures.addProperty("seed", seed);
        boolean pass = true;
        for (Case one : cases(chance)) {
            Histogram[] times = {new Histogram(3), new Histogram(3), new Histogram(3), new Histogram(3)};
            double[] first = new double[4];
            AddressHistory book = book(one);
            int lost = 0;
            for (int each = 0; each < connects; each++) {
                double now = each;
                double[] took = {
                    one.does.get(one.good).applyAsDouble(now),
                    race(one, book, now),
                    inTurn(one, now),
                    race(one, book(one), now)
                };
                for (int way = 0; way < 4; way++) {
                    if (each == 0) {
                        first[way] = took[way];
                    }
                    if (each >= 20) {
                        times[way].recordValue(Math.round(1e6 * (Double.isNaN(took[way]) ? MOST : took[way])));
                    }
                }
                lost += Double.isNaN(took[1]) ? 1 : 0;
            }
            table.append("| ").append(one.name);
            for (int way = 0; way < 4; way++) {
                table.append(String.format(
                        " | %.0f; %.1f, %.1f",
                        first[way] * 1e3,
                        times[way].getValueAtPercentile(50) / 1e3,
                        times[way].getValueAtPercentile(99) / 1e3));
            }
            table.append(" |\n");
            boolean near = times[1].getValueAtPercentile(50) <= 1.1 * times[0].getValueAtPercentile(50);
            boolean good = near && lost == 0 && first[1] < 0.3;
            if (!good) {
                table.append("| ")
                        .append(one.name)
                        .append(": not within 10% of the good address, or lost ")
                        .append(lost)
                        .append(", or the first over 300 ms | | | | |\n");
            }
            pass &= good;
            JsonObject mine = new JsonObject();
            mine.addProperty("firstMs", Math.round(first[1] * 1e4) / 10.0);
            mine.addProperty("medianMs", times[1].getValueAtPercentile(50) / 1e3);
            mine.addProperty("p99Ms", times[1].getValueAtPercentile(99) / 1e3);
            mine.addProperty("goodMedianMs", times[0].getValueAtPercentile(50) / 1e3);
            mine.addProperty("lost", lost);
            figures.add(one.name, mine);
        }
        System.out.println(table);
        figures.addProperty("pass", pass);
        Files.createDirectories(results);
        Files.writeString(results.resolve(quick ? "quick.md" : "full.md"), table);
        Files.writeString(results.resolve(quick ? "quick.json" : "full.json"), figures + "\n");
        System.out.println(figures);
        return pass ? 0 : 1;
    }

    private static List<Case> cases(SplittableRandom chance) {
        DoubleUnaryOperator quickly = now -> 0.002 - 0.0005 * Math.log(1 - chance.nextDouble());
        DoubleUnaryOperator hangs = now -> Double.NaN;
        DoubleUnaryOperator refuses = now -> -0.001;
        DoubleUnaryOperator slow = now -> 0.15 + 0.02 * chance.nextDouble();
        List<Case> cases = new ArrayList<>();
        cases.add(of("all well", UNIX, quickly, quickly, quickly));
        cases.add(of("IPv6 hangs, no Unix socket", FOUR, null, hangs, quickly));
        cases.add(of("Unix socket hangs", SIX, hangs, quickly, quickly));
        cases.add(of("Unix socket and IPv6 hang", FOUR, hangs, hangs, quickly));
        cases.add(of("Unix socket refuses", SIX, refuses, quickly, quickly));
        cases.add(of(
                "IPv6 flaps each second",
                FOUR,
                null,
                now -> Math.floorMod((long) now, 2L) == 0 ? 0.002 : Double.NaN,
                quickly));
        cases.add(of("IPv6 is slow, not dead", FOUR, null, slow, quickly));
        cases.add(of("IPv6 returns after a minute", FOUR, null, now -> now % 120 < 60 ? Double.NaN : 0.002, quickly));
        return cases;
    }

    private static Case of(
            String name, String good, DoubleUnaryOperator unix, DoubleUnaryOperator six, DoubleUnaryOperator four) {
        Map<String, DoubleUnaryOperator> does = new LinkedHashMap<>();
        if (unix != null) {
            does.put(UNIX, unix);
        }
        does.put(SIX, six);
        does.put(FOUR, four);
        return new Case(name, good, does);
    }

    private static AddressHistory book(Case one) {
        AddressHistory book = new AddressHistory();
        book.setAddresses(one.does.keySet().stream().map(Address::parse).toList());
        return book;
    }

    /** The addresses as listed, one after another, each for a fixed time. */
    private static double inTurn(Case one, double now) {
        double spent = 0;
        for (DoubleUnaryOperator does : one.does.values()) {
            double took = does.applyAsDouble(now);
            if (took >= 0 && took <= FIXED) {
                return spent + took;
            }
            spent += took < 0 ? -took : FIXED;
        }
        return Double.NaN;
    }

    private record Due(double at, Runnable what) {}

    /** One race in virtual time; the seconds until its winner came up, NaN where it was lost. */
    private static double race(Case one, AddressHistory book, double began) {
        double[] now = {began};
        Address[] winner = new Address[1];
        PriorityQueue<Due> queue = new PriorityQueue<>((left, right) -> Double.compare(left.at, right.at));
        ConnectionRace[] race = new ConnectionRace[1];
        race[0] = new ConnectionRace(book, began, MOST, new ConnectionRace.Transport() {
            @Override
            public void connect(Address address) {
                double does = one.does.get(address.toString()).applyAsDouble(began);
                if (does >= 0) {
                    queue.add(new Due(now[0] + does, () -> race[0].onConnected(now[0], address)));
                } else if (does < 0) {
                    queue.add(new Due(now[0] - does, () -> race[0].onConnectFailed(now[0], address)));
                }
            }

            @Override
            public void cancel(Address address) {
                // Nothing is kept of it here.
            }

            @Override
            public void onWon(Address address) {
                winner[0] = address;
            }

            @Override
            public void onLost() {
                // The winner stays unset.
            }
        });
        race[0].tick(began);
        while (!race[0].isFinished()) {
            double tick = now[0] + 0.005;
            while (!queue.isEmpty() && queue.peek().at <= tick && !race[0].isFinished()) {
                Due due = queue.poll();
                now[0] = due.at;
                due.what.run();
            }
            if (!race[0].isFinished()) {
                now[0] = tick;
                race[0].tick(tick);
            }
        }
        if (winner[0] == null) {
            return Double.NaN;
        }
        book.onDataReceived(winner[0], now[0]);
        return now[0] - began;
    }
}
