package pinewick.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import pinewick.fleet.MemberState;
import pinewick.fleet.MembershipSettings;
import pinewick.fleet.MembershipView;

/** Stories of whole fleets in virtual time, over links that lose, delay, double and cut. */
class SimulatedQueryRouterFleetTest {
    private static SimulatedQueryRouterFleet running(int size, double loss, long seed) {
        SimulatedQueryRouterFleet world = new SimulatedQueryRouterFleet(size, seed);
        world.datagrams().links(loss, 0.02, 0.001, 0.018);
        world.startAll();
        assertTrue(world.secondsToConverge(3) <= 3, "a start of all at once");
        world.datagrams().run(world.datagrams().now() + 5);
        return world;
    }

    @Test
    void aCrashIsDetectedWithinThreeSecondsWithATenthOfTheDatagramsLost() {
        for (long seed = 1; seed <= 5; seed++) {
            SimulatedQueryRouterFleet world = running(100, 0.1, seed);
            world.datagrams().kill(40);
            assertTrue(world.secondsToConverge(3) <= 3, "seed " + seed);
            assertTrue(world.deaths().stream().allMatch(each -> each.startsWith("40 ")), "seed " + seed);
        }
    }

    @Test
    void aJoinIsKnownToAllWithinTwoSecondsEvenWithoutBroadcast() {
        for (boolean all : new boolean[] {true, false}) {
            SimulatedQueryRouterFleet world = new SimulatedQueryRouterFleet(100, 3, MembershipSettings.defaults(), all);
            world.datagrams().links(0.1, 0, 0.001, 0.018);
            for (int place = 1; place < 100; place++) {
                world.start(place);
            }
            world.secondsToConverge(30);
            world.datagrams().run(world.datagrams().now() + 5);
            world.start(0);
            assertTrue(world.secondsToConverge(2) <= 2, "a way to all: " + all);
        }
    }

    @Test
    void aMemberPausedForTwoSecondsIsAtMostSuspectedAndSuspectsNobodyAfterwards() {
        for (long seed = 1; seed <= 10; seed++) {
            SimulatedQueryRouterFleet world = running(60, 0.1, seed);
            world.datagrams().setPaused(7, true);
            world.datagrams().run(world.datagrams().now() + 2);
            world.datagrams().setPaused(7, false);
            world.datagrams().run(world.datagrams().now() + 4);
            assertEquals(0, world.deaths().size(), "seed " + seed + ": " + world.deaths());
            assertTrue(world.secondsToConverge(2) <= 2);
        }
    }

    @Test
    void afterAPartitionOfSixSecondsBothSidesConvergeWithinThreeSeconds() {
        for (long seed = 1; seed <= 5; seed++) {
            SimulatedQueryRouterFleet world = running(100, 0.1, seed);
            world.datagrams().partition((from, to) -> from < 20 != to < 20);
            world.datagrams().run(world.datagrams().now() + 6);
            assertEquals(MemberState.DEAD, world.view(5).state(70));
            assertEquals(MemberState.DEAD, world.view(70).state(5));
            world.datagrams().partition((from, to) -> false);
            assertTrue(world.secondsToConverge(3) <= 3, "seed " + seed);
        }
    }

    @Test
    void aMemberUnreachableInOneDirectionIsProbedIndirectlyAndNotDeclaredDead() {
        SimulatedQueryRouterFleet world = running(20, 0, 4);
        world.datagrams().partition((from, to) -> from == 3 && to == 9);
        world.datagrams().run(world.datagrams().now() + 20);
        assertEquals(0, world.deaths().size(), world.deaths().toString());
    }

    @Test
    void sevenInTenKilledAtOnceAreDeclaredDeadAndNoOthers() {
        SimulatedQueryRouterFleet world = running(100, 0.1, 6);
        for (int place = 0; place < 70; place++) {
            world.datagrams().kill(place);
        }
        assertTrue(world.secondsToConverge(15) <= 15);
        assertTrue(world.deaths().stream().allMatch(each -> Integer.parseInt(each.split(" ")[0]) < 70));
    }

    @Test
    void aMemberThatShutsDownIsNotDeclaredDeadAndReturnsAfterARestart() {
        SimulatedQueryRouterFleet world = running(10, 0, 7);
        world.view(2).leave(world.datagrams().now());
        world.datagrams().run(world.datagrams().now() + 0.1);
        world.datagrams().kill(2);
        assertTrue(world.secondsToConverge(1) <= 1);
        assertEquals(MemberState.LEFT, world.view(0).state(2));
        world.datagrams().run(world.datagrams().now() + 4);
        assertEquals(0, world.deaths().size());
        world.start(2);
        assertTrue(world.secondsToConverge(2) <= 2);
    }

    @Test
    void aMemberRestartedBeforeItsFailureIsDetectedHasAHigherIncarnation() {
        SimulatedQueryRouterFleet world = running(10, 0, 8);
        long before = world.view(0).incarnation(4);
        world.datagrams().kill(4);
        world.datagrams().run(world.datagrams().now() + 0.3);
        world.start(4);
        assertTrue(world.secondsToConverge(2) <= 2);
        assertTrue(world.view(0).incarnation(4) > before);
        world.datagrams().run(world.datagrams().now() + 5);
        assertEquals(0, world.deaths().size(), world.deaths().toString());
    }

    @Test
    void aMemberWhoseClockWentBackBetweenTwoStartsIsAccepted() {
        SimulatedQueryRouterFleet world = running(5, 0, 9);
        long before = world.view(0).incarnation(1);
        world.datagrams().kill(1);
        world.datagrams().run(world.datagrams().now() + 5);
        assertEquals(MemberState.DEAD, world.view(0).state(1));
        world.startWith(1, 5);
        assertTrue(world.secondsToConverge(2) <= 2, "it takes an incarnation above the one it is told of");
        assertTrue(world.view(0).incarnation(1) > before);
    }

    @Test
    void aLongerMemberListRetainsWhatIsKnownAndNewMembersAreUnknown() {
        SimulatedQueryRouterFleet world = running(4, 0, 10);
        MembershipView view = world.view(0);
        view.onMemberListChanged(world.datagrams().now(), 6, 0);
        assertEquals("AAAAUU", view.stateLetters());
        assertEquals(4, view.liveCount());
        assertEquals(6, view.maxSenders(world.datagrams().now()));
        view.onMemberListChanged(world.datagrams().now(), 3, 0);
        assertEquals("AAA", view.stateLetters());
        world.datagrams().run(world.datagrams().now() + 3);
        assertEquals("AAA", view.stateLetters(), "news of places that are not listed here is passed over");
    }

    @Test
    void aDeadMemberRaisesTheBudgetShareOnlyAfterADelayAndWithinItsBound() {
        SimulatedQueryRouterFleet world = running(10, 0, 11);
        MembershipView view = world.view(0);
        for (int place = 1; place < 6; place++) {
            world.datagrams().kill(place);
        }
        world.secondsToConverge(15);
        assertEquals(5, view.liveCount());
        assertEquals(10, view.maxSenders(world.datagrams().now()));
        world.datagrams().run(world.datagrams().now() + 31);
        assertEquals(
                8,
                view.maxSenders(world.datagrams().now()),
                "half may be cut off and still sending: four fifths " + "at the least");
    }

    @Test
    void theLoadOfAMemberIsTheSameAmongTenAndAmongThreeHundred() {
        double[] bytes = new double[2];
        int[] sizes = {10, 300};
        for (int each = 0; each < 2; each++) {
            SimulatedQueryRouterFleet world = running(sizes[each], 0.1, 12);
            long before = world.sentBytes();
            world.datagrams().run(world.datagrams().now() + 10);
            bytes[each] = (world.sentBytes() - before) / 10.0 / sizes[each];
        }
        assertTrue(bytes[1] <= 1.25 * bytes[0] && bytes[1] < 2000, bytes[0] + " and " + bytes[1] + " bytes a second");
    }

    @Test
    void theSameEventsGiveTheSameDatagrams() {
        SimulatedQueryRouterFleet one = running(30, 0.1, 13);
        SimulatedQueryRouterFleet other = running(30, 0.1, 13);
        one.datagrams().kill(3);
        other.datagrams().kill(3);
        one.datagrams().run(one.datagrams().now() + 4);
        other.datagrams().run(other.datagrams().now() + 4);
        assertEquals(one.sentBytes(), other.sentBytes());
        assertEquals(one.view(0).metrics(), other.view(0).metrics());
    }

    @Test
    void aFleetOfOneHasNoPeersAndNoWarnings() {
        SimulatedQueryRouterFleet world = new SimulatedQueryRouterFleet(1, 14).startAll();
        world.datagrams().run(world.datagrams().now() + 5);
        assertEquals("A", world.view(0).stateLetters());
        assertEquals(1, world.view(0).maxSenders(world.datagrams().now()));
        assertEquals(0, world.deaths().size());
        assertFalse(world.view(0).metrics().isEmpty());
    }

    @Test
    void aMemberWithoutContactDoesNotDecideAsIfItWereTheOnlyOne() {
        SimulatedQueryRouterFleet world = new SimulatedQueryRouterFleet(10, 15);
        world.start(0);
        assertEquals(10, world.view(0).estimatedSenders(), "nothing is known of the others but that they are listed");
        world = running(10, 0, 15);
        world.datagrams().partition((from, to) -> true);
        world.datagrams().run(world.datagrams().now() + 12);
        assertEquals(1, world.view(0).liveCount());
        assertEquals(5, world.view(0).estimatedSenders());
        world.datagrams().partition((from, to) -> false);
        assertTrue(world.secondsToConverge(3) <= 3);
        assertEquals(10, world.view(0).estimatedSenders());
    }
}
