package pinewick.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;

/** What a replica's calls change, and when they are acknowledged. */
class ReplicaRegistryTest {
    private static final double CONTACT_MS = 3_000;
    private static final String ID = "i-7f3a91c2";

    private final ManualLoop loop = new ManualLoop(10_000);
    private final FakeFleet fleet = new FakeFleet(loop::nowMs);
    private final RegistryCounters counters = new RegistryCounters();
    private final ControllerContact contact = new ControllerContact(loop.nowMs());
    private final ReplicaRegistry registry = new ReplicaRegistry(fleet, loop, contact, CONTACT_MS, counters);
    private final List<Acknowledgement> answers = new ArrayList<>();

    @Test
    void newInstanceIsPublishedAndAcknowledgedAtOnce() {
        registry.heartbeat(ReplicaRecords.ready(ID, 1), answers::add);
        assertEquals(List.of(Acknowledgement.CONFIRMED), answers);
        assertEquals(List.of(ReplicaRecords.ready(ID, 1)), fleet.published);
    }

    @Test
    void unchangedHeartbeatsArePublishedOnce() {
        registry.heartbeat(ReplicaRecords.ready(ID, 1), answers::add);
        loop.advance(1_200);
        registry.heartbeat(ReplicaRecords.ready(ID, 2), answers::add);
        assertEquals(1, fleet.published.size());
        assertEquals(2, answers.size());
        assertEquals(loop.nowMs(), fleet.lastHeartbeatMs(ID));
    }

    @Test
    void lateHeartbeatIsAcknowledgedAndChangesNothing() {
        registry.heartbeat(ReplicaRecords.ready(ID, 7), answers::add);
        loop.advance(1_200);
        registry.heartbeat(ReplicaRecords.cold(ID, 6, 900), answers::add);
        assertEquals(1, fleet.published.size());
        assertEquals(ReplicaRecords.ready(ID, 7), fleet.findReplica(ID).orElseThrow());
        assertEquals(loop.nowMs() - 1_200, fleet.lastHeartbeatMs(ID));
        assertEquals(List.of(Acknowledgement.CONFIRMED, Acknowledgement.CONFIRMED), answers);
    }

    @Test
    void lateHeartbeatIsRecognisedByTheLastCallSequence() {
        registry.heartbeat(ReplicaRecords.ready(ID, 1), answers::add);
        registry.heartbeat(ReplicaRecords.ready(ID, 9), answers::add);
        loop.advance(100);
        registry.heartbeat(ReplicaRecords.ready(ID, 5), answers::add);
        assertEquals(loop.nowMs() - 100, fleet.lastHeartbeatMs(ID));
        registry.heartbeat(ReplicaRecords.cold(ID, 6, 900), answers::add);
        assertEquals(1, fleet.published.size(), "older than call 9");
    }

    @Test
    void replicaIsPublishedOnceMoreWhenItsWarmUpEnds() {
        registry.heartbeat(ReplicaRecords.cold(ID, 1, 4_000), answers::add);
        registry.heartbeat(ReplicaRecords.cold(ID, 2, 2_800), answers::add);
        registry.heartbeat(ReplicaRecords.cold(ID, 3, 0), answers::add);
        assertEquals(2, fleet.published.size());
        assertEquals(0, fleet.findReplica(ID).orElseThrow().warmUpRemainingMs());
    }

    @Test
    void lapsedReplicaComesBackWithItsNextHeartbeat() {
        registry.heartbeat(ReplicaRecords.ready(ID, 1), answers::add);
        fleet.learn(ReplicaRecords.ready(ID, 1).withLapsed(true));
        registry.heartbeat(ReplicaRecords.ready(ID, 2), answers::add);
        assertFalse(fleet.findReplica(ID).orElseThrow().lapsed());
        assertEquals(2, fleet.published.size());
    }

    @Test
    void aNewInstanceAtAnAddressLapsesTheEarlierOneUntilItsNextHeartbeat() {
        registry.heartbeat(ReplicaRecords.ready("i-old", 5), answers::add);
        registry.heartbeat(ReplicaRecords.ready("i-new", 1), answers::add);
        assertTrue(fleet.findReplica("i-old").orElseThrow().lapsed());
        assertFalse(fleet.findReplica("i-new").orElseThrow().lapsed());
        registry.heartbeat(ReplicaRecords.ready("i-old", 6), answers::add);
        assertFalse(fleet.findReplica("i-old").orElseThrow().lapsed());
        assertFalse(fleet.findReplica("i-new").orElseThrow().lapsed());
    }

    @Test
    void drainingIsAcknowledgedOnlyOnceAnotherControllerConfirms() {
        registry.heartbeat(ReplicaRecords.draining(ID, 4), answers::add);
        loop.advance(ReplicaRegistry.CONFIRMATION_TIMEOUT_MS - 1);
        assertEquals(List.of(), answers);
        fleet.confirmAll();
        assertEquals(List.of(Acknowledgement.CONFIRMED), answers);
        loop.advance(CONTACT_MS);
        assertEquals(1, answers.size(), "one answer a call");
    }

    @Test
    void drainingWithoutConfirmationSendsTheReplicaToAnotherController() {
        registry.heartbeat(ReplicaRecords.draining(ID, 4), answers::add);
        loop.advance(ReplicaRegistry.CONFIRMATION_TIMEOUT_MS);
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED), answers);
        assertEquals(
                ReplicaState.DRAINING, fleet.findReplica(ID).orElseThrow().state(), "told to the fleet all the same");
        fleet.confirmAll();
        assertEquals(1, answers.size(), "one answer a call");
    }

    @Test
    void confirmedDrainIsAcknowledgedAtOnceWhenItIsRepeated() {
        registry.heartbeat(ReplicaRecords.draining(ID, 4), answers::add);
        fleet.confirmAll();
        registry.heartbeat(ReplicaRecords.draining(ID, 5), answers::add);
        assertEquals(List.of(Acknowledgement.CONFIRMED, Acknowledgement.CONFIRMED), answers);
        assertEquals(1, fleet.published.size());
    }

    @Test
    void unconfirmedDrainIsPublishedAgainWhenItIsRepeated() {
        registry.heartbeat(ReplicaRecords.draining(ID, 4), answers::add);
        loop.advance(ReplicaRegistry.CONFIRMATION_TIMEOUT_MS);
        registry.heartbeat(ReplicaRecords.draining(ID, 5), answers::add);
        assertEquals(2, fleet.published.size());
        fleet.confirmAll();
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED, Acknowledgement.CONFIRMED), answers);
    }

    @Test
    void drainLearntFromAnotherProcessStillNeedsAConfirmation() {
        fleet.learn(ReplicaRecords.draining(ID, 4));
        registry.heartbeat(ReplicaRecords.draining(ID, 5), answers::add);
        assertEquals(List.of(), answers);
        fleet.confirmAll();
        assertEquals(List.of(Acknowledgement.CONFIRMED), answers);
    }

    @Test
    void aRemovalIsNeverReverted() {
        registry.heartbeat(ReplicaRecords.draining(ID, 4), answers::add);
        fleet.confirmAll();
        registry.heartbeat(ReplicaRecords.ready(ID, 5), answers::add);
        registry.heartbeat(ReplicaRecords.ready(ID, 3), answers::add);
        assertEquals(ReplicaState.DRAINING, fleet.findReplica(ID).orElseThrow().state());
        assertEquals(3, answers.size());
    }

    @Test
    void aDrainInALateHeartbeatCounts() {
        registry.heartbeat(ReplicaRecords.ready(ID, 6), answers::add);
        registry.heartbeat(ReplicaRecords.draining(ID, 5), answers::add);
        assertEquals(ReplicaState.DRAINING, fleet.findReplica(ID).orElseThrow().state());
        assertEquals(1, answers.size());
        fleet.confirmAll();
        assertEquals(2, answers.size());
    }

    @Test
    void deregistrationNeedsAConfirmationOfItsOwn() {
        registry.heartbeat(ReplicaRecords.draining(ID, 4), answers::add);
        fleet.confirmAll();
        registry.deregister(ID, answers::add);
        assertEquals(1, answers.size());
        fleet.confirmAll();
        assertEquals(2, answers.size());
        assertEquals(ReplicaState.GONE, fleet.findReplica(ID).orElseThrow().state());
        registry.deregister(ID, answers::add);
        assertEquals(3, answers.size(), "said again: known and confirmed");
    }

    @Test
    void deregistrationOfAnUnknownInstanceLeavesATombstoneThatAnyRecordMergesWith() {
        registry.deregister(ID, answers::add);
        fleet.confirmAll();
        assertEquals(List.of(Acknowledgement.CONFIRMED), answers);
        ReplicaRecord real = ReplicaRecords.ready(ID, 0);
        ReplicaRecord joined = ReplicaRecord.merge(fleet.findReplica(ID).orElseThrow(), real);
        assertEquals(real.withState(ReplicaState.GONE), joined);
        assertEquals(joined, ReplicaRecord.merge(real, fleet.findReplica(ID).orElseThrow()));
    }

    /** Lets time pass with housekeeping going on. */
    private void silence(double milliseconds) {
        for (double passed = 0; passed < milliseconds; passed += Housekeeping.PERIOD_MS) {
            loop.advance(Housekeeping.PERIOD_MS);
            registry.onTick();
        }
    }

    /** Lets time pass while other controllers are heard, but too few for a quorum. */
    private void beInAMinority(double milliseconds) {
        for (double passed = 0; passed < milliseconds; passed += Housekeeping.PERIOD_MS) {
            silence(Housekeeping.PERIOD_MS);
            contact.onMessage(loop.nowMs());
        }
    }

    private Acknowledgement drainUnconfirmed(long callSequence) {
        registry.heartbeat(ReplicaRecords.draining(ID, callSequence), answers::add);
        loop.advance(ReplicaRegistry.CONFIRMATION_TIMEOUT_MS);
        return answers.get(answers.size() - 1);
    }

    @Test
    void theOnlyControllerThereEverWasAcknowledgesByItself() {
        silence(CONTACT_MS);
        contact.onQuorumContact(loop.nowMs());
        registry.heartbeat(ReplicaRecords.draining(ID, 4), answers::add);
        assertEquals(List.of(), answers, "another one may still appear");
        loop.advance(ReplicaRegistry.CONFIRMATION_TIMEOUT_MS);
        assertEquals(List.of(Acknowledgement.CONFIRMED), answers);
    }

    @Test
    void aControllerThatJustStartedDoesNot() {
        assertEquals(Acknowledgement.NOT_CONFIRMED, drainUnconfirmed(4));
        assertEquals(Acknowledgement.NOT_CONFIRMED, drainUnconfirmed(5));
    }

    @Test
    void aControllerThatJustLostContactDoesNot() {
        silence(60_000);
        contact.onMessage(loop.nowMs());
        assertEquals(Acknowledgement.NOT_CONFIRMED, drainUnconfirmed(4));
        assertEquals(Acknowledgement.NOT_CONFIRMED, drainUnconfirmed(5));
    }

    @Test
    void aControllerWithoutContactRedirectsOnceAndThenAcknowledgesByItself() {
        contact.onMessage(loop.nowMs());
        silence(CONTACT_MS);
        assertEquals(Acknowledgement.NOT_CONFIRMED, drainUnconfirmed(4), "others may reach more routers");
        assertEquals(Acknowledgement.CONFIRMED, drainUnconfirmed(5), "it has come back");
        assertEquals(1, counters.removalsAcknowledgedAlone());
    }

    @Test
    void aControllerThatWasPausedDoesNotCountAsTheOnlyOne() {
        contact.onMessage(loop.nowMs());
        registry.heartbeat(ReplicaRecords.draining(ID, 4), answers::add);
        loop.advance(ReplicaRegistry.CONFIRMATION_TIMEOUT_MS);
        registry.heartbeat(ReplicaRecords.draining(ID, 5), answers::add);
        loop.pause(60_000);
        loop.advance(0);
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED, Acknowledgement.NOT_CONFIRMED), answers);
    }

    @Test
    void aPartitionedControllerRecordsAHeartbeatAndRedirectsTheReplicaOnce() {
        contact.onQuorumContact(loop.nowMs());
        registry.heartbeat(ReplicaRecords.ready(ID, 1), answers::add);
        silence(ReplicaRegistry.PARTITIONED_AFTER_MS);
        registry.heartbeat(ReplicaRecords.ready(ID, 2), answers::add);
        assertEquals(loop.nowMs(), fleet.lastHeartbeatMs(ID));
        registry.heartbeat(ReplicaRecords.ready(ID, 3), answers::add);
        contact.onQuorumContact(loop.nowMs());
        registry.heartbeat(ReplicaRecords.ready(ID, 4), answers::add);
        silence(ReplicaRegistry.PARTITIONED_AFTER_MS);
        registry.heartbeat(ReplicaRecords.ready(ID, 5), answers::add);
        assertEquals(
                List.of(
                        Acknowledgement.CONFIRMED,
                        Acknowledgement.NOT_CONFIRMED,
                        Acknowledgement.CONFIRMED,
                        Acknowledgement.CONFIRMED,
                        Acknowledgement.NOT_CONFIRMED),
                answers);
    }

    @Test
    void aControllerWithoutAQuorumRedirectsADrainAtOnceThoughAnotherOneHasIt() {
        contact.onQuorumContact(loop.nowMs());
        beInAMinority(ReplicaRegistry.PARTITIONED_AFTER_MS);
        registry.heartbeat(ReplicaRecords.draining(ID, 4), answers::add);
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED), answers);
        assertEquals(
                ReplicaState.DRAINING, fleet.findReplica(ID).orElseThrow().state(), "told to the fleet all the same");
        fleet.confirmAll();
        registry.heartbeat(ReplicaRecords.draining(ID, 5), answers::add);
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED, Acknowledgement.CONFIRMED), answers, "it has come back");
    }

    @Test
    void aReplicaThatCallsAgainIsConfirmedByAnotherControllerIfThereIsContact() {
        contact.onQuorumContact(loop.nowMs());
        beInAMinority(CONTACT_MS);
        registry.heartbeat(ReplicaRecords.draining(ID, 4), answers::add);
        registry.heartbeat(ReplicaRecords.draining(ID, 5), answers::add);
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED), answers);
        loop.advance(ReplicaRegistry.CONFIRMATION_TIMEOUT_MS);
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED, Acknowledgement.NOT_CONFIRMED), answers);
        assertEquals(0, counters.removalsAcknowledgedAlone());
    }

    @Test
    void aReplicaRedirectedWhileReadyIsRedirectedWithItsDrainAndDeregistrationAgain() {
        contact.onMessage(loop.nowMs());
        silence(CONTACT_MS);
        registry.heartbeat(ReplicaRecords.ready(ID, 1), answers::add);
        registry.heartbeat(ReplicaRecords.ready(ID, 2), answers::add);
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED, Acknowledgement.CONFIRMED), answers);
        answers.clear();
        assertEquals(Acknowledgement.NOT_CONFIRMED, drainUnconfirmed(3), "others may reach more routers");
        assertEquals(Acknowledgement.CONFIRMED, drainUnconfirmed(4));
        answers.clear();
        registry.deregister(ID, answers::add);
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED), answers);
        registry.deregister(ID, answers::add);
        loop.advance(ReplicaRegistry.CONFIRMATION_TIMEOUT_MS);
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED, Acknowledgement.CONFIRMED), answers);
    }

    @Test
    void aControllerThatStartsPartitionedRedirectsFirst() {
        silence(CONTACT_MS);
        assertEquals(Acknowledgement.NOT_CONFIRMED, drainUnconfirmed(4));
        assertEquals(Acknowledgement.CONFIRMED, drainUnconfirmed(5));
    }

    @Test
    void aReplicaThatDeregistersFirstIsConfirmedLikeOneThatDrains() {
        contact.onQuorumContact(loop.nowMs());
        registry.heartbeat(ReplicaRecords.ready(ID, 1), answers::add);
        registry.deregister(ID, answers::add);
        assertEquals(1, answers.size(), "not before another controller holds it");
        fleet.confirmAll();
        assertEquals(List.of(Acknowledgement.CONFIRMED, Acknowledgement.CONFIRMED), answers);
        registry.heartbeat(ReplicaRecords.ready(ID, 2), answers::add);
        assertEquals(
                ReplicaState.GONE, fleet.findReplica(ID).orElseThrow().state(), "though it still serves and says so");
    }

    @Test
    void aForgottenInstanceStartsAfresh() {
        registry.heartbeat(ReplicaRecords.ready(ID, 9), answers::add);
        fleet.forget(ID);
        registry.onTick();
        registry.heartbeat(ReplicaRecords.ready(ID, 2), answers::add);
        assertTrue(fleet.published.contains(ReplicaRecords.ready(ID, 2)));
    }
}
