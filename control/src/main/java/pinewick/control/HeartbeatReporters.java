package pinewick.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import pinewick.dissemination.FleetMessages.HeartbeatBatch;
import pinewick.dissemination.FleetMessages.HeartbeatNote;
import pinewick.model.SocketAddress;

/**
 * Which controller heard each replica last. That one watches over the replica: if it is cut off from this process, its
 * replicas look silent here and are not.
 */
final class HeartbeatReporters {
    /**
     * @param controller who heard it, empty for this process
     * @param atMs when
     */
    private record Report(Optional<SocketAddress> controller, double atMs) {}

    private final Map<String, Report> reports = new HashMap<>();

    /** This process heard an instance. */
    void heardHere(String instanceId, double nowMs) {
        reports.put(instanceId, new Report(Optional.empty(), nowMs));
    }

    /** Another controller told which instances it heard. */
    void heardBy(SocketAddress controller, HeartbeatBatch batch, double nowMs) {
        for (HeartbeatNote note : batch.notes()) {
            double atMs = nowMs - note.ageMs();
            Report known = reports.get(note.instanceId());
            if (known == null || known.atMs < atMs) {
                reports.put(note.instanceId(), new Report(Optional.of(controller), atMs));
            }
        }
    }

    /** The other controller that heard an instance last, empty if it was this process or nobody. */
    Optional<SocketAddress> reporterOf(String instanceId) {
        Report report = reports.get(instanceId);
        return report == null ? Optional.empty() : report.controller;
    }

    /** Drops instances that are not known any more. */
    void retain(Predicate<String> isKnown) {
        reports.keySet().removeIf(isKnown.negate());
    }
}
