package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import pinewick.replication.ReplicationMessages.Accept;

/** A core that is cut in two in the middle of a change of members goes on at one side at most. */
class MembershipChangeTest {
    private static final double BOUND_MS = 6_000;

    /**
     * The primary takes a new store in for one that is silent. Just when it asks for acceptance, it is left alone with
     * the new store; the two old ones come together. Both sides then try to have a change of their own accepted.
     */
    private static SimulatedCluster playCut(UnaryOperator<EpochRecord> onItsWay) {
        SimulatedCluster cluster = new SimulatedCluster(7, 1);
        cluster.found(3);
        cluster.runUntil(3_000);
        Machine primary = cluster.primary();
        List<Machine> backups =
                cluster.machines.stream().filter(machine -> machine != primary).toList();
        Machine silent = backups.get(1);
        isolate(cluster, silent);
        Machine newcomer = cluster.addMachine();
        newcomer.seeds = silent.seeds;
        cluster.cut(silent, newcomer);
        cluster.cut(newcomer, silent);
        boolean[] cut = new boolean[1];
        cluster.tamper = (sender, message) -> {
            if (message instanceof Accept accept && accept.record().hasMember(identity(newcomer)) && !cut[0]) {
                cut[0] = true;
                split(cluster, List.of(primary, newcomer), backups);
            }
            return message instanceof Accept accept
                    ? new Accept(accept.request(), onItsWay.apply(accept.record()))
                    : message;
        };
        newcomer.start(false);
        cluster.runUntil(() -> cut[0], BOUND_MS);
        tryAt(cluster, backups, 4_000);
        tryAt(cluster, List.of(primary, newcomer), 4_000);
        cluster.joinAll();
        cluster.runUntil(cluster.nowMs() + 4_000);
        assertEquals(1, cluster.machines.stream().filter(Machine::leads).count());
        return cluster;
    }

    private static String identity(Machine machine) {
        return machine.node().status(false).self().identity();
    }

    private static void isolate(SimulatedCluster cluster, Machine machine) {
        for (Machine other : cluster.machines) {
            cluster.cut(machine, other);
            cluster.cut(other, machine);
        }
    }

    private static void split(SimulatedCluster cluster, List<Machine> left, List<Machine> right) {
        cluster.joinAll();
        for (Machine one : left) {
            for (Machine other : right) {
                cluster.cut(one, other);
                cluster.cut(other, one);
            }
        }
    }

    /** Sends one change upon what is in force, over and over, to some machines only. */
    private static void tryAt(SimulatedCluster cluster, List<Machine> machines, double forMs) {
        Change change = new Operator(cluster).properChange();
        for (double waitedMs = 0; waitedMs < forMs; waitedMs += 50) {
            machines.forEach(machine -> machine.submit(change, outcome -> {
                if (outcome instanceof ChangeOutcome.Accepted) {
                    cluster.checker.answered(change, outcome);
                }
            }));
            cluster.runUntil(cluster.nowMs() + 50);
        }
    }

    @Test
    void atMostOneSideContinues() {
        SimulatedCluster cluster = playCut(record -> record);
        assertTrue(cluster.checker.acknowledged > 0, "the old members are a majority and go on");
    }

    @Test
    void withoutJointConsensusBothSidesContinue() {
        assertThrows(HistoryChecker.Violation.class, () -> playCut(EpochRecord::withoutPreviousMembers));
    }
}
