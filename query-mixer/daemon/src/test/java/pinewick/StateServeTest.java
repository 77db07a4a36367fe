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
import pinewick.standins.StandinSearchers;

/**
 * Stories of several mixer processes that replicate what they see of stand-in searchers, through a relay that loses a
 * tenth, with liars among them and disks that spoil snapshots. Whatever is waited for has a bound.
 */
class StateServeTest {
    private static final double START = 30;
    private static final double[] TAKES = {0.03, 0.06, 0.09, 0.12};
    /** As far apart, but so slow that what a busy machine adds to an answer is a small part of it. */
    private static final double[] TAKES_LONGER = {0.12, 0.24, 0.36, 0.48};

    @TempDir
    Path folder;

    private StandinSearchers searchers;
    private FleetProcesses fleet;
    private int asked;

    private void fleet(int size, String operator, List<String> addresses) throws Exception {
        Path file = folder.resolve("operator.json");
        Files.writeString(file, operator);
        fleet = new FleetProcesses(size, null, folder, file, 7, addresses);
        fleet.relay().links(0.1, 0.02, 0.001, 0.018);
    }

    private List<String> searchers() throws Exception {
        return searchers(TAKES);
    }

    private List<String> searchers(double... takes) throws Exception {
        searchers = new StandinSearchers(takes);
        List<String> addresses = new ArrayList<>();
        for (int each = 0; each < takes.length; each++) {
            addresses.add(searchers.address(each));
        }
        return addresses;
    }

    private void startAll(int size) throws Exception {
        for (int each = 0; each < size; each++) {
            fleet.start(each);
        }
        for (int each = 0; each < size; each++) {
            assertTrue(fleet.mixer(each).awaitReady(START));
        }
        int[] all = java.util.stream.IntStream.range(0, size).toArray();
        assertTrue(fleet.until(START, "A".repeat(size), all) <= START);
    }

    @AfterEach
    void close() throws Exception {
        fleet.close();
        if (searchers != null) {
            searchers.close();
        }
    }

    private int ask(int mixer) throws Exception {
        return fleet.mixer(mixer).ask("q-" + asked++, "any", TAKES.length, 2.5);
    }

    /** What a mixer holds of the searchers from the others, ms by searcher. */
    private Map<String, Double> paces(int mixer) {
        try {
            Map<String, Double> paces = new HashMap<>();
            for (String each : fleet.figure(mixer, "state-paces").split(",")) {
                if (each.contains("=")) {
                    paces.put(each.split("=")[0], Double.parseDouble(each.split("=")[1]));
                }
            }
            return paces;
        } catch (InterruptedException odd) {
            throw new IllegalStateException(odd);
        }
    }

    private boolean knows(int mixer, double within, double... takes) {
        Map<String, Double> its = paces(mixer);
        for (int each = 0; each < takes.length; each++) {
            double off = Math.abs(its.getOrDefault("s-" + each, -1e9) - takes[each] * 1e3) / (takes[each] * 1e3);
            if (off > within) {
                return false;
            }
        }
        return true;
    }

    @Test
    void whatSomeLearnAllKnowAndOneThatReturnsCatchesUpBeforeItHasServedAnything() throws Exception {
        fleet(4, "{\"fleet\":{\"state\":\"on\"}}", searchers(TAKES_LONGER));
        startAll(4);
        for (int round = 0; round < 40 && !(knows(3, 0.35, TAKES_LONGER) && knows(0, 0.35, TAKES_LONGER)); round++) {
            for (int mixer = 0; mixer < 3; mixer++) {
                assertEquals(200, ask(mixer));
            }
        }
        assertTrue(
                FleetProcesses.within(3, () -> knows(3, 0.35, TAKES_LONGER)),
                () -> "mixer 3 never asked a searcher: " + paces(3));
        assertTrue(FleetProcesses.within(START, () -> digestsAgree(4)), "the copies agree once nothing new comes");
        // A figure is a median over the other mixers' words, so only this mixer's own, of before, says what it has to
        // be.
        Map<String, Double> before = paces(3);
        fleet.mixer(3).stop(false);
        fleet.start(3);
        assertTrue(fleet.mixer(3).awaitReady(START));
        assertTrue(FleetProcesses.within(2, () -> paces(3).equals(before)), () -> paces(3) + " and before " + before);
        assertEquals(figure(2, "state-digest"), figure(3, "state-digest"), "all that the others hold");
        assertTrue(FleetProcesses.within(5, () -> log(3).contains("caught up with the other mixers")), () -> log(3));
    }

    private boolean digestsAgree(int size) {
        for (int each = 1; each < size; each++) {
            if (!figure(0, "state-digest").equals(figure(each, "state-digest"))) {
                return false;
            }
        }
        return true;
    }

    private String log(int mixer) {
        try {
            return Files.readString(fleet.mixer(mixer).log());
        } catch (java.io.IOException odd) {
            throw new java.io.UncheckedIOException(odd);
        }
    }

    @Test
    void aSearcherThatFailsAtTwoIsAWarningToTheThirdAndCopiesAgreeAfterASplit() throws Exception {
        List<String> addresses = searchers();
        addresses.set(2, "127.0.0.1:9");
        fleet(3, "{\"fleet\":{\"state\":\"on\"}}", addresses);
        startAll(3);
        fleet.relay().cut((from, to) -> from == 2 || to == 2);
        boolean[] over = {false};
        Thread asks = new Thread(() -> {
            try {
                while (!over[0]) {
                    ask(0);
                    ask(1);
                }
            } catch (Exception gone) {
                over[0] = true;
            }
        });
        asks.start();
        try {
            assertTrue(FleetProcesses.within(10, () -> !figure(0, "state-facts").equals("0")));
            fleet.relay().cut((from, to) -> false);
            assertTrue(
                    FleetProcesses.within(10, () -> figure(2, "state-warned").contains("s-2")),
                    () -> figure(2, "state-warned"));
        } finally {
            over[0] = true;
            asks.join();
        }
        assertTrue(
                FleetProcesses.within(
                        10,
                        () -> figure(0, "state-digest").equals(figure(2, "state-digest"))
                                && figure(1, "state-digest").equals(figure(2, "state-digest"))),
                "the copies agree once nothing new comes");
    }

    private String figure(int mixer, String name) {
        try {
            return fleet.figure(mixer, name);
        } catch (InterruptedException odd) {
            throw new IllegalStateException(odd);
        }
    }

    @Test
    void aPeerThatLiesAboutEverythingLosesNoQuery() throws Exception {
        fleet(2, "{\"fleet\":{\"state\":\"on\"}}", searchers());
        startAll(2);
        try (DatagramSocket liar = new DatagramSocket()) {
            for (int round = 0; round < 20; round++) {
                List<Fact> lies = new ArrayList<>();
                for (int each = 0; each < TAKES.length; each++) {
                    long stamp = System.currentTimeMillis() + round;
                    int key = Fact.key("s-" + each);
                    lies.add(new Fact(key, FactKind.UNHEALTHY, 1 + round % 3, stamp, 9, 0));
                    lies.add(new Fact(key, FactKind.LEAVING, 1 + round % 3, stamp, 2, 0));
                    lies.add(new Fact(key, FactKind.LATENCY, 1 + round % 3, stamp, 1e5, 1e5));
                }
                byte[] datagram =
                        FactDatagram.facts(lies.subList(0, Math.min(lies.size(), FactDatagram.MAX_FACTS)), false);
                liar.send(new DatagramPacket(
                        datagram, datagram.length, fleet.relay().address(1, 0)));
                datagram[5] ^= 1;
                liar.send(new DatagramPacket(
                        datagram, datagram.length, fleet.relay().address(1, 0)));
                assertEquals(200, ask(0), "round " + round);
            }
        }
        assertTrue(FleetProcesses.within(3, () -> !figure(0, "state-spoilt").equals("0")));
        assertTrue(figure(0, "state-warned").contains("s-0"), "it heard the lies");
        assertEquals("0", figure(0, "faults"));
    }

    @Test
    void aSnapshotIsTakenUpAndOneThatIsSpoiltStaleOrAnothersIsRefusedOnce() throws Exception {
        Path snapshot = folder.resolve("snapshot");
        fleet(
                1,
                "{\"fleet\":{\"state\":\"on\",\"snapshot-every-s\":1,\"snapshot\":\"" + snapshot + "\"}}",
                searchers());
        fleet.start(0);
        assertTrue(fleet.mixer(0).awaitReady(START));
        for (int each = 0; each < 10; each++) {
            assertEquals(200, ask(0));
        }
        assertTrue(FleetProcesses.within(10, () -> holds(snapshot) > 0), "a snapshot with facts is on disk");
        fleet.mixer(0).stop(false);
        fleet.start(0);
        assertTrue(fleet.mixer(0).awaitReady(START));
        assertTrue(log(0).contains("snapshot: "), () -> log(0));
        assertTrue(
                Integer.parseInt(figure(0, "state-facts")) > 0, "with nobody to ask and nothing asked, from the disk");
        fleet.mixer(0).stop(false);
        byte[] whole = Files.readAllBytes(snapshot);
        byte[] flipped = whole.clone();
        flipped[whole.length / 2] ^= 1;
        Files.write(snapshot, flipped);
        starts("snapshot refused: spoilt");
        Files.write(snapshot, java.util.Arrays.copyOf(whole, whole.length - 7));
        starts("snapshot refused: torn");
        double now = System.currentTimeMillis() / 1e3;
        Files.write(snapshot, FactSnapshotFormat.write(0, 1, now - 1000, List.of()));
        starts("snapshot refused: stale");
        Files.write(snapshot, FactSnapshotFormat.write(3, 9, now, List.of()));
        starts("snapshot refused: of another mixer");
        Files.delete(snapshot);
        Files.createDirectory(snapshot);
        Files.writeString(snapshot.resolve("in-the-way"), "x");
        fleet.start(0);
        assertTrue(fleet.mixer(0).awaitReady(START));
        assertTrue(FleetProcesses.within(10, () -> log(0).contains("can't be written")), () -> log(0));
        assertEquals(200, ask(0), "it serves without");
        int said = log(0).split("can't be written", -1).length;
        assertTrue(!FleetProcesses.within(2.5, () -> log(0).split("can't be written", -1).length > said), "said once");
    }

    private int holds(Path snapshot) {
        try {
            return Files.exists(snapshot)
                    ? FactSnapshotFormat.read(Files.readAllBytes(snapshot), 0, 1, System.currentTimeMillis() / 1e3, 60)
                            .facts()
                            .size()
                    : 0;
        } catch (java.io.IOException odd) {
            return 0;
        }
    }

    /** Starts the mixer, which must say so of its snapshot, and kills it before it writes the next one. */
    private void starts(String says) throws Exception {
        fleet.start(0);
        assertTrue(FleetProcesses.within(START, () -> log(0).contains(says)), () -> says + " is not in " + log(0));
        assertEquals(2, log(0).split("snapshot", -1).length, "said once");
        fleet.mixer(0).stop(false);
    }
}
