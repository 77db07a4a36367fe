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
 * Decides which replicas have gone silent. A replica lapses once no controller has heard from it for a few heartbeat
 * periods; its next heartbeat brings it back. Because one wrong verdict on a whole service costs more than a late
 * one on a replica, the judge doubts itself first:
 *
 * <ul>
 *   <li>A replica is judged by the controller that heard it last; by others only once that one is not running any more.
 *   <li>After its own start, a pause of its own, or the loss of another controller, silence counts from that moment on,
 *       and nothing lapses before {@code contact_ms} have passed.
 *   <li>Within a short time at most a third of a service's replicas lapse, unless most replicas of the fleet and at
 *       least one of that service are heard well.
 * </ul>
 *
 * <p>No I/O; owned by one thread.
 */
final class LivenessJudge {
    /** Heartbeat periods of silence after which a replica lapses. */
    static final double SILENT_PERIODS = 3.5;

    /** Time between two looks beyond which this process counts as having been paused, milliseconds. */
    static final double PAUSE_MS = 1_500;

    /** The time within which lapses of a service are counted together, milliseconds. */
    static final double BURST_MS = 10_000;

    private static final double WELL_HEARD_PERIODS = 2;
    private static final int LARGEST_PART = 3;

    private final double heartbeatMs;
    private final double contactMs;
    private final Map<String, Sighting> sightings = new HashMap<>();
    private final Map<String, Deque<Double>> lapsesByService = new HashMap<>();
    private Set<SocketAddress> controllers = Set.of();
    private double steadySinceMs;
    private double lastLookMs;

    /** The newest call of an instance that its record has shown, and when it did so first. */
    private record Sighting(long callSequence, double atMs) {}

    /**
     * @param heartbeatMs how often a replica sends heartbeats
     * @param contactMs how long a disturbance of this process makes its own view doubtful
     * @param nowMs the time of the start
     */
    LivenessJudge(double heartbeatMs, double contactMs, double nowMs) {
        this.heartbeatMs = heartbeatMs;
        this.contactMs = contactMs;
        this.steadySinceMs = nowMs;
        this.lastLookMs = nowMs;
    }

    /**
     * Looks at every replica.
     *
     * @param records what is known of the replicas
     * @param times when they were last heard from
     * @param otherControllers the other controllers believed to be running
     * @return the records that have lapsed now, marked so, to be published
     */
    List<ReplicaRecord> judge(
            Collection<ReplicaRecord> records,
            HeartbeatTimes times,
            Set<SocketAddress> otherControllers,
            double nowMs) {
        noteDisturbances(otherControllers, nowMs);
        List<ReplicaRecord> live = liveRecords(records, nowMs);
        if (nowMs - steadySinceMs < contactMs) {
            return List.of();
        }
        Hearing hearing = new Hearing(live, times, nowMs);
        List<ReplicaRecord> lapsed = new ArrayList<>();
        for (ReplicaRecord record : live) {
            boolean silent = hearing.silenceMs(record) > SILENT_PERIODS * heartbeatMs;
            boolean watchedByAnother = times.lastHeardBy(record.instanceId())
                    .filter(otherControllers::contains)
                    .isPresent();
            if (silent && !watchedByAnother && mayLapse(record.service(), hearing, nowMs)) {
                lapsesByService
                        .computeIfAbsent(record.service(), name -> new ArrayDeque<>())
                        .add(nowMs);
                lapsed.add(record.withLapsed(true));
            }
        }
        return lapsed;
    }

    private void noteDisturbances(Set<SocketAddress> otherControllers, double nowMs) {
        boolean paused = nowMs - lastLookMs > PAUSE_MS;
        boolean lostOne = !otherControllers.containsAll(controllers);
        if (paused || lostOne) {
            steadySinceMs = nowMs;
        }
        lastLookMs = nowMs;
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
            noteSighting(record, nowMs);
            if (!record.lapsed()) {
                live.add(record);
            }
        }
        sightings.keySet().retainAll(runningIds);
        return live;
    }

    /** A record may show a newer call before the controller that took it has told when it did. */
    private void noteSighting(ReplicaRecord record, double nowMs) {
        Sighting known = sightings.get(record.instanceId());
        if (known == null || record.callSequence() > known.callSequence) {
            sightings.put(record.instanceId(), new Sighting(record.callSequence(), nowMs));
        }
    }

    private boolean mayLapse(String service, Hearing hearing, double nowMs) {
        if (hearing.isGood() && hearing.hearsOneOf(service)) {
            return true;
        }
        Deque<Double> lapses = lapsesByService.getOrDefault(service, new ArrayDeque<>());
        while (!lapses.isEmpty() && nowMs - lapses.peek() > BURST_MS) {
            lapses.poll();
        }
        long before = lapses.stream().filter(atMs -> atMs < nowMs).count();
        long replicas = hearing.liveOf(service) + before;
        return lapses.size() < Math.max(1, replicas / LARGEST_PART);
    }

    /** How well the replicas of the fleet are heard at one moment. */
    private final class Hearing {
        private final HeartbeatTimes times;
        private final double nowMs;
        private final Map<String, Integer> liveByService = new HashMap<>();
        private final Map<String, Integer> wellHeardByService = new HashMap<>();
        private int live;
        private int wellHeard;

        Hearing(List<ReplicaRecord> records, HeartbeatTimes times, double nowMs) {
            this.times = times;
            this.nowMs = nowMs;
            for (ReplicaRecord record : records) {
                live++;
                liveByService.merge(record.service(), 1, Integer::sum);
                if (silenceMs(record) <= WELL_HEARD_PERIODS * heartbeatMs) {
                    wellHeard++;
                    wellHeardByService.merge(record.service(), 1, Integer::sum);
                }
            }
        }

        double silenceMs(ReplicaRecord record) {
            double sightingMs = sightings.get(record.instanceId()).atMs();
            double heardMs = Math.max(times.lastHeardMs(record.instanceId()), sightingMs);
            return nowMs - Math.max(heardMs, steadySinceMs);
        }

        boolean isGood() {
            return 2 * wellHeard >= live;
        }

        boolean hearsOneOf(String service) {
            return wellHeardByService.containsKey(service);
        }

        /** Replicas of a service that had not lapsed before this look. */
        int liveOf(String service) {
            return liveByService.getOrDefault(service, 0);
        }
    }
}
