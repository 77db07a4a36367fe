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
 * A process that runs many hollow routers. Reads one command per line from standard input and replies with one line of
 * JSON. Exits at the end of its input, and unconditionally after a time limit.
 */
public final class HollowRouters {
    private static final int STAGGER_MS = 10;
    private static final String[] ZONES = {"zone-a1", "zone-a2", "zone-b1", "zone-b2", "zone-c1", "zone-c2"};

    private final FleetAddresses addresses;
    private final int worker;
    private final int count;
    private final SplittableRandom random;
    private final MessageCodec measuringCodec = new MessageCodec(FleetMessages.types(), FleetMessages.laterTypes());
    private final List<HollowNode> routers = new ArrayList<>();

    private HollowRouters(FleetAddresses addresses, int worker, int count, long seed) {
        this.addresses = addresses;
        this.worker = worker;
        this.count = count;
        this.random = new SplittableRandom(seed + worker);
    }

    /**
     * Arguments: first port, number of controllers, index of this process, routers in it, random seed, maximum
     * lifetime in seconds.
     */
    public static void main(String[] arguments) throws Exception {
        FleetAddresses addresses = new FleetAddresses(Integer.parseInt(arguments[0]), Integer.parseInt(arguments[1]));
        haltAfter(Long.parseLong(arguments[5]));
        HollowRouters routers = new HollowRouters(
                addresses,
                Integer.parseInt(arguments[2]),
                Integer.parseInt(arguments[3]),
                Long.parseLong(arguments[4]));
        routers.startAll();
        routers.serve();
        System.exit(0);
    }

    private static void haltAfter(long seconds) {
        Thread timeLimit = new Thread(
                () -> {
                    try {
                        Thread.sleep(seconds * 1_000);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    Runtime.getRuntime().halt(1);
                },
                "limit");
        timeLimit.setDaemon(true);
        timeLimit.start();
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
                measuringCodec,
                random.split());
        router.start();
        return router;
    }

    private void serve() throws IOException, TransportException {
        BufferedReader input = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        System.out.println("{}");
        for (String line = input.readLine(); line != null; line = input.readLine()) {
            System.out.println(execute(line.split(" ")));
        }
    }

    private JsonObject execute(String[] arguments) throws TransportException {
        switch (arguments[0]) {
            case "figures":
                return statistics();
            case "traffic":
                return traffic();
            case "restart-count":
                routers.forEach(router -> router.traffic().reset(arguments[1].equals("bytes")));
                return new JsonObject();
            case "in-force":
                long version = Long.parseLong(arguments[1]);
                return times(router -> router.inForceAtNs(version));
            case "draining":
                return times(router -> router.drainingAtNs(arguments[1]));
            case "rejoin":
                return restart(Integer.parseInt(arguments[1]));
            case "joining":
                return joinStatus(Integer.parseInt(arguments[1]));
            case "collect":
                System.gc();
                return statistics();
            default:
                throw new IllegalArgumentException("unknown command " + arguments[0]);
        }
    }

    /** The time at which each router received an update, 0 for those that have not received it. */
    private JsonObject times(ToLongFunction<HollowNode> time) {
        JsonArray list = new JsonArray();
        routers.forEach(router -> list.add(time.applyAsLong(router)));
        JsonObject response = new JsonObject();
        response.add("at", list);
        return response;
    }

    /** Stops a router without announcing it and starts a new one at the same address. */
    private JsonObject restart(int number) throws TransportException {
        routers.get(number).close();
        for (int attempt = 0; ; attempt++) {
            try {
                routers.set(number, start(number));
                return new JsonObject();
            } catch (TransportException e) {
                sleepOrThrow(attempt, e); // another thread closes the old sockets
            }
        }
    }

    private static void sleepOrThrow(int attempt, TransportException cause) throws TransportException {
        if (attempt == 100) {
            throw cause;
        }
        try {
            Thread.sleep(10);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private JsonObject joinStatus(int number) {
        JsonObject json = new JsonObject();
        json.addProperty("done", routers.get(number).node().isSynchronised());
        json.addProperty("ms", routers.get(number).joiningMs());
        return json;
    }

    private JsonObject statistics() {
        JsonObject json = new JsonObject();
        json.addProperty("routers", routers.size());
        json.addProperty("synchronised", count(router -> router.node().isSynchronised()));
        json.addProperty("version", min(HollowNode::versionInForce));
        json.addProperty("records", min(router -> router.state().replicas().size()));
        json.addProperty("recordsMost", max(router -> router.state().replicas().size()));
        json.addProperty("lapsed", max(HollowRouters::lapsedReplicas));
        json.addProperty("lapses", max(HollowNode::lapses));
        json.addProperty("peersLeast", min(router -> router.node().peers().size()));
        json.addProperty("peersMost", max(router -> router.node().peers().size()));
        json.addProperty("estimateLeast", min(router -> router.node().routerCount()));
        json.addProperty("estimateMost", max(router -> router.node().routerCount()));
        json.addProperty("boundLeast", min(router -> router.node().routerCountUpperBound()));
        json.addProperty("boundMost", max(router -> router.node().routerCountUpperBound()));
        json.addProperty("joiningMostMs", max(router -> (long) router.joiningMs()));
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

    private static long lapsedReplicas(HollowNode router) {
        return router.state().replicas().stream()
                .filter(record -> record.lapsed())
                .count();
    }

    private int count(java.util.function.Predicate<HollowNode> predicate) {
        return (int) routers.stream().filter(predicate).count();
    }

    private long min(ToLongFunction<HollowNode> value) {
        return routers.stream().mapToLong(value).min().orElse(0);
    }

    private long max(ToLongFunction<HollowNode> value) {
        return routers.stream().mapToLong(value).max().orElse(0);
    }

    private long sum(ToLongFunction<HollowNode> value) {
        return routers.stream().mapToLong(value).sum();
    }

    /** CPU time of the control loops and transport threads, without JIT compiler and garbage collector. */
    private static double threadCpuMs() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long nanos = 0;
        for (ThreadInfo info : threads.getThreadInfo(threads.getAllThreadIds())) {
            boolean isCounted = info != null
                    && (info.getThreadName().equals("control-loop")
                            || info.getThreadName().equals("transport"));
            nanos += isCounted ? Math.max(0, threads.getThreadCpuTime(info.getThreadId())) : 0;
        }
        return nanos / 1e6;
    }

    private JsonObject traffic() {
        Map<String, long[]> sums = new TreeMap<>();
        routers.forEach(router -> router.traffic().addTo(sums));
        JsonObject json = new JsonObject();
        json.add("types", TrafficMeter.toJson(sums));
        json.addProperty("mostBytesOut", max(router -> router.traffic().bytesOut()));
        json.addProperty("mostBytesIn", max(router -> router.traffic().bytesIn()));
        return json;
    }
}
