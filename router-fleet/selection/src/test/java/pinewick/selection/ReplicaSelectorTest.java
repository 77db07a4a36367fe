package pinewick.selection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.Stage;

class ReplicaSelectorTest {
    private final ReplicaSelector selector = new ReplicaSelector(new SplittableRandom(7));

    private static List<ReplicaRecord> replicas(Stage stage, int count) {
        List<ReplicaRecord> replicas = new ArrayList<>();
        for (int each = 0; each < count; each++) {
            replicas.add(RequestShapes.replica(stage.wireName() + each, stage));
        }
        return replicas;
    }

    private static List<ReplicaRecord> fleet(int prefills, int decodes) {
        List<ReplicaRecord> all = replicas(Stage.PREFILL, prefills);
        all.addAll(replicas(Stage.DECODE, decodes));
        return all;
    }

    private String plain(List<ReplicaRecord> candidates, double nowMs) {
        return selector.choose(RequestShapes.plain(nowMs), candidates, Set.of(), nowMs)
                .orElseThrow()
                .decode()
                .instanceId();
    }

    private void completePlainCall(ReplicaRecord replica, double fromMs, double tookMs) {
        selector.startCall(replica, CallKind.PLAIN, RequestShapes.plain(fromMs), fromMs)
                .onEnd(CallOutcome.COMPLETED, fromMs + tookMs);
    }

    /**
     * Gives the selector samples of all kinds of calls: a token takes 0.01 ms to prefill at prefill replicas, 0.02 ms
     * at decode replicas, and 0.001 ms to transfer.
     */
    private void recordServiceTimes(List<ReplicaRecord> fleet) {
        for (int each = 0; each < 8; each++) {
            int tokens = 2_000 * (each + 1);
            RequestShape request = RequestShapes.generation(5_000 + each, 16, tokens - 16, 0);
            for (ReplicaRecord replica : fleet) {
                if (replica.stage() == Stage.PREFILL) {
                    selector.startCall(replica, CallKind.PREFILL, request, 0)
                            .onEnd(CallOutcome.COMPLETED, 20 + 0.01 * tokens);
                } else {
                    ReplicaSelector.Call aggregated =
                            selector.startCall(replica, CallKind.AGGREGATED_DECODE, request, 0);
                    aggregated.onFirstEvent(20 + 0.02 * tokens);
                    aggregated.onEnd(CallOutcome.COMPLETED, 20 + 0.02 * tokens);
                    ReplicaSelector.Call disaggregated =
                            selector.startDisaggregatedDecode(replica, fleet.get(0), request, 0);
                    disaggregated.onFirstEvent(20 + 0.001 * tokens);
                    disaggregated.onEnd(CallOutcome.COMPLETED, 20 + 0.001 * tokens);
                }
            }
        }
    }

    @Test
    void equalScoresAreChosenAtRandom() {
        List<ReplicaRecord> candidates = replicas(Stage.NONE, 4);
        Map<String, Integer> counts = new HashMap<>();
        for (int each = 0; each < 4_000; each++) {
            counts.merge(plain(candidates, 0), 1, Integer::sum);
        }
        assertEquals(4, counts.size());
        assertTrue(counts.values().stream().allMatch(count -> count > 800 && count < 1_200), counts.toString());
    }

    @Test
    void theLowestScoreIsChosen() {
        List<ReplicaRecord> candidates = replicas(Stage.NONE, 3);
        completePlainCall(candidates.get(0), 0, 80);
        completePlainCall(candidates.get(1), 0, 50);
        completePlainCall(candidates.get(2), 0, 70);
        assertEquals("none1", plain(candidates, 100));
        selector.startCall(candidates.get(1), CallKind.PLAIN, RequestShapes.plain(100), 100);
        assertEquals("none2", plain(candidates, 100), "an outstanding call raises the score");
    }

    @Test
    void choicesFollowReports() {
        List<ReplicaRecord> candidates = replicas(Stage.NONE, 2);
        completePlainCall(candidates.get(0), 0, 50);
        completePlainCall(candidates.get(1), 0, 60);
        selector.onLoadReport("none0", RequestShapes.report(Stage.NONE, 5, 6, 0.3, 100));
        selector.onLoadReport("none1", RequestShapes.report(Stage.NONE, 0, 2, 0.3, 100));
        assertEquals("none1", plain(candidates, 100));
        assertEquals("none0", plain(candidates, 3_000), "an old report no longer counts");
    }

    @Test
    void ineligibleReplicasAreNotChosen() {
        List<ReplicaRecord> candidates = List.of(
                RequestShapes.replica("draining", Stage.DECODE, ReplicaState.DRAINING, "m"),
                RequestShapes.replica("lapsed", Stage.DECODE).withLapsed(true),
                RequestShapes.replica("other-model", Stage.DECODE, ReplicaState.READY, "x"),
                RequestShapes.replica("tried", Stage.DECODE),
                RequestShapes.replica("busy", Stage.DECODE),
                RequestShapes.replica("reads", Stage.PREFILL),
                RequestShapes.replica("fit", Stage.DECODE));
        selector.setEngine("s", RequestShapes.ENGINE);
        RequestShape request = RequestShapes.generation(1, 10, 10, 0);
        selector.choose(request, candidates, Set.of(), 0);
        selector.onLoadReport("busy", new LoadReport(Stage.DECODE, true, 1, 0, 0, 0, 1_000, 0, 0));
        for (int each = 0; each < 200; each++) {
            ReplicaPair pair =
                    selector.choose(request, candidates, Set.of("tried"), 0).orElseThrow();
            assertEquals("fit", pair.decode().instanceId());
        }
        assertTrue(
                selector.choose(request, candidates.subList(0, 3), Set.of(), 0).isEmpty());
        assertTrue(selector.choose(request, List.of(candidates.get(5)), Set.of(), 0)
                .isEmpty());
        assertTrue(selector.choose(request, List.of(), Set.of(), 0).isEmpty());
    }

    @Test
    void aCompletedStageChangeMakesAReplicaEligible() {
        List<ReplicaRecord> candidates = List.of(RequestShapes.replica("busy", Stage.DECODE));
        selector.setEngine("s", RequestShapes.ENGINE);
        RequestShape request = RequestShapes.generation(1, 10, 10, 0);
        selector.choose(request, candidates, Set.of(), 0);
        selector.onLoadReport("busy", new LoadReport(Stage.DECODE, true, 1, 0, 0, 0, 1_000, 0, 0));
        assertTrue(selector.choose(request, candidates, Set.of(), 0).isEmpty());
        assertFalse(selector.choose(request, candidates, Set.of(), 2_400).isEmpty());
    }

    @Test
    void aPromptGoesToTheReplicaWithItsPrefixCached() {
        List<ReplicaRecord> fleet = fleet(0, 4);
        selector.setEngine("s", RequestShapes.ENGINE);
        recordServiceTimes(fleet);
        RequestShape request = RequestShapes.generation(1, 10_000, 500, 1_000);
        ReplicaRecord first =
                selector.choose(request, fleet, Set.of(), 1_000).orElseThrow().decode();
        ReplicaSelector.Call call = selector.startCall(first, CallKind.AGGREGATED_DECODE, request, 1_000);
        call.onFirstEvent(1_230);
        call.onEnd(CallOutcome.COMPLETED, 1_230);
        for (int each = 0; each < 20; each++) {
            RequestShape next = RequestShapes.generation(1, 10_000, 500, 1_500);
            assertEquals(
                    first,
                    selector.choose(next, fleet, Set.of(), 1_500).orElseThrow().decode());
        }
        selector.removeReplica(first.instanceId());
        int elsewhere = 0;
        for (int each = 0; each < 20; each++) {
            RequestShape next = RequestShapes.generation(1, 10_000, 500, 1_500);
            elsewhere +=
                    selector.choose(next, fleet, Set.of(), 1_500).orElseThrow().decode() == first ? 0 : 1;
        }
        assertTrue(elsewhere > 5, "an instance added again has nothing cached");
    }

    @Test
    void aLongPromptIsServedDisaggregatedAndAShortOneAggregated() {
        List<ReplicaRecord> fleet = fleet(2, 3);
        selector.setEngine("s", RequestShapes.ENGINE);
        recordServiceTimes(fleet);
        ReplicaPair longPair = selector.choose(
                        RequestShapes.generation(1, 12_000, 4_000, 1_000), fleet, Set.of(), 1_000)
                .orElseThrow();
        ReplicaPair shortPair = selector.choose(RequestShapes.generation(2, 90, 300, 1_000), fleet, Set.of(), 1_000)
                .orElseThrow();
        assertEquals(Stage.PREFILL, longPair.prefill().orElseThrow().stage());
        assertEquals(Stage.DECODE, longPair.decode().stage());
        assertEquals(Optional.empty(), shortPair.prefill());
    }

    @Test
    void withoutMeasurementsTheSizeOfTheFirstRequestDoesNotSetTheTokenTime() {
        List<ReplicaRecord> fleet = fleet(2, 3);
        selector.setEngine("s", RequestShapes.ENGINE);
        RequestShape brief = RequestShapes.generation(2, 16, 16, 0);
        ReplicaSelector.Call call = selector.startCall(fleet.get(2), CallKind.AGGREGATED_DECODE, brief, 0);
        call.onFirstEvent(30);
        call.onEnd(CallOutcome.COMPLETED, 30);
        ReplicaPair pair = selector.choose(RequestShapes.generation(1, 12_000, 4_000, 100), fleet, Set.of(), 100)
                .orElseThrow();
        assertTrue(pair.decode().stage() == Stage.DECODE);
        RequestShape large = RequestShapes.generation(3, 12_000, 4_000, 100);
        for (int each = 0; each < 3; each++) {
            ReplicaSelector.Call aggregated = selector.startCall(fleet.get(3), CallKind.AGGREGATED_DECODE, large, 100);
            aggregated.onFirstEvent(450);
            aggregated.onEnd(CallOutcome.COMPLETED, 450);
        }
        ReplicaPair next = selector.choose(RequestShapes.generation(4, 12_000, 4_000, 500), fleet, Set.of(), 500)
                .orElseThrow();
        assertTrue(next.prefill().isPresent(), "prefill replicas are assumed to take half as long as decode replicas");
    }

    @Test
    void prefillReplicasAreNotIdleWhileDecodeReplicasPrefill() {
        List<ReplicaRecord> fleet = fleet(2, 3);
        selector.setEngine("s", RequestShapes.ENGINE);
        selector.setRouterCount(9);
        recordServiceTimes(fleet);
        int viaPrefill = 0;
        for (int each = 0; each < 40; each++) {
            double now = 1_000 + 100 * each;
            RequestShape request = RequestShapes.generation(100 + each, 1_000, 1_500, now);
            ReplicaPair pair = selector.choose(request, fleet, Set.of(), now).orElseThrow();
            viaPrefill += pair.prefill().isPresent() ? 1 : 0;
            for (ReplicaRecord decode : fleet.subList(2, 5)) {
                ReplicaSelector.Call brief = selector.startCall(
                        decode, CallKind.AGGREGATED_DECODE, RequestShapes.generation(2, 90, 300, now), now);
                brief.onFirstEvent(now + 150);
                brief.onEnd(CallOutcome.COMPLETED, now + 150);
            }
        }
        assertTrue(
                viaPrefill >= 30,
                "served by prefill replicas: " + viaPrefill + " of 40 while decode replicas are slow");
    }

    @Test
    void aLostHandleCountsAgainstItsPrefillReplica() {
        List<ReplicaRecord> fleet = fleet(2, 2);
        selector.setEngine("s", RequestShapes.ENGINE);
        recordServiceTimes(fleet);
        RequestShape request = RequestShapes.generation(1, 12_000, 4_000, 1_000);
        for (int each = 0; each < 3; each++) {
            selector.startDisaggregatedDecode(fleet.get(2), fleet.get(0), request, 1_000)
                    .onEnd(CallOutcome.REJECTED, 1_005);
        }
        for (int each = 0; each < 20; each++) {
            RequestShape next = RequestShapes.generation(10 + each, 12_000, 4_000, 1_010);
            ReplicaPair pair = selector.choose(next, fleet, Set.of(), 1_010).orElseThrow();
            assertFalse(pair.prefill().isPresent() && pair.prefill().get() == fleet.get(0));
        }
    }

    @Test
    void atMostHalfAreEjected() {
        List<ReplicaRecord> candidates = replicas(Stage.NONE, 4);
        for (ReplicaRecord each : candidates) {
            selector.startCall(each, CallKind.PLAIN, RequestShapes.plain(0), 0).onEnd(CallOutcome.CONNECT_FAILED, 1);
        }
        assertTrue(
                selector.choose(RequestShapes.plain(2), candidates, Set.of(), 2).isPresent());
    }

    @Test
    void anEjectedReplicaIsNotChosenUntilItsEjectionEnds() {
        List<ReplicaRecord> candidates = replicas(Stage.NONE, 3);
        candidates.forEach(each -> completePlainCall(each, 0, 50));
        selector.startCall(candidates.get(0), CallKind.PLAIN, RequestShapes.plain(100), 100)
                .onEnd(CallOutcome.CONNECT_FAILED, 101);
        for (int each = 0; each < 100; each++) {
            assertFalse(plain(candidates, 110).equals("none0"));
        }
        // While the others are idle their scores are the lowest; once they are busy the replica is probed again.
        for (int call = 0; call < 12; call++) {
            candidates
                    .subList(1, 3)
                    .forEach(each -> selector.startCall(each, CallKind.PLAIN, RequestShapes.plain(2_000), 2_000));
        }
        assertEquals("none0", plain(candidates, 2_010));
        selector.startCall(candidates.get(0), CallKind.PLAIN, RequestShapes.plain(2_010), 2_010);
        for (int each = 0; each < 100; each++) {
            assertFalse(plain(candidates, 2_020).equals("none0"), "it is probed by one request at a time");
        }
    }

    @Test
    void aHungReplicaIsAvoidedBeforeItsTimeout() {
        List<ReplicaRecord> candidates = replicas(Stage.NONE, 2);
        completePlainCall(candidates.get(0), 0, 20);
        completePlainCall(candidates.get(1), 0, 200);
        ReplicaSelector.Call hung =
                selector.startCall(candidates.get(0), CallKind.PLAIN, RequestShapes.plain(100), 100);
        assertEquals("none1", plain(candidates, 1_500));
        hung.onEnd(CallOutcome.TIMED_OUT, 2_100);
        assertEquals("none1", plain(candidates, 2_100));
    }

    @Test
    void theDecodeReplicaIsChosenAgainAfterPrefill() {
        List<ReplicaRecord> fleet = fleet(1, 2);
        selector.setEngine("s", RequestShapes.ENGINE);
        recordServiceTimes(fleet);
        RequestShape request = RequestShapes.generation(1, 12_000, 4_000, 1_000);
        selector.startCall(
                fleet.get(1), CallKind.AGGREGATED_DECODE, RequestShapes.generation(2, 90, 300, 1_000), 1_000);
        assertEquals(
                fleet.get(2),
                selector.chooseDecode(request, fleet.get(0), fleet, Set.of(), 1_000)
                        .orElseThrow());
        assertEquals(
                fleet.get(1),
                selector.chooseDecode(request, fleet.get(0), fleet, Set.of("decode1"), 1_000)
                        .orElseThrow());
    }

    @Test
    void aPromptIsTransferredOnlyToReplicasOfTheSameWeights() {
        ReplicaRecord prefillReplica = RequestShapes.replica("reader", Stage.PREFILL);
        ReplicaRecord same = RequestShapes.replica("same", Stage.DECODE);
        ReplicaRecord newer = new ReplicaRecord(
                "newer",
                "s",
                same.address(),
                "z",
                "v2",
                12,
                ReplicaState.READY,
                0,
                Stage.DECODE,
                List.of(new ReplicaRecord.ModelVersion("m", 2)),
                1,
                false);
        selector.setEngine("s", RequestShapes.ENGINE);
        RequestShape request = RequestShapes.generation(1, 12_000, 4_000, 0);
        for (int each = 0; each < 50; each++) {
            assertEquals(
                    same,
                    selector.chooseDecode(request, prefillReplica, List.of(same, newer), Set.of(), 0)
                            .orElseThrow());
        }
        assertTrue(selector.chooseDecode(request, prefillReplica, List.of(newer), Set.of(), 0)
                .isEmpty());
        ReplicaPair pair = selector.choose(request, List.of(prefillReplica, newer), Set.of(), 0)
                .orElseThrow();
        assertEquals(new ReplicaPair(Optional.empty(), newer), pair);
    }

    @Test
    void hintsAreAppliedOnceAReplicaIsKnown() {
        List<ReplicaRecord> fleet = fleet(0, 3);
        selector.setEngine("s", RequestShapes.ENGINE);
        recordServiceTimes(fleet);
        ReplicaRecord late = RequestShapes.replica("late", Stage.DECODE);
        RequestShape request = RequestShapes.generation(1, 12_000, 400, 1_000);
        PrefixCacheEstimates there = new PrefixCacheEstimates();
        there.setCapacity("late", 500_000);
        there.recordUse("late", request.parts(), 900);
        List<PrefixHint> hints = there.snapshot(10, 950);
        hints.forEach(hint -> selector.cacheEstimates().applyHint(hint, 950));
        assertEquals(0, selector.cacheEstimates().cachedTokens("late", request.parts()));
        selector.addReplica(late);
        hints.forEach(hint -> selector.cacheEstimates().applyHint(hint, 950));
        List<ReplicaRecord> all = new ArrayList<>(fleet);
        all.add(late);
        assertEquals(
                late,
                selector.choose(request, all, Set.of(), 1_000).orElseThrow().decode());
    }

    @Test
    void amongEqualReplicasTheLocalZoneIsPreferred() {
        ReplicaRecord here = RequestShapes.replica("here", Stage.NONE);
        ReplicaRecord there = new ReplicaRecord(
                "there",
                "s",
                here.address(),
                "y",
                "v1",
                12,
                ReplicaState.READY,
                0,
                Stage.NONE,
                here.models(),
                1,
                false);
        selector.setLocality("z", Map.of("z", "r", "y", "r"));
        for (int each = 0; each < 50; each++) {
            assertEquals("here", plain(List.of(there, here), 0));
        }
    }

    @Test
    void aReplicaThatChangedItsStageStartsWithoutMeasurements() {
        selector.setEngine("s", RequestShapes.ENGINE);
        ReplicaRecord asDecode = RequestShapes.replica("a", Stage.DECODE);
        RequestShape request = RequestShapes.generation(1, 12_000, 4_000, 0);
        ReplicaSelector.Call call = selector.startCall(asDecode, CallKind.AGGREGATED_DECODE, request, 0);
        ReplicaRecord asPrefill = RequestShapes.replica("a", Stage.PREFILL);
        ReplicaRecord other = RequestShapes.replica("b", Stage.DECODE);
        selector.choose(request, List.of(asPrefill, other), Set.of(), 10);
        call.onFirstEvent(300);
        call.onEnd(CallOutcome.COMPLETED, 310);
        assertTrue(selector.choose(request, List.of(asPrefill, other), Set.of(), 320)
                .isPresent());
    }
}
