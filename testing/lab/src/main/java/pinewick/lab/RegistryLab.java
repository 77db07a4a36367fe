package pinewick.lab;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import pinewick.registry.EtcdJson;
import pinewick.registry.KeyValue;
import pinewick.registry.RegistryResponse;
import pinewick.registry.RegistryView;
import pinewick.rules.RuleChecker;
import pinewick.rules.Trace;
import pinewick.standins.QueryRouterProcess;
import pinewick.standins.RegistryState;
import pinewick.standins.StandinRegistry;
import pinewick.standins.StandinReplicas;

/**
 * On sockets: real mixer processes under steady queries follow a stand-in registry that compacts, drops, pauses and
 * hides; searchers drain in between, and every part that reaches one later than the grace is counted. Then, without
 * sockets, what a whole view costs by size.
 */
@Command(name = "registry", description = "Drains through a registry that breaks; cost of whole views.")
final class RegistryLab implements Callable<Integer> {
    private static final double GRACE = 0.5;
    private static final int CELLS = 6;
    private static final int SEARCHERS = 18;
    private static final String PREFIX = "/stores/";
    private static final String GRADE =
            "{\"name\":\"any\",\"slo-ns\":500e6,\"hard-limit-ns\":2e9,\"effect\":\"retryable\"}";

    /** What is broken round a drain. */
    private enum Trouble {
        NONE,
        COMPACTED,
        DROPPED,
        MUTE,
        ONE_SILENT,
        ONE_CUT_OFF,
        HALF_LINE,
        SPLIT,
        TERM,
        KILL
    }

    private record Drain(int searcher, Trouble trouble, double told, double until) {}

    @Option(names = "--quick", description = "ends within 45 s, with fewer drains")
    private boolean quick;

    @Option(names = "--seed", description = "of all chance (default ${DEFAULT-VALUE})")
    private long seed = 20261201;

    @Option(names = "--jar", description = "the mixer's program (default ${DEFAULT-VALUE})")
    private Path jar = Path.of("query-mixer/daemon/target/pinewick.jar");

    @Option(names = "--results", description = "folder for table, figures and chart (default ${DEFAULT-VALUE})")
    private Path results = Path.of("results/registry");

    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger fulfilled = new AtomicInteger();
    private final AtomicInteger declined = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicBoolean over = new AtomicBoolean();
    private final Trace trace = new Trace();
    /** While a mixer stops or starts, what is lost on the way to it says nothing of the registry. */
    private final boolean[] away = new boolean[2];

    @Override
    public Integer call() throws Exception {
        if (!Files.exists(jar)) {
            System.err.println("pinewick-lab: --jar: " + jar + " is not there; build the daemon first");
            return 2;
        }
        JsonObject figures = new JsonObject();
        figures.addProperty("experiment", "registry, real mixers on sockets");
        figures.addProperty("seed", seed);
        boolean pass = drains(figures);
        pass &= views(figures);
        figures.addProperty("pass", pass);
        Files.createDirectories(results);
        Files.writeString(results.resolve(quick ? "quick.json" : "full.json"), figures + "\n");
        System.out.println(figures);
        return pass ? 0 : 1;
    }

    private static String value(StandinReplicas searchers, int searcher, String phase) {
        return "{\"addresses\":[\"" + searchers.address(searcher) + "\"],\"zone\":\"a\",\"cell\":" + searcher % CELLS
                + ",\"phase\":\"" + phase + "\"}";
    }

    private boolean drains(JsonObject figures) throws Exception {
        int rounds = quick ? 18 : 60;
        SplittableRandom chance = new SplittableRandom(seed);
        Path folder = Files.createTempDirectory("pinewick-lab");
        List<Drain> drains = new ArrayList<>();
        List<QueryRouterProcess> mixers = new ArrayList<>();
        try (StandinRegistry registry = new StandinRegistry(3);
                StandinReplicas searchers = new StandinReplicas(SEARCHERS, 0.003)) {
            for (int each = 0; each < SEARCHERS; each++) {
                registry.put(PREFIX + "s-" + each, value(searchers, each, "ready"));
            }
            for (int each = 0; each < away.length; each++) {
                mixers.add(mixer(folder.resolve("mixer-" + each), registry));
                mixers.get(each).start();
            }
            for (QueryRouterProcess each : mixers) {
                if (!each.awaitReady(15)) {
                    System.err.println(Files.readString(each.log()));
                    throw new IllegalStateException("a mixer did not become ready");
                }
            }
            List<Thread> clients = new ArrayList<>();
            for (int each = 0; each < 4; each++) {
                clients.add(client(mixers, each));
            }
            TimeUnit.MILLISECONDS.sleep(300);
            for (int round = 0; round < rounds; round++) {
                round(registry, searchers, mixers, chance, Trouble.values()[round % Trouble.values().length], drains);
                System.err.print(System.console() == null ? "" : "\rround " + (round + 1) + " of " + rounds + "  ");
            }
            TimeUnit.MILLISECONDS.sleep(700);
            over.set(true);
            for (Thread each : clients) {
                each.join(5000);
            }
            long registryRevision = registry.revision();
            boolean equal = true;
            for (QueryRouterProcess each : mixers) {
                String counters = each.get("/counters");
                equal &= counters != null
                        && counters.contains("registry-revision " + registryRevision + "\n")
                        && counters.contains("registry-keys " + SEARCHERS + "\n");
            }
            return judge(figures, drains, searchers, equal);
        } finally {
            over.set(true);
            mixers.forEach(QueryRouterProcess::close);
        }
    }

    private QueryRouterProcess mixer(Path folder, StandinRegistry registry) throws IOException {
        Files.createDirectories(folder);
        Path operator = folder.resolve("operator.json");
        StringBuilder endpoints = new StringBuilder();
        registry.members().forEach(each -> endpoints
                .append(endpoints.isEmpty() ? "" : ",")
                .append('"')
                .append(each.address())
                .append('"'));
        Files.writeString(
                operator,
                "{\"registry\":{\"endpoints\":[" + endpoints + "],\"prefix\":\"" + PREFIX + "\",\"kept\":\""
                        + folder.resolve("kept") + "\"}}");
        return new QueryRouterProcess(jar, folder, operator, GRADE, CELLS);
    }

    private Thread client(List<QueryRouterProcess> mixers, int number) {
        Thread client = new Thread(
                () -> {
                    int asks = 0;
                    try {
                        while (!over.get()) {
                            int at = (number + asks) % mixers.size();
                            boolean before = away(at);
                            String id = "q-" + number + "-" + asks++;
                            double began = StandinReplicas.clock();
                            int status = mixers.get(at).query(id, "any", CELLS, 1);
                            double ended = StandinReplicas.clock();
                            if (before || away(at)) {
                                // A mixer that is killed answers nothing; what it sent still counts for rule 3.
                                TimeUnit.MILLISECONDS.sleep(10);
                                continue;
                            }
                            trace.add(began, "tier", Trace.Kind.TAKEN, id, "-", "-", "1");
                            if (status > 0) {
                                trace.add(
                                        ended,
                                        "tier",
                                        Trace.Kind.ANSWERED,
                                        id,
                                        "-",
                                        "-",
                                        status == 200 ? "fulfilled" : status == 503 ? "declined" : "given-up");
                            }
                            asked.incrementAndGet();
                            (status == 200 ? fulfilled : status == 503 ? declined : lost).incrementAndGet();
                            TimeUnit.MILLISECONDS.sleep(4);
                        }
                    } catch (InterruptedException stopped) {
                        Thread.currentThread().interrupt();
                    }
                },
                "client-" + number);
        client.setDaemon(true);
        client.start();
        return client;
    }

    private synchronized boolean away(int mixer) {
        return away[mixer];
    }

    private synchronized void away(int mixer, boolean now) {
        away[mixer] = now;
    }

    /** One drain in each of four cells, with a trouble round them; the searchers are ready again at its end. */
    private void round(
            StandinRegistry registry,
            StandinReplicas searchers,
            List<QueryRouterProcess> mixers,
            SplittableRandom chance,
            Trouble trouble,
            List<Drain> drains)
            throws Exception {
        List<Integer> chosen = new ArrayList<>();
        for (int cell = 0; cell < 4; cell++) {
            chosen.add(cell + CELLS * chance.nextInt(SEARCHERS / CELLS));
        }
        List<StandinRegistry.Member> members = registry.members();
        StandinRegistry.Member one = members.get(chance.nextInt(members.size()));
        int mixer = chance.nextInt(mixers.size());
        switch (trouble) {
            case COMPACTED -> {
                members.forEach(each -> each.setDown(true));
                TimeUnit.MILLISECONDS.sleep(50 + chance.nextInt(150));
            }
            case MUTE -> members.forEach(each -> each.watchSilent = true);
            case ONE_SILENT -> one.silent = true;
            case ONE_CUT_OFF -> one.setPartitioned(true);
            case HALF_LINE -> members.forEach(each -> each.breakNextEvent = true);
            case SPLIT -> members.forEach(each -> each.maxWriteBytes = 7);
            case TERM, KILL -> {
                away(mixer, true);
                mixers.get(mixer).stop(trouble == Trouble.TERM);
            }
            default -> {}
        }
        for (int each : chosen) {
            registry.put(PREFIX + "s-" + each, value(searchers, each, "draining"));
        }
        if (trouble == Trouble.COMPACTED) {
            registry.compact();
            members.forEach(each -> each.setDown(false));
        } else if (trouble == Trouble.DROPPED) {
            members.forEach(StandinRegistry.Member::drop);
        } else if (trouble == Trouble.TERM || trouble == Trouble.KILL) {
            registry.compact();
        }
        double told = StandinReplicas.clock();
        if (trouble == Trouble.TERM || trouble == Trouble.KILL) {
            mixers.get(mixer).start();
            boolean ready = mixers.get(mixer).awaitReady(10);
            away(mixer, !ready);
        }
        TimeUnit.MILLISECONDS.sleep(quick ? 1000 : 1100);
        double until = StandinReplicas.clock();
        chosen.forEach(each -> drains.add(new Drain(each, trouble, told, until)));
        for (StandinRegistry.Member each : members) {
            each.silent = each.watchSilent = each.breakNextEvent = false;
            each.maxWriteBytes = 0;
            each.setPartitioned(false);
        }
        for (int each : chosen) {
            registry.put(PREFIX + "s-" + each, value(searchers, each, "ready"));
        }
        TimeUnit.MILLISECONDS.sleep(150);
    }

    private boolean judge(JsonObject figures, List<Drain> drains, StandinReplicas searchers, boolean equal)
            throws IOException {
        List<StandinReplicas.Arrival> arrivals = searchers.arrivals();
        Map<Trouble, Histogram> byTrouble = new LinkedHashMap<>();
        Map<Trouble, int[]> late = new LinkedHashMap<>();
        Histogram all = new Histogram(3);
        int partsLate = 0;
        for (Drain drain : drains) {
            double last = 0;
            int after = 0;
            for (StandinReplicas.Arrival each : arrivals) {
                if (each.replica() == drain.searcher() && each.at() > drain.told() && each.at() < drain.until()) {
                    last = Math.max(last, each.at() - drain.told());
                    after += each.at() - drain.told() > GRACE ? 1 : 0;
                }
            }
            partsLate += after;
            late.computeIfAbsent(drain.trouble(), any -> new int[1])[0] += after;
            byTrouble.computeIfAbsent(drain.trouble(), any -> new Histogram(3)).recordValue(Math.round(last * 1e6));
            all.recordValue(Math.round(last * 1e6));
        }
        for (Drain drain : drains) {
            trace.add(drain.told(), "tier", Trace.Kind.TOLD, "-", "-", "s-" + drain.searcher(), "draining");
            trace.add(drain.until(), "tier", Trace.Kind.TOLD, "-", "-", "s-" + drain.searcher(), "ready");
        }
        for (StandinReplicas.Arrival each : arrivals) {
            trace.add(
                    each.at(),
                    "tier",
                    Trace.Kind.SENT,
                    each.part().substring(0, each.part().lastIndexOf('.')),
                    each.part(),
                    "s-" + each.replica(),
                    "-");
        }
        List<RuleChecker.Breach> breaches = new RuleChecker(GRACE, 0.5).judge(trace.events());
        breaches.stream().limit(5).forEach(each -> System.out.println(each));
        StringBuilder table =
                new StringBuilder("Last part that reached a searcher after its drain was written, ms (sockets)\n\n"
                        + "| trouble | drains | median | 99th percentile | longest | parts past 500 ms |\n| "
                        + "--- | --- | --- | --- | --- | --- |\n");
        byTrouble.forEach(
                (trouble, times) -> row(table, trouble.name().toLowerCase(Locale.ROOT), times, late.get(trouble)[0]));
        row(table, "all", all, partsLate);
        table.append("\nqueries ")
                .append(asked.get())
                .append(": fulfilled ")
                .append(fulfilled.get())
                .append(", declined ")
                .append(declined.get())
                .append(", lost ")
                .append(lost.get())
                .append("; parts ")
                .append(arrivals.size())
                .append("; both views equal the registry's at the end: ")
                .append(equal)
                .append("\n");
        System.out.println(table);
        Files.createDirectories(results);
        Files.writeString(results.resolve(quick ? "drains-quick.md" : "drains.md"), table);
        chart(byTrouble);
        figures.addProperty("drains", drains.size());
        figures.addProperty("partsPastGrace", partsLate);
        figures.addProperty("medianMs", all.getValueAtPercentile(50) / 1e3);
        figures.addProperty("p99Ms", all.getValueAtPercentile(99) / 1e3);
        figures.addProperty("maxMs", all.getMaxValue() / 1e3);
        figures.addProperty("queries", asked.get());
        figures.addProperty("fulfilled", fulfilled.get());
        figures.addProperty("declined", declined.get());
        figures.addProperty("lost", lost.get());
        figures.addProperty("viewsEqual", equal);
        figures.addProperty("ruleBreaches", breaches.size());
        return breaches.isEmpty() && partsLate == 0 && lost.get() == 0 && equal && fulfilled.get() > 0.9 * asked.get();
    }

    private static void row(StringBuilder table, String name, Histogram times, int late) {
        table.append(String.format(
                "| %s | %d | %.1f | %.1f | %.1f | %d |%n",
                name,
                times.getTotalCount(),
                times.getValueAtPercentile(50) / 1e3,
                times.getValueAtPercentile(99) / 1e3,
                times.getMaxValue() / 1e3,
                late));
    }

    private void chart(Map<Trouble, Histogram> byTrouble) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(900)
                .height(500)
                .title("Last part after a drain, by trouble (sockets)")
                .xAxisTitle("percentile")
                .yAxisTitle("ms")
                .build();
        byTrouble.forEach((trouble, times) -> {
            double[] share = new double[21];
            double[] ms = new double[21];
            for (int each = 0; each <= 20; each++) {
                share[each] = each * 5;
                ms[each] = times.getValueAtPercentile(share[each]) / 1e3;
            }
            chart.addSeries(trouble.name().toLowerCase(Locale.ROOT), share, ms);
        });
        VectorGraphicsEncoder.saveVectorGraphic(
                chart,
                results.resolve(quick ? "drains-quick" : "drains").toString(),
                VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
    }

    /** Without sockets: time and memory of a whole view by size, changes a second, memory through many changes. */
    private boolean views(JsonObject figures) throws Exception {
        StringBuilder table = new StringBuilder("Whole view from the registry's text (in this process, no sockets)\n\n"
                + "| searchers | first, ms | again, ms | pages | held, MB |\n| --- | --- | --- | --- | --- |\n");
        boolean pass = true;
        for (int size : new int[] {100, 1_000, 10_000}) {
            List<String> pages = pages(size);
            RegistryView view = new RegistryView(PREFIX);
            long before = used();
            double first = rebuild(view, pages);
            double held = (used() - before) / 1e6;
            double again = rebuild(view, pages);
            table.append(String.format(
                    "| %d | %.1f | %.1f | %d | %.1f |%n", size, first * 1e3, again * 1e3, pages.size(), held));
            pass &= first < 1 && held < 24 && view.size() == size;
            if (size == 10_000) {
                figures.addProperty("wholeView10000Ms", Math.round(first * 1e4) / 10.0);
                figures.addProperty("wholeView10000Mb", Math.round(held * 10) / 10.0);
            }
        }
        int changes = quick ? 300_000 : 1_000_000;
        RegistryView view = new RegistryView(PREFIX);
        rebuild(view, pages(1_000));
        byte[] value = "{\"addresses\":[\"127.0.0.1:1\"],\"phase\":\"draining\"}".getBytes(StandardCharsets.UTF_8);
        long early = 0;
        double began = StandinReplicas.clock();
        for (int each = 1; each <= changes; each++) {
            view.apply(List.of(new KeyValue(PREFIX + "s-" + each % 1_000, value, view.revision() + 1, 0)));
            if (each == changes / 10) {
                early = used();
            }
        }
        double rate = changes / (StandinReplicas.clock() - began);
        double grown = (used() - early) / 1e6;
        table.append(String.format(
                "%n%d changes one by one: %.0f a second; memory held %.1f MB more at the end than after a tenth%n",
                changes, rate, grown));
        table.append(breaks(figures));
        System.out.println(table);
        Files.createDirectories(results);
        Files.writeString(results.resolve(quick ? "views-quick.md" : "views.md"), table);
        figures.addProperty("changesASecond", Math.round(rate));
        figures.addProperty("grownMb", Math.round(grown * 10) / 10.0);
        return pass && rate > 50_000 && grown < 4;
    }

    /** What a break costs: the naive client lists anew, ours resumes and is told the ten changes it missed. */
    private static String breaks(JsonObject figures) throws RegistryState.Compacted {
        StringBuilder table =
                new StringBuilder("\nOne break with ten changes missed\n\n| searchers | lists anew, KB and ms "
                        + "| resumes, KB and ms |\n| --- | --- | --- |\n");
        for (int size : new int[] {100, 1_000, 10_000}) {
            List<String> pages = pages(size);
            RegistryView view = new RegistryView(PREFIX);
            rebuild(view, pages);
            StringBuilder events =
                    new StringBuilder("{\"result\":{\"header\":{\"cluster_id\":\"1\",\"member_id\":\"2\","
                            + "\"revision\":\"" + (view.revision() + 10) + "\"},\"events\":[");
            for (int each = 1; each <= 10; each++) {
                events.append(each == 1 ? "" : ",")
                        .append("{\"kv\":{\"key\":\"")
                        .append(base64((PREFIX + "s-" + each).getBytes(StandardCharsets.UTF_8)))
                        .append("\",\"mod_revision\":\"")
                        .append(view.revision() + each)
                        .append("\",\"value\":\"")
                        .append(base64("{\"addresses\":[\"10.0.0.1:7070\"],\"phase\":\"draining\"}"
                                .getBytes(StandardCharsets.UTF_8)))
                        .append("\"}}");
            }
            String news = events + "]}}";
            double began = StandinReplicas.clock();
            view.apply(EtcdJson.parseResponse(news).keyValues());
            double resumed = StandinReplicas.clock() - began;
            double anew = rebuild(view, pages);
            double naiveKb = pages.stream().mapToInt(String::length).sum() / 1e3;
            table.append(String.format(
                    "| %d | %.0f, %.1f | %.1f, %.2f |%n",
                    size, naiveKb, anew * 1e3, news.length() / 1e3, resumed * 1e3));
            if (size == 10_000) {
                figures.addProperty("naiveBreakKb", Math.round(naiveKb));
                figures.addProperty("resumedBreakKb", Math.round(news.length() / 100.0) / 10.0);
            }
        }
        return table.toString();
    }

    private static List<String> pages(int size) throws RegistryState.Compacted {
        RegistryState state = new RegistryState();
        for (int each = 0; each < size; each++) {
            state.put(
                    PREFIX + "s-" + each,
                    "{\"addresses\":[\"10.0." + each / 250 + "." + each % 250 + ":7070\"],\"zone\":\"a\",\"cell\":"
                            + each % 50 + ",\"phase\":\"ready\",\"started_at_ms\":1790000000000}");
        }
        List<String> pages = new ArrayList<>();
        String from = PREFIX;
        while (true) {
            RegistryState.Page page = state.range(from, "/stores0", 0, 500);
            StringBuilder text =
                    new StringBuilder("{\"header\":{\"cluster_id\":\"1\",\"member_id\":\"2\",\"revision\":\""
                            + state.revision() + "\"},\"kvs\":[");
            for (RegistryState.Version each : page.keys()) {
                text.append(text.charAt(text.length() - 1) == '[' ? "" : ",")
                        .append("{\"key\":\"")
                        .append(base64(each.key().getBytes(StandardCharsets.UTF_8)))
                        .append("\",\"mod_revision\":\"")
                        .append(each.revision())
                        .append("\",\"value\":\"")
                        .append(base64(each.value()))
                        .append("\"}");
                from = each.key() + '\0';
            }
            pages.add(text + "],\"more\":" + page.more() + ",\"count\":\"" + page.count() + "\"}");
            if (!page.more()) {
                return pages;
            }
        }
    }

    private static String base64(byte[] bytes) {
        return java.util.Base64.getEncoder().encodeToString(bytes);
    }

    private static double rebuild(RegistryView view, List<String> pages) {
        double began = StandinReplicas.clock();
        view.beginRebuild();
        for (String page : pages) {
            RegistryResponse answer = EtcdJson.parseResponse(page);
            view.addPage(answer.revision(), answer.keyValues());
        }
        view.commit(false);
        return StandinReplicas.clock() - began;
    }

    private static long used() throws InterruptedException {
        for (int each = 0; each < 3; each++) {
            System.gc();
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
