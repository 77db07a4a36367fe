package pinewick.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pinewick.fleet.state.Fact;
import pinewick.fleet.state.FactKind;
import pinewick.fleet.state.FactReplicationSettings;

/** Facts replicated among query routers, in virtual time. */
class SimulatedStateFleetTest {
    private static SimulatedStateFleet running(int size, double loss, long seed) {
        SimulatedStateFleet fleet = new SimulatedStateFleet(size, seed, FactReplicationSettings.defaults());
        fleet.datagrams().setLinkQuality(loss, 0.01, 0.001, 0.018);
        fleet.startAll();
        fleet.datagrams().run(fleet.datagrams().now() + 5);
        return fleet;
    }

    /**
     * Each query router observes ten requests per second at random search replicas. A replica's latency is proportional
     * to its number, with 5 % noise.
     */
    private static void traffic(SimulatedStateFleet fleet, int replicas, double seconds, SplittableRandom random) {
        double until = fleet.datagrams().now() + seconds;
        while (fleet.datagrams().now() < until) {
            for (int member = 0; member < fleet.size(); member++) {
                int replica = random.nextInt(replicas);
                if (fleet.datagrams().isRunning(member)) {
                    fleet.state(member)
                            .recordObservation(
                                    fleet.datagrams().now(),
                                    Fact.key("s-" + replica),
                                    FactKind.LATENCY,
                                    0.01 * (replica + 1) * (0.95 + 0.1 * random.nextDouble()),
                                    3);
                }
            }
            fleet.datagrams().run(fleet.datagrams().now() + 0.1);
        }
    }

    private static int membersWith(SimulatedStateFleet fleet, int key, FactKind kind) {
        int count = 0;
        for (int member = 0; member < fleet.size(); member++) {
            count += fleet.datagrams().isRunning(member)
                            && !fleet.state(member).store().of(key, kind).isEmpty()
                    ? 1
                    : 0;
        }
        return count;
    }

    @Test
    void replicatesAnUnhealthyFactTo99Of100MembersWithinASecondAtTenPercentLoss() {
        for (long seed = 1; seed <= 10; seed++) {
            SimulatedStateFleet fleet = running(100, 0.1, seed);
            int key = Fact.key("s-bad");
            fleet.state(3).recordObservation(fleet.datagrams().now(), key, FactKind.UNHEALTHY, 4, 0);
            fleet.datagrams().run(fleet.datagrams().now() + 1);
            assertTrue(membersWith(fleet, key, FactKind.UNHEALTHY) >= 99, "seed " + seed);
        }
    }

    @Test
    void restoresLatenciesWithinAFifthOneSecondAfterARestart() {
        SimulatedStateFleet fleet = running(100, 0.1, 2);
        traffic(fleet, 50, 8, new SplittableRandom(5));
        fleet.datagrams().kill(7);
        fleet.start(7);
        traffic(fleet, 50, 1, new SplittableRandom(6));
        int accurate = 0;
        for (int replica = 0; replica < 50; replica++) {
            double own = fleet.state(7)
                    .aggregator()
                    .latencySeconds(
                            Fact.key("s-" + replica), 7, fleet.datagrams().now());
            double others = fleet.state(20)
                    .aggregator()
                    .latencySeconds(
                            Fact.key("s-" + replica), 20, fleet.datagrams().now());
            accurate += Math.abs(own - others) <= 0.2 * others ? 1 : 0;
        }
        assertEquals(50, accurate);
        fleet.datagrams().run(fleet.datagrams().now() + 5);
        assertFalse(
                Double.isNaN(fleet.state(7).catchUpSeconds()), fleet.state(7).metrics());
    }

    @Test
    void doesNotOverloadThirtySurvivorsWhenSeventyRestartAtOnce() {
        SimulatedStateFleet fleet = running(100, 0.1, 3);
        traffic(fleet, 200, 10, new SplittableRandom(5));
        for (int member = 0; member < 70; member++) {
            fleet.datagrams().kill(member);
        }
        fleet.datagrams().run(fleet.datagrams().now() + 1);
        long before = survivorBytes(fleet);
        for (int member = 0; member < 70; member++) {
            fleet.start(member);
        }
        fleet.datagrams().run(fleet.datagrams().now() + 4);
        double bytesPerSurvivor = (survivorBytes(fleet) - before) / 30.0;
        FactReplicationSettings settings = FactReplicationSettings.defaults();
        assertTrue(
                bytesPerSurvivor <= 4 * settings.bytesPerSecond() + 2 * settings.burstBytes() + 1000,
                bytesPerSurvivor + " bytes in 4 s by " + "a surviving router");
        for (int member = 0; member < 70; member++) {
            assertTrue(
                    fleet.state(member).store().size()
                            > 0.9 * fleet.state(80).store().size(),
                    "router " + member + ": " + fleet.state(member).metrics() + ", router 80: "
                            + fleet.state(80).metrics());
        }
    }

    private static long survivorBytes(SimulatedStateFleet fleet) {
        long bytes = 0;
        for (int member = 70; member < 100; member++) {
            bytes += fleet.state(member).sentBytes();
        }
        return bytes;
    }

    @Test
    void convergesAfterAPartitionHeals() {
        SimulatedStateFleet fleet = running(60, 0.1, 4);
        fleet.datagrams().partition((from, to) -> from < 20 != to < 20);
        traffic(fleet, 40, 6, new SplittableRandom(5));
        assertTrue(fleet.divergentMembers() > 0);
        fleet.datagrams().partition((from, to) -> false);
        double healed = fleet.datagrams().now();
        while (fleet.divergentMembers() > 0 && fleet.datagrams().now() < healed + 10) {
            fleet.datagrams().run(fleet.datagrams().now() + 0.1);
        }
        assertEquals(0, fleet.divergentMembers());
        assertTrue(fleet.state(0).store().size() > 0, "facts must not have expired yet");
    }

    @Test
    void boundsTheInfluenceOfAFaultyMemberOnLatencyAndHealth() {
        SimulatedStateFleet fleet = running(20, 0, 5);
        int key = Fact.key("s-1");
        SplittableRandom random = new SplittableRandom(8);
        for (int member = 1; member < 6; member++) {
            fleet.state(member)
                    .recordObservation(fleet.datagrams().now(), key, FactKind.LATENCY, 0.1 * (1 + 0.3 * member), 2);
        }
        for (int round = 0; round < 10; round++) {
            fleet.state(0)
                    .recordObservation(fleet.datagrams().now(), key, FactKind.LATENCY, round % 2 == 0 ? 1e5 : 1e-6, 0);
            fleet.state(0).recordObservation(fleet.datagrams().now(), key, FactKind.UNHEALTHY, 60, 0);
            fleet.state(0).recordObservation(fleet.datagrams().now(), key, FactKind.LEAVING, 2, 0);
            fleet.datagrams().run(fleet.datagrams().now() + 0.2 * random.nextDouble());
        }
        fleet.datagrams().run(fleet.datagrams().now() + 1);
        for (int member = 6; member < 20; member++) {
            double latency = fleet.state(member)
                    .aggregator()
                    .latencySeconds(key, member, fleet.datagrams().now());
            assertTrue(latency > 0.12 && latency < 0.26, member + " estimates " + latency);
            assertFalse(fleet.state(member)
                    .aggregator()
                    .isUnhealthy(key, member, fleet.datagrams().now(), 0));
            assertFalse(fleet.state(member)
                    .aggregator()
                    .isLeaving(key, member, fleet.datagrams().now(), 0));
        }
    }

    @Test
    void prefersFactsAfterARestartEvenIfTheClockWentBack() {
        SimulatedStateFleet fleet = running(10, 0, 6);
        int key = Fact.key("s-1");
        fleet.state(0).recordObservation(fleet.datagrams().now() + 0.9, key, FactKind.UNHEALTHY, 5, 0);
        fleet.datagrams().run(fleet.datagrams().now() + 0.5);
        fleet.datagrams().kill(0);
        fleet.start(0);
        fleet.datagrams().run(fleet.datagrams().now() + 0.5);
        fleet.state(0).recordObservation(fleet.datagrams().now() - 0.5, key, FactKind.UNHEALTHY, 0, 0);
        fleet.datagrams().run(fleet.datagrams().now() + 1);
        assertEquals(
                0, fleet.state(5).store().of(key, FactKind.UNHEALTHY).get(0).value());
    }

    @Test
    void boundsTheGossipCostPerMemberAsTheFleetGrows() {
        double[] bytes = new double[2];
        int[] sizes = {100, 400};
        for (int run = 0; run < 2; run++) {
            SimulatedStateFleet fleet = running(sizes[run], 0.1, 7);
            traffic(fleet, 100, 6, new SplittableRandom(5));
            long before = fleet.sentBytes();
            traffic(fleet, 100, 5, new SplittableRandom(6));
            bytes[run] = (fleet.sentBytes() - before) / 5.0 / sizes[run];
            assertEquals(0, fleet.malformedDatagrams());
        }
        assertTrue(
                bytes[1] <= FactReplicationSettings.defaults().bytesPerSecond() && bytes[1] < 1.5 * bytes[0],
                bytes[0] + "," + " " + bytes[1]);
    }

    @Test
    void acceptsFactsOfAMemberDespiteAForgedFutureTimestamp() {
        SimulatedStateFleet fleet = running(10, 0, 8);
        int key = Fact.key("s-1");
        byte[] forged = pinewick.fleet.state.FactDatagram.facts(
                java.util.List.of(new Fact(key, FactKind.UNHEALTHY, 0, 1L << 47, 0, 0)), false);
        fleet.state(0).onDatagram(fleet.datagrams().now(), 3, forged, forged.length);
        fleet.state(0).recordObservation(fleet.datagrams().now(), key, FactKind.UNHEALTHY, 4, 0);
        fleet.datagrams().run(fleet.datagrams().now() + 1);
        assertEquals(1, fleet.state(5).store().of(key, FactKind.UNHEALTHY).size());
    }
}
