package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import pinewick.replication.ReplicationMessages.Accept;

/** After a network partition in the middle of a membership change, at most one side continues. */
class MembershipChangeTest {
    private static final double BOUND_MS = 6_000;

    /**
     * The primary replaces an isolated store by a new one. When it sends the first Accept message with the new member,
     * the network is partitioned: the primary and the new store on one side, the two old stores on the other. Then a
     * change is submitted on each side.
     */
    private static SimulatedCluster runWithPartition(UnaryOperator<EpochRecord> inTransit) {
        SimulatedCluster cluster = new SimulatedCluster(7, 1);
        cluster.bootstrap(3);
        cluster.runUntil(3_000);
        Machine primary = cluster.primary();
        List<Machine> followers =
                cluster.machines.stream().filter(machine -> machine != primary).toList();
        Machine isolated = followers.get(1);
        isolate(cluster, isolated);
        Machine newcomer = cluster.addMachine();
        newcomer.seeds = isolated.seeds;
        cluster.cutLink(isolated, newcomer);
        cluster.cutLink(newcomer, isolated);
        boolean[] partitioned = new boolean[1];
        cluster.messageInterceptor = (sender, message) -> {
            if (message instanceof Accept accept && accept.record().hasMember(identity(newcomer)) && !partitioned[0]) {
                partitioned[0] = true;
                partition(cluster, List.of(primary, newcomer), followers);
            }
            return message instanceof Accept accept
                    ? new Accept(accept.request(), inTransit.apply(accept.record()))
                    : message;
        };
        newcomer.start(false);
        cluster.runUntil(() -> partitioned[0], BOUND_MS);
        submitRepeatedly(cluster, followers, 4_000);
        submitRepeatedly(cluster, List.of(primary, newcomer), 4_000);
        cluster.restoreAllLinks();
        cluster.runUntil(cluster.nowMs() + 4_000);
        assertEquals(1, cluster.machines.stream().filter(Machine::isPrimary).count());
        return cluster;
    }

    private static String identity(Machine machine) {
        return machine.node().status(false).self().identity();
    }

    private static void isolate(SimulatedCluster cluster, Machine machine) {
        for (Machine otherMachine : cluster.machines) {
            cluster.cutLink(machine, otherMachine);
            cluster.cutLink(otherMachine, machine);
        }
    }

    private static void partition(SimulatedCluster cluster, List<Machine> firstSide, List<Machine> secondSide) {
        cluster.restoreAllLinks();
        for (Machine firstMachine : firstSide) {
            for (Machine otherMachine : secondSide) {
                cluster.cutLink(firstMachine, otherMachine);
                cluster.cutLink(otherMachine, firstMachine);
            }
        }
    }

    /** Submits one change on the newest committed version, repeatedly, to some machines only. */
    private static void submitRepeatedly(SimulatedCluster cluster, List<Machine> machines, double durationMs) {
        Change change = new Operator(cluster).validChange();
        for (double waitedMs = 0; waitedMs < durationMs; waitedMs += 50) {
            machines.forEach(machine -> machine.submit(change, outcome -> {
                if (outcome instanceof ChangeOutcome.Accepted) {
                    cluster.checker.onChangeOutcome(change, outcome);
                }
            }));
            cluster.runUntil(cluster.nowMs() + 50);
        }
    }

    @Test
    void continuesOnOneSideOfAPartitionAtMost() {
        SimulatedCluster cluster = runWithPartition(record -> record);
        assertTrue(cluster.checker.acknowledged > 0, "the old members are a majority and continue");
    }

    @Test
    void continuesOnBothSidesWithoutJointConsensus() {
        assertThrows(HistoryChecker.Violation.class, () -> runWithPartition(EpochRecord::withoutPreviousMembers));
    }
}
