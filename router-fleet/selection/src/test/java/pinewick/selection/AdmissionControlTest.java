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
    private static final int SLOTS = 12;

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

    /** Every replica responds with this latency, and reports these numbers of running and waiting requests. */
    private void load(double latencyMs, int running, int waiting, double nowMs) {
        for (ReplicaRecord each : replicas) {
            for (int response = 0; response < 40; response++) {
                ReplicaSelector.Call call = selector.startCall(
                        each, CallKind.AGGREGATED_DECODE, request(7, 100, 0, 5_000, nowMs), nowMs - latencyMs);
                call.onFirstEvent(nowMs);
                call.onEnd(CallOutcome.COMPLETED, nowMs);
            }
            selector.onLoadReport(each.instanceId(), RequestShapes.report(Stage.DECODE, waiting, running, 0.5, nowMs));
        }
    }

    private AdmissionDecision decide(RequestShape request, double nowMs) {
        return admission.decide(request, replicas, nowMs);
    }

    private int rejected(int count, int own, int priority, double timeMs, double nowMs) {
        int rejected = 0;
        for (int each = 0; each < count; each++) {
            rejected += decide(request(each, own, priority, timeMs, nowMs), nowMs) instanceof AdmissionDecision.Reject
                    ? 1
                    : 0;
        }
        return rejected;
    }

    /** Responses take 40 ms at first, then time out, so that the queueing delay exceeds the clients' deadlines. */
    private void overload(double nowMs) {
        load(40, 1, 0, nowMs - 10);
        for (ReplicaRecord each : replicas) {
            for (int late = 0; late < 20; late++) {
                selector.startCall(each, CallKind.AGGREGATED_DECODE, request(7, 100, 0, 5_000, nowMs), nowMs)
                        .onEnd(CallOutcome.TIMED_OUT, nowMs);
            }
            ReplicaSelector.Call completed = selector.startCall(
                    each, CallKind.AGGREGATED_DECODE, request(7, 100, 0, 5_000, nowMs), nowMs - 4_960);
            completed.onFirstEvent(nowMs);
            completed.onEnd(CallOutcome.COMPLETED, nowMs);
        }
    }

    private void report(int running, int waiting, double nowMs) {
        replicas.forEach(each -> selector.onLoadReport(
                each.instanceId(), RequestShapes.report(Stage.DECODE, waiting, running, 0.5, nowMs)));
    }

    @Test
    void anIdleServiceAdmitsEverything() {
        assertEquals(0, rejected(50, 100, 0, 5_000, 10));
        assertEquals(0, rejected(50, 100, 3, 20, 10));
    }

    @Test
    void nothingIsRejectedBelowHalfOfTheCapacityWithoutAQueue() {
        overload(1_000);
        report(SLOTS / 2 - 1, 0, 1_000);
        assertEquals(0, rejected(50, 100, 0, 5_000, 1_000));
    }

    @Test
    void aRequestThatCannotMeetItsDeadlineIsRejectedAtOnce() {
        overload(1_000);
        report(SLOTS, 10, 1_000);
        assertEquals(50, rejected(50, 100, 0, 4_000, 1_000));
    }

    @Test
    void aRequestThatWouldOnlyMissItsTargetIsAdmitted() {
        load(40, 1, 0, 500);
        load(900, SLOTS, 4, 1_500);
        assertEquals(0, rejected(50, 100, 0, 5_000, 1_500));
    }

    @Test
    void lowerPrioritiesAreRejectedFirst() {
        load(40, 1, 0, 500);
        load(2_000, SLOTS, 4, 3_000);
        double highPriorityMs = Double.NaN;
        double lowPriorityMs = Double.NaN;
        for (int time = 1_000; time < 5_000; time += 20) {
            // Each time is the longest that its admission control has seen, so that none is taken for a retry.
            AdmissionControl fresh = new AdmissionControl(selector, new SplittableRandom(3));
            if (Double.isNaN(highPriorityMs)
                    && fresh.decide(request(time, 100, 0, time, 3_000), replicas, 3_000) == AdmissionDecision.ADMIT) {
                highPriorityMs = time;
            }
            if (Double.isNaN(lowPriorityMs)
                    && fresh.decide(request(time, 100, 2, time, 3_000), replicas, 3_000) == AdmissionDecision.ADMIT) {
                lowPriorityMs = time;
            }
        }
        assertTrue(highPriorityMs < lowPriorityMs, highPriorityMs + " and " + lowPriorityMs);
    }

    @Test
    void longRequestsAreAdmittedAsOftenAsShortOnes() {
        overload(1_000);
        report(SLOTS, 10, 1_000);
        int shortRejected = 0;
        int longRejected = 0;
        int requests = 0;
        // Increasing, so that none is taken for a retry.
        for (double time = 1_000; time < 9_000; time += 20) {
            shortRejected += rejectedCount(request(requests, 100, 0, time, 1_000));
            longRejected += rejectedCount(request(requests, 20_000, 0, time, 1_000));
            requests++;
        }
        assertTrue(shortRejected > requests / 4 && shortRejected < 3 * requests / 4, shortRejected + " of " + requests);
        assertEquals(shortRejected, longRejected, 0.05 * requests);
    }

    private int rejectedCount(RequestShape request) {
        return decide(request, 1_000) instanceof AdmissionDecision.Reject ? 1 : 0;
    }

    @Test
    void aRetriedRequestIsNotRejectedAgain() {
        overload(1_000);
        report(SLOTS, 10, 1_000);
        assertInstanceOf(AdmissionDecision.Reject.class, decide(request(1, 100, 0, 4_000, 1_000), 1_000));
        assertEquals(0, rejected(20, 100, 0, 3_500, 1_000));
        assertEquals(20, rejected(20, 100, 0, 4_000, 1_000));
    }

    @Test
    void retryAfterIsBelowAThirdOfTheRemainingTimeAndJittered() {
        overload(1_000);
        report(SLOTS, 10, 1_000);
        List<Double> delays = new ArrayList<>();
        for (int each = 0; each < 50; each++) {
            AdmissionDecision.Reject rejection = assertInstanceOf(
                    AdmissionDecision.Reject.class, decide(request(each, 100, 0, 1_000, 1_000), 1_000));
            delays.add(rejection.retryAfterSeconds());
        }
        assertTrue(delays.stream().allMatch(seconds -> seconds > 0.09 && seconds <= 1 / 3.0), delays.toString());
    }
}
