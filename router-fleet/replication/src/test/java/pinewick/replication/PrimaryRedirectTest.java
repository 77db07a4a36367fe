package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pinewick.replication.ReplicationMessages.Heartbeat;

/** Whom a process that is not the primary names to callers, and for how long after it was last heard. */
class PrimaryRedirectTest {
    private static final double FOUNDED_MS = 3_000;
    /** How old the knowledge behind a redirection may be, and what it takes to travel. */
    private static final double OLDEST_MS = 460;

    private static final double LONG_CUT_MS = 20_000;

    private final SimulatedCluster cluster = new SimulatedCluster(23, 1);
    private Machine primary;
    private List<Machine> backups;
    private Heartbeat lastHeartbeat;

    @BeforeEach
    void found() {
        cluster.tamper = (sender, message) -> {
            if (message instanceof Heartbeat heartbeat) {
                lastHeartbeat = heartbeat;
            }
            return message;
        };
        cluster.found(3);
        cluster.runUntil(FOUNDED_MS);
        primary = cluster.primary();
        backups =
                cluster.machines.stream().filter(machine -> machine != primary).toList();
    }

    private void pass(double forMs) {
        cluster.runUntil(cluster.nowMs() + forMs);
    }

    private void cutOff(Machine machine) {
        for (Machine other : cluster.machines) {
            cluster.cut(machine, other);
            cluster.cut(other, machine);
        }
    }

    @Test
    void aPrimaryWithoutHeartbeatsIsNamedForHalfASecondAtMost() {
        primary.freeze();
        pass(OLDEST_MS);
        for (Machine backup : backups) {
            assertEquals(Optional.empty(), backup.named(), backup + " names a silent primary");
        }
    }

    @Test
    void aHintDoesNotGetYoungerOnTheWay() {
        cluster.cut(primary, backups.get(0));
        pass(OLDEST_MS);
        primary.freeze();
        pass(OLDEST_MS);
        assertNotEquals(Optional.of(primary.operatorApi), backups.get(0).named());
    }

    @Test
    void aFollowerCutOffFromThePrimaryOnlyNamesItWhileOthersHaveContact() {
        cluster.cut(primary, backups.get(0));
        pass(2 * OLDEST_MS);
        assertEquals(Optional.of(primary.operatorApi), backups.get(0).named());
    }

    @Test
    void aFollowerThatWasFrozenNamesNoPrimaryBeforeAHeartbeat() {
        Machine frozen = backups.get(0);
        frozen.freeze();
        cutOff(frozen);
        primary.kill();
        pass(LONG_CUT_MS);
        frozen.thaw();
        assertEquals(Optional.empty(), frozen.named(), "what it knew is 20 s old");
    }

    @Test
    void aProcessThatWasFrozenIsUpToDateOnlyAfterAHeartbeat() {
        Change change = new Operator(cluster).properChange();
        primary.submit(change, outcome -> {});
        pass(OLDEST_MS);
        cluster.machines.forEach(machine -> assertEquals(true, machine.node().isUpToDate()));
        for (Machine machine : cluster.machines) {
            machine.freeze();
        }
        pass(LONG_CUT_MS);
        for (Machine machine : cluster.machines) {
            machine.node().advanceClock(cluster.nowMs());
            assertEquals(false, machine.node().isUpToDate(), machine + " takes what is 20 s old for the newest");
        }
        cluster.machines.forEach(Machine::thaw);
        pass(FOUNDED_MS);
        cluster.machines.forEach(machine -> assertEquals(true, machine.node().isUpToDate()));
    }

    /** The model's finding: what waited in the buffers during a freeze was taken for news. */
    @Test
    void heartbeatsBufferedDuringAFreezeAreIgnored() {
        Machine frozen = backups.get(0);
        frozen.freeze();
        pass(OLDEST_MS);
        primary.kill();
        pass(FOUNDED_MS);
        frozen.thaw();
        assertNotEquals(Optional.of(primary.operatorApi), frozen.named());
        pass(5);
        assertNotEquals(Optional.of(primary.operatorApi), frozen.named());
    }

    @Test
    void aPrimaryThatWasFrozenHasNoLeaseWhateverEventComesFirst() {
        pass(FOUNDED_MS);
        assertEquals(true, primary.node().leadingEpoch().isPresent());
        primary.freeze();
        pass(LONG_CUT_MS);
        primary.node().advanceClock(cluster.nowMs());
        assertEquals(Optional.empty(), primary.node().leadingEpoch(), "asked before anything that was held up");
    }

    @Test
    void aDelayedHeartbeatOfAResignedPrimaryChangesNothing() {
        Machine backup = backups.get(0);
        cluster.cut(backups.get(0), backups.get(1));
        cluster.cut(backups.get(1), backups.get(0));
        Heartbeat late = lastHeartbeat;
        primary.leave();
        pass(5);
        backup.deliver(primary.address, late);
        assertNotEquals(Optional.of(primary.operatorApi), backup.named());
    }

    @Test
    void noPrimaryIsNamedAfterAPromiseToAnotherProposer() {
        Machine backup = backups.get(0);
        cutOff(primary);
        EpochNumber later = new EpochNumber(lastHeartbeat.number().counter() + 1, identity(backups.get(1)));
        backup.deliver(backups.get(1).address, new ReplicationMessages.Prepare(RequestId.NONE, later, true));
        pass(20);
        assertEquals(Optional.empty(), backup.named());
    }

    private static String identity(Machine machine) {
        return machine.node().status(false).self().identity();
    }
}
