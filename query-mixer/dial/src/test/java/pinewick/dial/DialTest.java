package pinewick.dial;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Connection races, address order, connection limits and path monitoring of a back end with several addresses, in
 * virtual time.
 */
class DialTest {
    private static final String IPV6 = "[2001:db8::3]:7070";
    private static final String IPV4 = "192.0.2.3:7070";
    private static final String UNIX = "unix:/run/indice3.sock";
    private static final double HANG = Double.NaN;

    private static SimulatedDialer dialer(Object... pairs) {
        Map<String, Double> addresses = new LinkedHashMap<>();
        for (int each = 0; each < pairs.length; each += 2) {
            addresses.put((String) pairs[each], (Double) pairs[each + 1]);
        }
        return new SimulatedDialer(addresses);
    }

    @Test
    void unixSocketComesFirstThenFamiliesAlternate() {
        SimulatedDialer dialer = dialer("192.0.2.1:1", 0.01, "192.0.2.2:1", 0.01, "[::2]:1", 0.01, UNIX, 0.001);
        assertEquals(
                List.of(UNIX, "[::2]:1", "192.0.2.1:1", "192.0.2.2:1"),
                dialer.history.attemptOrder(0).stream().map(Address::toString).toList());
    }

    @Test
    void hungFirstAddressCostsItsAttemptDelayOnlyOnce() {
        SimulatedDialer dialer = dialer(IPV6, HANG, IPV4, 0.004);
        double firstSeconds = dialer.race(0.5);
        assertTrue(firstSeconds < 0.3, "first " + firstSeconds);
        double worstSeconds = 0;
        for (int each = 0; each < 50; each++) {
            dialer.now += 1;
            double elapsedSeconds = dialer.race(0.5);
            worstSeconds = Math.max(worstSeconds, each < 20 ? 0 : elapsedSeconds);
        }
        assertEquals(0.004, worstSeconds, 0.0001);
        assertEquals(IPV4, dialer.winner.toString());
    }

    @Test
    void outpacedHungAddressIsNotWaitedForAgain() {
        SimulatedDialer dialer = dialer(UNIX, HANG, IPV6, 0.002, IPV4, 0.004);
        assertEquals(0.102, dialer.race(0.5), 0.006);
        dialer.now += 1;
        assertEquals(0.002, dialer.race(0.5), 0.001);
        assertEquals(List.of(), dialer.history.retryCandidates(dialer.now + 20));
        assertEquals(List.of(Address.parse(UNIX)), dialer.history.retryCandidates(dialer.now + 40));
    }

    @Test
    void slowWinnerDoesNotHideFasterAddress() {
        SimulatedDialer dialer = dialer(IPV6, 0.16, IPV4, 0.002);
        assertEquals(0.102, dialer.race(0.5), 0.006);
        dialer.now += 1;
        assertEquals(0.002, dialer.race(0.5), 0.001);
    }

    @Test
    void twoHungAddressesCostLessThan300Ms() {
        SimulatedDialer dialer = dialer(UNIX, HANG, IPV6, HANG, IPV4, 0.002);
        assertTrue(dialer.race(0.5) < 0.3);
    }

    @Test
    void refusalStartsNextAttemptAtOnce() {
        SimulatedDialer dialer = dialer(IPV6, -0.002, IPV4, 0.004);
        assertEquals(0.006, dialer.race(0.5), 0.006);
    }

    @Test
    void raceOfHungAddressesIsLostInTimeAndCancelsAllAttempts() {
        SimulatedDialer dialer = dialer(IPV6, HANG, IPV4, HANG, UNIX, HANG);
        assertTrue(Double.isNaN(dialer.race(0.6)));
        assertTrue(dialer.lost);
        assertEquals(3, dialer.cancelledCount);
        assertTrue(dialer.now <= 0.61);
    }

    @Test
    void lateSecondConnectionDoesNotWin() {
        AddressHistory history = new AddressHistory();
        Address one = Address.parse(IPV6);
        Address two = Address.parse(IPV4);
        history.setAddresses(List.of(one, two));
        List<String> events = new ArrayList<>();
        ConnectionRace race = new ConnectionRace(history, 0, 1, new ConnectionRace.Transport() {
            @Override
            public void connect(Address address) {
                events.add("connect " + address.family());
            }

            @Override
            public void cancel(Address address) {
                events.add("cancel " + address.family());
            }

            @Override
            public void onWon(Address address) {
                events.add("won " + address.family());
            }

            @Override
            public void onLost() {
                events.add("lost");
            }
        });
        race.tick(0);
        race.tick(0.11);
        assertTrue(race.onConnected(0.12, two));
        assertFalse(race.onConnected(0.13, one));
        assertEquals(List.of("connect IPV6", "connect IPV4", "won IPV4"), events);
    }

    @Test
    void flappingAddressLosesItsPlaceAndRegainsItLater() {
        SimulatedDialer dialer = dialer(IPV6, 0.002, IPV4, 0.004);
        dialer.race(0.5);
        Address ipv6 = Address.parse(IPV6);
        for (int each = 0; each < 6; each++) {
            dialer.now += 0.05;
            dialer.history.onFailure(ipv6, dialer.now);
        }
        assertEquals(IPV4, dialer.history.attemptOrder(dialer.now).get(0).toString());
        assertTrue(dialer.history.isBackingOff(ipv6, dialer.now + 5));
        assertEquals(List.of(), dialer.history.retryCandidates(dialer.now + 5));
        assertEquals(List.of(ipv6), dialer.history.retryCandidates(dialer.now + 9));
        dialer.history.onDataReceived(ipv6, dialer.now + 9);
        assertEquals(IPV6, dialer.history.attemptOrder(dialer.now + 9).get(0).toString());
    }

    @Test
    void slowAddressDoesNotCountAsHung() {
        SimulatedDialer dialer = dialer(IPV4, 0.4);
        assertEquals(0.4, dialer.race(1), 0.01);
        for (int each = 0; each < 5; each++) {
            assertFalse(Double.isNaN(dialer.race(1)), "its own connect time sets the time-out");
        }
    }

    @Test
    void addressOfAnotherBackendIsNotUsed() {
        SimulatedDialer dialer = dialer(IPV6, 0.002, IPV4, 0.004);
        dialer.history.onWrongBackend(Address.parse(IPV6));
        assertEquals(
                List.of(IPV4),
                dialer.history.attemptOrder(0).stream().map(Address::toString).toList());
    }

    @Test
    void addressClaimedByTwoBackendsIsUsedForNeither() {
        AddressClaims claims = new AddressClaims();
        Address shared = Address.parse(IPV4);
        Address own = Address.parse(IPV6);
        claims.claim("indice3", List.of(shared, own));
        claims.claim("indice4", List.of(shared));
        assertEquals(List.of(own), claims.usable("indice3"));
        assertEquals(List.of(), claims.usable("indice4"));
        assertEquals(List.of(IPV4 + " is listed under indice3 and indice4 and is used for none"), claims.conflicts());
        claims.claim("indice4", List.of());
        assertEquals(List.of(shared, own), claims.usable("indice3"));
        assertEquals(List.of(), claims.conflicts());
    }

    @Test
    void thousandWaitingCallsOpenFewConnections() {
        ConnectionLimiter limiter = new ConnectionLimiter(8, 100);
        List<Integer> rounds = new ArrayList<>();
        while (limiter.openCount() < 8 && rounds.size() < 20) {
            int started = 0;
            while (limiter.canStartAttempt(1000 - 100 * limiter.openCount())) {
                limiter.onAttemptStarted();
                started++;
            }
            rounds.add(started);
            for (int each = 0; each < started; each++) {
                limiter.onAttemptSucceeded();
            }
            if (started == 0) {
                break;
            }
        }
        assertEquals(List.of(1, 2, 5), rounds);
        assertFalse(limiter.acceptSpare());
        limiter.onClosed();
        assertTrue(limiter.acceptSpare());
    }

    @Test
    void stalledPathIsDistinguishedFromStalledBackend() {
        AddressHistory history = new AddressHistory();
        Address unix = Address.parse(UNIX);
        Address ipv6 = Address.parse(IPV6);
        history.setAddresses(List.of(unix, ipv6));
        List<String> events = new ArrayList<>();
        PathMonitor monitor = new PathMonitor(0.2, 0.1, history, new PathMonitor.Transport() {
            @Override
            public void probe(Address address) {
                events.add("probe " + address.family());
            }

            @Override
            public void eject(Address address) {
                events.add("eject " + address.family());
            }
        });
        monitor.onRequestSent(unix, 0);
        monitor.tick(0.1);
        assertEquals(List.of(), events);
        monitor.tick(0.21);
        monitor.tick(0.25);
        assertEquals(List.of("probe IPV6"), events, "one probe at a time");
        monitor.tick(0.5);
        assertFalse(monitor.isEjected(unix), "both paths are silent: the back end is at fault, not the path");
        monitor.onDataReceived(ipv6, 0.52, 0);
        assertTrue(monitor.isEjected(unix));
        assertEquals(IPV6, history.attemptOrder(0.53).get(0).toString());
        monitor.onDataReceived(unix, 0.9, 1);
        assertFalse(monitor.isEjected(unix), "the path delivers data again");
    }

    @Test
    void invalidAddressesAreNamedInTheError() {
        for (String invalid : new String[] {
            "",
            "unix:run/x",
            "1.2.3:1",
            "[::1]",
            "[::1]:0",
            "1.2.3.4:65536",
            "a.example.org:1",
            "unix:/" + "x".repeat(200)
        }) {
            assertTrue(assertThrows(IllegalArgumentException.class, () -> Address.parse(invalid))
                    .getMessage()
                    .startsWith("'" + invalid + "'"));
        }
        assertEquals("[fe80::1]:7", Address.parse("[FE80::1]:7").toString());
    }
}
