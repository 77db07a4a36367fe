package pinewick.dissemination;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import pinewick.dissemination.FleetMessages.GossipedReplica;
import pinewick.dissemination.FleetMessages.ReplicaUpdate;
import pinewick.dissemination.FleetMessages.ReplicaUpdateAck;
import pinewick.membership.OutstandingRequests;
import pinewick.membership.PeerSampling;
import pinewick.model.Outbox;
import pinewick.model.SocketAddress;

/**
 * Sends records to the other controllers until each of them has acknowledged them. Ids increase from a random number
 * drawn when the process starts. An acknowledgement is accepted once from each controller to which the record was
 * sent, and before the last attempt has timed out. Control loop only.
 */
final class AcknowledgedReplicaPush {
    private static final double RESEND_INTERVAL_MS = 100;
    private static final int MAX_ATTEMPTS = 11;

    private final PeerSampling peers;
    private final Outbox outbox;
    private final Map<Long, PendingPush> pendingPushes = new LinkedHashMap<>();
    private long lastAckId;

    /** A record that some controllers have not acknowledged. */
    private static final class PendingPush {
        private final ReplicaUpdate update;
        private final Runnable onAcknowledged;
        private final Set<SocketAddress> sentTo = new HashSet<>();
        private final Set<SocketAddress> acknowledgedBy = new HashSet<>();
        private int attempts;
        private double lastAttemptMs;

        PendingPush(ReplicaUpdate update, Runnable onAcknowledged) {
            this.update = update;
            this.onAcknowledged = onAcknowledged;
        }
    }

    AcknowledgedReplicaPush(PeerSampling peers, Outbox outbox, RandomGenerator random) {
        this.peers = peers;
        this.outbox = outbox;
        this.lastAckId = random.nextLong();
    }

    /** Sends a record to every other controller, and runs {@code onAcknowledged} once for each that acknowledges it. */
    void start(GossipedReplica record, Runnable onAcknowledged, double nowMs) {
        long ackId = nextAckId();
        PendingPush push = new PendingPush(new ReplicaUpdate(ackId, List.of(record)), onAcknowledged);
        pendingPushes.put(ackId, push);
        send(push, nowMs);
    }

    private long nextAckId() {
        lastAckId++;
        if (lastAckId == OutstandingRequests.NO_REQUEST) {
            lastAckId++;
        }
        return lastAckId;
    }

    private void send(PendingPush push, double nowMs) {
        push.attempts++;
        push.lastAttemptMs = nowMs;
        for (SocketAddress target : peers.controllers()) {
            if (!push.acknowledgedBy.contains(target)) {
                push.sentTo.add(target);
                outbox.send(target, push.update);
            }
        }
    }

    void onTick(double nowMs) {
        Iterator<PendingPush> entries = pendingPushes.values().iterator();
        while (entries.hasNext()) {
            PendingPush push = entries.next();
            if (nowMs - push.lastAttemptMs < RESEND_INTERVAL_MS) {
                continue;
            }
            if (push.attempts >= MAX_ATTEMPTS) {
                entries.remove();
            } else {
                send(push, nowMs);
            }
        }
    }

    /** When {@link #onTick} has work to do next, milliseconds; positive infinity if it has none. */
    double nextDueMs() {
        return pendingPushes.values().stream()
                .mapToDouble(push -> push.lastAttemptMs + RESEND_INTERVAL_MS)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    void onAck(SocketAddress sender, ReplicaUpdateAck ack) {
        PendingPush push = pendingPushes.get(ack.ackId());
        if (push == null || !push.sentTo.contains(sender) || !push.acknowledgedBy.add(sender)) {
            return;
        }
        if (push.acknowledgedBy.containsAll(peers.controllers())) {
            pendingPushes.remove(ack.ackId());
        }
        push.onAcknowledged.run();
    }
}
