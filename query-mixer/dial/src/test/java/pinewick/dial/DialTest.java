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

/** Stories of searchers with several addresses, in virtual time. */
class DialTest {
    private static final String SIX = "[2001:db8::3]:7070";
    private static final String FOUR = "192.0.2.3:7070";
    private static final String UNIX = "unix:/run/indice3.sock";
    private static final double HANGS = Double.NaN;

    private static SimulatedDialer world(Object... pairs) {
        Map<String, Double> addresses = new LinkedHashMap<>();
        for (int each = 0; each < pairs.length; each += 2) {
            addresses.put((String) pairs[each], (Double) pairs[each + 1]);
        }
        return new SimulatedDialer(addresses);
    }

    @Test
    void aSocketOfTheOwnMachineComesFirstThenFamiliesByTurns() {
        SimulatedDialer world = world("192.0.2.1:1", 0.01, "192.0.2.2:1", 0.01, "[::2]:1", 0.01, UNIX, 0.001);
        assertEquals(
                List.of(UNIX, "[::2]:1", "192.0.2.1:1", "192.0.2.2:1"),
                world.book.order(0).stream().map(Address::toString).toList());
    }

    @Test
    void aHungFirstAddressCostsItsStaggerOnceAndThenNothing() {
        SimulatedDialer world = world(SIX, HANGS, FOUR, 0.004);
        double first = world.race(0.5);
        assertTrue(first < 0.3, "first " + first);
        double worst = 0;
        for (int each = 0; each < 50; each++) {
            world.now += 1;
            double took = world.race(0.5);
            worst = Math.max(worst, each < 20 ? 0 : took);
        }
        assertEquals(0.004, worst, 0.0001);
        assertEquals(FOUR, world.winner.toString());
    }

    @Test
    void aHungAddressThatIsOutrunIsNotWaitedForAgain() {
        SimulatedDialer world = world(UNIX, HANGS, SIX, 0.002, FOUR, 0.004);
        assertEquals(0.102, world.race(0.5), 0.006);
        world.now += 1;
        assertEquals(0.002, world.race(0.5), 0.001);
        assertEquals(List.of(), world.book.returning(world.now + 20));
        assertEquals(List.of(Address.read(UNIX)), world.book.returning(world.now + 40));
    }

    @Test
    void aSlowAddressThatWinsDoesNotHideAQuickOne() {
        SimulatedDialer world = world(SIX, 0.16, FOUR, 0.002);
        assertEquals(0.102, world.race(0.5), 0.006);
        world.now += 1;
        assertEquals(0.002, world.race(0.5), 0.001);
    }

    @Test
    void twoHungAddressesCostUnderThreeTenthsOfASecond() {
        SimulatedDialer world = world(UNIX, HANGS, SIX, HANGS, FOUR, 0.002);
        assertTrue(world.race(0.5) < 0.3);
    }

    @Test
    void aRefusalMovesOnAtOnce() {
        SimulatedDialer world = world(SIX, -0.002, FOUR, 0.004);
        assertEquals(0.006, world.race(0.5), 0.006);
    }

    @Test
    void allHungIsLostWithinItsTimeAndEverythingIsAbandoned() {
        SimulatedDialer world = world(SIX, HANGS, FOUR, HANGS, UNIX, HANGS);
        assertTrue(Double.isNaN(world.race(0.6)));
        assertTrue(world.lost);
        assertEquals(3, world.abandoned);
        assertTrue(world.now <= 0.61);
    }

    @Test
    void aLateSecondIsNoWinner() {
        AddressHistory book = new AddressHistory();
        Address one = Address.read(SIX);
        Address two = Address.read(FOUR);
        book.set(List.of(one, two));
        List<String> heard = new ArrayList<>();
        ConnectionRace race = new ConnectionRace(book, 0, 1, new ConnectionRace.Wire() {
            @Override
            public void open(Address address) {
                heard.add("open " + address.kind());
            }

            @Override
            public void abandon(Address address) {
                heard.add("abandon " + address.kind());
            }

            @Override
            public void won(Address address) {
                heard.add("won " + address.kind());
            }

            @Override
            public void lost() {
                heard.add("lost");
            }
        });
        race.tick(0);
        race.tick(0.11);
        assertTrue(race.opened(0.12, two));
        assertFalse(race.opened(0.13, one));
        assertEquals(List.of("open IPV6", "open IPV4", "won IPV4"), heard);
    }

    @Test
    void aFlappingAddressLosesItsPlaceAndGetsItBackLater() {
        SimulatedDialer world = world(SIX, 0.002, FOUR, 0.004);
        world.race(0.5);
        Address six = Address.read(SIX);
        for (int each = 0; each < 6; each++) {
            world.now += 0.05;
            world.book.failed(six, world.now);
        }
        assertEquals(FOUR, world.book.order(world.now).get(0).toString());
        assertTrue(world.book.resting(six, world.now + 5));
        assertEquals(List.of(), world.book.returning(world.now + 5));
        assertEquals(List.of(six), world.book.returning(world.now + 9));
        world.book.served(six, world.now + 9);
        assertEquals(SIX, world.book.order(world.now + 9).get(0).toString());
    }

    @Test
    void aSlowAddressIsNotADeadOne() {
        SimulatedDialer world = world(FOUR, 0.4);
        assertEquals(0.4, world.race(1), 0.01);
        for (int each = 0; each < 5; each++) {
            assertFalse(Double.isNaN(world.race(1)), "its own time is the measure");
        }
    }

    @Test
    void whatAnotherSearcherAnswersOnIsNotUsed() {
        SimulatedDialer world = world(SIX, 0.002, FOUR, 0.004);
        world.book.stranger(Address.read(SIX));
        assertEquals(
                List.of(FOUR),
                world.book.order(0).stream().map(Address::toString).toList());
    }

    @Test
    void anAddressUnderTwoSearchersIsUsedForNeither() {
        AddressClaims claims = new AddressClaims();
        Address both = Address.read(FOUR);
        Address own = Address.read(SIX);
        claims.claim("indice3", List.of(both, own));
        claims.claim("indice4", List.of(both));
        assertEquals(List.of(own), claims.usable("indice3"));
        assertEquals(List.of(), claims.usable("indice4"));
        assertEquals(List.of(FOUR + " is listed under indice3 and indice4 and is used for none"), claims.conflicts());
        claims.claim("indice4", List.of());
        assertEquals(List.of(both, own), claims.usable("indice3"));
        assertEquals(List.of(), claims.conflicts());
    }

    @Test
    void aThousandWaitingLaunchesOpenFewConnections() {
        ConnectionLimiter gate = new ConnectionLimiter(8, 100);
        List<Integer> rounds = new ArrayList<>();
        while (gate.open() < 8 && rounds.size() < 20) {
            int begun = 0;
            while (gate.mayOpen(1000 - 100 * gate.open())) {
                gate.began();
                begun++;
            }
            rounds.add(begun);
            for (int each = 0; each < begun; each++) {
                gate.won();
            }
            if (begun == 0) {
                break;
            }
        }
        assertEquals(List.of(1, 2, 5), rounds);
        assertFalse(gate.keepsSpare());
        gate.closed();
        assertTrue(gate.keepsSpare());
    }

    @Test
    void aPathThatStallsIsToldFromASearcherThatStalls() {
        AddressHistory book = new AddressHistory();
        Address unix = Address.read(UNIX);
        Address six = Address.read(SIX);
        book.set(List.of(unix, six));
        List<String> heard = new ArrayList<>();
        PathMonitor watch = new PathMonitor(0.2, 0.1, book, new PathMonitor.Wire() {
            @Override
            public void probe(Address address) {
                heard.add("probe " + address.kind());
            }

            @Override
            public void aside(Address address) {
                heard.add("aside " + address.kind());
            }
        });
        watch.owed(unix, 0);
        watch.tick(0.1);
        assertEquals(List.of(), heard);
        watch.tick(0.21);
        watch.tick(0.25);
        assertEquals(List.of("probe IPV6"), heard, "one probe at a time");
        watch.tick(0.5);
        assertFalse(watch.aside(unix), "both silent: it is the searcher, and the decisions' matter");
        watch.heard(six, 0.52, 0);
        assertTrue(watch.aside(unix));
        assertEquals(SIX, book.order(0.53).get(0).toString());
        watch.heard(unix, 0.9, 1);
        assertFalse(watch.aside(unix), "it speaks again");
    }

    @Test
    void addressesThatCannotBeReadAreNamed() {
        for (String bad : new String[] {
            "",
            "unix:run/x",
            "1.2.3:1",
            "[::1]",
            "[::1]:0",
            "1.2.3.4:65536",
            "a.example.org:1",
            "unix:/" + "x".repeat(200)
        }) {
            assertTrue(assertThrows(IllegalArgumentException.class, () -> Address.read(bad))
                    .getMessage()
                    .startsWith("'" + bad + "'"));
        }
        assertEquals("[fe80::1]:7", Address.read("[FE80::1]:7").toString());
    }
}
