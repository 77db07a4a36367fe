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
    private final PrefixCacheEstimates beliefs = new PrefixCacheEstimates();
    private final ReplicaMeasurements measured = add("a");

    private ReplicaMeasurements add(String id) {
        return new ReplicaMeasurements(TUNING, pool, beliefs.estimate(id), RequestShapes.replica(id, Stage.NONE));
    }

    private CallMeasurement begin(ReplicaMeasurements at, double nowMs) {
        return new CallMeasurement(
                "a",
                at,
                null,
                beliefs,
                new SplittableRandom(1),
                CallKind.PLAIN,
                RequestShapes.plain(nowMs),
                PromptChain.EMPTY,
                1,
                nowMs);
    }

    private void answer(ReplicaMeasurements at, double fromMs, double tookMs) {
        begin(at, fromMs).onEnd(CallOutcome.COMPLETED, fromMs + tookMs);
    }

    @Test
    void withoutSamplesLatencyAndServiceTimeAreATenthOfTheTarget() {
        assertEquals(40, measured.plainServiceMs(RequestScores.initialEstimateMs(RequestShapes.plain(0)), 0));
        assertEquals(0, measured.queueingDelayMs(0));
        assertEquals(40, measured.score(40, 0, 9, 0));
    }

    @Test
    void serviceTimeIsTheLowestRecentAnswerTime() {
        answer(measured, 0, 80);
        answer(measured, 100, 50);
        answer(measured, 200, 90);
        assertEquals(50, measured.plainServiceMs(40, 300));
        answer(measured, 8_000, 70);
        answer(measured, 16_000, 75);
        assertEquals(70, measured.plainServiceMs(40, 16_100), "what is older than two windows is forgotten");
    }

    @Test
    void theCongestionTermIsCubicInOutstandingCallsTimesRouters() {
        begin(measured, 0);
        begin(measured, 0);
        // os = 2, n = 3, q = in flight = 2, 12 slots: q̂ = 1 + (6 + 2) / 12
        assertEquals(Math.pow(1 + 8 / 12.0, 3) * 10, measured.score(10, 0, 3, 0), 1e-9);
    }

    @Test
    void aReportedQueueIsScaledByTheShareOfMemoryInUse() {
        measured.onLoadReport(RequestShapes.report(Stage.NONE, 4, 12, 0.5, 100));
        // os = 0, q = 4, busy share 0.5, 12 slots: q̂ = 1 + 4 · 1.5 / 12
        assertEquals(1.5 * 1.5 * 1.5 * 10, measured.score(10, 0, 3, 100), 1e-9);
    }

    @Test
    void withoutBatchCountingTheTermsAreUnscaled() {
        ReplicaMeasurements single = new ReplicaMeasurements(
                TUNING.withCountInBatches(false), pool, beliefs.estimate("b"), RequestShapes.replica("b", Stage.NONE));
        begin(single, 0);
        begin(single, 0);
        // os = 2, n = 3, q = in flight = 2: q̂ = 1 + 6 + 2
        assertEquals(9 * 9 * 9 * 10, single.score(10, 0, 3, 0), 1e-9);
    }

    @Test
    void aReportDecaysAndAnEndedCallReducesItsQueue() {
        CallMeasurement call = begin(measured, 0);
        measured.onLoadReport(RequestShapes.report(Stage.NONE, 4, 12, 0.5, 100));
        assertEquals(4, measured.queueLength(100));
        call.onEnd(CallOutcome.CANCELLED, 100);
        assertEquals(3, measured.queueLength(100), 1e-9);
        assertTrue(measured.queueLength(120) < 3);
        assertEquals(0, measured.queueLength(100_000), 1e-9);
        assertEquals(0, measured.busyShare(100_000), 1e-9);
    }

    @Test
    void anOlderReportIsIgnored() {
        measured.onLoadReport(RequestShapes.report(Stage.NONE, 4, 12, 0.5, 100));
        measured.onLoadReport(RequestShapes.report(Stage.NONE, 9, 12, 0.5, 50));
        assertEquals(4, measured.queueLength(100));
    }

    @Test
    void aReplicaWithoutSamplesHasTheAverageOfItsPool() {
        ReplicaMeasurements other = add("b");
        ReplicaMeasurements unheard = add("c");
        answer(measured, 0, 50);
        answer(measured, 0, 150);
        answer(other, 0, 70);
        double mean = (measured.ownQueueingDelayMs() + other.ownQueueingDelayMs()) / 2;
        assertTrue(mean > 0);
        assertEquals(mean, unheard.queueingDelayMs(150), 1e-9);
        assertEquals((50 + 70) / 2.0, unheard.plainServiceMs(40, 150), 1e-9);
    }

    @Test
    void aTimeOutCountsAsTheFullTimeOut() {
        answer(measured, 0, 50);
        double before = measured.ownQueueingDelayMs();
        begin(measured, 100).onEnd(CallOutcome.TIMED_OUT, 600);
        assertEquals(before + 0.3 * (2_000 - 50 - before), measured.ownQueueingDelayMs(), 1e-9);
    }

    @Test
    void anEarlyErrorCountsAsTheFullTimeOutToo() {
        answer(measured, 0, 50);
        double before = measured.ownQueueingDelayMs();
        begin(measured, 100).onEnd(CallOutcome.FAILED, 101);
        assertEquals(before + 0.3 * (2_000 - 50 - before), measured.ownQueueingDelayMs(), 1e-9);
    }

    @Test
    void anOverdueResponseCountsBeforeItsTimeout() {
        answer(measured, 0, 50);
        begin(measured, 1_000);
        assertEquals(0, measured.overdueMs(1_050), 1e-9);
        assertEquals(700, measured.overdueMs(1_750), 1e-9);
        assertEquals(700, measured.queueingDelayMs(1_750), 1e-9);
    }

    @Test
    void theOldestWaitingCallDeterminesTheDelay() {
        answer(measured, 0, 50);
        CallMeasurement first = begin(measured, 1_000);
        CallMeasurement second = begin(measured, 1_400);
        CallMeasurement third = begin(measured, 1_800);
        second.onEnd(CallOutcome.CANCELLED, 1_900);
        assertEquals(950, measured.overdueMs(2_000), 1e-9);
        first.onFirstEvent(2_000);
        assertEquals(150, measured.overdueMs(2_000), 1e-9);
        third.onEnd(CallOutcome.CANCELLED, 2_000);
        assertEquals(0, measured.overdueMs(2_000), 1e-9);
        assertEquals(700, measured.overdueMs(3_000), 1e-9, "a stream that fell silent");
        first.onEnd(CallOutcome.COMPLETED, 3_000);
        assertEquals(0, measured.overdueMs(3_500), 1e-9);
        assertEquals(0, measured.outstanding());
    }

    @Test
    void aBadMeasurementDecaysWithoutSamples() {
        answer(add("b"), 0, 50);
        answer(measured, 0, 50);
        begin(measured, 100).onEnd(CallOutcome.TIMED_OUT, 2_100);
        double fresh = measured.queueingDelayMs(2_100);
        double average = pool.averageQueueingDelayMs(2_100);
        assertEquals(
                average + (fresh - average) / 2,
                measured.queueingDelayMs(2_100 + TUNING.queueingDelayHalfLifeMs()),
                1e-6);
    }

    @Test
    void aLateCancelledCallIsStillMeasured() {
        answer(measured, 0, 50);
        begin(measured, 100).onEnd(CallOutcome.CANCELLED, 120);
        assertEquals(measured.ownQueueingDelayMs(), 10, 1e-9, "the first answer, beyond the first guess of 40");
        begin(measured, 200).onEnd(CallOutcome.CANCELLED, 1_250);
        assertEquals(10 + 0.3 * (1_000 - 10), measured.ownQueueingDelayMs(), 1e-9);
    }

    @Test
    void anEndedCallIsNotMeasuredAgain() {
        CallMeasurement call = begin(measured, 0);
        call.onEnd(CallOutcome.COMPLETED, 50);
        call.onEnd(CallOutcome.TIMED_OUT, 60);
        call.onFirstEvent(70);
        call.onEvent(80);
        assertEquals(0, measured.outstanding());
        assertEquals(10, measured.ownQueueingDelayMs(), 1e-9);
    }

    @Test
    void consecutiveFailuresEjectForIncreasingTimes() {
        begin(measured, 0).onEnd(CallOutcome.FAILED, 10);
        assertFalse(measured.isEjected(10), "one alone does not");
        begin(measured, 20).onEnd(CallOutcome.FAILED, 30);
        assertTrue(measured.isEjected(40));
        double now = 30;
        double lastRest = 0;
        for (int each = 0; each < 4; each++) {
            double from = now;
            while (measured.isEjected(now)) {
                now += 10;
            }
            assertTrue(measured.isEjectionOver(now));
            assertTrue(now - from > lastRest, "rest " + (now - from) + " after " + lastRest);
            lastRest = now - from;
            CallMeasurement trial = begin(measured, now);
            assertTrue(measured.isEjected(now), "one request at a time tries it");
            trial.onEnd(CallOutcome.CONNECT_FAILED, now + 1);
        }
        while (measured.isEjected(now)) {
            now += 10;
        }
        begin(measured, now).onEnd(CallOutcome.COMPLETED, now + 50);
        begin(measured, now + 60);
        assertFalse(measured.isEjected(now + 60));
    }

    @Test
    void aRefusedConnectionEjectsAtOnce() {
        begin(measured, 0).onEnd(CallOutcome.CONNECT_FAILED, 1);
        assertTrue(measured.isEjected(2));
    }
}
