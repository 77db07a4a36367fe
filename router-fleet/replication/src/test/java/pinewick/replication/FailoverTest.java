package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import pinewick.replication.ReplicationMessages.Status;

/** How long changes are delayed by a fault, one fault at a time, over several seeds each. */
class FailoverTest {
    private static final int SEEDS = 40;
    private static final double STABLE_MS = 4_000;
    private static final double RETRY_INTERVAL_MS = 20;

    /** A running cluster that has accepted a change. */
    private static SimulatedCluster bootstrapped(long seed, int machines, int toleratedMachines) {
        SimulatedCluster cluster = new SimulatedCluster(seed, toleratedMachines);
        cluster.bootstrap(machines);
        cluster.runUntil(1_500);
        awaitAcknowledgement(cluster, 2_000);
        cluster.runUntil(STABLE_MS);
        return cluster;
    }

    /** Submits a valid change to every machine repeatedly; returns the time until it is acknowledged. */
    private static double awaitAcknowledgement(SimulatedCluster cluster, double boundMs) {
        boolean[] acknowledged = new boolean[1];
        submitRepeatedly(cluster, new Operator(cluster).validChange(), acknowledged);
        return cluster.runUntil(() -> acknowledged[0], boundMs);
    }

    private static void submitRepeatedly(SimulatedCluster cluster, Change change, boolean[] acknowledged) {
        if (acknowledged[0]) {
            return;
        }
        for (Machine machine : cluster.machines) {
            machine.submit(change, outcome -> {
                cluster.checker.onChangeOutcome(change, outcome);
                acknowledged[0] |= outcome instanceof ChangeOutcome.Accepted;
            });
        }
        cluster.scheduleAfter(RETRY_INTERVAL_MS, () -> submitRepeatedly(cluster, change, acknowledged));
    }

    /** The longest time over all seeds from the fault to the next acknowledgement. */
    private static double maxMs(String scenario, double boundMs, Consumer<SimulatedCluster> fault) {
        double maxMs = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = bootstrapped(seed, 3, 1);
            fault.accept(cluster);
            maxMs = Math.max(maxMs, awaitAcknowledgement(cluster, boundMs));
            cluster.runUntil(cluster.nowMs() + 6_000);
            awaitAcknowledgement(cluster, 1_000);
        }
        System.out.printf("%s: acknowledged within %.0f ms%n", scenario, maxMs);
        return maxMs;
    }

    private static Machine follower(SimulatedCluster cluster) {
        return cluster.machines.stream()
                .filter(machine -> machine != cluster.primary())
                .findFirst()
                .orElseThrow();
    }

    private static void degradeDisk(
            SimulatedCluster cluster, Machine machine, SimulatedDisk.Mode mode, double durationMs) {
        machine.disk.mode = mode;
        cluster.scheduleAfter(durationMs, () -> machine.disk.mode = SimulatedDisk.Mode.HEALTHY);
    }

    private static void disconnect(
            SimulatedCluster cluster, Machine machine, boolean inbound, boolean outbound, double durationMs) {
        for (Machine other : cluster.machines) {
            if (inbound) {
                cluster.cutLink(other, machine);
            }
            if (outbound) {
                cluster.cutLink(machine, other);
            }
        }
        cluster.scheduleAfter(durationMs, cluster::restoreAllLinks);
    }

    @Test
    void acknowledgesWithoutAFault() {
        assertTrue(maxMs("no fault", 100, cluster -> {}) < 60);
    }

    @Test
    void acknowledgesAfterThePrimaryIsKilled() {
        maxMs("primary killed", 2_000, cluster -> {
            Machine primary = cluster.primary();
            primary.kill();
            cluster.scheduleAfter(2_500, () -> primary.start(false));
        });
    }

    @Test
    void acknowledgesAfterThePrimaryRestartsAtOnce() {
        maxMs("primary restarts within 100 ms", 2_000, cluster -> {
            Machine primary = cluster.primary();
            primary.kill();
            cluster.scheduleAfter(100, () -> primary.start(false));
        });
    }

    @Test
    void acknowledgesAfterAFollowerIsKilled() {
        maxMs("follower killed", 2_000, cluster -> {
            Machine follower = follower(cluster);
            follower.kill();
            cluster.scheduleAfter(2_500, () -> follower.start(false));
        });
    }

    @Test
    void acknowledgesAfterThePrimarysDiskStalls() {
        maxMs(
                "primary's disk stalls",
                2_000,
                cluster -> degradeDisk(cluster, cluster.primary(), SimulatedDisk.Mode.STALLED, 3_000));
    }

    @Test
    void acknowledgesAfterThePrimarysDiskIsFull() {
        maxMs(
                "primary's disk full",
                2_000,
                cluster -> degradeDisk(cluster, cluster.primary(), SimulatedDisk.Mode.FULL, 3_000));
    }

    @Test
    void acknowledgesAfterThePrimarysDiskBecomesSlow() {
        maxMs("primary's disk takes 900 ms a write", 3_000, cluster -> {
            cluster.primary().disk.slowMs = 900;
            degradeDisk(cluster, cluster.primary(), SimulatedDisk.Mode.SLOW, 3_000);
        });
    }

    @Test
    void acknowledgesAfterAFollowersDiskStalls() {
        maxMs(
                "follower's disk stalls",
                2_000,
                cluster -> degradeDisk(cluster, follower(cluster), SimulatedDisk.Mode.STALLED, 3_000));
    }

    @Test
    void acknowledgesAfterAFollowersDiskIsFull() {
        maxMs(
                "follower's disk full",
                2_000,
                cluster -> degradeDisk(cluster, follower(cluster), SimulatedDisk.Mode.FULL, 3_000));
    }

    @Test
    void acknowledgesAfterThePrimaryIsFrozen() {
        maxMs("primary frozen", 2_500, cluster -> {
            Machine primary = cluster.primary();
            primary.freeze();
            cluster.scheduleAfter(3_000, primary::thaw);
        });
    }

    @Test
    void acknowledgesAfterAFollowerIsFrozen() {
        maxMs("follower frozen", 2_000, cluster -> {
            Machine follower = follower(cluster);
            follower.freeze();
            cluster.scheduleAfter(3_000, follower::thaw);
        });
    }

    @Test
    void acknowledgesAfterThePrimaryIsIsolated() {
        maxMs("primary isolated", 3_500, cluster -> disconnect(cluster, cluster.primary(), true, true, 3_000));
    }

    @Test
    void acknowledgesWhileMessagesFromThePrimaryAreLost() {
        maxMs(
                "messages from the primary lost",
                3_500,
                cluster -> disconnect(cluster, cluster.primary(), false, true, 3_000));
    }

    @Test
    void acknowledgesWhileMessagesToThePrimaryAreLost() {
        maxMs(
                "messages to the primary lost",
                3_500,
                cluster -> disconnect(cluster, cluster.primary(), true, false, 3_000));
    }

    @Test
    void keepsThePrimaryWhileAFollowerReceivesNothing() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = bootstrapped(seed, 3, 1);
            Machine primary = cluster.primary();
            disconnect(cluster, follower(cluster), true, false, 3_000);
            awaitAcknowledgement(cluster, 2_000);
            cluster.runUntil(cluster.nowMs() + 2_000);
            assertEquals(primary, cluster.primary());
            assertTrue(awaitAcknowledgement(cluster, 1_000) < 60);
        }
    }

    @Test
    void transfersThePrimaryRoleQuicklyOnShutdown() {
        double maxMs = maxMs("primary shuts down", 500, cluster -> {
            Machine primary = cluster.primary();
            primary.beginShutdown();
            cluster.scheduleAfter(800, primary::kill);
            cluster.scheduleAfter(2_000, () -> primary.start(false));
        });
        assertTrue(maxMs < 400, "took " + maxMs);
    }

    @Test
    void acknowledgesWithoutAnInterruptionWhenAFollowerShutsDown() {
        double maxMs = maxMs("follower shuts down", 500, cluster -> {
            Machine follower = follower(cluster);
            follower.beginShutdown();
            cluster.scheduleAfter(300, follower::kill);
            cluster.scheduleAfter(2_000, () -> follower.start(false));
        });
        assertTrue(maxMs < 100, "took " + maxMs);
    }

    @Test
    void acknowledgesAfterAllProcessesRestart() {
        maxMs(
                "all killed, restarted within 1 s",
                2_500,
                cluster -> cluster.machines.forEach(machine -> {
                    machine.kill();
                    cluster.scheduleAfter(cluster.randomBetween(50, 1_000), () -> machine.start(false));
                }));
    }

    @Test
    void bringsAWipedFollowerBackInSync() {
        requireBackInSync("wiped", 2_000, cluster -> {
            Machine wipedMachine = follower(cluster);
            wipedMachine.wipe();
            cluster.scheduleAfter(500, () -> wipedMachine.start(false));
            return wipedMachine;
        });
    }

    @Test
    void bringsAWipedPrimaryBackInSync() {
        requireBackInSync("wiped primary", 2_500, cluster -> {
            Machine wipedMachine = cluster.primary();
            wipedMachine.wipe();
            cluster.scheduleAfter(500, () -> wipedMachine.start(false));
            return wipedMachine;
        });
    }

    @Test
    void bringsAKilledFollowerBackInSync() {
        requireBackInSync("killed", 3_000, cluster -> {
            Machine killedMachine = follower(cluster);
            killedMachine.kill();
            awaitAcknowledgement(cluster, 2_000);
            cluster.scheduleAfter(1_000, () -> killedMachine.start(false));
            return killedMachine;
        });
    }

    @Test
    void bringsAFollowerWithAStalledDiskBackInSync() {
        requireBackInSync("disk stalled for 2 s", 3_500, cluster -> {
            Machine stalledMachine = follower(cluster);
            degradeDisk(cluster, stalledMachine, SimulatedDisk.Mode.STALLED, 2_000);
            awaitAcknowledgement(cluster, 2_000);
            return stalledMachine;
        });
    }

    @Test
    void admitsTheReplacementOfAFollower() {
        requireBackInSync("replaced", 3_000, cluster -> replace(cluster, follower(cluster), 600));
    }

    @Test
    void admitsTheReplacementOfAPrimary() {
        requireBackInSync("replaced primary", 3_500, cluster -> replace(cluster, cluster.primary(), 600));
    }

    private static Machine replace(SimulatedCluster cluster, Machine replaced, double startDelayMs) {
        replaced.kill();
        replaced.removed = true;
        Machine successor = cluster.addMachine();
        successor.seeds = replaced.seeds;
        cluster.scheduleAfter(startDelayMs, () -> successor.start(false));
        return successor;
    }

    /** Requires that a machine is in sync again within a bound after a fault. */
    private static void requireBackInSync(
            String scenario, double boundMs, java.util.function.Function<SimulatedCluster, Machine> fault) {
        double maxMs = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = bootstrapped(seed, 3, 1);
            Machine machine = fault.apply(cluster);
            maxMs = Math.max(maxMs, cluster.runUntil(() -> isInSync(cluster, machine), boundMs));
            awaitAcknowledgement(cluster, 500);
        }
        System.out.printf("%s: in sync again within %.0f ms%n", scenario, maxMs);
    }

    private static boolean isInSync(SimulatedCluster cluster, Machine machine) {
        Machine primary = cluster.primary();
        if (primary == null || !machine.running()) {
            return false;
        }
        Status primaryStatus = primary.node().status(false);
        Status machineStatus = machine.node().status(false);
        return primaryStatus.accepted().inSync().contains(machineStatus.self().identity())
                && primaryStatus.stateVersion().equals(machineStatus.stateVersion());
    }

    @Test
    void replacesEveryMemberOneAfterTheOther() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = bootstrapped(seed, 3, 1);
            for (int round = 0; round < 7; round++) {
                Machine replaced = cluster.machines.get(cluster.machines.size() - 3);
                boolean graceful = cluster.randomBoolean(0.5);
                if (graceful) {
                    replaced.beginShutdown();
                    cluster.runUntil(cluster.nowMs() + 500);
                }
                Machine successor = replace(cluster, replaced, 500);
                cluster.runUntil(() -> isInSync(cluster, successor), 4_000);
                awaitAcknowledgement(cluster, 1_000);
            }
        }
    }

    @Test
    void admitsFiveControllersWithThreeSeeds() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCluster cluster = bootstrapped(seed, 5, 2);
            List<Member> members =
                    cluster.primary().node().status(false).accepted().members();
            assertEquals(5, members.size());
            cluster.machines.get(0).kill();
            cluster.machines.get(1).kill();
            awaitAcknowledgement(cluster, 3_000);
        }
    }

    @Test
    void admitsANewMachineWhoseSeedsAreLost() {
        SimulatedCluster cluster = bootstrapped(1, 3, 1);
        List<Machine> founders = List.copyOf(cluster.machines);
        for (Machine founder : founders) {
            Machine successor = replace(cluster, founder, 300);
            cluster.runUntil(() -> isInSync(cluster, successor), 4_000);
            cluster.runUntil(cluster.nowMs() + 1_000);
        }
        awaitAcknowledgement(cluster, 500);
    }

    @Test
    void grantsTheLeaseToThePrimaryOnlyAndAfterADelay() {
        SimulatedCluster cluster = bootstrapped(1, 3, 1);
        Machine primary = cluster.primary();
        assertTrue(primary.node().leadingEpoch().isPresent());
        Machine other = follower(cluster);
        assertEquals(Optional.empty(), other.node().leadingEpoch());
        primary.freeze();
        double electedMs = cluster.runUntil(
                () -> other.isPrimary()
                        || otherFollower(cluster, primary, other).isPrimary(),
                2_000);
        assertTrue(electedMs > 500);
        Machine newPrimary = cluster.primary() == primary ? otherFollower(cluster, primary, other) : cluster.primary();
        assertFalse(newPrimary.node().leadingEpoch().isPresent());
        double leaseDelayMs =
                cluster.runUntil(() -> newPrimary.node().leadingEpoch().isPresent(), 4_000);
        assertTrue(leaseDelayMs > cluster.leaseMs, "lease granted after " + leaseDelayMs);
    }

    private static Machine otherFollower(SimulatedCluster cluster, Machine primary, Machine other) {
        return cluster.machines.stream()
                .filter(machine -> machine != primary && machine != other)
                .findFirst()
                .orElseThrow();
    }

    @Test
    void notifiesEveryRunningProcessOfACommittedConfiguration() {
        SimulatedCluster cluster = bootstrapped(3, 3, 1);
        awaitAcknowledgement(cluster, 200);
        long version = cluster.checker.newestAcknowledged();
        cluster.runUntil(cluster.nowMs() + 50);
        for (Machine machine : cluster.machines) {
            assertEquals(version, machine.newestConfiguration().version());
        }
    }
}
