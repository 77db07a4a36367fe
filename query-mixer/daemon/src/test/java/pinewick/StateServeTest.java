package pinewick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pinewick.fleet.state.Fact;
import pinewick.fleet.state.FactDatagram;
import pinewick.fleet.state.FactKind;
import pinewick.fleet.state.FactSnapshotFormat;
import pinewick.standins.FleetProcesses;
import pinewick.standins.StandinReplicas;

/**
 * Several router processes that replicate facts about fake replicas, through a relay that loses a tenth of the
 * datagrams, with peers that send false facts and corrupted snapshot files. Every wait has a bound.
 */
class StateServeTest {
    private static final double START_TIMEOUT_SECONDS = 30;
    private static final double[] SERVICE_SECONDS = {0.03, 0.06, 0.09, 0.12};
    /**
     * The same ratios, but slow enough that the delay which a busy machine adds to a response is a small part of it.
     */
    private static final double[] SLOW_SERVICE_SECONDS = {0.12, 0.24, 0.36, 0.48};

    @TempDir
    Path folder;

    private StandinReplicas replicas;
    private FleetProcesses fleet;
    private int queryCount;

    private void createFleet(int size, String operator, List<String> addresses) throws Exception {
        Path file = folder.resolve("operator.json");
        Files.writeString(file, operator);
        fleet = new FleetProcesses(size, null, folder, file, 7, addresses);
        fleet.relay().setLinkQuality(0.1, 0.02, 0.001, 0.018);
    }

    private List<String> startReplicas() throws Exception {
        return startReplicas(SERVICE_SECONDS);
    }

    private List<String> startReplicas(double... serviceSeconds) throws Exception {
        replicas = new StandinReplicas(serviceSeconds);
        List<String> addresses = new ArrayList<>();
        for (int each = 0; each < serviceSeconds.length; each++) {
            addresses.add(replicas.address(each));
        }
        return addresses;
    }

    private void startAll(int size) throws Exception {
        for (int each = 0; each < size; each++) {
            fleet.start(each);
        }
        for (int each = 0; each < size; each++) {
            assertTrue(fleet.router(each).awaitReady(START_TIMEOUT_SECONDS));
        }
        int[] all = java.util.stream.IntStream.range(0, size).toArray();
        assertTrue(fleet.secondsUntil(START_TIMEOUT_SECONDS, "A".repeat(size), all) <= START_TIMEOUT_SECONDS);
    }

    @AfterEach
    void close() throws Exception {
        fleet.close();
        if (replicas != null) {
            replicas.close();
        }
    }

    private int query(int router) throws Exception {
        return fleet.router(router).query("q-" + queryCount++, "any", SERVICE_SECONDS.length, 2.5);
    }

    /** Latencies of the replicas that a router knows from the others, in ms by replica. */
    private Map<String, Double> latenciesMs(int router) {
        try {
            Map<String, Double> latencies = new HashMap<>();
            for (String each : fleet.counter(router, "state-paces").split(",")) {
                if (each.contains("=")) {
                    latencies.put(each.split("=")[0], Double.parseDouble(each.split("=")[1]));
                }
            }
            return latencies;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private boolean knowsLatencies(int router, double tolerance, double... serviceSeconds) {
        Map<String, Double> known = latenciesMs(router);
        for (int each = 0; each < serviceSeconds.length; each++) {
            double relativeError = Math.abs(known.getOrDefault("s-" + each, -1e9) - serviceSeconds[each] * 1e3)
                    / (serviceSeconds[each] * 1e3);
            if (relativeError > tolerance) {
                return false;
            }
        }
        return true;
    }

    @Test
    void factsReachAllRoutersAndARestartedOneCatchesUpBeforeServing() throws Exception {
        createFleet(4, "{\"fleet\":{\"state\":\"on\"}}", startReplicas(SLOW_SERVICE_SECONDS));
        startAll(4);
        for (int round = 0;
                round < 40
                        && !(knowsLatencies(3, 0.35, SLOW_SERVICE_SECONDS)
                                && knowsLatencies(0, 0.35, SLOW_SERVICE_SECONDS));
                round++) {
            for (int router = 0; router < 3; router++) {
                assertEquals(200, query(router));
            }
        }
        assertTrue(
                FleetProcesses.becomesTrue(3, () -> knowsLatencies(3, 0.35, SLOW_SERVICE_SECONDS)),
                () -> "router 3 never queried a replica: " + latenciesMs(3));
        assertTrue(
                FleetProcesses.becomesTrue(START_TIMEOUT_SECONDS, () -> digestsAgree(4)),
                "the copies agree once no new facts arrive");
        // A value is the median over the facts of the other routers, so the value to expect is the one that this
        // router itself had before.
        Map<String, Double> before = latenciesMs(3);
        fleet.router(3).stop(false);
        fleet.start(3);
        assertTrue(fleet.router(3).awaitReady(START_TIMEOUT_SECONDS));
        assertTrue(
                FleetProcesses.becomesTrue(2, () -> latenciesMs(3).equals(before)),
                () -> latenciesMs(3) + " and before " + before);
        assertEquals(counter(2, "state-digest"), counter(3, "state-digest"), "all facts of the others");
        assertTrue(
                FleetProcesses.becomesTrue(5, () -> log(3).contains("caught up with the other mixers")), () -> log(3));
    }

    private boolean digestsAgree(int size) {
        for (int each = 1; each < size; each++) {
            if (!counter(0, "state-digest").equals(counter(each, "state-digest"))) {
                return false;
            }
        }
        return true;
    }

    private String log(int router) {
        try {
            return Files.readString(fleet.router(router).log());
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @Test
    void failuresSeenByTwoRoutersWarnTheThirdAndCopiesConvergeAfterAPartition() throws Exception {
        List<String> addresses = startReplicas();
        addresses.set(2, "127.0.0.1:9");
        createFleet(3, "{\"fleet\":{\"state\":\"on\"}}", addresses);
        startAll(3);
        fleet.relay().partition((from, to) -> from == 2 || to == 2);
        boolean[] done = {false};
        Thread queries = new Thread(() -> {
            try {
                while (!done[0]) {
                    query(0);
                    query(1);
                }
            } catch (Exception e) {
                done[0] = true;
            }
        });
        queries.start();
        try {
            assertTrue(FleetProcesses.becomesTrue(
                    10, () -> !counter(0, "state-facts").equals("0")));
            fleet.relay().partition((from, to) -> false);
            assertTrue(
                    FleetProcesses.becomesTrue(
                            10, () -> counter(2, "state-warned").contains("s-2")),
                    () -> counter(2, "state-warned"));
        } finally {
            done[0] = true;
            queries.join();
        }
        assertTrue(
                FleetProcesses.becomesTrue(
                        10,
                        () -> counter(0, "state-digest").equals(counter(2, "state-digest"))
                                && counter(1, "state-digest").equals(counter(2, "state-digest"))),
                "the copies agree once no new facts arrive");
    }

    private String counter(int router, String name) {
        try {
            return fleet.counter(router, name);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void peerWithFalseFactsCausesNoLostQuery() throws Exception {
        createFleet(2, "{\"fleet\":{\"state\":\"on\"}}", startReplicas());
        startAll(2);
        try (DatagramSocket faultyPeer = new DatagramSocket()) {
            for (int round = 0; round < 20; round++) {
                List<Fact> falseFacts = new ArrayList<>();
                for (int each = 0; each < SERVICE_SECONDS.length; each++) {
                    long stamp = System.currentTimeMillis() + round;
                    int key = Fact.key("s-" + each);
                    falseFacts.add(new Fact(key, FactKind.UNHEALTHY, 1 + round % 3, stamp, 9, 0));
                    falseFacts.add(new Fact(key, FactKind.LEAVING, 1 + round % 3, stamp, 2, 0));
                    falseFacts.add(new Fact(key, FactKind.LATENCY, 1 + round % 3, stamp, 1e5, 1e5));
                }
                byte[] datagram = FactDatagram.facts(
                        falseFacts.subList(0, Math.min(falseFacts.size(), FactDatagram.MAX_FACTS)), false);
                faultyPeer.send(new DatagramPacket(
                        datagram, datagram.length, fleet.relay().address(1, 0)));
                datagram[5] ^= 1;
                faultyPeer.send(new DatagramPacket(
                        datagram, datagram.length, fleet.relay().address(1, 0)));
                assertEquals(200, query(0), "round " + round);
            }
        }
        assertTrue(
                FleetProcesses.becomesTrue(3, () -> !counter(0, "state-spoilt").equals("0")));
        assertTrue(counter(0, "state-warned").contains("s-0"), "the false facts were received");
        assertEquals("0", counter(0, "faults"));
    }

    @Test
    void snapshotIsLoadedAndAnInvalidStaleOrForeignOneIsRefusedOnce() throws Exception {
        Path snapshot = folder.resolve("snapshot");
        createFleet(
                1,
                "{\"fleet\":{\"state\":\"on\",\"snapshot-every-s\":1,\"snapshot\":\"" + snapshot + "\"}}",
                startReplicas());
        fleet.start(0);
        assertTrue(fleet.router(0).awaitReady(START_TIMEOUT_SECONDS));
        for (int each = 0; each < 10; each++) {
            assertEquals(200, query(0));
        }
        assertTrue(FleetProcesses.becomesTrue(10, () -> factsIn(snapshot) > 0), "a snapshot with facts is on disk");
        fleet.router(0).stop(false);
        fleet.start(0);
        assertTrue(fleet.router(0).awaitReady(START_TIMEOUT_SECONDS));
        assertTrue(log(0).contains("snapshot: "), () -> log(0));
        assertTrue(
                Integer.parseInt(counter(0, "state-facts")) > 0,
                "without peers and queries, the facts come from the disk");
        fleet.router(0).stop(false);
        byte[] snapshotBytes = Files.readAllBytes(snapshot);
        byte[] corrupted = snapshotBytes.clone();
        corrupted[snapshotBytes.length / 2] ^= 1;
        Files.write(snapshot, corrupted);
        expectLogAtStart("snapshot refused: spoilt");
        Files.write(snapshot, java.util.Arrays.copyOf(snapshotBytes, snapshotBytes.length - 7));
        expectLogAtStart("snapshot refused: torn");
        double now = System.currentTimeMillis() / 1e3;
        Files.write(snapshot, FactSnapshotFormat.write(0, 1, now - 1000, List.of()));
        expectLogAtStart("snapshot refused: stale");
        Files.write(snapshot, FactSnapshotFormat.write(3, 9, now, List.of()));
        expectLogAtStart("snapshot refused: of another mixer");
        Files.delete(snapshot);
        Files.createDirectory(snapshot);
        Files.writeString(snapshot.resolve("in-the-way"), "x");
        fleet.start(0);
        assertTrue(fleet.router(0).awaitReady(START_TIMEOUT_SECONDS));
        assertTrue(FleetProcesses.becomesTrue(10, () -> log(0).contains("can't be written")), () -> log(0));
        assertEquals(200, query(0), "serves without a snapshot");
        int occurrences = log(0).split("can't be written", -1).length;
        assertTrue(
                !FleetProcesses.becomesTrue(2.5, () -> log(0).split("can't be written", -1).length > occurrences),
                "logged once");
    }

    private int factsIn(Path snapshot) {
        try {
            return Files.exists(snapshot)
                    ? FactSnapshotFormat.read(Files.readAllBytes(snapshot), 0, 1, System.currentTimeMillis() / 1e3, 60)
                            .facts()
                            .size()
                    : 0;
        } catch (java.io.IOException e) {
            return 0;
        }
    }

    /** Starts the router, which must log this about its snapshot, and kills it before it writes the next one. */
    private void expectLogAtStart(String message) throws Exception {
        fleet.start(0);
        assertTrue(
                FleetProcesses.becomesTrue(START_TIMEOUT_SECONDS, () -> log(0).contains(message)),
                () -> message + " is not in " + log(0));
        assertEquals(2, log(0).split("snapshot", -1).length, "logged once");
        fleet.router(0).stop(false);
    }
}
