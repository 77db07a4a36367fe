package pinewick.dissemination;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import pinewick.dissemination.FleetMessages.HeartbeatBatch;
import pinewick.dissemination.FleetMessages.HeartbeatNote;
import pinewick.membership.PeerSampling;
import pinewick.model.Outbox;
import pinewick.model.SocketAddress;

/** When any controller last heard each replica; controllers tell each other in batches. */
final class HeartbeatNotes {
    private static final double BATCH_MS = 300;
    private static final int NOTES_A_DATAGRAM = 40;

    private final FleetState state;
    private final PeerSampling peers;
    private final Outbox outbox;
    private final Map<String, Double> lastHeardMs = new ConcurrentHashMap<>();
    private final Map<String, Heard> unsent = new LinkedHashMap<>();
    private double sentAtMs = Double.NEGATIVE_INFINITY;

    private record Heard(long callSequence, double atMs) {}

    HeartbeatNotes(FleetState state, PeerSampling peers, Outbox outbox) {
        this.state = state;
        this.peers = peers;
        this.outbox = outbox;
    }

    /** This process heard a replica. */
    void heard(String instanceId, long callSequence, double nowMs) {
        note(instanceId, callSequence, nowMs);
        unsent.put(instanceId, new Heard(callSequence, nowMs));
    }

    private void note(String instanceId, long callSequence, double atMs) {
        lastHeardMs.merge(instanceId, atMs, Math::max);
        state.raiseSequence(instanceId, callSequence);
    }

    void onTick(double nowMs) {
        if (unsent.isEmpty() || nowMs - sentAtMs < BATCH_MS) {
            return;
        }
        sentAtMs = nowMs;
        List<HeartbeatNote> notes = new ArrayList<>();
        unsent.forEach((id, heard) -> notes.add(new HeartbeatNote(id, heard.callSequence, (int) (nowMs - heard.atMs))));
        unsent.clear();
        for (int from = 0; from < notes.size(); from += NOTES_A_DATAGRAM) {
            int to = Math.min(from + NOTES_A_DATAGRAM, notes.size());
            HeartbeatBatch batch = new HeartbeatBatch(List.copyOf(notes.subList(from, to)));
            for (SocketAddress controller : peers.controllers()) {
                outbox.send(controller, batch);
            }
        }
    }

    /** When {@link #onTick} has something to do next. */
    double nextDueMs() {
        return unsent.isEmpty() ? Double.POSITIVE_INFINITY : sentAtMs + BATCH_MS;
    }

    void onBatch(HeartbeatBatch batch, double nowMs) {
        batch.notes().forEach(note -> note(note.instanceId(), note.callSequence(), nowMs - note.ageMs()));
    }

    /** When an instance was last heard, {@link Double#NEGATIVE_INFINITY} if it never was. */
    double lastHeardMs(String instanceId) {
        return lastHeardMs.getOrDefault(instanceId, Double.NEGATIVE_INFINITY);
    }

    /** Drops instances without a record. */
    void prune() {
        lastHeardMs.keySet().removeIf(id -> state.replica(id) == null);
    }
}
