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

/** Several mixers, each a process of its own, that reach each other through a relay which breaks the way. */
public final class FleetProcesses implements AutoCloseable {
    private static final String GRADE =
            "{\"name\":\"any\",\"slo-ns\":1e9,\"hard-limit-ns\":3e9,\"effect\":\"retryable\"}";

    private final List<QueryRouterProcess> mixers = new ArrayList<>();
    private final List<InetSocketAddress> homes = new ArrayList<>();
    private final DatagramRelay relay;
    private int listed;

    /**
     * @param jar the program; null for this process's own class path
     * @param operator null for none
     */
    public FleetProcesses(int size, Path jar, Path folder, Path operator, long seed) throws IOException {
        this(size, jar, folder, operator, seed, List.of("127.0.0.1:9"));
    }

    /** @param searchers addresses of searchers s-0, s-1, ..., each of which holds a shard of its own */
    public FleetProcesses(int size, Path jar, Path folder, Path operator, long seed, List<String> searchers)
            throws IOException {
        StringBuilder known = new StringBuilder();
        for (int each = 0; each < searchers.size(); each++) {
            known.append(each == 0 ? "" : ",")
                    .append("{\"id\":\"s-")
                    .append(each)
                    .append("\",\"host_port\":\"")
                    .append(searchers.get(each))
                    .append("\",\"locality\":\"a\",\"cell\":")
                    .append(each)
                    .append(",\"phase\":\"ready\",\"up_since_ms\":0}");
        }
        for (int each = 0; each < size; each++) {
            try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
                homes.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort()));
            }
        }
        relay = new DatagramRelay(homes, seed);
        listed = size;
        for (int each = 0; each < size; each++) {
            Path own = Files.createDirectories(folder.resolve("mixer-" + each));
            mixers.add(new QueryRouterProcess(
                    jar, own, operator, GRADE, searchers.size(), known.toString(), peers(each), size, each));
        }
    }

    /** The configuration's fields that tell a mixer of the others, as many as are listed. */
    private String peers(int self) throws IOException {
        StringBuilder peers = new StringBuilder();
        for (int to = 0; to < listed; to++) {
            peers.append(to == 0 ? "" : ",")
                    .append('"')
                    .append(text(relay.address(self, to)))
                    .append('"');
        }
        return "\"peer_listen\":\"" + text(homes.get(self)) + "\",\"peers\":[" + peers + "],\"peers_all\":\""
                + text(relay.addressOfAll(self)) + "\",";
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Writes new configurations in which so many mixers are listed, for the next start or SIGHUP. */
    public void list(int count) throws IOException {
        listed = count;
        for (int each = 0; each < mixers.size(); each++) {
            mixers.get(each).configure(peers(each), count, each);
        }
    }

    public DatagramRelay relay() {
        return relay;
    }

    public InetSocketAddress home(int place) {
        return homes.get(place);
    }

    public QueryRouterProcess mixer(int place) {
        return mixers.get(place);
    }

    public void start(int... places) throws IOException {
        for (int place : places) {
            mixers.get(place).start();
        }
    }

    /** A figure that a mixer tells of itself; empty where it is not there or does not know it. */
    public String figure(int place, String name) throws InterruptedException {
        String all = mixers.get(place).get("/counters");
        for (String line : all == null ? new String[0] : all.split("\n")) {
            if (line.startsWith(name + ' ')) {
                return line.substring(name.length() + 1);
            }
        }
        return "";
    }

    /** Whether each of these says that the members stand so, a letter a place. */
    public boolean all(String letters, int... places) throws InterruptedException {
        for (int place : places) {
            if (!figure(place, "fleet-view").equals(letters)) {
                return false;
            }
        }
        return true;
    }

    /** Seconds until all of these say so; NaN where they don't within so many. */
    public double until(double within, String letters, int... places) throws InterruptedException {
        double from = StandinReplicas.clock();
        while (!all(letters, places)) {
            if (StandinReplicas.clock() - from > within) {
                return Double.NaN;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return StandinReplicas.clock() - from;
    }

    /** Whether it became so within so many seconds. */
    public static boolean within(double seconds, BooleanSupplier what) throws InterruptedException {
        double until = StandinReplicas.clock() + seconds;
        while (!what.getAsBoolean()) {
            if (StandinReplicas.clock() > until) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return true;
    }

    /** How often any of these wrote that it declared this member dead. */
    public int deathsOf(int member, int... places) throws IOException {
        int deaths = 0;
        for (int place : places) {
            for (String line : Files.readAllLines(mixers.get(place).log())) {
                deaths += line.contains("mixer " + member + ": ") && line.endsWith(" to dead") ? 1 : 0;
            }
        }
        return deaths;
    }

    @Override
    public void close() throws IOException {
        mixers.forEach(QueryRouterProcess::close);
        relay.close();
    }
}
