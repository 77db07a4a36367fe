package pinewick.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.SocketAddress;

/**
 * Detects replicas that have failed. A replica lapses once no controller has received a heartbeat from it for
 * several heartbeat periods; its next heartbeat reverts that. Because falsely suspecting a whole service costs more
 * than detecting one failed replica late, the detector first rules out faults of its own:
 *
 * <ul>
 *   <li>A replica is monitored by the controller that received its last heartbeat, and by the others only once that
 * controller is no longer running.
 *   <li>After the start or a pause of this process, or the loss of another controller, the time without a heartbeat
 * is counted from that moment, and no replica lapses until {@code contact_ms} have passed.
 *   <li>At most a third of a service's replicas lapse within a short time, unless this process receives heartbeats
 * from at least half of all replicas and from at least one of that service.
 * </ul>
 *
 * <p>No I/O; control loop only.
 */
final class ReplicaFailureDetector {
    /** A replica lapses after this many heartbeat periods without a heartbeat. */
    static final double LAPSE_PERIODS = 3.5;

    /** If two runs are further apart than this, the process was paused in between, milliseconds. */
    static final double PAUSE_THRESHOLD_MS = 1_500;

    /** Sliding window in which the lapsed replicas of a service are limited, milliseconds. */
    static final double LAPSE_WINDOW_MS = 10_000;

    private static final double IN_CONTACT_PERIODS = 2;
    private static final int LAPSED_SHARE_DIVISOR = 3;

    private final double heartbeatMs;
    private final double contactMs;
    private final Map<String, Observation> observations = new HashMap<>();
    private final Map<String, Deque<Double>> lapsesByService = new HashMap<>();
    private Set<SocketAddress> controllers = Set.of();
    private double stableSinceMs;
    private double lastRunMs;

    /** The newest call sequence in an instance's record, and when it was first seen. */
    private record Observation(long callSequence, double firstSeenMs) {}

    /**
     * @param heartbeatMs interval between the heartbeats of a replica, milliseconds
     * @param contactMs how long no replica lapses after a start, a pause or the loss of a controller, milliseconds
     * @param nowMs the current time, milliseconds
     */
    ReplicaFailureDetector(double heartbeatMs, double contactMs, double nowMs) {
        this.heartbeatMs = heartbeatMs;
        this.contactMs = contactMs;
        this.stableSinceMs = nowMs;
        this.lastRunMs = nowMs;
    }

    /**
     * Checks the heartbeats of every replica.
     *
     * @param records the records of the replicas
     * @param times when and by which controller their last heartbeats were received
     * @param otherControllers the other controllers believed to be running
     * @return the records that have lapsed now, marked as lapsed, to be published
     */
    List<ReplicaRecord> detectLapsed(
            Collection<ReplicaRecord> records,
            HeartbeatTimes times,
            Set<SocketAddress> otherControllers,
            double nowMs) {
        updateStableSince(otherControllers, nowMs);
        List<ReplicaRecord> live = liveRecords(records, nowMs);
        if (nowMs - stableSinceMs < contactMs) {
            return List.of();
        }
        ContactSummary contacts = new ContactSummary(live, times, nowMs);
        List<ReplicaRecord> lapsed = new ArrayList<>();
        for (ReplicaRecord record : live) {
            boolean isOverdue = contacts.sinceContactMs(record) > LAPSE_PERIODS * heartbeatMs;
            boolean isMonitoredElsewhere = times.lastReporter(record.instanceId())
                    .filter(otherControllers::contains)
                    .isPresent();
            if (isOverdue && !isMonitoredElsewhere && mayLapse(record.service(), contacts, nowMs)) {
                lapsesByService
                        .computeIfAbsent(record.service(), name -> new ArrayDeque<>())
                        .add(nowMs);
                lapsed.add(record.withLapsed(true));
            }
        }
        return lapsed;
    }

    private void updateStableSince(Set<SocketAddress> otherControllers, double nowMs) {
        boolean wasPaused = nowMs - lastRunMs > PAUSE_THRESHOLD_MS;
        boolean hasLostController = !otherControllers.containsAll(controllers);
        if (wasPaused || hasLostController) {
            stableSinceMs = nowMs;
        }
        lastRunMs = nowMs;
        controllers = Set.copyOf(otherControllers);
    }

    private List<ReplicaRecord> liveRecords(Collection<ReplicaRecord> records, double nowMs) {
        List<ReplicaRecord> live = new ArrayList<>();
        Set<String> runningIds = new HashSet<>();
        for (ReplicaRecord record : records) {
            if (record.state() == ReplicaState.GONE) {
                continue;
            }
            runningIds.add(record.instanceId());
            recordObservation(record, nowMs);
            if (!record.lapsed()) {
                live.add(record);
            }
        }
        observations.keySet().retainAll(runningIds);
        return live;
    }

    /** A gossiped record may carry a newer call sequence before this process learns the time of that heartbeat. */
    private void recordObservation(ReplicaRecord record, double nowMs) {
        Observation known = observations.get(record.instanceId());
        if (known == null || record.callSequence() > known.callSequence) {
            observations.put(record.instanceId(), new Observation(record.callSequence(), nowMs));
        }
    }

    private boolean mayLapse(String service, ContactSummary contacts, double nowMs) {
        if (contacts.isMajorityInContact() && contacts.isInContactWith(service)) {
            return true;
        }
        Deque<Double> lapses = lapsesByService.getOrDefault(service, new ArrayDeque<>());
        while (!lapses.isEmpty() && nowMs - lapses.peek() > LAPSE_WINDOW_MS) {
            lapses.poll();
        }
        long recentlyLapsed = lapses.stream().filter(atMs -> atMs < nowMs).count();
        long replicas = contacts.liveCount(service) + recentlyLapsed;
        return lapses.size() < Math.max(1, replicas / LAPSED_SHARE_DIVISOR);
    }

    /** The number of replicas, in total and by service, whose heartbeats currently arrive. */
    private final class ContactSummary {
        private final HeartbeatTimes times;
        private final double nowMs;
        private final Map<String, Integer> liveByService = new HashMap<>();
        private final Map<String, Integer> inContactByService = new HashMap<>();
        private int liveCount;
        private int inContactCount;

        ContactSummary(List<ReplicaRecord> records, HeartbeatTimes times, double nowMs) {
            this.times = times;
            this.nowMs = nowMs;
            for (ReplicaRecord record : records) {
                liveCount++;
                liveByService.merge(record.service(), 1, Integer::sum);
                if (sinceContactMs(record) <= IN_CONTACT_PERIODS * heartbeatMs) {
                    inContactCount++;
                    inContactByService.merge(record.service(), 1, Integer::sum);
                }
            }
        }

        double sinceContactMs(ReplicaRecord record) {
            double firstSeenMs = observations.get(record.instanceId()).firstSeenMs();
            double lastContactMs = Math.max(times.lastHeartbeatMs(record.instanceId()), firstSeenMs);
            return nowMs - Math.max(lastContactMs, stableSinceMs);
        }

        boolean isMajorityInContact() {
            return 2 * inContactCount >= liveCount;
        }

        boolean isInContactWith(String service) {
            return inContactByService.containsKey(service);
        }

        /** The number of replicas of a service that had not lapsed before this run. */
        int liveCount(String service) {
            return liveByService.getOrDefault(service, 0);
        }
    }
}
