package pinewick.control;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.SocketAddress;
import pinewick.model.Stage;

/**
 * Takes what replicas say of themselves. A heartbeat that brings nothing new only proves life; news is published to the
 * fleet. The announcement of an end is acknowledged only once another controller holds it, because from the
 * acknowledgement on no router may send the replica a request, whatever becomes of this process.
 *
 * <p>If no other controller confirms in time, the replica is told to call another one. So it is, at once, by a
 * controller that has had no contact with a quorum for a while: it may be cut off from most routers, even if some other
 * controllers share its side, and the replica may still reach those who are not. Only to a replica that comes back with
 * the same announcement does such a controller acknowledge it, by another one's confirmation or, if it has heard none
 * for the whole of {@code contact_ms}, by itself: nobody else has taken it then. What is published does not wait for
 * any of this.
 *
 * <p>In the same way a controller without a quorum sends a replica that is ready on to another one, once, though it
 * notes what it has heard.
 *
 * <p>Owned by the control loop.
 */
final class ReplicaRegistry {
    /** How long another controller has to confirm an announced end, milliseconds; a replica waits for one second. */
    static final long CONFIRMATION_MS = 600;

    /** Without a quorum for this long, longer than an election takes, replicas are sent on, milliseconds. */
    static final double CUT_OFF_MS = 1_500;

    /** Stands for the address of a replica that deregistered before anything else was known of it. */
    static final SocketAddress NO_ADDRESS = new SocketAddress("0.0.0.0", 1);

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int LOG_PAUSE_SECONDS = 5;
    private static final long BEFORE_ANY_CALL = -1;

    private final FleetAccess fleet;
    private final TaskLoop loop;
    private final ControllerContact contact;
    private final double contactMs;
    private final RegistryCounters counters;
    private final Map<String, Presence> presences = new HashMap<>();

    /** What this process alone knows of an instance. */
    private static final class Presence {
        private long lastCallSequence = BEFORE_ANY_CALL;
        private ReplicaState confirmed = ReplicaState.READY;
        private ReplicaState endSentOn = ReplicaState.READY;
        private boolean readySentOn;

        /** Whether it was sent on with this announcement, or with that of a later end, before. */
        boolean comesBackWith(ReplicaState end) {
            return endSentOn.compareTo(end) >= 0;
        }

        void noteConfirmed(ReplicaState end) {
            if (confirmed.compareTo(end) < 0) {
                confirmed = end;
            }
        }

        void noteSentOn(ReplicaState end) {
            if (endSentOn.compareTo(end) < 0) {
                endSentOn = end;
            }
        }
    }

    /**
     * @param contact tells whether other controllers are heard
     * @param contactMs after how long without any this process counts as the only one
     */
    ReplicaRegistry(
            FleetAccess fleet, TaskLoop loop, ControllerContact contact, double contactMs, RegistryCounters counters) {
        this.fleet = fleet;
        this.loop = loop;
        this.contact = contact;
        this.contactMs = contactMs;
        this.counters = counters;
    }

    /** Takes a heartbeat; {@code acknowledge} is called once, on the control loop. */
    void heartbeat(ReplicaRecord heard, Consumer<Acknowledgement> acknowledge) {
        Presence presence = presences.computeIfAbsent(heard.instanceId(), id -> new Presence());
        ReplicaRecord known = fleet.replica(heard.instanceId());
        boolean late =
                known != null && heard.callSequence() < Math.max(presence.lastCallSequence, known.callSequence());
        counters.countHeartbeat();
        if (late) {
            counters.countLateHeartbeat();
        } else {
            presence.lastCallSequence = heard.callSequence();
            fleet.heard(heard.instanceId(), heard.callSequence());
        }
        ReplicaRecord merged = late ? known : joined(known, heard);
        if (heard.state() == ReplicaState.READY) {
            if (known == null) {
                lapsePredecessors(heard);
            }
            if (known == null || RecordChanges.isNews(known, merged)) {
                publish(merged);
            }
            acknowledge.accept(mayBeBetterKnownElsewhere(presence));
            return;
        }
        ReplicaRecord ending = withEnd(merged, heard.state());
        boolean news = known == null || RecordChanges.isNews(known, ending);
        announceEnd(ending, presence, news, acknowledge);
    }

    private boolean cutOff() {
        return contact.withoutQuorumMs(loop.nowMs()) >= CUT_OFF_MS;
    }

    private Acknowledgement mayBeBetterKnownElsewhere(Presence presence) {
        boolean cutOff = cutOff();
        boolean sendOn = cutOff && !presence.readySentOn;
        presence.readySentOn = cutOff;
        return sendOn ? Acknowledgement.NOT_CONFIRMED : Acknowledgement.HELD;
    }

    /**
     * Two processes cannot listen at one address: whatever was there before the new instance has ended. Marked as
     * lapsed and not as gone, because a heartbeat takes that back should it be wrong.
     */
    private void lapsePredecessors(ReplicaRecord newcomer) {
        List<ReplicaRecord> predecessors = fleet.replicas().stream()
                .filter(other -> other.address().equals(newcomer.address()))
                .filter(other -> !other.instanceId().equals(newcomer.instanceId()))
                .filter(other -> other.state() != ReplicaState.GONE && !other.lapsed())
                .toList();
        predecessors.forEach(predecessor -> publish(predecessor.withLapsed(true)));
    }

    private static ReplicaRecord joined(ReplicaRecord known, ReplicaRecord heard) {
        return known == null ? heard : ReplicaRecord.merge(known, heard);
    }

    /** An announced end is taken even from a late call. */
    private static ReplicaRecord withEnd(ReplicaRecord record, ReplicaState end) {
        return record.state().compareTo(end) >= 0 ? record : record.withState(end);
    }

    /** Takes the deregistration of an instance; {@code acknowledge} is called once, on the control loop. */
    void deregister(String instanceId, Consumer<Acknowledgement> acknowledge) {
        Presence presence = presences.computeIfAbsent(instanceId, id -> new Presence());
        ReplicaRecord known = fleet.replica(instanceId);
        ReplicaRecord gone = known == null ? unknownAndGone(instanceId) : known.withState(ReplicaState.GONE);
        announceEnd(gone, presence, !gone.equals(known), acknowledge);
    }

    /** Drops what is kept of instances that the fleet has forgotten; to be called a few times a second. */
    void onTick() {
        contact.silenceMs(loop.nowMs());
        presences.keySet().removeIf(id -> fleet.replica(id) == null);
    }

    private void announceEnd(
            ReplicaRecord record, Presence presence, boolean news, Consumer<Acknowledgement> acknowledge) {
        if (!news && presence.confirmed.compareTo(record.state()) >= 0) {
            acknowledge.accept(Acknowledgement.HELD);
            return;
        }
        OnceOnly answer = new OnceOnly(acknowledge);
        counters.countPublished();
        if (cutOff() && !presence.comesBackWith(record.state())) {
            fleet.publishUntilHeld(record, () -> presence.noteConfirmed(record.state()));
            sendOn(record, presence, "out of contact with a quorum", answer);
            return;
        }
        fleet.publishUntilHeld(record, () -> {
            presence.noteConfirmed(record.state());
            counters.countEndConfirmed();
            answer.accept(Acknowledgement.HELD);
        });
        if (!answer.isGiven()) {
            loop.schedule(() -> endWithoutConfirmation(record, presence, answer), CONFIRMATION_MS);
        }
    }

    private void endWithoutConfirmation(ReplicaRecord record, Presence presence, OnceOnly answer) {
        if (answer.isGiven()) {
            return;
        }
        boolean alone = contact.silenceMs(loop.nowMs()) >= contactMs;
        boolean othersTried = presence.comesBackWith(record.state()) || !contact.everHeard();
        if (alone && othersTried) {
            counters.countEndAcknowledgedAlone();
            answer.accept(Acknowledgement.HELD);
            return;
        }
        sendOn(record, presence, "no other controller within " + CONFIRMATION_MS + " ms", answer);
    }

    private void sendOn(ReplicaRecord record, Presence presence, String reason, OnceOnly answer) {
        presence.noteSentOn(record.state());
        counters.countEndUnconfirmed();
        logger.atWarning().atMostEvery(LOG_PAUSE_SECONDS, TimeUnit.SECONDS).log(
                "confirm %s of %s: %s (%d times so far)",
                record.state(), record.instanceId(), reason, counters.endsUnconfirmed());
        answer.accept(Acknowledgement.NOT_CONFIRMED);
    }

    private void publish(ReplicaRecord record) {
        counters.countPublished();
        fleet.publish(record);
    }

    /**
     * Another controller may know the instance, and so may routers: what is published wins over their records by its
     * state and leaves the rest to them, because of its low call sequence.
     */
    private static ReplicaRecord unknownAndGone(String instanceId) {
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
                BEFORE_ANY_CALL,
                false);
    }

    /** Passes on the first of several answers. */
    private static final class OnceOnly implements Consumer<Acknowledgement> {
        private final Consumer<Acknowledgement> target;
        private boolean given;

        OnceOnly(Consumer<Acknowledgement> target) {
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
