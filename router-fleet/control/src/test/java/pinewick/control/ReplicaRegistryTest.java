package pinewick.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;

/** The effect of a replica's heartbeats and deregistrations, and when they are acknowledged. */
class ReplicaRegistryTest {
    private static final double CONTACT_MS = 3_000;
    private static final String ID = "i-7f3a91c2";

    private final ManualLoop loop = new ManualLoop(10_000);
    private final FakeFleet fleet = new FakeFleet(loop::nowMs);
    private final RegistryCounters counters = new RegistryCounters();
    private final ControllerContact contact = new ControllerContact(loop.nowMs());
    private final ReplicaRegistry registry = new ReplicaRegistry(fleet, loop, contact, CONTACT_MS, counters);
    private final List<Acknowledgement> acknowledgements = new ArrayList<>();

    @Test
    void publishesAndAcknowledgesANewInstanceAtOnce() {
        registry.heartbeat(ReplicaRecords.ready(ID, 1), acknowledgements::add);
        assertEquals(List.of(Acknowledgement.CONFIRMED), acknowledgements);
        assertEquals(List.of(ReplicaRecords.ready(ID, 1)), fleet.published);
    }

    @Test
    void publishesUnchangedHeartbeatsOnce() {
        registry.heartbeat(ReplicaRecords.ready(ID, 1), acknowledgements::add);
        loop.advance(1_200);
        registry.heartbeat(ReplicaRecords.ready(ID, 2), acknowledgements::add);
        assertEquals(1, fleet.published.size());
        assertEquals(2, acknowledgements.size());
        assertEquals(loop.nowMs(), fleet.lastHeartbeatMs(ID));
    }

    @Test
    void acknowledgesALateHeartbeatWithoutAChange() {
        registry.heartbeat(ReplicaRecords.ready(ID, 7), acknowledgements::add);
        loop.advance(1_200);
        registry.heartbeat(ReplicaRecords.warmingUp(ID, 6, 900), acknowledgements::add);
        assertEquals(1, fleet.published.size());
        assertEquals(ReplicaRecords.ready(ID, 7), fleet.findReplica(ID).orElseThrow());
        assertEquals(loop.nowMs() - 1_200, fleet.lastHeartbeatMs(ID));
        assertEquals(List.of(Acknowledgement.CONFIRMED, Acknowledgement.CONFIRMED), acknowledgements);
    }

    @Test
    void detectsALateHeartbeatByTheLastCallSequence() {
        registry.heartbeat(ReplicaRecords.ready(ID, 1), acknowledgements::add);
        registry.heartbeat(ReplicaRecords.ready(ID, 9), acknowledgements::add);
        loop.advance(100);
        registry.heartbeat(ReplicaRecords.ready(ID, 5), acknowledgements::add);
        assertEquals(loop.nowMs() - 100, fleet.lastHeartbeatMs(ID));
        registry.heartbeat(ReplicaRecords.warmingUp(ID, 6, 900), acknowledgements::add);
        assertEquals(1, fleet.published.size(), "older than call 9");
    }

    @Test
    void publishesAReplicaAgainWhenItsWarmUpEnds() {
        registry.heartbeat(ReplicaRecords.warmingUp(ID, 1, 4_000), acknowledgements::add);
        registry.heartbeat(ReplicaRecords.warmingUp(ID, 2, 2_800), acknowledgements::add);
        registry.heartbeat(ReplicaRecords.warmingUp(ID, 3, 0), acknowledgements::add);
        assertEquals(2, fleet.published.size());
        assertEquals(0, fleet.findReplica(ID).orElseThrow().warmUpRemainingMs());
    }

    @Test
    void restoresALapsedReplicaWithItsNextHeartbeat() {
        registry.heartbeat(ReplicaRecords.ready(ID, 1), acknowledgements::add);
        fleet.learn(ReplicaRecords.ready(ID, 1).withLapsed(true));
        registry.heartbeat(ReplicaRecords.ready(ID, 2), acknowledgements::add);
        assertFalse(fleet.findReplica(ID).orElseThrow().lapsed());
        assertEquals(2, fleet.published.size());
    }

    @Test
    void lapsesTheEarlierInstanceAtAnAddressUntilItsNextHeartbeat() {
        registry.heartbeat(ReplicaRecords.ready("i-old", 5), acknowledgements::add);
        registry.heartbeat(ReplicaRecords.ready("i-new", 1), acknowledgements::add);
        assertTrue(fleet.findReplica("i-old").orElseThrow().lapsed());
        assertFalse(fleet.findReplica("i-new").orElseThrow().lapsed());
        registry.heartbeat(ReplicaRecords.ready("i-old", 6), acknowledgements::add);
        assertFalse(fleet.findReplica("i-old").orElseThrow().lapsed());
        assertFalse(fleet.findReplica("i-new").orElseThrow().lapsed());
    }

    @Test
    void acknowledgesADrainOnlyOnceAnotherControllerConfirms() {
        registry.heartbeat(ReplicaRecords.draining(ID, 4), acknowledgements::add);
        loop.advance(ReplicaRegistry.CONFIRMATION_TIMEOUT_MS - 1);
        assertEquals(List.of(), acknowledgements);
        fleet.confirmAll();
        assertEquals(List.of(Acknowledgement.CONFIRMED), acknowledgements);
        loop.advance(CONTACT_MS);
        assertEquals(1, acknowledgements.size(), "one acknowledgement per call");
    }

    @Test
    void redirectsTheReplicaIfItsDrainIsNotConfirmed() {
        registry.heartbeat(ReplicaRecords.draining(ID, 4), acknowledgements::add);
        loop.advance(ReplicaRegistry.CONFIRMATION_TIMEOUT_MS);
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED), acknowledgements);
        assertEquals(
                ReplicaState.DRAINING, fleet.findReplica(ID).orElseThrow().state(), "published to the fleet anyway");
        fleet.confirmAll();
        assertEquals(1, acknowledgements.size(), "one acknowledgement per call");
    }

    @Test
    void acknowledgesARepeatedConfirmedDrainAtOnce() {
        registry.heartbeat(ReplicaRecords.draining(ID, 4), acknowledgements::add);
        fleet.confirmAll();
        registry.heartbeat(ReplicaRecords.draining(ID, 5), acknowledgements::add);
        assertEquals(List.of(Acknowledgement.CONFIRMED, Acknowledgement.CONFIRMED), acknowledgements);
        assertEquals(1, fleet.published.size());
    }

    @Test
    void publishesARepeatedUnconfirmedDrainAgain() {
        registry.heartbeat(ReplicaRecords.draining(ID, 4), acknowledgements::add);
        loop.advance(ReplicaRegistry.CONFIRMATION_TIMEOUT_MS);
        registry.heartbeat(ReplicaRecords.draining(ID, 5), acknowledgements::add);
        assertEquals(2, fleet.published.size());
        fleet.confirmAll();
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED, Acknowledgement.CONFIRMED), acknowledgements);
    }

    @Test
    void requiresAConfirmationOfADrainLearntFromAnotherProcess() {
        fleet.learn(ReplicaRecords.draining(ID, 4));
        registry.heartbeat(ReplicaRecords.draining(ID, 5), acknowledgements::add);
        assertEquals(List.of(), acknowledgements);
        fleet.confirmAll();
        assertEquals(List.of(Acknowledgement.CONFIRMED), acknowledgements);
    }

    @Test
    void neverRevertsARemoval() {
        registry.heartbeat(ReplicaRecords.draining(ID, 4), acknowledgements::add);
        fleet.confirmAll();
        registry.heartbeat(ReplicaRecords.ready(ID, 5), acknowledgements::add);
        registry.heartbeat(ReplicaRecords.ready(ID, 3), acknowledgements::add);
        assertEquals(ReplicaState.DRAINING, fleet.findReplica(ID).orElseThrow().state());
        assertEquals(3, acknowledgements.size());
    }

    @Test
    void appliesADrainInALateHeartbeat() {
        registry.heartbeat(ReplicaRecords.ready(ID, 6), acknowledgements::add);
        registry.heartbeat(ReplicaRecords.draining(ID, 5), acknowledgements::add);
        assertEquals(ReplicaState.DRAINING, fleet.findReplica(ID).orElseThrow().state());
        assertEquals(1, acknowledgements.size());
        fleet.confirmAll();
        assertEquals(2, acknowledgements.size());
    }

    @Test
    void requiresASeparateConfirmationOfTheDeregistration() {
        registry.heartbeat(ReplicaRecords.draining(ID, 4), acknowledgements::add);
        fleet.confirmAll();
        registry.deregister(ID, acknowledgements::add);
        assertEquals(1, acknowledgements.size());
        fleet.confirmAll();
        assertEquals(2, acknowledgements.size());
        assertEquals(ReplicaState.GONE, fleet.findReplica(ID).orElseThrow().state());
        registry.deregister(ID, acknowledgements::add);
        assertEquals(3, acknowledgements.size(), "repeated: already confirmed");
    }

    @Test
    void createsATombstoneForAnUnknownInstanceThatMergesWithAnyRecord() {
        registry.deregister(ID, acknowledgements::add);
        fleet.confirmAll();
        assertEquals(List.of(Acknowledgement.CONFIRMED), acknowledgements);
        ReplicaRecord liveRecord = ReplicaRecords.ready(ID, 0);
        ReplicaRecord merged = ReplicaRecord.merge(fleet.findReplica(ID).orElseThrow(), liveRecord);
        assertEquals(liveRecord.withState(ReplicaState.GONE), merged);
        assertEquals(
                merged, ReplicaRecord.merge(liveRecord, fleet.findReplica(ID).orElseThrow()));
    }

    /** Advances the time without contact to other controllers; housekeeping runs. */
    private void advanceWithoutContact(double milliseconds) {
        for (double elapsedMs = 0; elapsedMs < milliseconds; elapsedMs += Housekeeping.PERIOD_MS) {
            loop.advance(Housekeeping.PERIOD_MS);
            registry.onTick();
        }
    }

    /** Advances the time while messages arrive from other controllers, but from too few for a quorum. */
    private void advanceInMinority(double milliseconds) {
        for (double elapsedMs = 0; elapsedMs < milliseconds; elapsedMs += Housekeeping.PERIOD_MS) {
            advanceWithoutContact(Housekeeping.PERIOD_MS);
            contact.onMessage(loop.nowMs());
        }
    }

    private Acknowledgement drainUnconfirmed(long callSequence) {
        registry.heartbeat(ReplicaRecords.draining(ID, callSequence), acknowledgements::add);
        loop.advance(ReplicaRegistry.CONFIRMATION_TIMEOUT_MS);
        return acknowledgements.get(acknowledgements.size() - 1);
    }

    @Test
    void acknowledgesAloneIfThereWasNeverAnotherController() {
        advanceWithoutContact(CONTACT_MS);
        contact.onQuorumContact(loop.nowMs());
        registry.heartbeat(ReplicaRecords.draining(ID, 4), acknowledgements::add);
        assertEquals(List.of(), acknowledgements, "another controller may still appear");
        loop.advance(ReplicaRegistry.CONFIRMATION_TIMEOUT_MS);
        assertEquals(List.of(Acknowledgement.CONFIRMED), acknowledgements);
    }

    @Test
    void doesNotAcknowledgeAloneRightAfterStart() {
        assertEquals(Acknowledgement.NOT_CONFIRMED, drainUnconfirmed(4));
        assertEquals(Acknowledgement.NOT_CONFIRMED, drainUnconfirmed(5));
    }

    @Test
    void doesNotAcknowledgeAloneRightAfterLosingContact() {
        advanceWithoutContact(60_000);
        contact.onMessage(loop.nowMs());
        assertEquals(Acknowledgement.NOT_CONFIRMED, drainUnconfirmed(4));
        assertEquals(Acknowledgement.NOT_CONFIRMED, drainUnconfirmed(5));
    }

    @Test
    void redirectsOnceWithoutContactAndThenAcknowledgesAlone() {
        contact.onMessage(loop.nowMs());
        advanceWithoutContact(CONTACT_MS);
        assertEquals(Acknowledgement.NOT_CONFIRMED, drainUnconfirmed(4), "others may reach more routers");
        assertEquals(Acknowledgement.CONFIRMED, drainUnconfirmed(5), "the replica has called again");
        assertEquals(1, counters.removalsAcknowledgedAlone());
    }

    /** A copy on one disk is lost with that disk. */
    @Test
    void neverAcknowledgesAloneIfTheLossOfADiskIsTolerated() {
        fleet.durableWithoutOthers = false;
        contact.onMessage(loop.nowMs());
        advanceWithoutContact(CONTACT_MS);
        for (int callSequence = 4; callSequence < 12; callSequence++) {
            assertEquals(Acknowledgement.NOT_CONFIRMED, drainUnconfirmed(callSequence));
        }
        assertEquals(0, counters.removalsAcknowledgedAlone());
        fleet.confirmAll();
        registry.heartbeat(ReplicaRecords.draining(ID, 12), acknowledgements::add);
        assertEquals(Acknowledgement.CONFIRMED, acknowledgements.get(acknowledgements.size() - 1));
    }

    @Test
    void doesNotAcknowledgeAloneAfterAPause() {
        contact.onMessage(loop.nowMs());
        registry.heartbeat(ReplicaRecords.draining(ID, 4), acknowledgements::add);
        loop.advance(ReplicaRegistry.CONFIRMATION_TIMEOUT_MS);
        registry.heartbeat(ReplicaRecords.draining(ID, 5), acknowledgements::add);
        loop.pause(60_000);
        loop.advance(0);
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED, Acknowledgement.NOT_CONFIRMED), acknowledgements);
    }

    @Test
    void recordsAHeartbeatAndRedirectsTheReplicaOnceWhenPartitioned() {
        contact.onQuorumContact(loop.nowMs());
        registry.heartbeat(ReplicaRecords.ready(ID, 1), acknowledgements::add);
        advanceWithoutContact(ReplicaRegistry.PARTITIONED_AFTER_MS);
        registry.heartbeat(ReplicaRecords.ready(ID, 2), acknowledgements::add);
        assertEquals(loop.nowMs(), fleet.lastHeartbeatMs(ID));
        registry.heartbeat(ReplicaRecords.ready(ID, 3), acknowledgements::add);
        contact.onQuorumContact(loop.nowMs());
        registry.heartbeat(ReplicaRecords.ready(ID, 4), acknowledgements::add);
        advanceWithoutContact(ReplicaRegistry.PARTITIONED_AFTER_MS);
        registry.heartbeat(ReplicaRecords.ready(ID, 5), acknowledgements::add);
        assertEquals(
                List.of(
                        Acknowledgement.CONFIRMED,
                        Acknowledgement.NOT_CONFIRMED,
                        Acknowledgement.CONFIRMED,
                        Acknowledgement.CONFIRMED,
                        Acknowledgement.NOT_CONFIRMED),
                acknowledgements);
    }

    @Test
    void redirectsADrainAtOnceWithoutAQuorumEvenIfAnotherControllerHasIt() {
        contact.onQuorumContact(loop.nowMs());
        advanceInMinority(ReplicaRegistry.PARTITIONED_AFTER_MS);
        registry.heartbeat(ReplicaRecords.draining(ID, 4), acknowledgements::add);
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED), acknowledgements);
        assertEquals(
                ReplicaState.DRAINING, fleet.findReplica(ID).orElseThrow().state(), "published to the fleet anyway");
        fleet.confirmAll();
        registry.heartbeat(ReplicaRecords.draining(ID, 5), acknowledgements::add);
        assertEquals(
                List.of(Acknowledgement.NOT_CONFIRMED, Acknowledgement.CONFIRMED),
                acknowledgements,
                "the replica has called again");
    }

    @Test
    void waitsForAnotherControllerOnARepeatedDrainIfThereIsContact() {
        contact.onQuorumContact(loop.nowMs());
        advanceInMinority(CONTACT_MS);
        registry.heartbeat(ReplicaRecords.draining(ID, 4), acknowledgements::add);
        registry.heartbeat(ReplicaRecords.draining(ID, 5), acknowledgements::add);
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED), acknowledgements);
        loop.advance(ReplicaRegistry.CONFIRMATION_TIMEOUT_MS);
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED, Acknowledgement.NOT_CONFIRMED), acknowledgements);
        assertEquals(0, counters.removalsAcknowledgedAlone());
    }

    @Test
    void redirectsDrainAndDeregistrationAlsoAfterRedirectingTheReadyReplica() {
        contact.onMessage(loop.nowMs());
        advanceWithoutContact(CONTACT_MS);
        registry.heartbeat(ReplicaRecords.ready(ID, 1), acknowledgements::add);
        registry.heartbeat(ReplicaRecords.ready(ID, 2), acknowledgements::add);
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED, Acknowledgement.CONFIRMED), acknowledgements);
        acknowledgements.clear();
        assertEquals(Acknowledgement.NOT_CONFIRMED, drainUnconfirmed(3), "others may reach more routers");
        assertEquals(Acknowledgement.CONFIRMED, drainUnconfirmed(4));
        acknowledgements.clear();
        registry.deregister(ID, acknowledgements::add);
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED), acknowledgements);
        registry.deregister(ID, acknowledgements::add);
        loop.advance(ReplicaRegistry.CONFIRMATION_TIMEOUT_MS);
        assertEquals(List.of(Acknowledgement.NOT_CONFIRMED, Acknowledgement.CONFIRMED), acknowledgements);
    }

    @Test
    void redirectsFirstWhenStartedPartitioned() {
        advanceWithoutContact(CONTACT_MS);
        assertEquals(Acknowledgement.NOT_CONFIRMED, drainUnconfirmed(4));
        assertEquals(Acknowledgement.CONFIRMED, drainUnconfirmed(5));
    }

    @Test
    void requiresAConfirmationOfADeregistrationWithoutADrain() {
        contact.onQuorumContact(loop.nowMs());
        registry.heartbeat(ReplicaRecords.ready(ID, 1), acknowledgements::add);
        registry.deregister(ID, acknowledgements::add);
        assertEquals(1, acknowledgements.size(), "not before another controller has stored it");
        fleet.confirmAll();
        assertEquals(List.of(Acknowledgement.CONFIRMED, Acknowledgement.CONFIRMED), acknowledgements);
        registry.heartbeat(ReplicaRecords.ready(ID, 2), acknowledgements::add);
        assertEquals(
                ReplicaState.GONE,
                fleet.findReplica(ID).orElseThrow().state(),
                "although it still reports that it serves");
    }

    @Test
    void treatsARemovedInstanceAsNew() {
        registry.heartbeat(ReplicaRecords.ready(ID, 9), acknowledgements::add);
        fleet.remove(ID);
        registry.onTick();
        registry.heartbeat(ReplicaRecords.ready(ID, 2), acknowledgements::add);
        assertTrue(fleet.published.contains(ReplicaRecords.ready(ID, 2)));
    }
}
