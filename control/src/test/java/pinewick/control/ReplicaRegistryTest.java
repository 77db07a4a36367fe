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
        registry.heartbeat(Replicas.ready(ID, 1), answers::add);
        assertEquals(List.of(Acknowledgement.HELD), answers);
        assertEquals(List.of(Replicas.ready(ID, 1)), fleet.published);
    }

    @Test
    void plainHeartbeatsOnlyProveLife() {
        registry.heartbeat(Replicas.ready(ID, 1), answers::add);
        loop.advance(1_200);
        registry.heartbeat(Replicas.ready(ID, 2), answers::add);
        assertEquals(1, fleet.published.size());
        assertEquals(2, answers.size());
        assertEquals(loop.nowMs(), fleet.lastHeardMs(ID));
    }

    @Test
    void lateHeartbeatIsAcknowledgedAndChangesNothing() {
        registry.heartbeat(Replicas.ready(ID, 7), answers::add);
        loop.advance(1_200);
        registry.heartbeat(Replicas.cold(ID, 6, 900), answers::add);
        assertEquals(1, fleet.published.size());
        assertEquals(Replicas.ready(ID, 7), fleet.replica(ID));
        assertEquals(loop.nowMs() - 1_200, fleet.lastHeardMs(ID));
        assertEquals(List.of(Acknowledgement.HELD, Acknowledgement.HELD), answers);
    }

    @Test
    void lateHeartbeatAfterPlainOnesIsKnownByTheLastCallHeard() {
        registry.heartbeat(Replicas.ready(ID, 1), answers::add);
        registry.heartbeat(Replicas.ready(ID, 9), answers::add);
        loop.advance(100);
        registry.heartbeat(Replicas.ready(ID, 5), answers::add);
        assertEquals(loop.nowMs() - 100, fleet.lastHeardMs(ID));
        registry.heartbeat(Replicas.cold(ID, 6, 900), answers::add);
        assertEquals(1, fleet.published.size(), "older than call 9");
    }

    @Test
    void coldReplicaIsPublishedOnceMoreWhenItIsWarm() {
        registry.heartbeat(Replicas.cold(ID, 1, 4_000), answers::add);
        registry.heartbeat(Replicas.cold(ID, 2, 2_800), answers::add);
        registry.heartbeat(Replicas.cold(ID, 3, 0), answers::add);
        assertEquals(2, fleet.published.size());
        assertEquals(0, fleet.replica(ID).coldRemainingMs());
    }

    @Test
    void lapsedReplicaComesBackWithItsNextHeartbeat() {
        registry.heartbeat(Replicas.ready(ID, 1), answers::add);
        fleet.learn(Replicas.ready(ID, 1).withLapsed(true));
        registry.heartbeat(Replicas.ready(ID, 2), answers::add);
        assertFalse(fleet.replica(ID).lapsed());
        assertEquals(2, fleet.published.size());
    }

    @Test
    void aNewInstanceAtAnAddressEndsTheOneBeforeUntilThatIsHeardAgain() {
        registry.heartbeat(Replicas.ready("i-old", 5), answers::add);
        registry.heartbeat(Replicas.ready("i-new", 1), answers::add);
        assertTrue(fleet.replica("i-old").lapsed());
        assertFalse(fleet.replica("i-new").lapsed());
        registry.heartbeat(Replicas.ready("i-old", 6), answers::add);
        assertFalse(fleet.replica("i-old").lapsed());
        assertFalse(fleet.replica("i-new").lapsed());
    }

    @Test
    void drainingIsAcknowledgedOnlyOnceAnotherControllerHoldsIt() {
        registry.heartbeat(Replicas.draining(ID, 4), answers::add);
        loop.advance(ReplicaRegistry.CONFIRMATION_MS - 1);
        assertEquals(List.of(), answers);
        fleet.confirmAll();
        assertEquals(List.of(Acknowledgement.HELD), answers);
        loop.advance(CONTACT_MS);
        assertEquals(1, answers.size(), "one answer a call");
    }

    @Test
    void drainingWithoutConfirmationSendsTheReplicaToAnotherController() {
        registry.heartbeat(Replicas.draining(ID, 4), answers::add);
        loop.advance(ReplicaRegistry.CONFIRMATION_MS);
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED), answers);
        assertEquals(ReplicaState.DRAINING, fleet.replica(ID).state(), "told to the fleet all the same");
        fleet.confirmAll();
        assertEquals(1, answers.size(), "one answer a call");
    }

    @Test
    void confirmedDrainIsAcknowledgedAtOnceWhenItIsSaidAgain() {
        registry.heartbeat(Replicas.draining(ID, 4), answers::add);
        fleet.confirmAll();
        registry.heartbeat(Replicas.draining(ID, 5), answers::add);
        assertEquals(List.of(Acknowledgement.HELD, Acknowledgement.HELD), answers);
        assertEquals(1, fleet.published.size());
    }

    @Test
    void unconfirmedDrainIsPublishedAgainWhenItIsSaidAgain() {
        registry.heartbeat(Replicas.draining(ID, 4), answers::add);
        loop.advance(ReplicaRegistry.CONFIRMATION_MS);
        registry.heartbeat(Replicas.draining(ID, 5), answers::add);
        assertEquals(2, fleet.published.size());
        fleet.confirmAll();
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED, Acknowledgement.HELD), answers);
    }

    @Test
    void drainLearntFromAnotherProcessStillNeedsAConfirmation() {
        fleet.learn(Replicas.draining(ID, 4));
        registry.heartbeat(Replicas.draining(ID, 5), answers::add);
        assertEquals(List.of(), answers);
        fleet.confirmAll();
        assertEquals(List.of(Acknowledgement.HELD), answers);
    }

    @Test
    void anAnnouncedEndIsNeverUnlearnt() {
        registry.heartbeat(Replicas.draining(ID, 4), answers::add);
        fleet.confirmAll();
        registry.heartbeat(Replicas.ready(ID, 5), answers::add);
        registry.heartbeat(Replicas.ready(ID, 3), answers::add);
        assertEquals(ReplicaState.DRAINING, fleet.replica(ID).state());
        assertEquals(3, answers.size());
    }

    @Test
    void aLateDrainIsTakenBecauseItIsAnEnd() {
        registry.heartbeat(Replicas.ready(ID, 6), answers::add);
        registry.heartbeat(Replicas.draining(ID, 5), answers::add);
        assertEquals(ReplicaState.DRAINING, fleet.replica(ID).state());
        assertEquals(1, answers.size());
        fleet.confirmAll();
        assertEquals(2, answers.size());
    }

    @Test
    void deregistrationNeedsAConfirmationOfItsOwn() {
        registry.heartbeat(Replicas.draining(ID, 4), answers::add);
        fleet.confirmAll();
        registry.deregister(ID, answers::add);
        assertEquals(1, answers.size());
        fleet.confirmAll();
        assertEquals(2, answers.size());
        assertEquals(ReplicaState.GONE, fleet.replica(ID).state());
        registry.deregister(ID, answers::add);
        assertEquals(3, answers.size(), "said again: known and confirmed");
    }

    @Test
    void deregistrationOfAnUnknownInstanceLeavesATraceThatAnyRecordMergesWith() {
        registry.deregister(ID, answers::add);
        fleet.confirmAll();
        assertEquals(List.of(Acknowledgement.HELD), answers);
        ReplicaRecord real = Replicas.ready(ID, 0);
        ReplicaRecord joined = ReplicaRecord.merge(fleet.replica(ID), real);
        assertEquals(real.withState(ReplicaState.GONE), joined);
        assertEquals(joined, ReplicaRecord.merge(real, fleet.replica(ID)));
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
            contact.heard(loop.nowMs());
        }
    }

    private Acknowledgement drainUnconfirmed(long callSequence) {
        registry.heartbeat(Replicas.draining(ID, callSequence), answers::add);
        loop.advance(ReplicaRegistry.CONFIRMATION_MS);
        return answers.get(answers.size() - 1);
    }

    @Test
    void theOnlyControllerThereEverWasAcknowledgesByItself() {
        silence(CONTACT_MS);
        contact.quorumConfirmed(loop.nowMs());
        registry.heartbeat(Replicas.draining(ID, 4), answers::add);
        assertEquals(List.of(), answers, "another one may still appear");
        loop.advance(ReplicaRegistry.CONFIRMATION_MS);
        assertEquals(List.of(Acknowledgement.HELD), answers);
    }

    @Test
    void aControllerThatStartedJustNowDoesNot() {
        assertEquals(Acknowledgement.NOT_CONFIRMED, drainUnconfirmed(4));
        assertEquals(Acknowledgement.NOT_CONFIRMED, drainUnconfirmed(5));
    }

    @Test
    void aControllerThatLostTheOthersJustNowDoesNot() {
        silence(60_000);
        contact.heard(loop.nowMs());
        assertEquals(Acknowledgement.NOT_CONFIRMED, drainUnconfirmed(4));
        assertEquals(Acknowledgement.NOT_CONFIRMED, drainUnconfirmed(5));
    }

    @Test
    void aControllerThatLostTheOthersSendsAReplicaOnOnceAndThenAcknowledgesByItself() {
        contact.heard(loop.nowMs());
        silence(CONTACT_MS);
        assertEquals(Acknowledgement.NOT_CONFIRMED, drainUnconfirmed(4), "others may reach more routers");
        assertEquals(Acknowledgement.HELD, drainUnconfirmed(5), "it has come back");
        assertEquals(1, counters.endsAcknowledgedAlone());
    }

    @Test
    void aControllerThatWasPausedDoesNotTakeItselfForTheOnlyOne() {
        contact.heard(loop.nowMs());
        registry.heartbeat(Replicas.draining(ID, 4), answers::add);
        loop.advance(ReplicaRegistry.CONFIRMATION_MS);
        registry.heartbeat(Replicas.draining(ID, 5), answers::add);
        loop.pause(60_000);
        loop.advance(0);
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED, Acknowledgement.NOT_CONFIRMED), answers);
    }

    @Test
    void aCutOffControllerNotesAHeartbeatAndSendsTheReplicaOnOnce() {
        contact.quorumConfirmed(loop.nowMs());
        registry.heartbeat(Replicas.ready(ID, 1), answers::add);
        silence(ReplicaRegistry.CUT_OFF_MS);
        registry.heartbeat(Replicas.ready(ID, 2), answers::add);
        assertEquals(loop.nowMs(), fleet.lastHeardMs(ID));
        registry.heartbeat(Replicas.ready(ID, 3), answers::add);
        contact.quorumConfirmed(loop.nowMs());
        registry.heartbeat(Replicas.ready(ID, 4), answers::add);
        silence(ReplicaRegistry.CUT_OFF_MS);
        registry.heartbeat(Replicas.ready(ID, 5), answers::add);
        assertEquals(
                List.of(
                        Acknowledgement.HELD,
                        Acknowledgement.NOT_CONFIRMED,
                        Acknowledgement.HELD,
                        Acknowledgement.HELD,
                        Acknowledgement.NOT_CONFIRMED),
                answers);
    }

    @Test
    void aControllerWithoutAQuorumSendsADrainOnAtOnceThoughAnotherOneHoldsIt() {
        contact.quorumConfirmed(loop.nowMs());
        beInAMinority(ReplicaRegistry.CUT_OFF_MS);
        registry.heartbeat(Replicas.draining(ID, 4), answers::add);
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED), answers);
        assertEquals(ReplicaState.DRAINING, fleet.replica(ID).state(), "told to the fleet all the same");
        fleet.confirmAll();
        registry.heartbeat(Replicas.draining(ID, 5), answers::add);
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED, Acknowledgement.HELD), answers, "it has come back");
    }

    @Test
    void aReplicaThatComesBackIsStillConfirmedByAnotherControllerIfOneIsHeard() {
        contact.quorumConfirmed(loop.nowMs());
        beInAMinority(CONTACT_MS);
        registry.heartbeat(Replicas.draining(ID, 4), answers::add);
        registry.heartbeat(Replicas.draining(ID, 5), answers::add);
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED), answers);
        loop.advance(ReplicaRegistry.CONFIRMATION_MS);
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED, Acknowledgement.NOT_CONFIRMED), answers);
        assertEquals(0, counters.endsAcknowledgedAlone());
    }

    @Test
    void aReplicaThatWasSentOnWhileReadyIsSentOnWithItsDrainAndItsDeregistrationAgain() {
        contact.heard(loop.nowMs());
        silence(CONTACT_MS);
        registry.heartbeat(Replicas.ready(ID, 1), answers::add);
        registry.heartbeat(Replicas.ready(ID, 2), answers::add);
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED, Acknowledgement.HELD), answers);
        answers.clear();
        assertEquals(Acknowledgement.NOT_CONFIRMED, drainUnconfirmed(3), "others may reach more routers");
        assertEquals(Acknowledgement.HELD, drainUnconfirmed(4));
        answers.clear();
        registry.deregister(ID, answers::add);
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED), answers);
        registry.deregister(ID, answers::add);
        loop.advance(ReplicaRegistry.CONFIRMATION_MS);
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED, Acknowledgement.HELD), answers);
    }

    @Test
    void aControllerThatStartsCutOffSendsOnFirst() {
        silence(CONTACT_MS);
        assertEquals(Acknowledgement.NOT_CONFIRMED, drainUnconfirmed(4));
        assertEquals(Acknowledgement.HELD, drainUnconfirmed(5));
    }

    @Test
    void aReplicaThatDeregistersFirstIsConfirmedLikeOneThatDrains() {
        contact.quorumConfirmed(loop.nowMs());
        registry.heartbeat(Replicas.ready(ID, 1), answers::add);
        registry.deregister(ID, answers::add);
        assertEquals(1, answers.size(), "not before another controller holds it");
        fleet.confirmAll();
        assertEquals(List.of(Acknowledgement.HELD, Acknowledgement.HELD), answers);
        registry.heartbeat(Replicas.ready(ID, 2), answers::add);
        assertEquals(ReplicaState.GONE, fleet.replica(ID).state(), "though it still serves and says so");
    }

    @Test
    void whatIsForgottenByTheFleetStartsAfresh() {
        registry.heartbeat(Replicas.ready(ID, 9), answers::add);
        fleet.forget(ID);
        registry.onTick();
        registry.heartbeat(Replicas.ready(ID, 2), answers::add);
        assertTrue(fleet.published.contains(Replicas.ready(ID, 2)));
    }
}
