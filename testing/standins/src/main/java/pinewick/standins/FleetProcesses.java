package pinewick.standins;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Several query routers, each a separate process, that reach each other through a relay which injects faults. */
public final class FleetProcesses implements AutoCloseable {
    private static final String SERVICE_CLASS =
            "{\"name\":\"any\",\"slo-ns\":1e9,\"hard-limit-ns\":3e9,\"effect\":\"retryable\"}";

    private final List<QueryRouterProcess> routers = new ArrayList<>();
    private final List<InetSocketAddress> listenAddresses = new ArrayList<>();
    private final DatagramRelay relay;
    private int listedCount;

    /**
     * @param jar the packaged program; null to run from the class path of this process
     * @param operator the operator configuration file; null for none
     */
    public FleetProcesses(int size, Path jar, Path folder, Path operator, long seed) throws IOException {
        this(size, jar, folder, operator, seed, List.of("127.0.0.1:9"));
    }

    /** @param replicaAddresses addresses of the replicas s-0, s-1, ..., each of which serves its own shard */
    public FleetProcesses(int size, Path jar, Path folder, Path operator, long seed, List<String> replicaAddresses)
            throws IOException {
        StringBuilder knownReplicas = new StringBuilder();
        for (int each = 0; each < replicaAddresses.size(); each++) {
            knownReplicas
                    .append(each == 0 ? "" : ",")
                    .append("{\"id\":\"s-")
                    .append(each)
                    .append("\",\"host_port\":\"")
                    .append(replicaAddresses.get(each))
                    .append("\",\"locality\":\"a\",\"cell\":")
                    .append(each)
                    .append(",\"phase\":\"ready\",\"up_since_ms\":0}");
        }
        for (int each = 0; each < size; each++) {
            try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
                listenAddresses.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort()));
            }
        }
        relay = new DatagramRelay(listenAddresses, seed);
        listedCount = size;
        for (int each = 0; each < size; each++) {
            Path routerFolder = Files.createDirectories(folder.resolve("mixer-" + each));
            routers.add(new QueryRouterProcess(
                    jar,
                    routerFolder,
                    operator,
                    SERVICE_CLASS,
                    replicaAddresses.size(),
                    knownReplicas.toString(),
                    peerFields(each),
                    size,
                    each));
        }
    }

    /** The configuration fields that list the peers of a router, up to the configured number of routers. */
    private String peerFields(int self) throws IOException {
        StringBuilder peerFields = new StringBuilder();
        for (int to = 0; to < listedCount; to++) {
            peerFields
                    .append(to == 0 ? "" : ",")
                    .append('"')
                    .append(text(relay.address(self, to)))
                    .append('"');
        }
        return "\"peer_listen\":\"" + text(listenAddresses.get(self)) + "\",\"peers\":[" + peerFields
                + "],\"peers_all\":\"" + text(relay.broadcastAddress(self)) + "\",";
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Writes new configurations that list this many routers, for the next start or SIGHUP. */
    public void configurePeers(int count) throws IOException {
        listedCount = count;
        for (int each = 0; each < routers.size(); each++) {
            routers.get(each).configure(peerFields(each), count, each);
        }
    }

    public DatagramRelay relay() {
        return relay;
    }

    public InetSocketAddress listenAddress(int index) {
        return listenAddresses.get(index);
    }

    public QueryRouterProcess router(int index) {
        return routers.get(index);
    }

    public void start(int... indices) throws IOException {
        for (int index : indices) {
            routers.get(index).start();
        }
    }

    /** The value of a counter of a router; empty if the router is unreachable or lacks the counter. */
    public String counter(int index, String name) throws InterruptedException {
        String counters = routers.get(index).get("/counters");
        for (String line : counters == null ? new String[0] : counters.split("\n")) {
            if (line.startsWith(name + ' ')) {
                return line.substring(name.length() + 1);
            }
        }
        return "";
    }

    /** Whether each of these routers reports this view of the members, one letter per member. */
    public boolean allReport(String view, int... indices) throws InterruptedException {
        for (int index : indices) {
            if (!counter(index, "fleet-view").equals(view)) {
                return false;
            }
        }
        return true;
    }

    /** Seconds until all of these routers report this view; NaN if they do not before the timeout. */
    public double secondsUntil(double timeoutSeconds, String view, int... indices) throws InterruptedException {
        double startedAt = StandinReplicas.clock();
        while (!allReport(view, indices)) {
            if (StandinReplicas.clock() - startedAt > timeoutSeconds) {
                return Double.NaN;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return StandinReplicas.clock() - startedAt;
    }

    /** Whether the condition becomes true within this many seconds. */
    public static boolean becomesTrue(double seconds, BooleanSupplier condition) throws InterruptedException {
        double deadline = StandinReplicas.clock() + seconds;
        while (!condition.getAsBoolean()) {
            if (StandinReplicas.clock() > deadline) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return true;
    }

    /** How often any of these routers logged that it declared this member dead. */
    public int deathDeclarations(int member, int... indices) throws IOException {
        int deaths = 0;
        for (int index : indices) {
            for (String line : Files.readAllLines(routers.get(index).log())) {
                deaths += line.contains("mixer " + member + ": ") && line.endsWith(" to dead") ? 1 : 0;
            }
        }
        return deaths;
    }

    @Override
    public void close() throws IOException {
        routers.forEach(QueryRouterProcess::close);
        relay.close();
    }
}
