package pinewick.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import pinewick.fleet.MemberState;
import pinewick.fleet.MembershipSettings;
import pinewick.fleet.MembershipView;

/** Fleets in virtual time, over links that lose, delay, duplicate and block datagrams. */
class SimulatedQueryRouterFleetTest {
    private static SimulatedQueryRouterFleet running(int size, double loss, long seed) {
        SimulatedQueryRouterFleet fleet = new SimulatedQueryRouterFleet(size, seed);
        fleet.datagrams().setLinkQuality(loss, 0.02, 0.001, 0.018);
        fleet.startAll();
        assertTrue(fleet.secondsToConverge(3) <= 3, "all members started at once");
        fleet.datagrams().run(fleet.datagrams().now() + 5);
        return fleet;
    }

    @Test
    void detectsACrashWithinThreeSecondsAtTenPercentLoss() {
        for (long seed = 1; seed <= 5; seed++) {
            SimulatedQueryRouterFleet fleet = running(100, 0.1, seed);
            fleet.datagrams().kill(40);
            assertTrue(fleet.secondsToConverge(3) <= 3, "seed " + seed);
            assertTrue(fleet.deaths().stream().allMatch(death -> death.startsWith("40 ")), "seed " + seed);
        }
    }

    @Test
    void announcesAJoinToAllWithinTwoSecondsWithAndWithoutBroadcast() {
        for (boolean hasBroadcast : new boolean[] {true, false}) {
            SimulatedQueryRouterFleet fleet =
                    new SimulatedQueryRouterFleet(100, 3, MembershipSettings.defaults(), hasBroadcast);
            fleet.datagrams().setLinkQuality(0.1, 0, 0.001, 0.018);
            for (int member = 1; member < 100; member++) {
                fleet.start(member);
            }
            fleet.secondsToConverge(30);
            fleet.datagrams().run(fleet.datagrams().now() + 5);
            fleet.start(0);
            assertTrue(fleet.secondsToConverge(2) <= 2, "broadcast: " + hasBroadcast);
        }
    }

    @Test
    void declaresNoDeathAfterAPauseOfTwoSeconds() {
        for (long seed = 1; seed <= 10; seed++) {
            SimulatedQueryRouterFleet fleet = running(60, 0.1, seed);
            fleet.datagrams().setPaused(7, true);
            fleet.datagrams().run(fleet.datagrams().now() + 2);
            fleet.datagrams().setPaused(7, false);
            fleet.datagrams().run(fleet.datagrams().now() + 4);
            assertEquals(0, fleet.deaths().size(), "seed " + seed + ": " + fleet.deaths());
            assertTrue(fleet.secondsToConverge(2) <= 2);
        }
    }

    @Test
    void convergesWithinThreeSecondsAfterAPartitionOfSixSeconds() {
        for (long seed = 1; seed <= 5; seed++) {
            SimulatedQueryRouterFleet fleet = running(100, 0.1, seed);
            fleet.datagrams().partition((from, to) -> from < 20 != to < 20);
            fleet.datagrams().run(fleet.datagrams().now() + 6);
            assertEquals(MemberState.DEAD, fleet.view(5).state(70));
            assertEquals(MemberState.DEAD, fleet.view(70).state(5));
            fleet.datagrams().partition((from, to) -> false);
            assertTrue(fleet.secondsToConverge(3) <= 3, "seed " + seed);
        }
    }

    @Test
    void doesNotDeclareAMemberDeadWhenOneDirectionIsBlocked() {
        SimulatedQueryRouterFleet fleet = running(20, 0, 4);
        fleet.datagrams().partition((from, to) -> from == 3 && to == 9);
        fleet.datagrams().run(fleet.datagrams().now() + 20);
        assertEquals(0, fleet.deaths().size(), fleet.deaths().toString());
    }

    @Test
    void declaresExactlyTheKilledMembersDeadWhenSeventyPercentCrash() {
        SimulatedQueryRouterFleet fleet = running(100, 0.1, 6);
        for (int member = 0; member < 70; member++) {
            fleet.datagrams().kill(member);
        }
        assertTrue(fleet.secondsToConverge(15) <= 15);
        assertTrue(fleet.deaths().stream().allMatch(death -> Integer.parseInt(death.split(" ")[0]) < 70));
    }

    @Test
    void treatsAMemberThatShutsDownAsLeftAndAcceptsItsRestart() {
        SimulatedQueryRouterFleet fleet = running(10, 0, 7);
        fleet.view(2).leave(fleet.datagrams().now());
        fleet.datagrams().run(fleet.datagrams().now() + 0.1);
        fleet.datagrams().kill(2);
        assertTrue(fleet.secondsToConverge(1) <= 1);
        assertEquals(MemberState.LEFT, fleet.view(0).state(2));
        fleet.datagrams().run(fleet.datagrams().now() + 4);
        assertEquals(0, fleet.deaths().size());
        fleet.start(2);
        assertTrue(fleet.secondsToConverge(2) <= 2);
    }

    @Test
    void acceptsAHigherIncarnationOfAMemberRestartedBeforeDetection() {
        SimulatedQueryRouterFleet fleet = running(10, 0, 8);
        long before = fleet.view(0).incarnation(4);
        fleet.datagrams().kill(4);
        fleet.datagrams().run(fleet.datagrams().now() + 0.3);
        fleet.start(4);
        assertTrue(fleet.secondsToConverge(2) <= 2);
        assertTrue(fleet.view(0).incarnation(4) > before);
        fleet.datagrams().run(fleet.datagrams().now() + 5);
        assertEquals(0, fleet.deaths().size(), fleet.deaths().toString());
    }

    @Test
    void acceptsARestartedMemberWhoseClockWentBack() {
        SimulatedQueryRouterFleet fleet = running(5, 0, 9);
        long before = fleet.view(0).incarnation(1);
        fleet.datagrams().kill(1);
        fleet.datagrams().run(fleet.datagrams().now() + 5);
        assertEquals(MemberState.DEAD, fleet.view(0).state(1));
        fleet.startWithIncarnation(1, 5);
        assertTrue(
                fleet.secondsToConverge(2) <= 2,
                "the member adopts an incarnation above the one that its peers report");
        assertTrue(fleet.view(0).incarnation(1) > before);
    }

    @Test
    void keepsKnownStatesWhenTheMemberListChanges() {
        SimulatedQueryRouterFleet fleet = running(4, 0, 10);
        MembershipView view = fleet.view(0);
        view.onMemberListChanged(fleet.datagrams().now(), 6, 0);
        assertEquals("AAAAUU", view.stateLetters());
        assertEquals(4, view.liveCount());
        assertEquals(6, view.maxSenders(fleet.datagrams().now()));
        view.onMemberListChanged(fleet.datagrams().now(), 3, 0);
        assertEquals("AAA", view.stateLetters());
        fleet.datagrams().run(fleet.datagrams().now() + 3);
        assertEquals("AAA", view.stateLetters(), "updates about members beyond the list are ignored");
    }

    @Test
    void raisesTheBudgetShareForDeadMembersOnlyAfterADelayAndWithinABound() {
        SimulatedQueryRouterFleet fleet = running(10, 0, 11);
        MembershipView view = fleet.view(0);
        for (int member = 1; member < 6; member++) {
            fleet.datagrams().kill(member);
        }
        fleet.secondsToConverge(15);
        assertEquals(5, view.liveCount());
        assertEquals(10, view.maxSenders(fleet.datagrams().now()));
        fleet.datagrams().run(fleet.datagrams().now() + 31);
        assertEquals(
                8,
                view.maxSenders(fleet.datagrams().now()),
                "half may be partitioned and still sending: at least " + "four fifths");
    }

    @Test
    void keepsTheLoadPerMemberNearlyConstantAsTheFleetGrows() {
        double[] bytes = new double[2];
        int[] sizes = {10, 300};
        for (int run = 0; run < 2; run++) {
            SimulatedQueryRouterFleet fleet = running(sizes[run], 0.1, 12);
            long before = fleet.sentBytes();
            fleet.datagrams().run(fleet.datagrams().now() + 10);
            bytes[run] = (fleet.sentBytes() - before) / 10.0 / sizes[run];
        }
        assertTrue(bytes[1] <= 1.25 * bytes[0] && bytes[1] < 2000, bytes[0] + " and " + bytes[1] + " bytes per second");
    }

    @Test
    void sendsTheSameDatagramsForTheSameEvents() {
        SimulatedQueryRouterFleet first = running(30, 0.1, 13);
        SimulatedQueryRouterFleet second = running(30, 0.1, 13);
        first.datagrams().kill(3);
        second.datagrams().kill(3);
        first.datagrams().run(first.datagrams().now() + 4);
        second.datagrams().run(second.datagrams().now() + 4);
        assertEquals(first.sentBytes(), second.sentBytes());
        assertEquals(first.view(0).metrics(), second.view(0).metrics());
    }

    @Test
    void runsAFleetOfOneWithoutPeersOrWarnings() {
        SimulatedQueryRouterFleet fleet = new SimulatedQueryRouterFleet(1, 14).startAll();
        fleet.datagrams().run(fleet.datagrams().now() + 5);
        assertEquals("A", fleet.view(0).stateLetters());
        assertEquals(1, fleet.view(0).maxSenders(fleet.datagrams().now()));
        assertEquals(0, fleet.deaths().size());
        assertFalse(fleet.view(0).metrics().isEmpty());
    }

    @Test
    void doesNotActAsTheOnlyMemberWithoutContact() {
        SimulatedQueryRouterFleet fleet = new SimulatedQueryRouterFleet(10, 15);
        fleet.start(0);
        assertEquals(
                10, fleet.view(0).estimatedSenders(), "nothing is known about the others except that they are listed");
        fleet = running(10, 0, 15);
        fleet.datagrams().partition((from, to) -> true);
        fleet.datagrams().run(fleet.datagrams().now() + 12);
        assertEquals(1, fleet.view(0).liveCount());
        assertEquals(5, fleet.view(0).estimatedSenders());
        fleet.datagrams().partition((from, to) -> false);
        assertTrue(fleet.secondsToConverge(3) <= 3);
        assertEquals(10, fleet.view(0).estimatedSenders());
    }
}
