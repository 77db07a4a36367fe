package pinewick.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pinewick.fleet.state.Fact;
import pinewick.fleet.state.FactKind;
import pinewick.fleet.state.FactReplicationSettings;

/** Stories of what a tier of mixers replicates, in virtual time. */
class SimulatedStateFleetTest {
    private static SimulatedStateFleet running(int size, double loss, long seed) {
        SimulatedStateFleet world = new SimulatedStateFleet(size, seed, FactReplicationSettings.defaults());
        world.datagrams().links(loss, 0.01, 0.001, 0.018);
        world.startAll();
        world.datagrams().run(world.datagrams().now() + 5);
        return world;
    }

    /** Mixers see searchers at work, each a few a second, with noise; a pace is a tenth of the searcher's number. */
    private static void traffic(SimulatedStateFleet world, int searchers, double seconds, SplittableRandom chance) {
        double until = world.datagrams().now() + seconds;
        while (world.datagrams().now() < until) {
            for (int place = 0; place < world.size(); place++) {
                int searcher = chance.nextInt(searchers);
                if (world.datagrams().isRunning(place)) {
                    world.state(place)
                            .recordObservation(
                                    world.datagrams().now(),
                                    Fact.key("s-" + searcher),
                                    FactKind.LATENCY,
                                    0.01 * (searcher + 1) * (0.95 + 0.1 * chance.nextDouble()),
                                    3);
                }
            }
            world.datagrams().run(world.datagrams().now() + 0.1);
        }
    }

    private static int holders(SimulatedStateFleet world, int key, FactKind kind) {
        int holders = 0;
        for (int place = 0; place < world.size(); place++) {
            holders += world.datagrams().isRunning(place)
                            && !world.state(place).store().of(key, kind).isEmpty()
                    ? 1
                    : 0;
        }
        return holders;
    }

    @Test
    void aWarningIsHeldBy99Of100MixersWithinASecondWhereATenthIsLost() {
        for (long seed = 1; seed <= 10; seed++) {
            SimulatedStateFleet world = running(100, 0.1, seed);
            int key = Fact.key("s-bad");
            world.state(3).recordObservation(world.datagrams().now(), key, FactKind.UNHEALTHY, 4, 0);
            world.datagrams().run(world.datagrams().now() + 1);
            assertTrue(holders(world, key, FactKind.UNHEALTHY) >= 99, "seed " + seed);
        }
    }

    @Test
    void aRestartedRouterKnowsRatesWithinAFifthOfTheOthersAfterASecondAndReportsIt() {
        SimulatedStateFleet world = running(100, 0.1, 2);
        traffic(world, 50, 8, new SplittableRandom(5));
        world.datagrams().kill(7);
        world.start(7);
        traffic(world, 50, 1, new SplittableRandom(6));
        int near = 0;
        for (int searcher = 0; searcher < 50; searcher++) {
            double its = world.state(7)
                    .aggregator()
                    .latencySeconds(
                            Fact.key("s-" + searcher), 7, world.datagrams().now());
            double others = world.state(20)
                    .aggregator()
                    .latencySeconds(
                            Fact.key("s-" + searcher), 20, world.datagrams().now());
            near += Math.abs(its - others) <= 0.2 * others ? 1 : 0;
        }
        assertEquals(50, near);
        world.datagrams().run(world.datagrams().now() + 5);
        assertFalse(
                Double.isNaN(world.state(7).catchUpSeconds()), world.state(7).metrics());
    }

    @Test
    void seventyRestartsAtOnceDoNotOverloadTheThirtyThatStayed() {
        SimulatedStateFleet world = running(100, 0.1, 3);
        traffic(world, 200, 10, new SplittableRandom(5));
        for (int place = 0; place < 70; place++) {
            world.datagrams().kill(place);
        }
        world.datagrams().run(world.datagrams().now() + 1);
        long before = stayedBytes(world);
        for (int place = 0; place < 70; place++) {
            world.start(place);
        }
        world.datagrams().run(world.datagrams().now() + 4);
        double each = (stayedBytes(world) - before) / 30.0;
        FactReplicationSettings terms = FactReplicationSettings.defaults();
        assertTrue(
                each <= 4 * terms.bytesPerSecond() + 2 * terms.burstBytes() + 1000,
                each + " bytes in 4 s by " + "one that stayed");
        for (int place = 0; place < 70; place++) {
            assertTrue(
                    world.state(place).store().size()
                            > 0.9 * world.state(80).store().size(),
                    "mixer " + place + ": " + world.state(place).metrics() + " beside "
                            + world.state(80).metrics());
        }
    }

    private static long stayedBytes(SimulatedStateFleet world) {
        long bytes = 0;
        for (int place = 70; place < 100; place++) {
            bytes += world.state(place).sentBytes();
        }
        return bytes;
    }

    @Test
    void replicatedFactsAgreeAfterAPartitionHeals() {
        SimulatedStateFleet world = running(60, 0.1, 4);
        world.datagrams().partition((from, to) -> from < 20 != to < 20);
        traffic(world, 40, 6, new SplittableRandom(5));
        assertTrue(world.divergentMembers() > 0);
        world.datagrams().partition((from, to) -> false);
        double healed = world.datagrams().now();
        while (world.divergentMembers() > 0 && world.datagrams().now() < healed + 10) {
            world.datagrams().run(world.datagrams().now() + 0.1);
        }
        assertEquals(0, world.divergentMembers());
        assertTrue(world.state(0).store().size() > 0, "before all was forgotten");
    }

    @Test
    void aFaultyMemberMovesNoRateBeyondTheNextHonestReportAndAloneRaisesNoWarning() {
        SimulatedStateFleet world = running(20, 0, 5);
        int key = Fact.key("s-1");
        SplittableRandom chance = new SplittableRandom(8);
        for (int place = 1; place < 6; place++) {
            world.state(place)
                    .recordObservation(world.datagrams().now(), key, FactKind.LATENCY, 0.1 * (1 + 0.3 * place), 2);
        }
        for (int each = 0; each < 10; each++) {
            world.state(0)
                    .recordObservation(world.datagrams().now(), key, FactKind.LATENCY, each % 2 == 0 ? 1e5 : 1e-6, 0);
            world.state(0).recordObservation(world.datagrams().now(), key, FactKind.UNHEALTHY, 60, 0);
            world.state(0).recordObservation(world.datagrams().now(), key, FactKind.LEAVING, 2, 0);
            world.datagrams().run(world.datagrams().now() + 0.2 * chance.nextDouble());
        }
        world.datagrams().run(world.datagrams().now() + 1);
        for (int place = 6; place < 20; place++) {
            double pace = world.state(place)
                    .aggregator()
                    .latencySeconds(key, place, world.datagrams().now());
            assertTrue(pace > 0.12 && pace < 0.26, place + " holds " + pace);
            assertFalse(world.state(place)
                    .aggregator()
                    .isUnhealthy(key, place, world.datagrams().now(), 0));
            assertFalse(world.state(place)
                    .aggregator()
                    .isLeaving(key, place, world.datagrams().now(), 0));
        }
    }

    @Test
    void factsFromBeforeARestartDoNotOverrideLaterOnesThoughTheClockWentBack() {
        SimulatedStateFleet world = running(10, 0, 6);
        int key = Fact.key("s-1");
        world.state(0).recordObservation(world.datagrams().now() + 0.9, key, FactKind.UNHEALTHY, 5, 0);
        world.datagrams().run(world.datagrams().now() + 0.5);
        world.datagrams().kill(0);
        world.start(0);
        world.datagrams().run(world.datagrams().now() + 0.5);
        world.state(0).recordObservation(world.datagrams().now() - 0.5, key, FactKind.UNHEALTHY, 0, 0);
        world.datagrams().run(world.datagrams().now() + 1);
        assertEquals(
                0, world.state(5).store().of(key, FactKind.UNHEALTHY).get(0).value());
    }

    @Test
    void gossipCostPerMemberIsTheSameForFourHundredAsForAHundred() {
        double[] bytes = new double[2];
        int[] sizes = {100, 400};
        for (int each = 0; each < 2; each++) {
            SimulatedStateFleet world = running(sizes[each], 0.1, 7);
            traffic(world, 100, 6, new SplittableRandom(5));
            long before = world.sentBytes();
            traffic(world, 100, 5, new SplittableRandom(6));
            bytes[each] = (world.sentBytes() - before) / 5.0 / sizes[each];
            assertEquals(0, world.malformedDatagrams());
        }
        assertTrue(
                bytes[1] <= FactReplicationSettings.defaults().bytesPerSecond() && bytes[1] < 1.5 * bytes[0],
                bytes[0] + "," + " " + bytes[1]);
    }

    @Test
    void aForgedFactWithAFutureTimestampDoesNotSuppressItsOwner() {
        SimulatedStateFleet world = running(10, 0, 8);
        int key = Fact.key("s-1");
        byte[] forged = pinewick.fleet.state.FactDatagram.facts(
                java.util.List.of(new Fact(key, FactKind.UNHEALTHY, 0, 1L << 47, 0, 0)), false);
        world.state(0).onDatagram(world.datagrams().now(), 3, forged, forged.length);
        world.state(0).recordObservation(world.datagrams().now(), key, FactKind.UNHEALTHY, 4, 0);
        world.datagrams().run(world.datagrams().now() + 1);
        assertEquals(1, world.state(5).store().of(key, FactKind.UNHEALTHY).size());
    }
}
