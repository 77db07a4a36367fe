package pinewick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pinewick.fleet.MembershipSettings;
import pinewick.standins.FleetProcesses;
import pinewick.standins.StandinReplicas;

/**
 * Several routers, each a separate process with the classes of this build, that reach each other through a relay which
 * loses, delays, duplicates and blocks datagrams. Every wait has a bound, which the test asserts.
 */
class FleetServeTest {
    /** A busy machine may take this long to start several processes. */
    private static final double START_TIMEOUT_SECONDS = 30;
    /** The longest pause that the others see end before the minimum silence after which they declare a failure. */
    private static final double MAX_PAUSE_SECONDS =
            MembershipSettings.defaults().minSilenceSeconds() - 0.1;
    /** Maximum number of attempts, since a busy machine may extend a pause beyond that. */
    private static final int MAX_ATTEMPTS = 12;

    @TempDir
    Path folder;

    private FleetProcesses fleet;

    private void startFleet(int size, Path operator, int... started) throws Exception {
        fleet = new FleetProcesses(size, null, folder, operator, 7);
        fleet.relay().setLinkQuality(0.1, 0.02, 0.001, 0.018);
        fleet.start(started);
    }

    @AfterEach
    void close() throws Exception {
        fleet.close();
    }

    private void awaitView(double timeoutSeconds, String view, int... indices) throws Exception {
        double seconds = fleet.secondsUntil(timeoutSeconds, view, indices);
        StringBuilder views = new StringBuilder();
        for (int index : indices) {
            views.append(' ').append(fleet.counter(index, "fleet-view"));
        }
        assertFalse(
                Double.isNaN(seconds),
                () -> view + " was not reported by all routers within " + timeoutSeconds + " s:" + views);
    }

    private double counterValue(int index, String counter) throws Exception {
        return Double.parseDouble(fleet.counter(index, counter));
    }

    @Test
    void joinsCrashesAndRestartsAppearInEveryViewAndARestartRaisesTheIncarnation() throws Exception {
        startFleet(5, null, 0, 1, 2, 3);
        awaitView(START_TIMEOUT_SECONDS, "AAAAU", 0, 1, 2, 3);
        fleet.start(4);
        assertTrue(fleet.router(4).awaitReady(START_TIMEOUT_SECONDS));
        awaitView(2, "AAAAA", 0, 1, 2, 3, 4);
        String first = fleet.counter(4, "fleet-incarnation");
        fleet.router(4).stop(false);
        awaitView(5, "AAAAD", 0, 1, 2, 3);
        assertEquals(4, counterValue(0, "fleet-live"));
        assertEquals(
                5,
                counterValue(0, "fleet-bound"),
                "a dead router lowers the bound only after it has been dead for long");
        fleet.start(4);
        assertTrue(fleet.router(4).awaitReady(START_TIMEOUT_SECONDS));
        awaitView(2, "AAAAA", 0, 1, 2, 3, 4);
        assertTrue(Long.parseLong(fleet.counter(4, "fleet-incarnation")) > Long.parseLong(first));
        fleet.router(3).stop(true);
        awaitView(2, "AAALA", 0, 1, 2, 4);
        assertEquals(
                0, fleet.deathDeclarations(3, 0, 1, 2, 4), "a router that stops gracefully announces that it leaves");
        assertTrue(
                fleet.relay().maxDatagramBytes() <= 256,
                "a datagram of " + fleet.relay().maxDatagramBytes() + " bytes");
    }

    @Test
    void routerPausedForTwoSecondsIsNotDeclaredDeadAndDeclaresNoOtherDead() throws Exception {
        startFleet(4, null, 0, 1, 2, 3);
        awaitView(START_TIMEOUT_SECONDS, "AAAA", 0, 1, 2, 3);
        int rounds = 0;
        for (int attempts = 0; rounds < 2; attempts++) {
            assertTrue(attempts < MAX_ATTEMPTS, "this machine is too busy to stop a process for two seconds");
            int before = totalDeathDeclarations();
            double from = StandinReplicas.clock();
            fleet.router(2).signal("STOP");
            boolean declaredDead = FleetProcesses.becomesTrue(2, () -> totalDeathDeclarations() > before);
            fleet.router(2).signal("CONT");
            assertTrue(FleetProcesses.becomesTrue(START_TIMEOUT_SECONDS, () -> respondsToCounters(2)));
            double pause = StandinReplicas.clock() - from;
            if (pause > MAX_PAUSE_SECONDS) {
                // A longer pause may rightly count as a failure, so nothing is asserted about it.
                awaitView(START_TIMEOUT_SECONDS, "AAAA", 0, 1, 2, 3);
                continue;
            }
            assertFalse(declaredDead, "declared dead within the pause");
            awaitView(5, "AAAA", 0, 1, 2, 3);
            assertEquals(before, totalDeathDeclarations(), "after a pause of " + pause + " s");
            rounds++;
        }
    }

    private boolean respondsToCounters(int index) {
        try {
            return !fleet.counter(index, "fleet-view").isEmpty();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private int totalDeathDeclarations() {
        try {
            int deathDeclarations = 0;
            for (int each = 0; each < 4; each++) {
                deathDeclarations += fleet.deathDeclarations(each, 0, 1, 2, 3);
            }
            return deathDeclarations;
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @Test
    void viewsConvergeAfterAPartitionAndAOneWayPartitionCausesNoDeath() throws Exception {
        startFleet(5, null, 0, 1, 2, 3, 4);
        awaitView(START_TIMEOUT_SECONDS, "AAAAA", 0, 1, 2, 3, 4);
        fleet.relay().partition((from, to) -> from == 0 && to == 1);
        assertFalse(
                FleetProcesses.becomesTrue(4, () -> anyDeclaredDead()),
                "indirect probes keep a member alive whose direct link is blocked");
        fleet.relay().partition((from, to) -> from < 2 != to < 2);
        awaitView(8, "AADDD", 0, 1);
        awaitView(8, "DDAAA", 2, 3, 4);
        assertEquals(5, counterValue(0, "fleet-bound"), "a partitioned router is not dead: it may still send");
        fleet.relay().partition((from, to) -> false);
        awaitView(3, "AAAAA", 0, 1, 2, 3, 4);
        // All are reported alive before the last refutation, which raises an incarnation, has reached every router.
        assertTrue(FleetProcesses.becomesTrue(3, this::sameDigests), "the views agree, including the incarnations");
    }

    private boolean sameDigests() {
        try {
            for (int each = 1; each < 5; each++) {
                if (!fleet.counter(0, "fleet-digest").equals(fleet.counter(each, "fleet-digest"))) {
                    return false;
                }
            }
            return true;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private boolean anyDeclaredDead() {
        try {
            return fleet.deathDeclarations(0, 0, 1, 2, 3, 4) + fleet.deathDeclarations(1, 0, 1, 2, 3, 4) > 0;
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @Test
    void sighupWithALongerRouterListUpdatesTheViewWithoutARestart() throws Exception {
        SighupPrecondition.check();
        fleet = new FleetProcesses(4, null, folder, null, 7);
        fleet.configurePeers(3);
        fleet.start(0, 1, 2);
        awaitView(START_TIMEOUT_SECONDS, "AAA", 0, 1, 2);
        String before = fleet.counter(0, "fleet-incarnation");
        fleet.configurePeers(4);
        for (int each = 0; each < 3; each++) {
            fleet.router(each).signal("HUP");
        }
        awaitView(5, "AAAU", 0, 1, 2);
        fleet.start(3);
        assertTrue(fleet.router(3).awaitReady(START_TIMEOUT_SECONDS));
        awaitView(2, "AAAA", 0, 1, 2, 3);
        assertEquals(before, fleet.counter(0, "fleet-incarnation"), "the process was not restarted");
    }

    @Test
    void datagramsFromUnknownSendersAndInvalidOnesAreDroppedAndCounted() throws Exception {
        startFleet(2, null, 0, 1);
        awaitView(START_TIMEOUT_SECONDS, "AA", 0, 1);
        try (DatagramSocket stranger = new DatagramSocket()) {
            for (int length : new int[] {0, 1, 20, 256, 257, 2000}) {
                stranger.send(new DatagramPacket(new byte[length], length, fleet.listenAddress(0)));
            }
        }
        // Bypasses the injected loss, which would drop one datagram in ten.
        fleet.relay().inject(1, 0, new byte[50]);
        assertTrue(
                FleetProcesses.becomesTrue(
                        5,
                        () -> droppedCount("fleet-dropped-stranger") >= 6
                                && droppedCount("fleet-dropped-version") >= 1),
                "an invalid datagram from a member's address counts as a wrong version");
        awaitView(1, "AA", 0, 1);
        assertEquals(1, counterValue(0, "fleet-dropped-version"), "received once and counted once");
        assertEquals(0, counterValue(0, "faults"));
    }

    private double droppedCount(String counter) {
        try {
            String value = fleet.counter(0, counter);
            return value.isEmpty() ? 0 : Double.parseDouble(value);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void operatorCanDisableTheView() throws Exception {
        Path operator = folder.resolve("operator.json");
        Files.writeString(operator, "{\"fleet\":{\"view\":\"off\"}}");
        startFleet(2, operator, 0, 1);
        assertTrue(fleet.router(0).awaitReady(START_TIMEOUT_SECONDS)
                && fleet.router(1).awaitReady(START_TIMEOUT_SECONDS));
        assertEquals("", fleet.counter(0, "fleet-view"));
        assertEquals(0, fleet.relay().deliveredCount());
        assertNotEquals("", fleet.counter(0, "faults"), "the other counters are reported");
    }
}
