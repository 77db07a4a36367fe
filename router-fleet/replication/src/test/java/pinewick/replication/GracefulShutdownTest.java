package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pinewick.model.Message;
import pinewick.replication.ReplicationMessages.Accepted;
import pinewick.replication.ReplicationMessages.Promise;
import pinewick.replication.ReplicationMessages.ShutdownPermitted;

/**
 * A controller that leaves as planned, with its successor there, ends only once a disk that is lost at that moment
 * leaves a quorum. The orders are those that the model found.
 */
class GracefulShutdownTest {
    private static final int SEEDS = 40;
    private static final double CALM_MS = 4_000;
    private static final double SUCCESSOR_LEAD_MS = 1_500;
    private static final double UNHEARD_MS = 1_000;
    private static final double WAITING_MS = 1_000;
    private static final double GRACE_MS = 4_500;
    private static final double GIVEN_UP_MS = 10_000;

    private SimulatedCluster cluster;
    private Machine leaving;
    private Machine successor;

    private void found(long seed, boolean primaryLeaves) {
        cluster = new SimulatedCluster(seed, 1);
        cluster.knownControllerShare = 1;
        cluster.found(3);
        cluster.runUntil(CALM_MS);
        Machine primary = cluster.primary();
        leaving = primaryLeaves
                ? primary
                : cluster.machines.stream()
                        .filter(machine -> machine != primary)
                        .findFirst()
                        .orElseThrow();
        successor = cluster.addMachine();
        successor.seeds = leaving.seeds;
        successor.start(false);
        cluster.runUntil(CALM_MS + SUCCESSOR_LEAD_MS);
    }

    private boolean isMember(Machine machine) {
        Machine primary = cluster.primary();
        return primary != null
                && primary.node().report().members().stream()
                        .anyMatch(member -> member.member().address().equals(machine.address));
    }

    /** The leaver is gone for good and another disk is lost in the same moment; a change is still accepted. */
    private void loseADiskAndChange() {
        leaving.kill();
        leaving.removed = true;
        Machine lost = cluster.machines.stream()
                .filter(machine -> machine.running() && machine != successor)
                .findFirst()
                .orElseThrow();
        lost.wipe();
        boolean[] taken = new boolean[1];
        new Operator(cluster).submit(new Operator(cluster).properChange(), () -> taken[0] = true);
        cluster.runUntil(() -> taken[0], GIVEN_UP_MS);
    }

    @Test
    void aRecordThatWasAcceptedButNotChosenDoesNotLetTheLeaverEnd() {
        for (int seed = 0; seed < SEEDS; seed++) {
            found(seed, false);
            cluster.tamper = (sender, message) -> message instanceof Accepted && sender != leaving ? null : message;
            leaving.leave();
            cluster.runUntil(cluster.nowMs() + WAITING_MS);
            assertFalse(leaving.node().isDetached(), "no majority has accepted the record without it");
            cluster.tamper = (sender, message) -> message;
            cluster.runUntil(() -> leaving.node().isDetached(), GRACE_MS);
            loseADiskAndChange();
        }
    }

    @Test
    void anElectionWithoutTheLeaversPromiseDoesNotLetItEnd() {
        for (int seed = 0; seed < SEEDS; seed++) {
            found(seed, true);
            double unheardUntilMs = cluster.nowMs() + UNHEARD_MS;
            cluster.tamper = (sender, message) -> {
                boolean isPromise = sender == leaving && message instanceof Promise;
                boolean isLost = isPromise || (sender == successor && cluster.nowMs() < unheardUntilMs);
                return isLost ? null : message;
            };
            leaving.leave();
            cluster.runUntil(() -> leaving.node().isDetached(), GRACE_MS);
            assertTrue(isMember(successor), "its successor has not taken its place");
            loseADiskAndChange();
        }
    }

    /** The successor runs, by gossip, but its messages to the primary are lost at first. */
    @Test
    void aSuccessorThatIsOnlyKnownByGossipIsWaitedFor() {
        for (int seed = 0; seed < SEEDS; seed++) {
            found(seed, seed % 2 == 0);
            double unheardUntilMs = cluster.nowMs() + UNHEARD_MS;
            cluster.tamper =
                    (sender, message) -> sender == successor && cluster.nowMs() < unheardUntilMs ? null : message;
            leaving.leave();
            cluster.runUntil(() -> leaving.node().isDetached(), GRACE_MS);
            assertTrue(isMember(successor), "its successor has not taken its place");
        }
    }

    /** In a later epoch the store may be in sync again. */
    @Test
    void aPermitOfAnEarlierEpochDoesNotCount() {
        found(1, false);
        List<Message> held = new ArrayList<>();
        cluster.tamper = (sender, message) -> {
            if (message instanceof ShutdownPermitted) {
                held.add(message);
                return null;
            }
            return message;
        };
        leaving.leave();
        cluster.runUntil(() -> !held.isEmpty(), GRACE_MS);
        ShutdownPermitted early = (ShutdownPermitted) held.get(0);
        Machine former = cluster.primary();
        former.kill();
        cluster.runUntil(() -> newest(held).isAfter(early.number()), GRACE_MS);
        leaving.deliver(former.address, early);
        assertFalse(leaving.node().isDetached(), "the permit is of epoch " + early.number());
        leaving.deliver(former.address, new ShutdownPermitted(newest(held)));
        assertTrue(leaving.node().isDetached());
    }

    private static EpochNumber newest(List<Message> permits) {
        return ((ShutdownPermitted) permits.get(permits.size() - 1)).number();
    }
}
