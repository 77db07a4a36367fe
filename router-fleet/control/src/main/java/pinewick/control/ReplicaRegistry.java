package pinewick.control;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.SocketAddress;
import pinewick.model.Stage;

/**
 * Processes the heartbeats and deregistrations of replicas. A heartbeat that changes nothing only shows that the
 * replica is alive; a changed record is published to the fleet. A removal (drain or deregistration) is acknowledged
 * only once f + 1 controllers, this one or not, have it on disk, f being the number of disks that may be lost at once:
 * after the acknowledgement no router may send the replica a request, even if all processes fail and a heartbeat that
 * the replica sent before arrives after their restart.
 *
 * <p>If too few controllers confirm in time, the replica is redirected: it gets a 503 and calls another controller.
 * A controller that has had no contact with a quorum for a while redirects at once: it may be partitioned from most
 * routers, even if it reaches some other controllers, and the replica may still reach a controller on the other side.
 * Such a controller acknowledges a removal only when the replica repeats it: after enough controllers have confirmed
 * it or, if no loss of a disk is tolerated and no message from any controller has arrived for {@code contact_ms}, on
 * its own, because no other controller can have received it then. The record is published at once in all of these
 * cases.
 *
 * <p>A controller without a quorum also redirects a ready replica once, but records its heartbeat.
 *
 * <p>Control loop only.
 */
final class ReplicaRegistry {
    /**
     * Time within which other controllers have to confirm a removal, milliseconds; a replica waits one second for
     * the response.
     */
    static final long CONFIRMATION_TIMEOUT_MS = 600;

    /**
     * After this long without contact with a quorum, replicas are redirected, milliseconds. Longer than an election.
     */
    static final double PARTITIONED_AFTER_MS = 1_500;

    /** Placeholder address of a replica that deregistered before this process knew anything else about it. */
    static final SocketAddress NO_ADDRESS = new SocketAddress("0.0.0.0", 1);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 5;
    private static final long NO_CALL_SEQUENCE = -1;

    private final FleetAccess fleet;
    private final TaskLoop loop;
    private final ControllerContact contact;
    private final double contactMs;
    private final RegistryCounters counters;
    private final Map<String, LocalState> localStates = new HashMap<>();

    /** State of an instance at this process only; not gossiped. */
    private static final class LocalState {
        private long lastCallSequence = NO_CALL_SEQUENCE;
        private ReplicaState confirmedState = ReplicaState.READY;
        private ReplicaState redirectedState = ReplicaState.READY;
        private boolean redirectedWhileReady;

        /** Whether the replica was redirected before when it requested this removal or a more final one. */
        boolean wasRedirectedWith(ReplicaState removal) {
            return redirectedState.compareTo(removal) >= 0;
        }

        void recordConfirmed(ReplicaState removal) {
            if (confirmedState.compareTo(removal) < 0) {
                confirmedState = removal;
            }
        }

        void recordRedirected(ReplicaState removal) {
            if (redirectedState.compareTo(removal) < 0) {
                redirectedState = removal;
            }
        }
    }

    /**
     * @param contact tracks the contact with the other controllers
     * @param contactMs after this long without a message from another controller, this process counts as the only
     *     one, milliseconds
     */
    ReplicaRegistry(
            FleetAccess fleet, TaskLoop loop, ControllerContact contact, double contactMs, RegistryCounters counters) {
        this.fleet = fleet;
        this.loop = loop;
        this.contact = contact;
        this.contactMs = contactMs;
        this.counters = counters;
    }

    /** Processes a heartbeat; {@code acknowledge} is called once, on the control loop. */
    void heartbeat(ReplicaRecord reported, Consumer<Acknowledgement> acknowledge) {
        LocalState localState = localStates.computeIfAbsent(reported.instanceId(), id -> new LocalState());
        Optional<ReplicaRecord> known = fleet.findReplica(reported.instanceId());
        boolean isLate = known.filter(record ->
                        reported.callSequence() < Math.max(localState.lastCallSequence, record.callSequence()))
                .isPresent();
        counters.countHeartbeat();
        if (isLate) {
            counters.countLateHeartbeat();
        } else {
            localState.lastCallSequence = reported.callSequence();
            fleet.recordHeartbeat(reported.instanceId(), reported.callSequence());
        }
        ReplicaRecord merged = isLate
                ? known.get()
                : known.map(record -> ReplicaRecord.merge(record, reported)).orElse(reported);
        if (reported.state() == ReplicaState.READY) {
            if (known.isEmpty()) {
                LOGGER.atInfo().log(
                        "replica registered: %s of service %s at %s: heartbeat %d, earlier state unknown",
                        reported.instanceId(), reported.service(), reported.address(), reported.callSequence());
                markPredecessorsLapsed(reported);
            }
            if (isChanged(known, merged)) {
                publish(merged);
            }
            acknowledge.accept(acknowledgeReady(localState));
            return;
        }
        ReplicaRecord removed = withRemoval(merged, reported.state());
        publishRemoval(removed, localState, isChanged(known, removed), acknowledge);
    }

    private static boolean isChanged(Optional<ReplicaRecord> known, ReplicaRecord next) {
        return known.map(record -> RecordChanges.isSignificant(record, next)).orElse(true);
    }

    private boolean isPartitioned() {
        return contact.sinceQuorumContactMs(loop.nowMs()) >= PARTITIONED_AFTER_MS;
    }

    private Acknowledgement acknowledgeReady(LocalState localState) {
        boolean isPartitioned = isPartitioned();
        boolean mustRedirect = isPartitioned && !localState.redirectedWhileReady;
        localState.redirectedWhileReady = isPartitioned;
        return mustRedirect ? Acknowledgement.NOT_CONFIRMED : Acknowledgement.CONFIRMED;
    }

    /**
     * Two processes cannot listen on one address, so an earlier instance at the address of a new one has ended. It
     * is marked as lapsed rather than gone, so that its next heartbeat reverts the mark if it is wrong.
     */
    private void markPredecessorsLapsed(ReplicaRecord newInstance) {
        List<ReplicaRecord> predecessors = fleet.replicas().stream()
                .filter(other -> other.address().equals(newInstance.address()))
                .filter(other -> !other.instanceId().equals(newInstance.instanceId()))
                .filter(other -> other.state() != ReplicaState.GONE && !other.lapsed())
                .toList();
        predecessors.forEach(predecessor -> publish(predecessor.withLapsed(true)));
    }

    /** A removal takes effect even if its heartbeat arrived out of order. */
    private static ReplicaRecord withRemoval(ReplicaRecord record, ReplicaState removal) {
        return record.state().compareTo(removal) >= 0 ? record : record.withState(removal);
    }

    /** Processes the deregistration of an instance; {@code acknowledge} is called once, on the control loop. */
    void deregister(String instanceId, Consumer<Acknowledgement> acknowledge) {
        LocalState localState = localStates.computeIfAbsent(instanceId, id -> new LocalState());
        Optional<ReplicaRecord> known = fleet.findReplica(instanceId);
        ReplicaRecord tombstone =
                known.map(record -> record.withState(ReplicaState.GONE)).orElseGet(() -> tombstoneOf(instanceId));
        boolean isChanged = known.filter(tombstone::equals).isEmpty();
        publishRemoval(tombstone, localState, isChanged, acknowledge);
    }

    /** Removes the state of instances without a replica record; to be called several times a second. */
    void onTick() {
        contact.sinceContactMs(loop.nowMs());
        localStates.keySet().removeIf(id -> fleet.findReplica(id).isEmpty());
    }

    private void publishRemoval(
            ReplicaRecord record, LocalState localState, boolean isChanged, Consumer<Acknowledgement> acknowledge) {
        if (!isChanged && localState.confirmedState.compareTo(record.state()) >= 0) {
            acknowledge.accept(Acknowledgement.CONFIRMED);
            return;
        }
        SingleAcknowledgement acknowledgement = new SingleAcknowledgement(acknowledge);
        counters.countPublished();
        if (isPartitioned() && !localState.wasRedirectedWith(record.state())) {
            fleet.publishUntilDurable(record, () -> localState.recordConfirmed(record.state()));
            redirect(record, localState, "no contact with a quorum", acknowledgement);
            return;
        }
        fleet.publishUntilDurable(record, () -> {
            localState.recordConfirmed(record.state());
            counters.countRemovalConfirmed();
            LOGGER.atInfo().log(
                    "removal confirmed, stored by enough controllers: replica %s, state %s",
                    record.instanceId(), record.state());
            acknowledgement.accept(Acknowledgement.CONFIRMED);
        });
        if (!acknowledgement.isGiven()) {
            loop.schedule(() -> onConfirmationTimeout(record, localState, acknowledgement), CONFIRMATION_TIMEOUT_MS);
        }
    }

    private void onConfirmationTimeout(
            ReplicaRecord record, LocalState localState, SingleAcknowledgement acknowledgement) {
        if (acknowledgement.isGiven()) {
            return;
        }
        boolean isAlone = contact.sinceContactMs(loop.nowMs()) >= contactMs;
        boolean wasRedirected = localState.wasRedirectedWith(record.state()) || !contact.hadContact();
        if (isAlone && wasRedirected && fleet.isDurableWithoutOthers(record)) {
            counters.countRemovalAcknowledgedAlone();
            acknowledgement.accept(Acknowledgement.CONFIRMED);
            return;
        }
        redirect(
                record,
                localState,
                "not stored by enough controllers within " + CONFIRMATION_TIMEOUT_MS + " ms",
                acknowledgement);
    }

    private void redirect(
            ReplicaRecord record, LocalState localState, String reason, SingleAcknowledgement acknowledgement) {
        localState.recordRedirected(record.state());
        counters.countRemovalUnconfirmed();
        LOGGER.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                "removal not confirmed: replica %s, state %s: %s (%d in total)",
                record.instanceId(), record.state(), reason, counters.removalsUnconfirmed());
        acknowledgement.accept(Acknowledgement.NOT_CONFIRMED);
    }

    private void publish(ReplicaRecord record) {
        counters.countPublished();
        fleet.publish(record);
    }

    /**
     * Creates the tombstone of an instance that this process does not know. Other processes may know it: when it is
     * merged with their record, its state takes precedence, and their values of all other fields are kept because of
     * its low call sequence.
     */
    private static ReplicaRecord tombstoneOf(String instanceId) {
        return new ReplicaRecord(
                instanceId,
                "",
                NO_ADDRESS,
                "",
                "",
                0,
                ReplicaState.GONE,
                0,
                Stage.NONE,
                List.of(),
                NO_CALL_SEQUENCE,
                false);
    }

    /** Forwards the first acknowledgement and ignores later ones. */
    private static final class SingleAcknowledgement implements Consumer<Acknowledgement> {
        private final Consumer<Acknowledgement> target;
        private boolean given;

        SingleAcknowledgement(Consumer<Acknowledgement> target) {
            this.target = target;
        }

        boolean isGiven() {
            return given;
        }

        @Override
        public void accept(Acknowledgement acknowledgement) {
            if (!given) {
                given = true;
                target.accept(acknowledgement);
            }
        }
    }
}
