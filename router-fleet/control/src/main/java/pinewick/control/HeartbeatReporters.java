package pinewick.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import pinewick.dissemination.FleetMessages.HeartbeatBatch;
import pinewick.dissemination.FleetMessages.HeartbeatReport;
import pinewick.model.SocketAddress;

/**
 * Tracks which controller received the last heartbeat of each replica. That controller monitors the replica: if it
 * is partitioned from this process, no heartbeats of its replicas arrive here although they are running. Control
 * loop only.
 */
final class HeartbeatReporters {
    /**
     * @param controller the controller that received the heartbeat, empty for this process
     * @param receivedMs when it was received, monotonic time of this process in milliseconds
     */
    private record Report(Optional<SocketAddress> controller, double receivedMs) {}

    private final Map<String, Report> reports = new HashMap<>();

    /** Records a heartbeat that this process received. */
    void recordLocal(String instanceId, double nowMs) {
        reports.put(instanceId, new Report(Optional.empty(), nowMs));
    }

    /** Records the heartbeats that another controller has reported. */
    void recordRemote(SocketAddress controller, HeartbeatBatch batch, double nowMs) {
        for (HeartbeatReport heartbeat : batch.reports()) {
            double receivedMs = nowMs - heartbeat.ageMs();
            Report known = reports.get(heartbeat.instanceId());
            if (known == null || known.receivedMs < receivedMs) {
                reports.put(heartbeat.instanceId(), new Report(Optional.of(controller), receivedMs));
            }
        }
    }

    /**
     * The other controller that received the last heartbeat of an instance; empty if this process received it, or if
     * there was none.
     */
    Optional<SocketAddress> reporterOf(String instanceId) {
        Report report = reports.get(instanceId);
        return report == null ? Optional.empty() : report.controller;
    }

    /** Removes the instances for which {@code isKnown} is false. */
    void retain(Predicate<String> isKnown) {
        reports.keySet().removeIf(isKnown.negate());
    }
}
