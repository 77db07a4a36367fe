package pinewick.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.SocketAddress;

/** When missing heartbeats mean that a replica has failed, and when they are due to a fault of the controllers. */
class ReplicaFailureDetectorTest {
    private static final double HEARTBEAT_MS = 1_200;
    private static final double CONTACT_MS = 3_000;
    private static final double RUN_INTERVAL_MS = 500;
    private static final double SILENCE_MS = ReplicaFailureDetector.LAPSE_PERIODS * HEARTBEAT_MS;

    private final ReplicaFailureDetector detector = new ReplicaFailureDetector(HEARTBEAT_MS, CONTACT_MS, 0);
    private final Map<String, ReplicaRecord> records = new HashMap<>();
    private final Map<String, Double> lastHeartbeatsMs = new HashMap<>();
    private final Map<String, SocketAddress> lastReporters = new HashMap<>();
    private final List<String> silent = new ArrayList<>();
    private Set<SocketAddress> controllers = Set.of(FakeFleet.OTHER_CONTROLLER);
    private double nowMs;

    private void add(String service, int count) {
        for (int i = 0; i < count; i++) {
            String id = service + "-" + i;
            records.put(id, ReplicaRecords.ofService(id, service));
        }
    }

    /** Runs the detector at regular intervals. Replicas that are not silent send a heartbeat before each run. */
    private List<String> lapsedWithin(double milliseconds) {
        List<String> lapsed = new ArrayList<>();
        for (double endMs = nowMs + milliseconds; nowMs < endMs; ) {
            nowMs += RUN_INTERVAL_MS;
            lapsed.addAll(runDetector());
        }
        return lapsed;
    }

    private List<String> runDetector() {
        records.keySet().stream().filter(id -> !silent.contains(id)).forEach(id -> lastHeartbeatsMs.put(id, nowMs));
        HeartbeatTimes times = new HeartbeatTimes() {
            @Override
            public double lastHeartbeatMs(String instanceId) {
                return lastHeartbeatsMs.getOrDefault(instanceId, NEVER);
            }

            @Override
            public Optional<SocketAddress> lastReporter(String instanceId) {
                return Optional.ofNullable(lastReporters.get(instanceId));
            }
        };
        List<ReplicaRecord> lapsed = detector.detectLapsed(records.values(), times, controllers, nowMs);
        lapsed.forEach(record -> records.put(record.instanceId(), record));
        return lapsed.stream().map(ReplicaRecord::instanceId).toList();
    }

    @Test
    void lapsesAReplicaAfterSeveralPeriodsWithoutAHeartbeat() {
        add("s", 4);
        assertEquals(List.of(), lapsedWithin(20_000));
        silent.add("s-2");
        assertEquals(List.of(), lapsedWithin(SILENCE_MS - RUN_INTERVAL_MS));
        assertEquals(List.of("s-2"), lapsedWithin(2 * RUN_INTERVAL_MS));
        assertEquals(List.of(), lapsedWithin(20_000), "reported once");
    }

    @Test
    void lapsesTheOnlyReplicaOfAService() {
        add("s", 1);
        add("t", 1);
        lapsedWithin(20_000);
        silent.add("s-0");
        assertEquals(List.of("s-0"), lapsedWithin(SILENCE_MS + RUN_INTERVAL_MS));
    }

    @Test
    void lapsesMostOfAServiceAtOnceWhileOthersSendHeartbeats() {
        add("s", 6);
        add("t", 3);
        lapsedWithin(20_000);
        silent.addAll(List.of("s-0", "s-1", "s-2", "s-3"));
        assertEquals(4, lapsedWithin(SILENCE_MS + RUN_INTERVAL_MS).size());
    }

    @Test
    void lapsesOnlyAThirdAtATimeWhenAWholeServiceIsSilent() {
        add("s", 6);
        add("t", 12);
        lapsedWithin(20_000);
        silent.addAll(List.of("s-0", "s-1", "s-2", "s-3", "s-4", "s-5"));
        assertEquals(
                2,
                lapsedWithin(SILENCE_MS + ReplicaFailureDetector.LAPSE_WINDOW_MS)
                        .size());
        assertTrue(lapsedWithin(4 * ReplicaFailureDetector.LAPSE_WINDOW_MS).size() <= 4);
    }

    @Test
    void lapsesOnlyAThirdAtATimeWhenMostOfTheFleetIsSilent() {
        add("s", 9);
        lapsedWithin(20_000);
        silent.addAll(List.of("s-0", "s-1", "s-2", "s-3", "s-4", "s-5", "s-6"));
        assertEquals(3, lapsedWithin(SILENCE_MS + RUN_INTERVAL_MS).size());
    }

    @Test
    void countsHeartbeatsReceivedByAnotherController() {
        add("s", 3);
        lapsedWithin(20_000);
        silent.add("s-0");
        lapsedWithin(SILENCE_MS - 2 * RUN_INTERVAL_MS);
        lastHeartbeatsMs.put("s-0", nowMs);
        assertEquals(List.of(), lapsedWithin(SILENCE_MS - RUN_INTERVAL_MS));
        assertEquals(List.of("s-0"), lapsedWithin(2 * RUN_INTERVAL_MS));
    }

    @Test
    void countsSilenceFromTheFirstSightOfARecordAfterStart() {
        add("s", 3);
        silent.add("s-0");
        assertEquals(List.of(), lapsedWithin(SILENCE_MS));
        assertEquals(List.of("s-0"), lapsedWithin(2 * RUN_INTERVAL_MS));
    }

    @Test
    void lapsesNothingAfterAPauseUntilReplicasHadTimeToCall() {
        add("s", 3);
        lapsedWithin(20_000);
        nowMs += 30_000;
        silent.addAll(List.of("s-0", "s-1", "s-2"));
        assertEquals(List.of(), runDetector());
        assertEquals(List.of(), lapsedWithin(SILENCE_MS - RUN_INTERVAL_MS));
        silent.removeAll(List.of("s-1", "s-2"));
        assertEquals(List.of("s-0"), lapsedWithin(2 * RUN_INTERVAL_MS));
    }

    @Test
    void givesReplicasOfALostControllerTimeToCallThisOne() {
        add("s", 3);
        lapsedWithin(20_000);
        silent.add("s-0");
        lapsedWithin(SILENCE_MS - RUN_INTERVAL_MS);
        controllers = Set.of();
        assertEquals(List.of(), lapsedWithin(SILENCE_MS));
        assertEquals(List.of("s-0"), lapsedWithin(2 * RUN_INTERVAL_MS));
    }

    @Test
    void leavesDetectionToTheLastReporterWhileItRuns() {
        add("s", 3);
        lastReporters.put("s-0", FakeFleet.OTHER_CONTROLLER);
        lapsedWithin(20_000);
        silent.add("s-0");
        assertEquals(List.of(), lapsedWithin(30_000), "may be partitioned from that controller");
        controllers = Set.of();
        assertEquals(List.of(), lapsedWithin(SILENCE_MS));
        assertEquals(List.of("s-0"), lapsedWithin(2 * RUN_INTERVAL_MS));
    }

    @Test
    void lapsesInTimeAlthoughAnotherControllerJoins() {
        add("s", 3);
        lapsedWithin(20_000);
        silent.add("s-0");
        lapsedWithin(SILENCE_MS - RUN_INTERVAL_MS);
        controllers = Set.of(FakeFleet.OTHER_CONTROLLER, new SocketAddress("10.3.0.4", 7721));
        assertEquals(List.of("s-0"), lapsedWithin(2 * RUN_INTERVAL_MS));
    }

    @Test
    void lapsesDrainingReplicasButNotDeregisteredOnes() {
        add("s", 5);
        lapsedWithin(20_000);
        records.put("s-0", records.get("s-0").withState(ReplicaState.DRAINING));
        records.put("s-1", records.get("s-1").withState(ReplicaState.GONE));
        silent.addAll(List.of("s-0", "s-1"));
        assertEquals(List.of("s-0"), lapsedWithin(20_000));
    }

    /**
     * Guards against a fault found in a run of three controllers: one of them lapsed the replica again before it
     * received the time of the new heartbeat.
     */
    @Test
    void countsANewerCallSequenceBeforeItsHeartbeatTimeIsKnown() {
        add("s", 3);
        lapsedWithin(20_000);
        silent.add("s-0");
        lapsedWithin(SILENCE_MS - RUN_INTERVAL_MS);
        records.put("s-0", withCallSequence(records.get("s-0"), 2));
        assertEquals(List.of(), lapsedWithin(SILENCE_MS));
        assertEquals(List.of("s-0"), lapsedWithin(2 * RUN_INTERVAL_MS));
    }

    @Test
    void doesNotLapseAReplicaThatCameBackBetweenTwoRuns() {
        add("s", 3);
        lapsedWithin(20_000);
        silent.add("s-0");
        assertEquals(List.of("s-0"), lapsedWithin(SILENCE_MS + RUN_INTERVAL_MS));
        lapsedWithin(20_000);
        records.put("s-0", withCallSequence(records.get("s-0").withLapsed(false), 2));
        assertEquals(List.of(), lapsedWithin(SILENCE_MS));
    }

    private static ReplicaRecord withCallSequence(ReplicaRecord record, long callSequence) {
        return new ReplicaRecord(
                record.instanceId(),
                record.service(),
                record.address(),
                record.zone(),
                record.softwareVersion(),
                record.slots(),
                record.state(),
                record.warmUpRemainingMs(),
                record.stage(),
                record.models(),
                callSequence,
                record.lapsed());
    }

    @Test
    void lapsesAReplicaAgainAfterItCameBack() {
        add("s", 3);
        lapsedWithin(20_000);
        silent.add("s-0");
        assertEquals(List.of("s-0"), lapsedWithin(SILENCE_MS + RUN_INTERVAL_MS));
        silent.clear();
        records.put("s-0", withCallSequence(records.get("s-0").withLapsed(false), 2));
        assertEquals(List.of(), lapsedWithin(20_000));
        silent.add("s-0");
        assertEquals(List.of("s-0"), lapsedWithin(SILENCE_MS + RUN_INTERVAL_MS));
    }
}
