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
 * A controller that shuts down gracefully while its successor runs ends only once the loss of another disk at that
 * moment would leave a quorum. The orders of events are those found by the model.
 */
class GracefulShutdownTest {
    private static final int SEEDS = 40;
    private static final double STABLE_MS = 4_000;
    private static final double SUCCESSOR_LEAD_MS = 1_500;
    private static final double MESSAGE_LOSS_MS = 1_000;
    private static final double OBSERVATION_MS = 1_000;
    private static final double SHUTDOWN_BOUND_MS = 4_500;
    private static final double TIMEOUT_MS = 10_000;

    private SimulatedCluster cluster;
    private Machine departing;
    private Machine successor;

    private void bootstrap(long seed, boolean primaryShutsDown) {
        cluster = new SimulatedCluster(seed, 1);
        cluster.knownControllerProbability = 1;
        cluster.bootstrap(3);
        cluster.runUntil(STABLE_MS);
        Machine primary = cluster.primary();
        departing = primaryShutsDown
                ? primary
                : cluster.machines.stream()
                        .filter(machine -> machine != primary)
                        .findFirst()
                        .orElseThrow();
        successor = cluster.addMachine();
        successor.seeds = departing.seeds;
        successor.start(false);
        cluster.runUntil(STABLE_MS + SUCCESSOR_LEAD_MS);
    }

    private boolean isMember(Machine machine) {
        Machine primary = cluster.primary();
        return primary != null
                && primary.node().report().members().stream()
                        .anyMatch(member -> member.member().address().equals(machine.address));
    }

    /** Removes the departing machine and loses another disk at the same time; a change must still be accepted. */
    private void loseADiskAndSubmitAChange() {
        departing.kill();
        departing.removed = true;
        Machine lostMachine = cluster.machines.stream()
                .filter(machine -> machine.running() && machine != successor)
                .findFirst()
                .orElseThrow();
        lostMachine.wipe();
        boolean[] acknowledged = new boolean[1];
        new Operator(cluster).submit(new Operator(cluster).validChange(), () -> acknowledged[0] = true);
        cluster.runUntil(() -> acknowledged[0], TIMEOUT_MS);
    }

    @Test
    void doesNotPermitTheShutdownByARecordThatIsNotChosen() {
        for (int seed = 0; seed < SEEDS; seed++) {
            bootstrap(seed, false);
            cluster.messageInterceptor =
                    (sender, message) -> message instanceof Accepted && sender != departing ? null : message;
            departing.beginShutdown();
            cluster.runUntil(cluster.nowMs() + OBSERVATION_MS);
            assertFalse(departing.node().isDetached(), "no majority has accepted the record that removes it");
            cluster.messageInterceptor = (sender, message) -> message;
            cluster.runUntil(() -> departing.node().isDetached(), SHUTDOWN_BOUND_MS);
            loseADiskAndSubmitAChange();
        }
    }

    @Test
    void doesNotPermitTheShutdownByAnElectionWithoutTheDepartingStore() {
        for (int seed = 0; seed < SEEDS; seed++) {
            bootstrap(seed, true);
            double messagesLostUntilMs = cluster.nowMs() + MESSAGE_LOSS_MS;
            cluster.messageInterceptor = (sender, message) -> {
                boolean isPromise = sender == departing && message instanceof Promise;
                boolean isLost = isPromise || (sender == successor && cluster.nowMs() < messagesLostUntilMs);
                return isLost ? null : message;
            };
            departing.beginShutdown();
            cluster.runUntil(() -> departing.node().isDetached(), SHUTDOWN_BOUND_MS);
            assertTrue(isMember(successor), "the successor is not a member");
            loseADiskAndSubmitAChange();
        }
    }

    /** Gossip reports that the successor runs, but its messages are lost at first. */
    @Test
    void waitsForASuccessorThatIsOnlyKnownByGossip() {
        for (int seed = 0; seed < SEEDS; seed++) {
            bootstrap(seed, seed % 2 == 0);
            double messagesLostUntilMs = cluster.nowMs() + MESSAGE_LOSS_MS;
            cluster.messageInterceptor =
                    (sender, message) -> sender == successor && cluster.nowMs() < messagesLostUntilMs ? null : message;
            departing.beginShutdown();
            cluster.runUntil(() -> departing.node().isDetached(), SHUTDOWN_BOUND_MS);
            assertTrue(isMember(successor), "the successor is not a member");
        }
    }

    /** In a later epoch the store may be needed again, because it is in sync again. */
    @Test
    void ignoresAPermitOfAnEarlierEpoch() {
        bootstrap(1, false);
        List<Message> permits = new ArrayList<>();
        cluster.messageInterceptor = (sender, message) -> {
            if (message instanceof ShutdownPermitted) {
                permits.add(message);
                return null;
            }
            return message;
        };
        departing.beginShutdown();
        cluster.runUntil(() -> !permits.isEmpty(), SHUTDOWN_BOUND_MS);
        ShutdownPermitted earlierPermit = (ShutdownPermitted) permits.get(0);
        Machine formerPrimary = cluster.primary();
        formerPrimary.kill();
        cluster.runUntil(() -> lastNumber(permits).isAfter(earlierPermit.number()), SHUTDOWN_BOUND_MS);
        departing.deliver(formerPrimary.address, earlierPermit);
        assertFalse(departing.node().isDetached(), "the permit is for epoch " + earlierPermit.number());
        departing.deliver(formerPrimary.address, new ShutdownPermitted(lastNumber(permits)));
        assertTrue(departing.node().isDetached());
    }

    private static EpochNumber lastNumber(List<Message> permits) {
        return ((ShutdownPermitted) permits.get(permits.size() - 1)).number();
    }
}
