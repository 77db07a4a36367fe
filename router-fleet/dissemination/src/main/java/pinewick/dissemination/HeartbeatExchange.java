package pinewick.dissemination;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import pinewick.dissemination.FleetMessages.HeartbeatBatch;
import pinewick.dissemination.FleetMessages.HeartbeatReport;
import pinewick.membership.PeerSampling;
import pinewick.model.Outbox;
import pinewick.model.SocketAddress;

/**
 * Tracks when any controller received the last heartbeat of each replica. Controllers report received heartbeats to
 * each other in batches. Control loop only, except for {@link #lastHeartbeatMs}.
 */
final class HeartbeatExchange {
    private static final double BATCH_INTERVAL_MS = 300;
    private static final int REPORTS_PER_DATAGRAM = 40;

    private final FleetState state;
    private final PeerSampling peers;
    private final Outbox outbox;
    private final Map<String, Double> lastHeartbeatMs = new ConcurrentHashMap<>();
    private final Map<String, ReceivedHeartbeat> unsent = new LinkedHashMap<>();
    private double lastBatchMs = Double.NEGATIVE_INFINITY;

    private record ReceivedHeartbeat(long callSequence, double receivedMs) {}

    HeartbeatExchange(FleetState state, PeerSampling peers, Outbox outbox) {
        this.state = state;
        this.peers = peers;
        this.outbox = outbox;
    }

    /** Records a heartbeat that this process received, and queues it for the next batch. */
    void onHeartbeat(String instanceId, long callSequence, double nowMs) {
        record(instanceId, callSequence, nowMs);
        unsent.put(instanceId, new ReceivedHeartbeat(callSequence, nowMs));
    }

    private void record(String instanceId, long callSequence, double receivedMs) {
        lastHeartbeatMs.merge(instanceId, receivedMs, Math::max);
        state.raiseSequence(instanceId, callSequence);
    }

    void onTick(double nowMs) {
        if (unsent.isEmpty() || nowMs - lastBatchMs < BATCH_INTERVAL_MS) {
            return;
        }
        lastBatchMs = nowMs;
        List<HeartbeatReport> reports = new ArrayList<>();
        unsent.forEach((id, heartbeat) ->
                reports.add(new HeartbeatReport(id, heartbeat.callSequence, (int) (nowMs - heartbeat.receivedMs))));
        unsent.clear();
        for (int from = 0; from < reports.size(); from += REPORTS_PER_DATAGRAM) {
            int to = Math.min(from + REPORTS_PER_DATAGRAM, reports.size());
            HeartbeatBatch batch = new HeartbeatBatch(List.copyOf(reports.subList(from, to)));
            for (SocketAddress controller : peers.controllers()) {
                outbox.send(controller, batch);
            }
        }
    }

    /** When {@link #onTick} has work to do next, milliseconds; positive infinity if it has none. */
    double nextDueMs() {
        return unsent.isEmpty() ? Double.POSITIVE_INFINITY : lastBatchMs + BATCH_INTERVAL_MS;
    }

    void onBatch(HeartbeatBatch batch, double nowMs) {
        batch.reports().forEach(report -> record(report.instanceId(), report.callSequence(), nowMs - report.ageMs()));
    }

    /**
     * When the last heartbeat of an instance was received, monotonic milliseconds; {@link Double#NEGATIVE_INFINITY}
     * for none. Any thread.
     */
    double lastHeartbeatMs(String instanceId) {
        return lastHeartbeatMs.getOrDefault(instanceId, Double.NEGATIVE_INFINITY);
    }

    /** Removes the times of instances without a record. */
    void prune() {
        lastHeartbeatMs.keySet().removeIf(id -> state.findReplica(id).isEmpty());
    }
}
