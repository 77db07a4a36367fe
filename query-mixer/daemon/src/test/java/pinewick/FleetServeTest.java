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
 * Several mixers, each a process of its own from this build's classes, that see each other through a relay which loses,
 * delays, duplicates and partitions. Every wait has a bound, which the test asserts.
 */
class FleetServeTest {
    /** A busy machine may take this long to start that many processes. */
    private static final double START_TIMEOUT_SECONDS = 30;
    /** The longest pause that ends, as seen by the others, before the least silence that a declared failure takes. */
    private static final double MAX_PAUSE_SECONDS =
            MembershipSettings.defaults().minSilenceSeconds() - 0.1;
    /** Attempts for a pause that a busy machine may extend beyond that. */
    private static final int MAX_ATTEMPTS = 12;

    @TempDir
    Path folder;

    private FleetProcesses fleet;

    private void fleet(int size, Path operator, int... started) throws Exception {
        fleet = new FleetProcesses(size, null, folder, operator, 7);
        fleet.relay().links(0.1, 0.02, 0.001, 0.018);
        fleet.start(started);
    }

    @AfterEach
    void close() throws Exception {
        fleet.close();
    }

    private void awaitView(double timeoutSeconds, String letters, int... places) throws Exception {
        double took = fleet.until(timeoutSeconds, letters, places);
        StringBuilder views = new StringBuilder();
        for (int place : places) {
            views.append(' ').append(fleet.figure(place, "fleet-view"));
        }
        assertFalse(
                Double.isNaN(took), () -> letters + " was not seen by all within " + timeoutSeconds + " s:" + views);
    }

    private double number(int place, String figure) throws Exception {
        return Double.parseDouble(fleet.figure(place, figure));
    }

    @Test
    void aJoinIsSeenByAllACrashIsDeclaredAndARestartComesBackWithAHigherIncarnation() throws Exception {
        fleet(5, null, 0, 1, 2, 3);
        awaitView(START_TIMEOUT_SECONDS, "AAAAU", 0, 1, 2, 3);
        fleet.start(4);
        assertTrue(fleet.mixer(4).awaitReady(START_TIMEOUT_SECONDS));
        awaitView(2, "AAAAA", 0, 1, 2, 3, 4);
        String first = fleet.figure(4, "fleet-incarnation");
        fleet.mixer(4).stop(false);
        awaitView(5, "AAAAD", 0, 1, 2, 3);
        assertEquals(4, number(0, "fleet-live"));
        assertEquals(5, number(0, "fleet-bound"), "a death counts off a budget only after it has stood for long");
        fleet.start(4);
        assertTrue(fleet.mixer(4).awaitReady(START_TIMEOUT_SECONDS));
        awaitView(2, "AAAAA", 0, 1, 2, 3, 4);
        assertTrue(Long.parseLong(fleet.figure(4, "fleet-incarnation")) > Long.parseLong(first));
        fleet.mixer(3).stop(true);
        awaitView(2, "AAALA", 0, 1, 2, 4);
        assertEquals(0, fleet.deathsOf(3, 0, 1, 2, 4), "it said itself that it stops");
        assertTrue(
                fleet.relay().longest() <= 256, "a datagram of " + fleet.relay().longest() + " bytes");
    }

    @Test
    void aMixerThatStandsStillForTwoSecondsIsNotDeclaredDeadNorDoesItDeclareOthers() throws Exception {
        fleet(4, null, 0, 1, 2, 3);
        awaitView(START_TIMEOUT_SECONDS, "AAAA", 0, 1, 2, 3);
        int rounds = 0;
        for (int tries = 0; rounds < 2; tries++) {
            assertTrue(tries < MAX_ATTEMPTS, "this machine is too busy to stop a process for two seconds");
            int before = deaths();
            double from = StandinReplicas.clock();
            fleet.mixer(2).signal("STOP");
            boolean died = FleetProcesses.within(2, () -> deaths() > before);
            fleet.mixer(2).signal("CONT");
            assertTrue(FleetProcesses.within(START_TIMEOUT_SECONDS, () -> answers(2)));
            double pause = StandinReplicas.clock() - from;
            if (pause > MAX_PAUSE_SECONDS) {
                // A longer pause may rightly count as a failure, so nothing is asserted about it.
                awaitView(START_TIMEOUT_SECONDS, "AAAA", 0, 1, 2, 3);
                continue;
            }
            assertFalse(died, "a death within the pause");
            awaitView(5, "AAAA", 0, 1, 2, 3);
            assertEquals(before, deaths(), "after a pause of " + pause + " s");
            rounds++;
        }
    }

    private boolean answers(int place) {
        try {
            return !fleet.figure(place, "fleet-view").isEmpty();
        } catch (InterruptedException odd) {
            throw new IllegalStateException(odd);
        }
    }

    private int deaths() {
        try {
            int deaths = 0;
            for (int each = 0; each < 4; each++) {
                deaths += fleet.deathsOf(each, 0, 1, 2, 3);
            }
            return deaths;
        } catch (java.io.IOException odd) {
            throw new java.io.UncheckedIOException(odd);
        }
    }

    @Test
    void aPartitionOfSixSecondsHealsIntoOneViewAndAOneWayCutKillsNobody() throws Exception {
        fleet(5, null, 0, 1, 2, 3, 4);
        awaitView(START_TIMEOUT_SECONDS, "AAAAA", 0, 1, 2, 3, 4);
        fleet.relay().cut((from, to) -> from == 0 && to == 1);
        assertFalse(
                FleetProcesses.within(4, () -> oneDied()), "looked at by others, one that can't be heard here lives");
        fleet.relay().cut((from, to) -> from < 2 != to < 2);
        awaitView(8, "AADDD", 0, 1);
        awaitView(8, "DDAAA", 2, 3, 4);
        assertEquals(5, number(0, "fleet-bound"), "cut off is not dead: the others may go on sending");
        fleet.relay().cut((from, to) -> false);
        awaitView(3, "AAAAA", 0, 1, 2, 3, 4);
        // All stand as alive before the last objection, which raises an incarnation, has come everywhere.
        assertTrue(FleetProcesses.within(3, this::sameDigests), "one view, incarnations too");
    }

    private boolean sameDigests() {
        try {
            for (int each = 1; each < 5; each++) {
                if (!fleet.figure(0, "fleet-digest").equals(fleet.figure(each, "fleet-digest"))) {
                    return false;
                }
            }
            return true;
        } catch (InterruptedException odd) {
            throw new IllegalStateException(odd);
        }
    }

    private boolean oneDied() {
        try {
            return fleet.deathsOf(0, 0, 1, 2, 3, 4) + fleet.deathsOf(1, 0, 1, 2, 3, 4) > 0;
        } catch (java.io.IOException odd) {
            throw new java.io.UncheckedIOException(odd);
        }
    }

    @Test
    void aLongerListOfMixersBySighupIsAChangeOfTheViewAndNoRestart() throws Exception {
        SighupPrecondition.check();
        fleet = new FleetProcesses(4, null, folder, null, 7);
        fleet.list(3);
        fleet.start(0, 1, 2);
        awaitView(START_TIMEOUT_SECONDS, "AAA", 0, 1, 2);
        String before = fleet.figure(0, "fleet-incarnation");
        fleet.list(4);
        for (int each = 0; each < 3; each++) {
            fleet.mixer(each).signal("HUP");
        }
        awaitView(5, "AAAU", 0, 1, 2);
        fleet.start(3);
        assertTrue(fleet.mixer(3).awaitReady(START_TIMEOUT_SECONDS));
        awaitView(2, "AAAA", 0, 1, 2, 3);
        assertEquals(before, fleet.figure(0, "fleet-incarnation"), "it was not started anew");
    }

    @Test
    void datagramsOfStrangersAndNoiseAreDroppedAndCounted() throws Exception {
        fleet(2, null, 0, 1);
        awaitView(START_TIMEOUT_SECONDS, "AA", 0, 1);
        try (DatagramSocket stranger = new DatagramSocket()) {
            for (int length : new int[] {0, 1, 20, 256, 257, 2000}) {
                stranger.send(new DatagramPacket(new byte[length], length, fleet.home(0)));
            }
        }
        // Bypasses the loss of the links, which would drop one datagram in ten.
        fleet.relay().inject(1, 0, new byte[50]);
        assertTrue(
                FleetProcesses.within(
                        5, () -> dropped("fleet-dropped-stranger") >= 6 && dropped("fleet-dropped-version") >= 1),
                "noise through the relay bears a member's address");
        awaitView(1, "AA", 0, 1);
        assertEquals(1, number(0, "fleet-dropped-version"), "it came once and was counted once");
        assertEquals(0, number(0, "faults"));
    }

    private double dropped(String figure) {
        try {
            String told = fleet.figure(0, figure);
            return told.isEmpty() ? 0 : Double.parseDouble(told);
        } catch (InterruptedException odd) {
            throw new IllegalStateException(odd);
        }
    }

    @Test
    void anOperatorCanTurnTheViewOff() throws Exception {
        Path operator = folder.resolve("operator.json");
        Files.writeString(operator, "{\"fleet\":{\"view\":\"off\"}}");
        fleet(2, operator, 0, 1);
        assertTrue(fleet.mixer(0).awaitReady(START_TIMEOUT_SECONDS)
                && fleet.mixer(1).awaitReady(START_TIMEOUT_SECONDS));
        assertEquals("", fleet.figure(0, "fleet-view"));
        assertEquals(0, fleet.relay().carried());
        assertNotEquals("", fleet.figure(0, "faults"), "it tells its other figures");
    }
}
