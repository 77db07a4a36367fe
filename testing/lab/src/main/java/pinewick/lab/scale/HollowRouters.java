package pinewick.lab.scale;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import pinewick.dissemination.FleetMessages;
import pinewick.membership.NodeRole;
import pinewick.model.SocketAddress;
import pinewick.transport.MessageCodec;
import pinewick.transport.TransportException;

/**
 * A process that holds many hollow routers. Takes a command a line and answers with a line of JSON; ends with its
 * input, and in any case after a time.
 */
public final class HollowRouters {
    private static final int STAGGER_MS = 10;
    private static final String[] ZONES = {"zone-a1", "zone-a2", "zone-b1", "zone-b2", "zone-c1", "zone-c2"};

    private final FleetAddresses addresses;
    private final int worker;
    private final int count;
    private final SplittableRandom random;
    private final MessageCodec sizes = new MessageCodec(FleetMessages.types(), FleetMessages.laterTypes());
    private final List<HollowNode> routers = new ArrayList<>();

    private HollowRouters(FleetAddresses addresses, int worker, int count, long seed) {
        this.addresses = addresses;
        this.worker = worker;
        this.count = count;
        this.random = new SplittableRandom(seed + worker);
    }

    /**
     * Words: first port, controllers, number of this process, routers in it, seed of chance, longest life in seconds.
     */
    public static void main(String[] words) throws Exception {
        FleetAddresses addresses = new FleetAddresses(Integer.parseInt(words[0]), Integer.parseInt(words[1]));
        endAfter(Long.parseLong(words[5]));
        HollowRouters routers = new HollowRouters(
                addresses, Integer.parseInt(words[2]), Integer.parseInt(words[3]), Long.parseLong(words[4]));
        routers.startAll();
        routers.serve();
        System.exit(0);
    }

    private static void endAfter(long seconds) {
        Thread limit = new Thread(
                () -> {
                    try {
                        Thread.sleep(seconds * 1_000);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    Runtime.getRuntime().halt(1);
                },
                "limit");
        limit.setDaemon(true);
        limit.start();
    }

    private void startAll() throws TransportException, InterruptedException {
        for (int number = 0; number < count; number++) {
            routers.add(start(number));
            Thread.sleep(STAGGER_MS);
        }
    }

    private HollowNode start(int number) throws TransportException {
        SocketAddress local = new SocketAddress(FleetAddresses.hollowHost(worker, number), addresses.firstPort());
        HollowNode router = new HollowNode(
                local,
                NodeRole.ROUTER,
                ZONES[number % ZONES.length],
                addresses.seeds(),
                addresses.firstPort() + 1,
                sizes,
                random.split());
        router.start();
        return router;
    }

    private void serve() throws IOException, TransportException {
        BufferedReader input = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        System.out.println("{}");
        for (String line = input.readLine(); line != null; line = input.readLine()) {
            System.out.println(answer(line.split(" ")));
        }
    }

    private JsonObject answer(String[] words) throws TransportException {
        switch (words[0]) {
            case "figures":
                return figures();
            case "traffic":
                return traffic();
            case "restart-count":
                routers.forEach(router -> router.traffic().restart(words[1].equals("bytes")));
                return new JsonObject();
            case "in-force":
                long version = Long.parseLong(words[1]);
                return times(router -> router.inForceAtNs(version));
            case "draining":
                return times(router -> router.drainingAtNs(words[1]));
            case "rejoin":
                return rejoin(Integer.parseInt(words[1]));
            case "joining":
                return joining(Integer.parseInt(words[1]));
            case "collect":
                System.gc();
                return figures();
            default:
                throw new IllegalArgumentException("no command " + words[0]);
        }
    }

    /** When each router learnt of something, 0 for those that have not. */
    private JsonObject times(ToLongFunction<HollowNode> when) {
        JsonArray list = new JsonArray();
        routers.forEach(router -> list.add(when.applyAsLong(router)));
        JsonObject answer = new JsonObject();
        answer.add("at", list);
        return answer;
    }

    /** Ends a router without a word and starts it anew at the same address. */
    private JsonObject rejoin(int number) throws TransportException {
        routers.get(number).close();
        for (int attempt = 0; ; attempt++) {
            try {
                routers.set(number, start(number));
                return new JsonObject();
            } catch (TransportException e) {
                pauseOrGiveUp(attempt, e); // its sockets are closed by a thread of their own
            }
        }
    }

    private static void pauseOrGiveUp(int attempt, TransportException cause) throws TransportException {
        if (attempt == 100) {
            throw cause;
        }
        try {
            Thread.sleep(10);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private JsonObject joining(int number) {
        JsonObject json = new JsonObject();
        json.addProperty("done", routers.get(number).node().isSynchronised());
        json.addProperty("ms", routers.get(number).joiningMs());
        return json;
    }

    private JsonObject figures() {
        JsonObject json = new JsonObject();
        json.addProperty("routers", routers.size());
        json.addProperty("synchronised", count(router -> router.node().isSynchronised()));
        json.addProperty("version", least(HollowNode::versionInForce));
        json.addProperty("records", least(router -> router.state().replicas().size()));
        json.addProperty("recordsMost", most(router -> router.state().replicas().size()));
        json.addProperty("lapsed", most(HollowRouters::lapsedNow));
        json.addProperty("lapses", most(HollowNode::lapses));
        json.addProperty("peersLeast", least(router -> router.node().peers().size()));
        json.addProperty("peersMost", most(router -> router.node().peers().size()));
        json.addProperty("estimateLeast", least(router -> router.node().routerCount()));
        json.addProperty("estimateMost", most(router -> router.node().routerCount()));
        json.addProperty("boundLeast", least(router -> router.node().routerCountUpperBound()));
        json.addProperty("boundMost", most(router -> router.node().routerCountUpperBound()));
        json.addProperty("joiningMostMs", most(router -> (long) router.joiningMs()));
        json.addProperty("dropped", sum(router -> router.transport().counters().dropped()));
        json.addProperty(
                "malformed", sum(router -> router.transport().counters().malformed()));
        json.addProperty(
                "failedConnections", sum(router -> router.transport().counters().failedConnections()));
        json.addProperty(
                "heapBytes",
                ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
        json.addProperty("threadCpuMs", threadCpuMs());
        return json;
    }

    private static long lapsedNow(HollowNode router) {
        return router.state().replicas().stream()
                .filter(record -> record.lapsed())
                .count();
    }

    private int count(java.util.function.Predicate<HollowNode> which) {
        return (int) routers.stream().filter(which).count();
    }

    private long least(ToLongFunction<HollowNode> figure) {
        return routers.stream().mapToLong(figure).min().orElse(0);
    }

    private long most(ToLongFunction<HollowNode> figure) {
        return routers.stream().mapToLong(figure).max().orElse(0);
    }

    private long sum(ToLongFunction<HollowNode> figure) {
        return routers.stream().mapToLong(figure).sum();
    }

    /** What the control loops and the sockets' threads have used, without compiler and collector. */
    private static double threadCpuMs() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long nanos = 0;
        for (ThreadInfo info : threads.getThreadInfo(threads.getAllThreadIds())) {
            boolean counts = info != null
                    && (info.getThreadName().equals("control-loop")
                            || info.getThreadName().equals("transport"));
            nanos += counts ? Math.max(0, threads.getThreadCpuTime(info.getThreadId())) : 0;
        }
        return nanos / 1e6;
    }

    private JsonObject traffic() {
        Map<String, long[]> sums = new TreeMap<>();
        routers.forEach(router -> router.traffic().addTo(sums));
        JsonObject json = new JsonObject();
        json.add("types", TrafficMeter.toJson(sums));
        json.addProperty("mostBytesOut", most(router -> router.traffic().bytesOut()));
        json.addProperty("mostBytesIn", most(router -> router.traffic().bytesIn()));
        return json;
    }
}
