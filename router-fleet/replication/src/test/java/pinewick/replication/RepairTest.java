package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalInt;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** How long after a disk's return, or a replacement's start, as many losses are borne as before. */
class RepairTest {
    private static final int SEEDS = 40;
    private static final double CALM_MS = 4_000;
    private static final double DOWN_MS = 1_500;
    private static final double AT_ONCE_MS = 50;
    private static final double SOON_MS = 600;
    private static final double GIVEN_UP_MS = 10_000;

    /** From the start of a process with a disk to be filled, with nothing in the way. */
    private static final double REPAIR_BOUND_MS = 300;

    /** A lost member's place is vacant after this silence. */
    private static final double VACANT_MS = 900;

    private static SimulatedCluster founded(long seed, int machines, int tolerated) {
        SimulatedCluster cluster = new SimulatedCluster(seed, tolerated);
        cluster.found(machines);
        cluster.runUntil(CALM_MS);
        return cluster;
    }

    private static Machine backup(SimulatedCluster cluster) {
        return cluster.machines.stream()
                .filter(machine -> machine.running() && machine != cluster.primary())
                .findFirst()
                .orElseThrow();
    }

    private static Machine backup(SimulatedCluster cluster, Machine except) {
        return cluster.machines.stream()
                .filter(machine -> machine.running() && machine != cluster.primary() && machine != except)
                .findFirst()
                .orElseThrow();
    }

    /** Has a change acknowledged. */
    private static void take(SimulatedCluster cluster) {
        Change change = new Operator(cluster).properChange();
        boolean[] taken = new boolean[1];
        cluster.primary().submit(change, outcome -> {
            cluster.checker.answered(change, outcome);
            taken[0] = outcome instanceof ChangeOutcome.Accepted;
        });
        cluster.runUntil(() -> taken[0], DOWN_MS);
    }

    /** Whether the primary counts this machine's store in sync and says that enough losses are borne. */
    private static boolean repaired(SimulatedCluster cluster, Machine returned) {
        Machine primary = cluster.primary();
        if (primary == null || !returned.running()) {
            return false;
        }
        ReplicationReport report = primary.node().report();
        boolean inSync = report.members().stream()
                .anyMatch(member -> member.inSync() && member.member().address().equals(returned.address));
        OptionalInt borne = report.faultTolerance().tolerableLosses();
        return inSync && borne.isPresent() && borne.getAsInt() >= cluster.toleratedMachines;
    }

    /** Plays a trouble that ends with a start; returns the longest time from there to the repair. */
    private static double longest(
            String what, int machines, int tolerated, Function<SimulatedCluster, Machine> untilStart) {
        double longest = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = founded(seed, machines, tolerated);
            Machine returned = untilStart.apply(cluster);
            longest = Math.max(longest, cluster.runUntil(() -> repaired(cluster, returned), GIVEN_UP_MS));
        }
        System.out.printf("%s: repaired after %.0f ms at most%n", what, longest);
        return longest;
    }

    private static Machine wipedAndStarted(SimulatedCluster cluster, Machine machine, double downMs) {
        machine.wipe();
        cluster.runUntil(cluster.nowMs() + downMs);
        machine.start(false);
        return machine;
    }

    private static Machine replaced(SimulatedCluster cluster, Machine gone, double downMs) {
        gone.kill();
        gone.removed = true;
        Machine successor = cluster.addMachine();
        successor.seeds = gone.seeds;
        cluster.runUntil(cluster.nowMs() + downMs);
        successor.start(false);
        return successor;
    }

    @Test
    void aWipedFollower() {
        assertTrue(longest("wiped", 3, 1, cluster -> wipedAndStarted(cluster, backup(cluster), DOWN_MS))
                < REPAIR_BOUND_MS);
    }

    @Test
    void aWipedPrimary() {
        double ms = longest("wiped primary", 3, 1, cluster -> wipedAndStarted(cluster, cluster.primary(), DOWN_MS));
        assertTrue(ms < REPAIR_BOUND_MS);
    }

    @Test
    void aKilledFollower() {
        double ms = longest("killed", 3, 1, cluster -> {
            Machine killed = backup(cluster);
            killed.kill();
            cluster.runUntil(cluster.nowMs() + DOWN_MS);
            killed.start(false);
            return killed;
        });
        assertTrue(ms < REPAIR_BOUND_MS);
    }

    @Test
    void aReplacedFollowerOnceItsMembershipIsVacant() {
        double ms = longest("replaced", 3, 1, cluster -> replaced(cluster, backup(cluster), DOWN_MS));
        assertTrue(ms < REPAIR_BOUND_MS);
    }

    @Test
    void aReplacedFollowerWhoseSuccessorStartsAtOnce() {
        double ms = longest("replaced at once", 3, 1, cluster -> replaced(cluster, backup(cluster), AT_ONCE_MS));
        assertTrue(ms < VACANT_MS + REPAIR_BOUND_MS);
    }

    @Test
    void aPlannedReplacementWithTheNewOneThereFirst() {
        double ms = longest("planned, new one first", 3, 1, cluster -> {
            Machine leaving = backup(cluster);
            Machine successor = cluster.addMachine();
            successor.seeds = leaving.seeds;
            successor.start(false);
            cluster.runUntil(cluster.nowMs() + DOWN_MS);
            leaving.leave();
            return successor;
        });
        assertTrue(ms < REPAIR_BOUND_MS, "the place is taken before the other ends");
    }

    @Test
    void aPlannedReplacementOfThePrimaryWithTheNewOneThereFirst() {
        double ms = longest("planned primary, new one first", 3, 1, cluster -> {
            Machine leaving = cluster.primary();
            Machine successor = cluster.addMachine();
            successor.seeds = leaving.seeds;
            successor.start(false);
            cluster.runUntil(cluster.nowMs() + DOWN_MS);
            leaving.leave();
            return successor;
        });
        assertTrue(ms < 2 * REPAIR_BOUND_MS);
    }

    @Test
    void twoOfFiveReplacedInARow() {
        double ms = longest("two of five replaced", 5, 2, cluster -> {
            replaced(cluster, backup(cluster), AT_ONCE_MS);
            return replaced(cluster, backup(cluster), AT_ONCE_MS);
        });
        assertTrue(ms < VACANT_MS + 2 * REPAIR_BOUND_MS);
    }

    @Test
    void anObserverBesideAllMembersTakesTheFirstVacancy() {
        double ms = longest("newcomer that waits", 3, 1, cluster -> {
            Machine waiting = cluster.addMachine();
            waiting.seeds = cluster.machines.get(0).seeds;
            waiting.start(false);
            cluster.runUntil(cluster.nowMs() + DOWN_MS);
            assertFalse(repaired(cluster, waiting), "all places are taken");
            take(cluster);
            backup(cluster, waiting).wipe();
            return waiting;
        });
        assertTrue(ms < VACANT_MS + REPAIR_BOUND_MS);
    }

    @Test
    void bothSeedsOfThreeReplaced() {
        double ms = longest("seeds replaced", 3, 1, cluster -> {
            Machine first = replaced(cluster, cluster.machines.get(0), DOWN_MS);
            cluster.runUntil(() -> repaired(cluster, first), GIVEN_UP_MS);
            return replaced(cluster, cluster.machines.get(1), DOWN_MS);
        });
        assertTrue(ms < REPAIR_BOUND_MS);
    }

    /** The model's finding: the leaver ended with its place not taken, and a disk lost then left no majority. */
    @Test
    void aMemberThatShutsDownStaysUntilItsSuccessorIsAMember() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = founded(seed, 3, 1);
            Machine leaving = seed % 2 == 0 ? cluster.primary() : backup(cluster);
            Machine successor = cluster.addMachine();
            successor.seeds = leaving.seeds;
            successor.start(false);
            cluster.runUntil(cluster.nowMs() + AT_ONCE_MS);
            leaving.leave();
            cluster.runUntil(() -> leaving.node().isDetached(), GIVEN_UP_MS);
            leaving.kill();
            leaving.removed = true;
            backup(cluster).wipe();
            Change change = new Operator(cluster).properChange();
            boolean[] taken = new boolean[1];
            new Operator(cluster).submit(change, () -> taken[0] = true);
            cluster.runUntil(() -> taken[0], GIVEN_UP_MS);
        }
    }

    @Test
    void withoutASuccessorAMemberThatShutsDownIsRemovedSoon() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = founded(seed, 3, 1);
            Machine leaving = seed % 2 == 0 ? cluster.primary() : backup(cluster);
            leaving.leave();
            double ms = cluster.runUntil(() -> leaving.node().isDetached(), GIVEN_UP_MS);
            assertTrue(ms < SOON_MS, "took " + ms);
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = SimulatedDisk.Mode.class,
            names = {"FULL", "STALLED", "SLOW"})
    void theHolderOfTheOnlyOtherCopyStaysUntilAnotherHasIt(SimulatedDisk.Mode trouble) {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = founded(seed, 3, 1);
            Machine slow = backup(cluster);
            slow.disk.slowMs = DOWN_MS;
            slow.disk.mode = trouble;
            take(cluster);
            cluster.runUntil(cluster.nowMs() + DOWN_MS);
            Machine leaving = cluster.machines.stream()
                    .filter(machine -> machine != slow && machine != cluster.primary())
                    .findFirst()
                    .orElseThrow();
            leaving.leave();
            cluster.runUntil(cluster.nowMs() + DOWN_MS);
            assertFalse(leaving.node().isDetached(), "there would be one copy only");
            slow.disk.mode = SimulatedDisk.Mode.HEALTHY;
            double ms = cluster.runUntil(() -> leaving.node().isDetached(), GIVEN_UP_MS);
            assertTrue(ms < DOWN_MS + 2 * SOON_MS, "took " + ms);
        }
    }

    @Test
    void withNoLossToleratedTheLastOfAMajorityStays() {
        SimulatedCluster cluster = founded(3, 3, 0);
        Machine dead = backup(cluster);
        dead.kill();
        cluster.runUntil(cluster.nowMs() + DOWN_MS);
        Machine leaving = backup(cluster);
        leaving.leave();
        cluster.runUntil(cluster.nowMs() + DOWN_MS);
        assertFalse(leaving.node().isDetached(), "the primary alone is no majority of three");
        dead.start(false);
        cluster.runUntil(() -> leaving.node().isDetached(), 2 * SOON_MS);
    }

    @Test
    void aMemberThatWasOnlyCutOffAndIsReplacedMeanwhileHasNoVoteAnyMore() {
        SimulatedCluster cluster = founded(3, 3, 1);
        Machine cutOff = backup(cluster);
        for (Machine other : cluster.machines) {
            cluster.cut(cutOff, other);
            cluster.cut(other, cutOff);
        }
        Machine successor = cluster.addMachine();
        cluster.cut(cutOff, successor);
        cluster.cut(successor, cutOff);
        successor.seeds = cutOff.seeds;
        successor.start(false);
        cluster.runUntil(() -> repaired(cluster, successor), GIVEN_UP_MS);
        cluster.joinAll();
        cluster.runUntil(cluster.nowMs() + DOWN_MS);
        assertTrue(repaired(cluster, successor));
        assertFalse(repaired(cluster, cutOff));
        cluster.primary().kill();
        successor.kill();
        cluster.runUntil(cluster.nowMs() + CALM_MS);
        assertEquals(null, cluster.primary(), "the replaced one and one member are no majority");
    }

    @Test
    void aChangeOfMembersWhosePrimaryDiesTwiceGoesThrough() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = founded(seed, 3, 1);
            Machine gone = backup(cluster);
            gone.kill();
            gone.removed = true;
            Machine successor = cluster.addMachine();
            successor.seeds = gone.seeds;
            int[] deaths = new int[1];
            cluster.tamper = (sender, message) -> {
                boolean changes = message instanceof ReplicationMessages.Accept accept
                        && !accept.record().hasSingleQuorum()
                        && sender.running();
                if (changes && deaths[0] < 2) {
                    deaths[0]++;
                    sender.kill();
                    cluster.after(DOWN_MS, () -> sender.start(false));
                    return cluster.chance(0.5) ? message : null;
                }
                return message;
            };
            successor.start(false);
            cluster.runUntil(() -> deaths[0] == 2 && repaired(cluster, successor), GIVEN_UP_MS);
        }
    }
}
