package pinewick.dissemination;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import pinewick.dissemination.FleetMessages.ReplicaHeld;
import pinewick.dissemination.FleetMessages.ReplicaUpdate;
import pinewick.dissemination.FleetMessages.SpreadRecord;
import pinewick.membership.OutstandingRequests;
import pinewick.membership.PeerSampling;
import pinewick.model.Outbox;
import pinewick.model.SocketAddress;

/**
 * Gives records to the other controllers until one has confirmed that it holds them. Ids count up from a number drawn
 * at random at the start of the process; a confirmation counts once, from a controller that the record was sent to, and
 * while it is still sent.
 */
final class ReplicaHandover {
    private static final double RESEND_MS = 100;
    private static final int MOST_SENDINGS = 11;

    private final PeerSampling peers;
    private final Outbox outbox;
    private final Map<Long, Waiting> waiting = new LinkedHashMap<>();
    private long lastAckId;

    /** A record that no other controller has confirmed yet. */
    private static final class Waiting {
        private final ReplicaUpdate update;
        private final Runnable heldElsewhere;
        private final Set<SocketAddress> sentTo = new HashSet<>();
        private int sendings;
        private double sentAtMs;

        Waiting(ReplicaUpdate update, Runnable heldElsewhere) {
            this.update = update;
            this.heldElsewhere = heldElsewhere;
        }
    }

    ReplicaHandover(PeerSampling peers, Outbox outbox, RandomGenerator random) {
        this.peers = peers;
        this.outbox = outbox;
        this.lastAckId = random.nextLong();
    }

    /** Sends a record to every other controller; the first confirmation runs {@code heldElsewhere}. */
    void start(SpreadRecord record, Runnable heldElsewhere, double nowMs) {
        long ackId = nextAckId();
        Waiting entry = new Waiting(new ReplicaUpdate(ackId, List.of(record)), heldElsewhere);
        waiting.put(ackId, entry);
        send(entry, nowMs);
    }

    private long nextAckId() {
        lastAckId++;
        if (lastAckId == OutstandingRequests.UNASKED) {
            lastAckId++;
        }
        return lastAckId;
    }

    private void send(Waiting entry, double nowMs) {
        entry.sendings++;
        entry.sentAtMs = nowMs;
        for (SocketAddress target : peers.controllers()) {
            entry.sentTo.add(target);
            outbox.send(target, entry.update);
        }
    }

    void onTick(double nowMs) {
        Iterator<Waiting> entries = waiting.values().iterator();
        while (entries.hasNext()) {
            Waiting entry = entries.next();
            if (nowMs - entry.sentAtMs < RESEND_MS) {
                continue;
            }
            if (entry.sendings >= MOST_SENDINGS) {
                entries.remove();
            } else {
                send(entry, nowMs);
            }
        }
    }

    /** When {@link #onTick} has something to do next. */
    double nextDueMs() {
        return waiting.values().stream()
                .mapToDouble(entry -> entry.sentAtMs + RESEND_MS)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    void onHeld(SocketAddress sender, ReplicaHeld held) {
        Waiting entry = waiting.get(held.ackId());
        if (entry != null && entry.sentTo.contains(sender)) {
            waiting.remove(held.ackId());
            entry.heldElsewhere.run();
        }
    }
}
