package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalInt;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** How long after the return of a process, or the start of a replacement, the full fault tolerance is restored. */
class RepairTest {
    private static final int SEEDS = 40;
    private static final double STABLE_MS = 4_000;
    private static final double DOWNTIME_MS = 1_500;
    private static final double SHORT_DELAY_MS = 50;
    private static final double REMOVAL_BOUND_MS = 600;
    private static final double TIMEOUT_MS = 10_000;

    /** From the start of a process whose disk has to be filled, if nothing delays the repair. */
    private static final double REPAIR_BOUND_MS = 300;

    /** After this time without contact the membership of a lost member is vacant. */
    private static final double VACANCY_DELAY_MS = 900;

    private static SimulatedCluster bootstrapped(long seed, int machines, int toleratedMachines) {
        SimulatedCluster cluster = new SimulatedCluster(seed, toleratedMachines);
        cluster.bootstrap(machines);
        cluster.runUntil(STABLE_MS);
        return cluster;
    }

    private static Machine follower(SimulatedCluster cluster) {
        return cluster.machines.stream()
                .filter(machine -> machine.running() && machine != cluster.primary())
                .findFirst()
                .orElseThrow();
    }

    private static Machine follower(SimulatedCluster cluster, Machine excluded) {
        return cluster.machines.stream()
                .filter(machine -> machine.running() && machine != cluster.primary() && machine != excluded)
                .findFirst()
                .orElseThrow();
    }

    /** Submits a change and waits for its acknowledgement. */
    private static void submitChange(SimulatedCluster cluster) {
        Change change = new Operator(cluster).validChange();
        boolean[] acknowledged = new boolean[1];
        cluster.primary().submit(change, outcome -> {
            cluster.checker.onChangeOutcome(change, outcome);
            acknowledged[0] = outcome instanceof ChangeOutcome.Accepted;
        });
        cluster.runUntil(() -> acknowledged[0], DOWNTIME_MS);
    }

    /** Whether the primary reports this machine's store as in sync and enough losses as tolerable. */
    private static boolean isRepaired(SimulatedCluster cluster, Machine returnedMachine) {
        Machine primary = cluster.primary();
        if (primary == null || !returnedMachine.running()) {
            return false;
        }
        ReplicationReport report = primary.node().report();
        boolean inSync = report.members().stream()
                .anyMatch(member -> member.inSync() && member.member().address().equals(returnedMachine.address));
        OptionalInt tolerableLosses = report.faultTolerance().tolerableLosses();
        return inSync && tolerableLosses.isPresent() && tolerableLosses.getAsInt() >= cluster.toleratedMachines;
    }

    /** Runs a fault that ends with the start of a process; returns the longest time from that start to the repair. */
    private static double maxRepairMs(
            String scenario, int machines, int toleratedMachines, Function<SimulatedCluster, Machine> faultAndRestart) {
        double maxRepairMs = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = bootstrapped(seed, machines, toleratedMachines);
            Machine returnedMachine = faultAndRestart.apply(cluster);
            maxRepairMs =
                    Math.max(maxRepairMs, cluster.runUntil(() -> isRepaired(cluster, returnedMachine), TIMEOUT_MS));
        }
        System.out.printf("%s: repaired within %.0f ms%n", scenario, maxRepairMs);
        return maxRepairMs;
    }

    private static Machine wipeAndRestart(SimulatedCluster cluster, Machine machine, double downMs) {
        machine.wipe();
        cluster.runUntil(cluster.nowMs() + downMs);
        machine.start(false);
        return machine;
    }

    private static Machine replace(SimulatedCluster cluster, Machine replacedMachine, double downMs) {
        replacedMachine.kill();
        replacedMachine.removed = true;
        Machine successor = cluster.addMachine();
        successor.seeds = replacedMachine.seeds;
        cluster.runUntil(cluster.nowMs() + downMs);
        successor.start(false);
        return successor;
    }

    @Test
    void repairsAWipedFollower() {
        assertTrue(maxRepairMs("wiped", 3, 1, cluster -> wipeAndRestart(cluster, follower(cluster), DOWNTIME_MS))
                < REPAIR_BOUND_MS);
    }

    @Test
    void repairsAWipedPrimary() {
        double elapsedMs =
                maxRepairMs("wiped primary", 3, 1, cluster -> wipeAndRestart(cluster, cluster.primary(), DOWNTIME_MS));
        assertTrue(elapsedMs < REPAIR_BOUND_MS);
    }

    @Test
    void repairsAKilledFollower() {
        double elapsedMs = maxRepairMs("killed", 3, 1, cluster -> {
            Machine killedMachine = follower(cluster);
            killedMachine.kill();
            cluster.runUntil(cluster.nowMs() + DOWNTIME_MS);
            killedMachine.start(false);
            return killedMachine;
        });
        assertTrue(elapsedMs < REPAIR_BOUND_MS);
    }

    @Test
    void repairsAReplacedFollowerOnceItsMembershipIsVacant() {
        double elapsedMs = maxRepairMs("replaced", 3, 1, cluster -> replace(cluster, follower(cluster), DOWNTIME_MS));
        assertTrue(elapsedMs < REPAIR_BOUND_MS);
    }

    @Test
    void repairsAReplacedFollowerWhoseSuccessorStartsAtOnce() {
        double elapsedMs =
                maxRepairMs("replaced at once", 3, 1, cluster -> replace(cluster, follower(cluster), SHORT_DELAY_MS));
        assertTrue(elapsedMs < VACANCY_DELAY_MS + REPAIR_BOUND_MS);
    }

    @Test
    void replacesAFollowerGracefullyIfTheSuccessorStartsFirst() {
        double elapsedMs = maxRepairMs("graceful, successor first", 3, 1, cluster -> {
            Machine departing = follower(cluster);
            Machine successor = cluster.addMachine();
            successor.seeds = departing.seeds;
            successor.start(false);
            cluster.runUntil(cluster.nowMs() + DOWNTIME_MS);
            departing.beginShutdown();
            return successor;
        });
        assertTrue(elapsedMs < REPAIR_BOUND_MS, "the successor is admitted before the other member ends");
    }

    @Test
    void replacesThePrimaryGracefullyIfTheSuccessorStartsFirst() {
        double elapsedMs = maxRepairMs("graceful primary, successor first", 3, 1, cluster -> {
            Machine departing = cluster.primary();
            Machine successor = cluster.addMachine();
            successor.seeds = departing.seeds;
            successor.start(false);
            cluster.runUntil(cluster.nowMs() + DOWNTIME_MS);
            departing.beginShutdown();
            return successor;
        });
        assertTrue(elapsedMs < 2 * REPAIR_BOUND_MS);
    }

    @Test
    void repairsTwoOfFiveReplacedInARow() {
        double elapsedMs = maxRepairMs("two of five replaced", 5, 2, cluster -> {
            replace(cluster, follower(cluster), SHORT_DELAY_MS);
            return replace(cluster, follower(cluster), SHORT_DELAY_MS);
        });
        assertTrue(elapsedMs < VACANCY_DELAY_MS + 2 * REPAIR_BOUND_MS);
    }

    @Test
    void admitsAnObserverAtTheFirstVacancy() {
        double elapsedMs = maxRepairMs("waiting observer", 3, 1, cluster -> {
            Machine observer = cluster.addMachine();
            observer.seeds = cluster.machines.get(0).seeds;
            observer.start(false);
            cluster.runUntil(cluster.nowMs() + DOWNTIME_MS);
            assertFalse(isRepaired(cluster, observer), "there is no vacancy");
            submitChange(cluster);
            follower(cluster, observer).wipe();
            return observer;
        });
        assertTrue(elapsedMs < VACANCY_DELAY_MS + REPAIR_BOUND_MS);
    }

    @Test
    void repairsTwoReplacedSeedsOfThree() {
        double elapsedMs = maxRepairMs("seeds replaced", 3, 1, cluster -> {
            Machine firstReplacement = replace(cluster, cluster.machines.get(0), DOWNTIME_MS);
            cluster.runUntil(() -> isRepaired(cluster, firstReplacement), TIMEOUT_MS);
            return replace(cluster, cluster.machines.get(1), DOWNTIME_MS);
        });
        assertTrue(elapsedMs < REPAIR_BOUND_MS);
    }

    /**
     * Guards against a fault found by the model: a departing member ended before its successor was admitted, and the
     * loss of a disk at that time left no majority.
     */
    @Test
    void keepsADepartingMemberUntilItsSuccessorIsAMember() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = bootstrapped(seed, 3, 1);
            Machine departing = seed % 2 == 0 ? cluster.primary() : follower(cluster);
            Machine successor = cluster.addMachine();
            successor.seeds = departing.seeds;
            successor.start(false);
            cluster.runUntil(cluster.nowMs() + SHORT_DELAY_MS);
            departing.beginShutdown();
            cluster.runUntil(() -> departing.node().isDetached(), TIMEOUT_MS);
            departing.kill();
            departing.removed = true;
            follower(cluster).wipe();
            Change change = new Operator(cluster).validChange();
            boolean[] acknowledged = new boolean[1];
            new Operator(cluster).submit(change, () -> acknowledged[0] = true);
            cluster.runUntil(() -> acknowledged[0], TIMEOUT_MS);
        }
    }

    @Test
    void removesADepartingMemberSoonWithoutASuccessor() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = bootstrapped(seed, 3, 1);
            Machine departing = seed % 2 == 0 ? cluster.primary() : follower(cluster);
            departing.beginShutdown();
            double elapsedMs = cluster.runUntil(() -> departing.node().isDetached(), TIMEOUT_MS);
            assertTrue(elapsedMs < REMOVAL_BOUND_MS, "took " + elapsedMs);
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = SimulatedDisk.Mode.class,
            names = {"FULL", "STALLED", "SLOW"})
    void keepsTheOnlyOtherCopyUntilAnotherStoreHasIt(SimulatedDisk.Mode mode) {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = bootstrapped(seed, 3, 1);
            Machine slowMachine = follower(cluster);
            slowMachine.disk.slowMs = DOWNTIME_MS;
            slowMachine.disk.mode = mode;
            submitChange(cluster);
            cluster.runUntil(cluster.nowMs() + DOWNTIME_MS);
            Machine departing = cluster.machines.stream()
                    .filter(machine -> machine != slowMachine && machine != cluster.primary())
                    .findFirst()
                    .orElseThrow();
            departing.beginShutdown();
            cluster.runUntil(cluster.nowMs() + DOWNTIME_MS);
            assertFalse(departing.node().isDetached(), "only one copy would remain");
            slowMachine.disk.mode = SimulatedDisk.Mode.HEALTHY;
            double elapsedMs = cluster.runUntil(() -> departing.node().isDetached(), TIMEOUT_MS);
            assertTrue(elapsedMs < DOWNTIME_MS + 2 * REMOVAL_BOUND_MS, "took " + elapsedMs);
        }
    }

    @Test
    void keepsTheLastMemberOfAMajorityIfNoLossIsTolerated() {
        SimulatedCluster cluster = bootstrapped(3, 3, 0);
        Machine killedMachine = follower(cluster);
        killedMachine.kill();
        cluster.runUntil(cluster.nowMs() + DOWNTIME_MS);
        Machine departing = follower(cluster);
        departing.beginShutdown();
        cluster.runUntil(cluster.nowMs() + DOWNTIME_MS);
        assertFalse(departing.node().isDetached(), "the primary alone is not a majority of three");
        killedMachine.start(false);
        cluster.runUntil(() -> departing.node().isDetached(), 2 * REMOVAL_BOUND_MS);
    }

    @Test
    void ignoresVotesOfAnIsolatedMemberThatWasReplaced() {
        SimulatedCluster cluster = bootstrapped(3, 3, 1);
        Machine isolatedMachine = follower(cluster);
        for (Machine other : cluster.machines) {
            cluster.cutLink(isolatedMachine, other);
            cluster.cutLink(other, isolatedMachine);
        }
        Machine successor = cluster.addMachine();
        cluster.cutLink(isolatedMachine, successor);
        cluster.cutLink(successor, isolatedMachine);
        successor.seeds = isolatedMachine.seeds;
        successor.start(false);
        cluster.runUntil(() -> isRepaired(cluster, successor), TIMEOUT_MS);
        cluster.restoreAllLinks();
        cluster.runUntil(cluster.nowMs() + DOWNTIME_MS);
        assertTrue(isRepaired(cluster, successor));
        assertFalse(isRepaired(cluster, isolatedMachine));
        cluster.primary().kill();
        successor.kill();
        cluster.runUntil(cluster.nowMs() + STABLE_MS);
        assertEquals(null, cluster.primary(), "the replaced machine and one member are not a majority");
    }

    @Test
    void completesAMembershipChangeAfterTwoCrashesOfThePrimary() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = bootstrapped(seed, 3, 1);
            Machine replacedMachine = follower(cluster);
            replacedMachine.kill();
            replacedMachine.removed = true;
            Machine successor = cluster.addMachine();
            successor.seeds = replacedMachine.seeds;
            int[] crashes = new int[1];
            cluster.messageInterceptor = (sender, message) -> {
                boolean isReconfiguration = message instanceof ReplicationMessages.Accept accept
                        && !accept.record().hasSingleQuorum()
                        && sender.running();
                if (isReconfiguration && crashes[0] < 2) {
                    crashes[0]++;
                    sender.kill();
                    cluster.scheduleAfter(DOWNTIME_MS, () -> sender.start(false));
                    return cluster.randomBoolean(0.5) ? message : null;
                }
                return message;
            };
            successor.start(false);
            cluster.runUntil(() -> crashes[0] == 2 && isRepaired(cluster, successor), TIMEOUT_MS);
        }
    }
}
