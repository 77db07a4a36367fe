package pinewick.selection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pinewick.model.ReplicaRecord;
import pinewick.model.Stage;

class AdmissionControlTest {
    private static final int PLACES = 12;

    private final ReplicaSelector selector = new ReplicaSelector(new SplittableRandom(1));
    private final AdmissionControl admission = new AdmissionControl(selector, new SplittableRandom(2));
    private final List<ReplicaRecord> replicas = new ArrayList<>();

    AdmissionControlTest() {
        for (int each = 0; each < 4; each++) {
            replicas.add(RequestShapes.replica("r" + each, Stage.DECODE));
        }
        selector.setEngine("s", RequestShapes.ENGINE);
        selector.choose(request(1, 100, 0, 5_000, 0), replicas, Set.of(), 0);
    }

    private static RequestShape request(long id, int own, int priority, double timeMs, double nowMs) {
        return new RequestShape(
                RequestShapes.route("p" + priority, 300, 5_000, priority),
                "s",
                true,
                "m",
                16 + own,
                40,
                List.of(new PromptPart(1, 16), new PromptPart(1_000 + id, own)),
                nowMs,
                nowMs + timeMs);
    }

    /** Every replica answers this late, and reports so many at work and waiting. */
    private void load(double waitMs, int running, int waiting, double nowMs) {
        for (ReplicaRecord each : replicas) {
            for (int answer = 0; answer < 40; answer++) {
                ReplicaSelector.Call call = selector.startCall(
                        each, CallKind.AGGREGATED_DECODE, request(7, 100, 0, 5_000, nowMs), nowMs - waitMs);
                call.onFirstEvent(nowMs);
                call.onEnd(CallOutcome.COMPLETED, nowMs);
            }
            selector.onLoadReport(each.instanceId(), RequestShapes.report(Stage.DECODE, waiting, running, 0.5, nowMs));
        }
    }

    private AdmissionDecision decide(RequestShape request, double nowMs) {
        return admission.decide(request, replicas, nowMs);
    }

    private int refused(int count, int own, int priority, double timeMs, double nowMs) {
        int refused = 0;
        for (int each = 0; each < count; each++) {
            refused += decide(request(each, own, priority, timeMs, nowMs), nowMs) instanceof AdmissionDecision.Reject
                    ? 1
                    : 0;
        }
        return refused;
    }

    /** A wait that outlasts the client is measured where answers came at 40 ms at first. */
    private void jam(double nowMs) {
        load(40, 1, 0, nowMs - 10);
        for (ReplicaRecord each : replicas) {
            for (int late = 0; late < 20; late++) {
                selector.startCall(each, CallKind.AGGREGATED_DECODE, request(7, 100, 0, 5_000, nowMs), nowMs)
                        .onEnd(CallOutcome.TIMED_OUT, nowMs);
            }
            ReplicaSelector.Call alive = selector.startCall(
                    each, CallKind.AGGREGATED_DECODE, request(7, 100, 0, 5_000, nowMs), nowMs - 4_960);
            alive.onFirstEvent(nowMs);
            alive.onEnd(CallOutcome.COMPLETED, nowMs);
        }
    }

    private void report(int running, int waiting, double nowMs) {
        replicas.forEach(each -> selector.onLoadReport(
                each.instanceId(), RequestShapes.report(Stage.DECODE, waiting, running, 0.5, nowMs)));
    }

    @Test
    void anIdleServiceAdmitsEverything() {
        assertEquals(0, refused(50, 100, 0, 5_000, 10));
        assertEquals(0, refused(50, 100, 3, 20, 10));
    }

    @Test
    void nothingIsRejectedBelowHalfOfTheCapacityWithoutAQueue() {
        jam(1_000);
        report(PLACES / 2 - 1, 0, 1_000);
        assertEquals(0, refused(50, 100, 0, 5_000, 1_000));
    }

    @Test
    void aRequestThatCannotMeetItsDeadlineIsRejectedAtOnce() {
        jam(1_000);
        report(PLACES, 10, 1_000);
        assertEquals(50, refused(50, 100, 0, 4_000, 1_000));
    }

    @Test
    void aRequestThatWouldOnlyMissItsTargetIsAdmitted() {
        load(40, 1, 0, 500);
        load(900, PLACES, 4, 1_500);
        assertEquals(0, refused(50, 100, 0, 5_000, 1_500));
    }

    @Test
    void lowerPrioritiesAreRejectedFirst() {
        load(40, 1, 0, 500);
        load(2_000, PLACES, 4, 3_000);
        double lowest = Double.NaN;
        double lowestLess = Double.NaN;
        for (int time = 1_000; time < 5_000; time += 20) {
            // Each time is the longest that its control has seen, so that none looks like a later try.
            AdmissionControl fresh = new AdmissionControl(selector, new SplittableRandom(3));
            if (Double.isNaN(lowest)
                    && fresh.decide(request(time, 100, 0, time, 3_000), replicas, 3_000) == AdmissionDecision.ADMIT) {
                lowest = time;
            }
            if (Double.isNaN(lowestLess)
                    && fresh.decide(request(time, 100, 2, time, 3_000), replicas, 3_000) == AdmissionDecision.ADMIT) {
                lowestLess = time;
            }
        }
        assertTrue(lowest < lowestLess, lowest + " and " + lowestLess);
    }

    @Test
    void longRequestsAreAdmittedAsOftenAsShortOnes() {
        jam(1_000);
        report(PLACES, 10, 1_000);
        int shortRefused = 0;
        int longRefused = 0;
        int asked = 0;
        // Rising, so that none looks like a later try.
        for (double time = 1_000; time < 9_000; time += 20) {
            shortRefused += refusedBy(request(asked, 100, 0, time, 1_000));
            longRefused += refusedBy(request(asked, 20_000, 0, time, 1_000));
            asked++;
        }
        assertTrue(shortRefused > asked / 4 && shortRefused < 3 * asked / 4, shortRefused + " of " + asked);
        assertEquals(shortRefused, longRefused, 0.05 * asked);
    }

    private int refusedBy(RequestShape request) {
        return decide(request, 1_000) instanceof AdmissionDecision.Reject ? 1 : 0;
    }

    @Test
    void aRetriedRequestIsNotRejectedAgain() {
        jam(1_000);
        report(PLACES, 10, 1_000);
        assertInstanceOf(AdmissionDecision.Reject.class, decide(request(1, 100, 0, 4_000, 1_000), 1_000));
        assertEquals(0, refused(20, 100, 0, 3_500, 1_000));
        assertEquals(20, refused(20, 100, 0, 4_000, 1_000));
    }

    @Test
    void retryAfterIsBelowAThirdOfTheRemainingTimeAndJittered() {
        jam(1_000);
        report(PLACES, 10, 1_000);
        List<Double> advice = new ArrayList<>();
        for (int each = 0; each < 50; each++) {
            AdmissionDecision.Reject refusal = assertInstanceOf(
                    AdmissionDecision.Reject.class, decide(request(each, 100, 0, 1_000, 1_000), 1_000));
            advice.add(refusal.retryAfterSeconds());
        }
        assertTrue(advice.stream().allMatch(seconds -> seconds > 0.09 && seconds <= 1 / 3.0), advice.toString());
    }
}
