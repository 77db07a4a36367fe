package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import pinewick.replication.ReplicationMessages.Status;

/** How long changes wait when something breaks, one trouble at a time, over several seeds each. */
class FailoverTest {
    private static final int SEEDS = 40;
    private static final double CALM_MS = 4_000;
    private static final double ASK_AGAIN_MS = 20;

    /** A founded cluster that has taken a change. */
    private static SimulatedCluster founded(long seed, int machines, int tolerated) {
        SimulatedCluster cluster = new SimulatedCluster(seed, tolerated);
        cluster.found(machines);
        cluster.runUntil(1_500);
        accept(cluster, 2_000);
        cluster.runUntil(CALM_MS);
        return cluster;
    }

    /** Sends a proper change to every machine over and over; returns how long it took to be acknowledged. */
    private static double accept(SimulatedCluster cluster, double boundMs) {
        boolean[] done = new boolean[1];
        ask(cluster, new Operator(cluster).properChange(), done);
        return cluster.runUntil(() -> done[0], boundMs);
    }

    private static void ask(SimulatedCluster cluster, Change change, boolean[] done) {
        if (done[0]) {
            return;
        }
        for (Machine machine : cluster.machines) {
            machine.submit(change, outcome -> {
                cluster.checker.answered(change, outcome);
                done[0] |= outcome instanceof ChangeOutcome.Accepted;
            });
        }
        cluster.after(ASK_AGAIN_MS, () -> ask(cluster, change, done));
    }

    /** The longest time from the trouble to the next acknowledgement over all seeds. */
    private static double longest(String what, double boundMs, Consumer<SimulatedCluster> trouble) {
        double longest = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = founded(seed, 3, 1);
            trouble.accept(cluster);
            longest = Math.max(longest, accept(cluster, boundMs));
            cluster.runUntil(cluster.nowMs() + 6_000);
            accept(cluster, 1_000);
        }
        System.out.printf("%s: acknowledged after %.0f ms at most%n", what, longest);
        return longest;
    }

    private static Machine backup(SimulatedCluster cluster) {
        return cluster.machines.stream()
                .filter(machine -> machine != cluster.primary())
                .findFirst()
                .orElseThrow();
    }

    private static void disk(SimulatedCluster cluster, Machine machine, SimulatedDisk.Mode mode, double forMs) {
        machine.disk.mode = mode;
        cluster.after(forMs, () -> machine.disk.mode = SimulatedDisk.Mode.HEALTHY);
    }

    private static void cut(
            SimulatedCluster cluster, Machine machine, boolean inbound, boolean outbound, double forMs) {
        for (Machine other : cluster.machines) {
            if (inbound) {
                cluster.cut(other, machine);
            }
            if (outbound) {
                cluster.cut(machine, other);
            }
        }
        cluster.after(forMs, cluster::joinAll);
    }

    @Test
    void calm() {
        assertTrue(longest("nothing", 100, cluster -> {}) < 60);
    }

    @Test
    void primaryKilled() {
        longest("primary killed", 2_000, cluster -> {
            Machine primary = cluster.primary();
            primary.kill();
            cluster.after(2_500, () -> primary.start(false));
        });
    }

    @Test
    void primaryRestartsAtOnce() {
        longest("primary restarts within 100 ms", 2_000, cluster -> {
            Machine primary = cluster.primary();
            primary.kill();
            cluster.after(100, () -> primary.start(false));
        });
    }

    @Test
    void followerKilled() {
        longest("backup killed", 2_000, cluster -> {
            Machine backup = backup(cluster);
            backup.kill();
            cluster.after(2_500, () -> backup.start(false));
        });
    }

    @Test
    void primaryDiskStalls() {
        longest(
                "primary's disk stalls",
                2_000,
                cluster -> disk(cluster, cluster.primary(), SimulatedDisk.Mode.STALLED, 3_000));
    }

    @Test
    void primaryDiskFull() {
        longest(
                "primary's disk full",
                2_000,
                cluster -> disk(cluster, cluster.primary(), SimulatedDisk.Mode.FULL, 3_000));
    }

    @Test
    void primaryDiskSlow() {
        longest("primary's disk takes 900 ms a write", 3_000, cluster -> {
            cluster.primary().disk.slowMs = 900;
            disk(cluster, cluster.primary(), SimulatedDisk.Mode.SLOW, 3_000);
        });
    }

    @Test
    void followerDiskStalls() {
        longest(
                "backup's disk stalls",
                2_000,
                cluster -> disk(cluster, backup(cluster), SimulatedDisk.Mode.STALLED, 3_000));
    }

    @Test
    void followerDiskFull() {
        longest("backup's disk full", 2_000, cluster -> disk(cluster, backup(cluster), SimulatedDisk.Mode.FULL, 3_000));
    }

    @Test
    void primaryFrozen() {
        longest("primary frozen", 2_500, cluster -> {
            Machine primary = cluster.primary();
            primary.freeze();
            cluster.after(3_000, primary::thaw);
        });
    }

    @Test
    void followerFrozen() {
        longest("backup frozen", 2_000, cluster -> {
            Machine backup = backup(cluster);
            backup.freeze();
            cluster.after(3_000, backup::thaw);
        });
    }

    @Test
    void primaryCutOff() {
        longest("primary cut off", 3_500, cluster -> cut(cluster, cluster.primary(), true, true, 3_000));
    }

    @Test
    void primarysMessagesAreLost() {
        longest("primary not heard", 3_500, cluster -> cut(cluster, cluster.primary(), false, true, 3_000));
    }

    @Test
    void messagesToThePrimaryAreLost() {
        longest("primary hears nothing", 3_500, cluster -> cut(cluster, cluster.primary(), true, false, 3_000));
    }

    @Test
    void aFollowerThatReceivesNothingDisturbsNoElection() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = founded(seed, 3, 1);
            Machine primary = cluster.primary();
            cut(cluster, backup(cluster), true, false, 3_000);
            accept(cluster, 2_000);
            cluster.runUntil(cluster.nowMs() + 2_000);
            assertEquals(primary, cluster.primary());
            assertTrue(accept(cluster, 1_000) < 60);
        }
    }

    @Test
    void plannedTransferTakesNoTime() {
        double longest = longest("primary ends on purpose", 500, cluster -> {
            Machine primary = cluster.primary();
            primary.leave();
            cluster.after(800, primary::kill);
            cluster.after(2_000, () -> primary.start(false));
        });
        assertTrue(longest < 400, "took " + longest);
    }

    @Test
    void followerShutsDownWithoutAnInterruption() {
        double longest = longest("backup ends on purpose", 500, cluster -> {
            Machine backup = backup(cluster);
            backup.leave();
            cluster.after(300, backup::kill);
            cluster.after(2_000, () -> backup.start(false));
        });
        assertTrue(longest < 100, "took " + longest);
    }

    @Test
    void everyProcessKilledAndStartedAgain() {
        longest(
                "all killed, back within 1 s",
                2_500,
                cluster -> cluster.machines.forEach(machine -> {
                    machine.kill();
                    cluster.after(cluster.between(50, 1_000), () -> machine.start(false));
                }));
    }

    @Test
    void aWipedMachineIsInSyncAgainSoon() {
        returns("wiped", 2_000, cluster -> {
            Machine wiped = backup(cluster);
            wiped.wipe();
            cluster.after(500, () -> wiped.start(false));
            return wiped;
        });
    }

    @Test
    void aWipedPrimaryIsInSyncAgainSoon() {
        returns("wiped primary", 2_500, cluster -> {
            Machine wiped = cluster.primary();
            wiped.wipe();
            cluster.after(500, () -> wiped.start(false));
            return wiped;
        });
    }

    @Test
    void aKilledMachineIsInSyncAgainSoon() {
        returns("killed", 3_000, cluster -> {
            Machine killed = backup(cluster);
            killed.kill();
            accept(cluster, 2_000);
            cluster.after(1_000, () -> killed.start(false));
            return killed;
        });
    }

    @Test
    void aMachineWithAStalledDiskIsInSyncAgainSoon() {
        returns("disk stalled for 2 s", 3_500, cluster -> {
            Machine stalled = backup(cluster);
            disk(cluster, stalled, SimulatedDisk.Mode.STALLED, 2_000);
            accept(cluster, 2_000);
            return stalled;
        });
    }

    @Test
    void aReplacedMachineIsAdmittedSoon() {
        returns("replaced", 3_000, cluster -> replace(cluster, backup(cluster), 600));
    }

    @Test
    void aReplacedPrimaryIsAdmittedSoon() {
        returns("replaced primary", 3_500, cluster -> replace(cluster, cluster.primary(), 600));
    }

    private static Machine replace(SimulatedCluster cluster, Machine gone, double afterMs) {
        gone.kill();
        gone.removed = true;
        Machine successor = cluster.addMachine();
        successor.seeds = gone.seeds;
        cluster.after(afterMs, () -> successor.start(false));
        return successor;
    }

    /** Until a machine is in sync again after its trouble. */
    private static void returns(
            String what, double boundMs, java.util.function.Function<SimulatedCluster, Machine> trouble) {
        double longest = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = founded(seed, 3, 1);
            Machine machine = trouble.apply(cluster);
            longest = Math.max(longest, cluster.runUntil(() -> inSync(cluster, machine), boundMs));
            accept(cluster, 500);
        }
        System.out.printf("%s: in sync again after %.0f ms at most%n", what, longest);
    }

    private static boolean inSync(SimulatedCluster cluster, Machine machine) {
        Machine primary = cluster.primary();
        if (primary == null || !machine.running()) {
            return false;
        }
        Status leading = primary.node().status(false);
        Status held = machine.node().status(false);
        return leading.accepted().inSync().contains(held.self().identity())
                && leading.stateVersion().equals(held.stateVersion());
    }

    @Test
    void everyMemberReplacedOneAfterTheOther() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = founded(seed, 3, 1);
            for (int round = 0; round < 7; round++) {
                Machine gone = cluster.machines.get(cluster.machines.size() - 3);
                boolean planned = cluster.chance(0.5);
                if (planned) {
                    gone.leave();
                    cluster.runUntil(cluster.nowMs() + 500);
                }
                Machine successor = replace(cluster, gone, 500);
                cluster.runUntil(() -> inSync(cluster, successor), 4_000);
                accept(cluster, 1_000);
            }
        }
    }

    @Test
    void fiveControllersWithThreeSeedsAreAllAdmitted() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = founded(seed, 5, 2);
            List<Member> members =
                    cluster.primary().node().status(false).accepted().members();
            assertEquals(5, members.size());
            cluster.machines.get(0).kill();
            cluster.machines.get(1).kill();
            accept(cluster, 3_000);
        }
    }

    @Test
    void aNewMachineWhoseSeedsAreLostFindsTheOthers() {
        SimulatedCluster cluster = founded(1, 3, 1);
        List<Machine> founders = List.copyOf(cluster.machines);
        for (Machine founder : founders) {
            Machine successor = replace(cluster, founder, 300);
            cluster.runUntil(() -> inSync(cluster, successor), 4_000);
            cluster.runUntil(cluster.nowMs() + 1_000);
        }
        accept(cluster, 500);
    }

    @Test
    void onlyThePrimaryHasTheLeaseAndAfterADelay() {
        SimulatedCluster cluster = founded(1, 3, 1);
        Machine primary = cluster.primary();
        assertTrue(primary.node().leadingEpoch().isPresent());
        Machine other = backup(cluster);
        assertEquals(Optional.empty(), other.node().leadingEpoch());
        primary.freeze();
        double electedMs = cluster.runUntil(
                () -> other.leads() || backupOf(cluster, primary, other).leads(), 2_000);
        assertTrue(electedMs > 500);
        Machine next = cluster.primary() == primary ? backupOf(cluster, primary, other) : cluster.primary();
        assertFalse(next.node().leadingEpoch().isPresent());
        double heldMs = cluster.runUntil(() -> next.node().leadingEpoch().isPresent(), 4_000);
        assertTrue(heldMs > cluster.leaseMs, "held after " + heldMs);
    }

    private static Machine backupOf(SimulatedCluster cluster, Machine primary, Machine other) {
        return cluster.machines.stream()
                .filter(machine -> machine != primary && machine != other)
                .findFirst()
                .orElseThrow();
    }

    @Test
    void everyRunningProcessIsNotifiedOfACommittedConfiguration() {
        SimulatedCluster cluster = founded(3, 3, 1);
        accept(cluster, 200);
        long version = cluster.checker.newestAcknowledged();
        cluster.runUntil(cluster.nowMs() + 50);
        for (Machine machine : cluster.machines) {
            assertEquals(version, machine.newest().version());
        }
    }
}
