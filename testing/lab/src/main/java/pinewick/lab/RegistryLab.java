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
 * Runs query router processes under steady load against a fake registry that compacts its history, drops connections,
 * pauses and becomes unreachable. Search replicas drain meanwhile, and every sub-request that reaches a draining
 * replica after the grace period is counted. Then measures, without sockets, the cost of a full view by size.
 */
@Command(name = "registry", description = "Drains during registry faults; cost of full views.")
final class RegistryLab implements Callable<Integer> {
    private static final double GRACE_SECONDS = 0.5;
    private static final int CELLS = 6;
    private static final int REPLICAS = 18;
    private static final String KEY_PREFIX = "/stores/";
    private static final String SERVICE_CLASS =
            "{\"name\":\"any\",\"slo-ns\":500e6,\"hard-limit-ns\":2e9,\"effect\":\"retryable\"}";

    /** The fault injected around a drain. */
    private enum Fault {
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

    private record Drain(int replica, Fault fault, double writtenAt, double windowEnd) {}

    @Option(names = "--quick", description = "finishes within 45 s, with fewer drains")
    private boolean quick;

    @Option(names = "--seed", description = "random seed (default ${DEFAULT-VALUE})")
    private long seed = 20261201;

    @Option(names = "--jar", description = "the query router's jar (default ${DEFAULT-VALUE})")
    private Path jar = Path.of("query-mixer/daemon/target/pinewick.jar");

    @Option(
            names = "--results",
            description = "output directory for table, figures and chart (default ${DEFAULT-VALUE})")
    private Path results = Path.of("results/registry");

    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger fulfilled = new AtomicInteger();
    private final AtomicInteger declined = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicBoolean finished = new AtomicBoolean();
    private final Trace trace = new Trace();
    /** Routers that are stopping or starting: queries that fail at them are not caused by the registry. */
    private final boolean[] unavailable = new boolean[2];

    @Override
    public Integer call() throws Exception {
        if (!Files.exists(jar)) {
            System.err.println("pinewick-lab: --jar: " + jar + " not found; build the daemon first");
            return 2;
        }
        JsonObject figures = new JsonObject();
        figures.addProperty("experiment", "registry, real mixers on sockets");
        figures.addProperty("seed", seed);
        boolean pass = runDrains(figures);
        pass &= measureViews(figures);
        figures.addProperty("pass", pass);
        Files.createDirectories(results);
        Files.writeString(results.resolve(quick ? "quick.json" : "full.json"), figures + "\n");
        System.out.println(figures);
        return pass ? 0 : 1;
    }

    private static String registryValue(StandinReplicas replicas, int replica, String phase) {
        return "{\"addresses\":[\"" + replicas.address(replica) + "\"],\"zone\":\"a\",\"cell\":" + replica % CELLS
                + ",\"phase\":\"" + phase + "\"}";
    }

    private boolean runDrains(JsonObject figures) throws Exception {
        int rounds = quick ? 18 : 60;
        SplittableRandom random = new SplittableRandom(seed);
        Path directory = Files.createTempDirectory("pinewick-lab");
        List<Drain> drains = new ArrayList<>();
        List<QueryRouterProcess> routers = new ArrayList<>();
        try (StandinRegistry registry = new StandinRegistry(3);
                StandinReplicas replicas = new StandinReplicas(REPLICAS, 0.003)) {
            for (int index = 0; index < REPLICAS; index++) {
                registry.put(KEY_PREFIX + "s-" + index, registryValue(replicas, index, "ready"));
            }
            for (int index = 0; index < unavailable.length; index++) {
                routers.add(newRouter(directory.resolve("mixer-" + index), registry));
                routers.get(index).start();
            }
            for (QueryRouterProcess router : routers) {
                if (!router.awaitReady(15)) {
                    System.err.println(Files.readString(router.log()));
                    throw new IllegalStateException("a query router did not become ready within 15 s");
                }
            }
            List<Thread> clients = new ArrayList<>();
            for (int index = 0; index < 4; index++) {
                clients.add(startClient(routers, index));
            }
            TimeUnit.MILLISECONDS.sleep(300);
            for (int round = 0; round < rounds; round++) {
                runRound(registry, replicas, routers, random, Fault.values()[round % Fault.values().length], drains);
                System.err.print(System.console() == null ? "" : "\rround " + (round + 1) + " of " + rounds + "  ");
            }
            TimeUnit.MILLISECONDS.sleep(700);
            finished.set(true);
            for (Thread client : clients) {
                client.join(5000);
            }
            long registryRevision = registry.revision();
            boolean viewsEqual = true;
            for (QueryRouterProcess router : routers) {
                String counters = router.get("/counters");
                viewsEqual &= counters != null
                        && counters.contains("registry-revision " + registryRevision + "\n")
                        && counters.contains("registry-keys " + REPLICAS + "\n");
            }
            return evaluate(figures, drains, replicas, viewsEqual);
        } finally {
            finished.set(true);
            routers.forEach(QueryRouterProcess::close);
        }
    }

    private QueryRouterProcess newRouter(Path directory, StandinRegistry registry) throws IOException {
        Files.createDirectories(directory);
        Path operatorFile = directory.resolve("operator.json");
        StringBuilder endpoints = new StringBuilder();
        registry.members().forEach(member -> endpoints
                .append(endpoints.isEmpty() ? "" : ",")
                .append('"')
                .append(member.address())
                .append('"'));
        Files.writeString(
                operatorFile,
                "{\"registry\":{\"endpoints\":[" + endpoints + "],\"prefix\":\"" + KEY_PREFIX + "\",\"kept\":\""
                        + directory.resolve("kept") + "\"}}");
        return new QueryRouterProcess(jar, directory, operatorFile, SERVICE_CLASS, CELLS);
    }

    private Thread startClient(List<QueryRouterProcess> routers, int clientIndex) {
        Thread client = new Thread(
                () -> {
                    int sequence = 0;
                    try {
                        while (!finished.get()) {
                            int router = (clientIndex + sequence) % routers.size();
                            boolean unavailableBefore = isUnavailable(router);
                            String id = "q-" + clientIndex + "-" + sequence++;
                            double startedAt = StandinReplicas.clock();
                            int status = routers.get(router).query(id, "any", CELLS, 1);
                            double endedAt = StandinReplicas.clock();
                            if (unavailableBefore || isUnavailable(router)) {
                                // A killed router does not respond; what it sent still counts for rule 3.
                                TimeUnit.MILLISECONDS.sleep(10);
                                continue;
                            }
                            trace.add(startedAt, "tier", Trace.Kind.TAKEN, id, "-", "-", "1");
                            if (status > 0) {
                                trace.add(
                                        endedAt,
                                        "tier",
                                        Trace.Kind.ANSWERED,
                                        id,
                                        "-",
                                        "-",
                                        status == 200 ? "fulfilled" : status == 503 ? "declined" : "given-up");
                            }
                            sent.incrementAndGet();
                            (status == 200 ? fulfilled : status == 503 ? declined : failed).incrementAndGet();
                            TimeUnit.MILLISECONDS.sleep(4);
                        }
                    } catch (InterruptedException interrupted) {
                        Thread.currentThread().interrupt();
                    }
                },
                "client-" + clientIndex);
        client.setDaemon(true);
        client.start();
        return client;
    }

    private synchronized boolean isUnavailable(int router) {
        return unavailable[router];
    }

    private synchronized void setUnavailable(int router, boolean isUnavailable) {
        unavailable[router] = isUnavailable;
    }

    /** Drains one replica in each of four cells under one fault; all are ready again when it returns. */
    private void runRound(
            StandinRegistry registry,
            StandinReplicas replicas,
            List<QueryRouterProcess> routers,
            SplittableRandom random,
            Fault fault,
            List<Drain> drains)
            throws Exception {
        List<Integer> drained = new ArrayList<>();
        for (int cell = 0; cell < 4; cell++) {
            drained.add(cell + CELLS * random.nextInt(REPLICAS / CELLS));
        }
        List<StandinRegistry.Member> members = registry.members();
        StandinRegistry.Member affected = members.get(random.nextInt(members.size()));
        int router = random.nextInt(routers.size());
        switch (fault) {
            case COMPACTED -> {
                members.forEach(member -> member.setDown(true));
                TimeUnit.MILLISECONDS.sleep(50 + random.nextInt(150));
            }
            case MUTE -> members.forEach(member -> member.watchSilent = true);
            case ONE_SILENT -> affected.silent = true;
            case ONE_CUT_OFF -> affected.setPartitioned(true);
            case HALF_LINE -> members.forEach(member -> member.breakNextEvent = true);
            case SPLIT -> members.forEach(member -> member.maxWriteBytes = 7);
            case TERM, KILL -> {
                setUnavailable(router, true);
                routers.get(router).stop(fault == Fault.TERM);
            }
            default -> {}
        }
        for (int replica : drained) {
            registry.put(KEY_PREFIX + "s-" + replica, registryValue(replicas, replica, "draining"));
        }
        if (fault == Fault.COMPACTED) {
            registry.compact();
            members.forEach(member -> member.setDown(false));
        } else if (fault == Fault.DROPPED) {
            members.forEach(StandinRegistry.Member::drop);
        } else if (fault == Fault.TERM || fault == Fault.KILL) {
            registry.compact();
        }
        double writtenAt = StandinReplicas.clock();
        if (fault == Fault.TERM || fault == Fault.KILL) {
            routers.get(router).start();
            boolean ready = routers.get(router).awaitReady(10);
            setUnavailable(router, !ready);
        }
        TimeUnit.MILLISECONDS.sleep(quick ? 1000 : 1100);
        double windowEnd = StandinReplicas.clock();
        drained.forEach(replica -> drains.add(new Drain(replica, fault, writtenAt, windowEnd)));
        for (StandinRegistry.Member member : members) {
            member.silent = member.watchSilent = member.breakNextEvent = false;
            member.maxWriteBytes = 0;
            member.setPartitioned(false);
        }
        for (int replica : drained) {
            registry.put(KEY_PREFIX + "s-" + replica, registryValue(replicas, replica, "ready"));
        }
        TimeUnit.MILLISECONDS.sleep(150);
    }

    private boolean evaluate(JsonObject figures, List<Drain> drains, StandinReplicas replicas, boolean viewsEqual)
            throws IOException {
        List<StandinReplicas.Arrival> arrivals = replicas.arrivals();
        Map<Fault, Histogram> timesByFault = new LinkedHashMap<>();
        Map<Fault, int[]> lateParts = new LinkedHashMap<>();
        Histogram allTimes = new Histogram(3);
        int allLateParts = 0;
        for (Drain drain : drains) {
            double lastArrival = 0;
            int lateInDrain = 0;
            for (StandinReplicas.Arrival arrival : arrivals) {
                if (arrival.replica() == drain.replica()
                        && arrival.at() > drain.writtenAt()
                        && arrival.at() < drain.windowEnd()) {
                    lastArrival = Math.max(lastArrival, arrival.at() - drain.writtenAt());
                    lateInDrain += arrival.at() - drain.writtenAt() > GRACE_SECONDS ? 1 : 0;
                }
            }
            allLateParts += lateInDrain;
            lateParts.computeIfAbsent(drain.fault(), fault -> new int[1])[0] += lateInDrain;
            timesByFault
                    .computeIfAbsent(drain.fault(), fault -> new Histogram(3))
                    .recordValue(Math.round(lastArrival * 1e6));
            allTimes.recordValue(Math.round(lastArrival * 1e6));
        }
        for (Drain drain : drains) {
            trace.add(drain.writtenAt(), "tier", Trace.Kind.TOLD, "-", "-", "s-" + drain.replica(), "draining");
            trace.add(drain.windowEnd(), "tier", Trace.Kind.TOLD, "-", "-", "s-" + drain.replica(), "ready");
        }
        for (StandinReplicas.Arrival arrival : arrivals) {
            trace.add(
                    arrival.at(),
                    "tier",
                    Trace.Kind.SENT,
                    arrival.part().substring(0, arrival.part().lastIndexOf('.')),
                    arrival.part(),
                    "s-" + arrival.replica(),
                    "-");
        }
        List<RuleChecker.Breach> breaches = new RuleChecker(GRACE_SECONDS, 0.5).judge(trace.events());
        breaches.stream().limit(5).forEach(breach -> System.out.println(breach));
        StringBuilder table =
                new StringBuilder("Last part that reached a searcher after its drain was written, ms (sockets)\n\n"
                        + "| trouble | drains | median | 99th percentile | longest | parts past 500 ms |\n| "
                        + "--- | --- | --- | --- | --- | --- |\n");
        timesByFault.forEach((fault, times) -> row(
                table, fault.name().toLowerCase(Locale.ROOT), times, lateParts.get(fault)[0]));
        row(table, "all", allTimes, allLateParts);
        table.append("\nqueries ")
                .append(sent.get())
                .append(": fulfilled ")
                .append(fulfilled.get())
                .append(", declined ")
                .append(declined.get())
                .append(", lost ")
                .append(failed.get())
                .append("; parts ")
                .append(arrivals.size())
                .append("; both views equal the registry's at the end: ")
                .append(viewsEqual)
                .append("\n");
        System.out.println(table);
        Files.createDirectories(results);
        Files.writeString(results.resolve(quick ? "drains-quick.md" : "drains.md"), table);
        chart(timesByFault);
        figures.addProperty("drains", drains.size());
        figures.addProperty("partsPastGrace", allLateParts);
        figures.addProperty("medianMs", allTimes.getValueAtPercentile(50) / 1e3);
        figures.addProperty("p99Ms", allTimes.getValueAtPercentile(99) / 1e3);
        figures.addProperty("maxMs", allTimes.getMaxValue() / 1e3);
        figures.addProperty("queries", sent.get());
        figures.addProperty("fulfilled", fulfilled.get());
        figures.addProperty("declined", declined.get());
        figures.addProperty("lost", failed.get());
        figures.addProperty("viewsEqual", viewsEqual);
        figures.addProperty("ruleBreaches", breaches.size());
        return breaches.isEmpty()
                && allLateParts == 0
                && failed.get() == 0
                && viewsEqual
                && fulfilled.get() > 0.9 * sent.get();
    }

    private static void row(StringBuilder table, String name, Histogram times, int lateParts) {
        table.append(String.format(
                "| %s | %d | %.1f | %.1f | %.1f | %d |%n",
                name,
                times.getTotalCount(),
                times.getValueAtPercentile(50) / 1e3,
                times.getValueAtPercentile(99) / 1e3,
                times.getMaxValue() / 1e3,
                lateParts));
    }

    private void chart(Map<Fault, Histogram> timesByFault) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(900)
                .height(500)
                .title("Last part after a drain, by trouble (sockets)")
                .xAxisTitle("percentile")
                .yAxisTitle("ms")
                .build();
        timesByFault.forEach((fault, times) -> {
            double[] percentiles = new double[21];
            double[] timesMs = new double[21];
            for (int index = 0; index <= 20; index++) {
                percentiles[index] = index * 5;
                timesMs[index] = times.getValueAtPercentile(percentiles[index]) / 1e3;
            }
            chart.addSeries(fault.name().toLowerCase(Locale.ROOT), percentiles, timesMs);
        });
        VectorGraphicsEncoder.saveVectorGraphic(
                chart,
                results.resolve(quick ? "drains-quick" : "drains").toString(),
                VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
    }

    /** Without sockets: time and memory of a full view by size, changes per second, memory over many changes. */
    private boolean measureViews(JsonObject figures) throws Exception {
        StringBuilder table = new StringBuilder("Whole view from the registry's text (in this process, no sockets)\n\n"
                + "| searchers | first, ms | again, ms | pages | held, MB |\n| --- | --- | --- | --- | --- |\n");
        boolean pass = true;
        for (int size : new int[] {100, 1_000, 10_000}) {
            List<String> pages = pages(size);
            RegistryView view = new RegistryView(KEY_PREFIX);
            long bytesBefore = usedHeapBytes();
            double firstSeconds = rebuild(view, pages);
            double memoryMb = (usedHeapBytes() - bytesBefore) / 1e6;
            double againSeconds = rebuild(view, pages);
            table.append(String.format(
                    "| %d | %.1f | %.1f | %d | %.1f |%n",
                    size, firstSeconds * 1e3, againSeconds * 1e3, pages.size(), memoryMb));
            pass &= firstSeconds < 1 && memoryMb < 24 && view.size() == size;
            if (size == 10_000) {
                figures.addProperty("wholeView10000Ms", Math.round(firstSeconds * 1e4) / 10.0);
                figures.addProperty("wholeView10000Mb", Math.round(memoryMb * 10) / 10.0);
            }
        }
        int changes = quick ? 300_000 : 1_000_000;
        RegistryView view = new RegistryView(KEY_PREFIX);
        rebuild(view, pages(1_000));
        byte[] drainingValue =
                "{\"addresses\":[\"127.0.0.1:1\"],\"phase\":\"draining\"}".getBytes(StandardCharsets.UTF_8);
        long earlyBytes = 0;
        double startedAt = StandinReplicas.clock();
        for (int change = 1; change <= changes; change++) {
            view.apply(
                    List.of(new KeyValue(KEY_PREFIX + "s-" + change % 1_000, drainingValue, view.revision() + 1, 0)));
            if (change == changes / 10) {
                earlyBytes = usedHeapBytes();
            }
        }
        double changesPerSecond = changes / (StandinReplicas.clock() - startedAt);
        double grownMb = (usedHeapBytes() - earlyBytes) / 1e6;
        table.append(String.format(
                "%n%d changes one by one: %.0f a second; memory held %.1f MB more at the end than after a tenth%n",
                changes, changesPerSecond, grownMb));
        table.append(measureReconnects(figures));
        System.out.println(table);
        Files.createDirectories(results);
        Files.writeString(results.resolve(quick ? "views-quick.md" : "views.md"), table);
        figures.addProperty("changesASecond", Math.round(changesPerSecond));
        figures.addProperty("grownMb", Math.round(grownMb * 10) / 10.0);
        return pass && changesPerSecond > 50_000 && grownMb < 4;
    }

    /** Cost of a broken watch: a naive client lists again; this one resumes and receives the ten missed changes. */
    private static String measureReconnects(JsonObject figures) throws RegistryState.Compacted {
        StringBuilder table =
                new StringBuilder("\nOne break with ten changes missed\n\n| searchers | lists anew, KB and ms "
                        + "| resumes, KB and ms |\n| --- | --- | --- |\n");
        for (int size : new int[] {100, 1_000, 10_000}) {
            List<String> pages = pages(size);
            RegistryView view = new RegistryView(KEY_PREFIX);
            rebuild(view, pages);
            StringBuilder events =
                    new StringBuilder("{\"result\":{\"header\":{\"cluster_id\":\"1\",\"member_id\":\"2\","
                            + "\"revision\":\"" + (view.revision() + 10) + "\"},\"events\":[");
            for (int change = 1; change <= 10; change++) {
                events.append(change == 1 ? "" : ",")
                        .append("{\"kv\":{\"key\":\"")
                        .append(base64((KEY_PREFIX + "s-" + change).getBytes(StandardCharsets.UTF_8)))
                        .append("\",\"mod_revision\":\"")
                        .append(view.revision() + change)
                        .append("\",\"value\":\"")
                        .append(base64("{\"addresses\":[\"10.0.0.1:7070\"],\"phase\":\"draining\"}"
                                .getBytes(StandardCharsets.UTF_8)))
                        .append("\"}}");
            }
            String update = events + "]}}";
            double startedAt = StandinReplicas.clock();
            view.apply(EtcdJson.parseResponse(update).keyValues());
            double resumeSeconds = StandinReplicas.clock() - startedAt;
            double relistSeconds = rebuild(view, pages);
            double naiveKb = pages.stream().mapToInt(String::length).sum() / 1e3;
            table.append(String.format(
                    "| %d | %.0f, %.1f | %.1f, %.2f |%n",
                    size, naiveKb, relistSeconds * 1e3, update.length() / 1e3, resumeSeconds * 1e3));
            if (size == 10_000) {
                figures.addProperty("naiveBreakKb", Math.round(naiveKb));
                figures.addProperty("resumedBreakKb", Math.round(update.length() / 100.0) / 10.0);
            }
        }
        return table.toString();
    }

    private static List<String> pages(int size) throws RegistryState.Compacted {
        RegistryState state = new RegistryState();
        for (int index = 0; index < size; index++) {
            state.put(
                    KEY_PREFIX + "s-" + index,
                    "{\"addresses\":[\"10.0." + index / 250 + "." + index % 250 + ":7070\"],\"zone\":\"a\",\"cell\":"
                            + index % 50 + ",\"phase\":\"ready\",\"started_at_ms\":1790000000000}");
        }
        List<String> pages = new ArrayList<>();
        String startKey = KEY_PREFIX;
        while (true) {
            RegistryState.Page page = state.range(startKey, "/stores0", 0, 500);
            StringBuilder text =
                    new StringBuilder("{\"header\":{\"cluster_id\":\"1\",\"member_id\":\"2\",\"revision\":\""
                            + state.revision() + "\"},\"kvs\":[");
            for (RegistryState.Version version : page.keys()) {
                text.append(text.charAt(text.length() - 1) == '[' ? "" : ",")
                        .append("{\"key\":\"")
                        .append(base64(version.key().getBytes(StandardCharsets.UTF_8)))
                        .append("\",\"mod_revision\":\"")
                        .append(version.revision())
                        .append("\",\"value\":\"")
                        .append(base64(version.value()))
                        .append("\"}");
                startKey = version.key() + '\0';
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
        double startedAt = StandinReplicas.clock();
        view.beginRebuild();
        for (String page : pages) {
            RegistryResponse response = EtcdJson.parseResponse(page);
            view.addPage(response.revision(), response.keyValues());
        }
        view.commit(false);
        return StandinReplicas.clock() - startedAt;
    }

    private static long usedHeapBytes() throws InterruptedException {
        for (int attempt = 0; attempt < 3; attempt++) {
            System.gc();
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
