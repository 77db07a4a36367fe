package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pinewick.replication.ReplicationMessages.Heartbeat;

/** Where a process that is not the primary redirects callers, and for how long after the last heartbeat. */
class PrimaryRedirectTest {
    private static final double BOOTSTRAP_MS = 3_000;
    /** The maximum age of the information behind a redirect, including its transit time. */
    private static final double MAX_AGE_MS = 460;

    private static final double LONG_INTERVAL_MS = 20_000;

    private final SimulatedCluster cluster = new SimulatedCluster(23, 1);
    private Machine primary;
    private List<Machine> followers;
    private Heartbeat lastHeartbeat;

    @BeforeEach
    void bootstrap() {
        cluster.messageInterceptor = (sender, message) -> {
            if (message instanceof Heartbeat heartbeat) {
                lastHeartbeat = heartbeat;
            }
            return message;
        };
        cluster.bootstrap(3);
        cluster.runUntil(BOOTSTRAP_MS);
        primary = cluster.primary();
        followers =
                cluster.machines.stream().filter(machine -> machine != primary).toList();
    }

    private void runFor(double durationMs) {
        cluster.runUntil(cluster.nowMs() + durationMs);
    }

    private void isolate(Machine machine) {
        for (Machine other : cluster.machines) {
            cluster.cutLink(machine, other);
            cluster.cutLink(other, machine);
        }
    }

    @Test
    void redirectsToASilentPrimaryForHalfASecondAtMost() {
        primary.freeze();
        runFor(MAX_AGE_MS);
        for (Machine follower : followers) {
            assertEquals(Optional.empty(), follower.redirectTarget(), follower + " redirects to a silent primary");
        }
    }

    @Test
    void doesNotExtendTheValidityOfAHintInTransit() {
        cluster.cutLink(primary, followers.get(0));
        runFor(MAX_AGE_MS);
        primary.freeze();
        runFor(MAX_AGE_MS);
        assertNotEquals(Optional.of(primary.operatorApi), followers.get(0).redirectTarget());
    }

    @Test
    void redirectsWithoutPrimaryContactWhileOthersHaveContact() {
        cluster.cutLink(primary, followers.get(0));
        runFor(2 * MAX_AGE_MS);
        assertEquals(Optional.of(primary.operatorApi), followers.get(0).redirectTarget());
    }

    @Test
    void doesNotRedirectAfterAFreezeBeforeAHeartbeat() {
        Machine frozenFollower = followers.get(0);
        frozenFollower.freeze();
        isolate(frozenFollower);
        primary.kill();
        runFor(LONG_INTERVAL_MS);
        frozenFollower.thaw();
        assertEquals(Optional.empty(), frozenFollower.redirectTarget(), "its information is 20 s old");
    }

    @Test
    void isUpToDateAfterAFreezeOnlyAfterAHeartbeat() {
        Change change = new Operator(cluster).validChange();
        primary.submit(change, outcome -> {});
        runFor(MAX_AGE_MS);
        cluster.machines.forEach(machine -> assertEquals(true, machine.node().isUpToDate()));
        for (Machine machine : cluster.machines) {
            machine.freeze();
        }
        runFor(LONG_INTERVAL_MS);
        for (Machine machine : cluster.machines) {
            machine.node().advanceClock(cluster.nowMs());
            assertEquals(
                    false, machine.node().isUpToDate(), machine + " claims that a state of 20 s ago is the newest");
        }
        cluster.machines.forEach(Machine::thaw);
        runFor(BOOTSTRAP_MS);
        cluster.machines.forEach(machine -> assertEquals(true, machine.node().isUpToDate()));
    }

    /** Guards against a fault found by the model: messages buffered during a freeze were treated as new. */
    @Test
    void ignoresHeartbeatsBufferedDuringAFreeze() {
        Machine frozenFollower = followers.get(0);
        frozenFollower.freeze();
        runFor(MAX_AGE_MS);
        primary.kill();
        runFor(BOOTSTRAP_MS);
        frozenFollower.thaw();
        assertNotEquals(Optional.of(primary.operatorApi), frozenFollower.redirectTarget());
        runFor(5);
        assertNotEquals(Optional.of(primary.operatorApi), frozenFollower.redirectTarget());
    }

    @Test
    void hasNoLeaseAfterAFreezeWhateverEventComesFirst() {
        runFor(BOOTSTRAP_MS);
        assertEquals(true, primary.node().leadingEpoch().isPresent());
        primary.freeze();
        runFor(LONG_INTERVAL_MS);
        primary.node().advanceClock(cluster.nowMs());
        assertEquals(Optional.empty(), primary.node().leadingEpoch(), "checked before any delayed event is processed");
    }

    @Test
    void ignoresADelayedHeartbeatOfAResignedPrimary() {
        Machine follower = followers.get(0);
        cluster.cutLink(followers.get(0), followers.get(1));
        cluster.cutLink(followers.get(1), followers.get(0));
        Heartbeat delayedHeartbeat = lastHeartbeat;
        primary.beginShutdown();
        runFor(5);
        follower.deliver(primary.address, delayedHeartbeat);
        assertNotEquals(Optional.of(primary.operatorApi), follower.redirectTarget());
    }

    @Test
    void doesNotRedirectAfterAPromiseToAnotherProposer() {
        Machine follower = followers.get(0);
        isolate(primary);
        EpochNumber laterEpoch = new EpochNumber(lastHeartbeat.number().counter() + 1, identity(followers.get(1)));
        follower.deliver(followers.get(1).address, new ReplicationMessages.Prepare(RequestId.NONE, laterEpoch, true));
        runFor(20);
        assertEquals(Optional.empty(), follower.redirectTarget());
    }

    private static String identity(Machine machine) {
        return machine.node().status(false).self().identity();
    }
}
