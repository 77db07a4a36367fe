package pinewick.selection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pinewick.model.Stage;

/** Each term of the score by itself. */
class ReplicaMeasurementsTest {
    private static final SelectionTuning TUNING = SelectionTuning.DEFAULT;

    private final ReplicaPool pool = new ReplicaPool(Stage.NONE);
    private final PrefixCacheEstimates cacheEstimates = new PrefixCacheEstimates();
    private final ReplicaMeasurements measurements = add("a");

    private ReplicaMeasurements add(String id) {
        return new ReplicaMeasurements(
                TUNING, pool, cacheEstimates.estimate(id), RequestShapes.replica(id, Stage.NONE));
    }

    private CallMeasurement startCall(ReplicaMeasurements at, double nowMs) {
        return new CallMeasurement(
                "a",
                at,
                null,
                cacheEstimates,
                new SplittableRandom(1),
                CallKind.PLAIN,
                RequestShapes.plain(nowMs),
                PromptChain.EMPTY,
                1,
                nowMs);
    }

    private void completeCall(ReplicaMeasurements at, double fromMs, double tookMs) {
        startCall(at, fromMs).onEnd(CallOutcome.COMPLETED, fromMs + tookMs);
    }

    @Test
    void withoutSamplesLatencyAndServiceTimeAreATenthOfTheTarget() {
        assertEquals(40, measurements.plainServiceMs(RequestScores.initialEstimateMs(RequestShapes.plain(0)), 0));
        assertEquals(0, measurements.queueingDelayMs(0));
        assertEquals(40, measurements.score(40, 0, 9, 0));
    }

    @Test
    void serviceTimeIsTheMinimumRecentLatency() {
        completeCall(measurements, 0, 80);
        completeCall(measurements, 100, 50);
        completeCall(measurements, 200, 90);
        assertEquals(50, measurements.plainServiceMs(40, 300));
        completeCall(measurements, 8_000, 70);
        completeCall(measurements, 16_000, 75);
        assertEquals(70, measurements.plainServiceMs(40, 16_100), "samples older than two windows no longer count");
    }

    @Test
    void theCongestionTermIsCubicInOutstandingCallsTimesRouters() {
        startCall(measurements, 0);
        startCall(measurements, 0);
        // os = 2, n = 3, q = in flight = 2, 12 slots: q̂ = 1 + (6 + 2) / 12
        assertEquals(Math.pow(1 + 8 / 12.0, 3) * 10, measurements.score(10, 0, 3, 0), 1e-9);
    }

    @Test
    void aReportedQueueIsScaledByTheFractionOfKvCacheInUse() {
        measurements.onLoadReport(RequestShapes.report(Stage.NONE, 4, 12, 0.5, 100));
        // os = 0, q = 4, busy share 0.5, 12 slots: q̂ = 1 + 4 · 1.5 / 12
        assertEquals(1.5 * 1.5 * 1.5 * 10, measurements.score(10, 0, 3, 100), 1e-9);
    }

    @Test
    void withoutBatchCountingTheTermsAreUnscaled() {
        ReplicaMeasurements single = new ReplicaMeasurements(
                TUNING.withCountInBatches(false),
                pool,
                cacheEstimates.estimate("b"),
                RequestShapes.replica("b", Stage.NONE));
        startCall(single, 0);
        startCall(single, 0);
        // os = 2, n = 3, q = in flight = 2: q̂ = 1 + 6 + 2
        assertEquals(9 * 9 * 9 * 10, single.score(10, 0, 3, 0), 1e-9);
    }

    @Test
    void aReportDecaysAndAnEndedCallReducesItsQueue() {
        CallMeasurement call = startCall(measurements, 0);
        measurements.onLoadReport(RequestShapes.report(Stage.NONE, 4, 12, 0.5, 100));
        assertEquals(4, measurements.queueLength(100));
        call.onEnd(CallOutcome.CANCELLED, 100);
        assertEquals(3, measurements.queueLength(100), 1e-9);
        assertTrue(measurements.queueLength(120) < 3);
        assertEquals(0, measurements.queueLength(100_000), 1e-9);
        assertEquals(0, measurements.busyShare(100_000), 1e-9);
    }

    @Test
    void anOlderReportIsIgnored() {
        measurements.onLoadReport(RequestShapes.report(Stage.NONE, 4, 12, 0.5, 100));
        measurements.onLoadReport(RequestShapes.report(Stage.NONE, 9, 12, 0.5, 50));
        assertEquals(4, measurements.queueLength(100));
    }

    @Test
    void aReplicaWithoutSamplesHasTheAverageOfItsPool() {
        ReplicaMeasurements other = add("b");
        ReplicaMeasurements withoutSamples = add("c");
        completeCall(measurements, 0, 50);
        completeCall(measurements, 0, 150);
        completeCall(other, 0, 70);
        double mean = (measurements.ownQueueingDelayMs() + other.ownQueueingDelayMs()) / 2;
        assertTrue(mean > 0);
        assertEquals(mean, withoutSamples.queueingDelayMs(150), 1e-9);
        assertEquals((50 + 70) / 2.0, withoutSamples.plainServiceMs(40, 150), 1e-9);
    }

    @Test
    void aTimeoutCountsWithTheFullTimeout() {
        completeCall(measurements, 0, 50);
        double before = measurements.ownQueueingDelayMs();
        startCall(measurements, 100).onEnd(CallOutcome.TIMED_OUT, 600);
        assertEquals(before + 0.3 * (2_000 - 50 - before), measurements.ownQueueingDelayMs(), 1e-9);
    }

    @Test
    void anEarlyErrorCountsWithTheFullTimeout() {
        completeCall(measurements, 0, 50);
        double before = measurements.ownQueueingDelayMs();
        startCall(measurements, 100).onEnd(CallOutcome.FAILED, 101);
        assertEquals(before + 0.3 * (2_000 - 50 - before), measurements.ownQueueingDelayMs(), 1e-9);
    }

    @Test
    void anOverdueResponseCountsBeforeItsTimeout() {
        completeCall(measurements, 0, 50);
        startCall(measurements, 1_000);
        assertEquals(0, measurements.overdueMs(1_050), 1e-9);
        assertEquals(700, measurements.overdueMs(1_750), 1e-9);
        assertEquals(700, measurements.queueingDelayMs(1_750), 1e-9);
    }

    @Test
    void theOldestWaitingCallDeterminesTheDelay() {
        completeCall(measurements, 0, 50);
        CallMeasurement first = startCall(measurements, 1_000);
        CallMeasurement second = startCall(measurements, 1_400);
        CallMeasurement third = startCall(measurements, 1_800);
        second.onEnd(CallOutcome.CANCELLED, 1_900);
        assertEquals(950, measurements.overdueMs(2_000), 1e-9);
        first.onFirstEvent(2_000);
        assertEquals(150, measurements.overdueMs(2_000), 1e-9);
        third.onEnd(CallOutcome.CANCELLED, 2_000);
        assertEquals(0, measurements.overdueMs(2_000), 1e-9);
        assertEquals(700, measurements.overdueMs(3_000), 1e-9, "a stream without events");
        first.onEnd(CallOutcome.COMPLETED, 3_000);
        assertEquals(0, measurements.overdueMs(3_500), 1e-9);
        assertEquals(0, measurements.outstanding());
    }

    @Test
    void aBadMeasurementDecaysWithoutSamples() {
        completeCall(add("b"), 0, 50);
        completeCall(measurements, 0, 50);
        startCall(measurements, 100).onEnd(CallOutcome.TIMED_OUT, 2_100);
        double fresh = measurements.queueingDelayMs(2_100);
        double average = pool.averageQueueingDelayMs(2_100);
        assertEquals(
                average + (fresh - average) / 2,
                measurements.queueingDelayMs(2_100 + TUNING.queueingDelayHalfLifeMs()),
                1e-6);
    }

    @Test
    void aLateCancelledCallIsStillMeasured() {
        completeCall(measurements, 0, 50);
        startCall(measurements, 100).onEnd(CallOutcome.CANCELLED, 120);
        assertEquals(
                measurements.ownQueueingDelayMs(), 10, 1e-9, "the first response, beyond the initial estimate of 40");
        startCall(measurements, 200).onEnd(CallOutcome.CANCELLED, 1_250);
        assertEquals(10 + 0.3 * (1_000 - 10), measurements.ownQueueingDelayMs(), 1e-9);
    }

    @Test
    void anEndedCallIsNotMeasuredAgain() {
        CallMeasurement call = startCall(measurements, 0);
        call.onEnd(CallOutcome.COMPLETED, 50);
        call.onEnd(CallOutcome.TIMED_OUT, 60);
        call.onFirstEvent(70);
        call.onEvent(80);
        assertEquals(0, measurements.outstanding());
        assertEquals(10, measurements.ownQueueingDelayMs(), 1e-9);
    }

    @Test
    void consecutiveFailuresEjectForIncreasingTimes() {
        startCall(measurements, 0).onEnd(CallOutcome.FAILED, 10);
        assertFalse(measurements.isEjected(10), "one failure does not eject");
        startCall(measurements, 20).onEnd(CallOutcome.FAILED, 30);
        assertTrue(measurements.isEjected(40));
        double now = 30;
        double lastEjectionMs = 0;
        for (int each = 0; each < 4; each++) {
            double from = now;
            while (measurements.isEjected(now)) {
                now += 10;
            }
            assertTrue(measurements.isEjectionOver(now));
            assertTrue(now - from > lastEjectionMs, "ejected for " + (now - from) + " ms after " + lastEjectionMs);
            lastEjectionMs = now - from;
            CallMeasurement probe = startCall(measurements, now);
            assertTrue(measurements.isEjected(now), "it is probed by one request at a time");
            probe.onEnd(CallOutcome.CONNECT_FAILED, now + 1);
        }
        while (measurements.isEjected(now)) {
            now += 10;
        }
        startCall(measurements, now).onEnd(CallOutcome.COMPLETED, now + 50);
        startCall(measurements, now + 60);
        assertFalse(measurements.isEjected(now + 60));
    }

    @Test
    void aRefusedConnectionEjectsAtOnce() {
        startCall(measurements, 0).onEnd(CallOutcome.CONNECT_FAILED, 1);
        assertTrue(measurements.isEjected(2));
    }
}
