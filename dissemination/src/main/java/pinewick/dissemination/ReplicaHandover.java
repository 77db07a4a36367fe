package pinewick.dissemination;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import pinewick.dissemination.FleetMessages.ReplicaHeld;
import pinewick.dissemination.FleetMessages.ReplicaUpdate;
import pinewick.dissemination.FleetMessages.SpreadRecord;
import pinewick.membership.PeerSampling;
import pinewick.model.Outbox;

/** Gives records to the other controllers until one has confirmed that it holds them. */
final class ReplicaHandover {
    private static final double RESEND_MS = 100;
    private static final int MOST_SENDINGS = 11;

    private final PeerSampling peers;
    private final Outbox outbox;
    private final Map<Integer, Waiting> waiting = new LinkedHashMap<>();
    private int lastAckId;

    /** A record that no other controller has confirmed yet. */
    private static final class Waiting {
        private final ReplicaUpdate update;
        private final Runnable heldElsewhere;
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
        this.lastAckId = random.nextInt();
    }

    /** Sends a record to every other controller; the first confirmation runs {@code heldElsewhere}. */
    void start(SpreadRecord record, Runnable heldElsewhere, double nowMs) {
        int ackId = nextAckId();
        Waiting entry = new Waiting(new ReplicaUpdate(ackId, List.of(record)), heldElsewhere);
        waiting.put(ackId, entry);
        send(entry, nowMs);
    }

    private int nextAckId() {
        lastAckId++;
        if (lastAckId == 0) {
            lastAckId++;
        }
        return lastAckId;
    }

    private void send(Waiting entry, double nowMs) {
        entry.sendings++;
        entry.sentAtMs = nowMs;
        peers.controllers().forEach(target -> outbox.send(target, entry.update));
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

    void onHeld(ReplicaHeld held) {
        Waiting entry = waiting.remove(held.ackId());
        if (entry != null) {
            entry.heldElsewhere.run();
        }
    }
}
