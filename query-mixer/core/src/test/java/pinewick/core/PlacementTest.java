package pinewick.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static pinewick.core.FakeHost.queued;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pinewick.core.SchedulerHost.LifecycleState;
import pinewick.core.SchedulerHost.ListUpdateKind;
import pinewick.core.SchedulerHost.Outcome;

/** Which replica a shard request goes to, when a query starts, and what keeps it pending. */
class PlacementTest {
    private final FakeHost host = new FakeHost();

    @Test
    void requestsGoToTheLowestScoreByLoadReport() {
        host.open("a", "b");
        host.scheduler.onProbeResult("a", Outcome.FULFILLED, queued(6));
        host.scheduler.onProbeResult("b", Outcome.FULFILLED, queued(0));
        host.warmUp(4, 0.1);
        Query first = host.submit("q", 1);
        String quiet = host.lastReplica("q-0");
        first.onAttemptEnd("q-0", 0, Outcome.FULFILLED, 0.1, queued(9));
        host.submit("r", 1);
        assertNotEquals(quiet, host.lastReplica("r-0"), "the report of a long queue sends the next request elsewhere");
    }

    @Test
    void drainingOrGoneReplicaGetsNoNewRequests() {
        host.open("a", "b");
        host.list(ListUpdateKind.INCREMENTAL, LifecycleState.DRAINING, 0, "a");
        for (int each = 0; each < 3; each++) {
            host.submit("q" + each, 1);
            assertEquals("b", host.lastReplica("q" + each + "-0"));
        }
        host.list(ListUpdateKind.FULL, LifecycleState.READY, 0, "c");
        host.submit("r", 1);
        assertEquals("c", host.lastReplica("r-0"));
    }

    @Test
    void avoidedReplicaIsTriedAgainOnceItsHighLatencyIsOld() {
        host.open("a", "b");
        Query one = host.submit("q", 1);
        Query two = host.submit("r", 1);
        host.endAttempt(one, "q-0", 0, Outcome.FULFILLED, 0.1);
        host.endAttempt(two, "r-0", 0, Outcome.FULFILLED, 0.1);
        Query heavy = host.submit("s", 1);
        String shunned = host.lastReplica("s-0");
        host.endAttempt(heavy, "s-0", 0, Outcome.FULFILLED, 1.9);
        host.clock += 20;
        host.scheduler.onProbeResult(shunned.equals("a") ? "b" : "a", Outcome.FULFILLED, queued(0.6));
        host.submit("t", 1);
        assertEquals(shunned, host.lastReplica("t-0"), "a slightly longer queue elsewhere now weighs more");
    }

    @Test
    void staleReportOfAShortQueueDecaysTowardsTheMean() {
        host.open("a", "b", "c");
        for (String each : List.of("q", "r", "s")) {
            host.submit(each, 1);
        }
        for (String each : List.of("a", "b", "c")) {
            host.scheduler.onProbeResult(each, Outcome.FULFILLED, queued(0));
        }
        host.pass(0.02);
        Query one = host.submit("t", 3);
        for (int request = 0; request < 3; request++) {
            host.endAttempt(one, "t-" + request, 0, Outcome.FULFILLED, 0.1);
        }
        host.clock += 1;
        host.scheduler.onProbeResult("b", Outcome.FULFILLED, queued(1));
        host.scheduler.onProbeResult("c", Outcome.FULFILLED, queued(4));
        host.submit("u", 1);
        assertEquals("b", host.lastReplica("u-0"), "the report of an empty queue at a is stale");
    }

    @Test
    void requestsWithTheSameHoldersShareACallWhereCallsHaveOverhead() {
        host.callOverheadSeconds = 0.05;
        host.open("a", "b");
        host.submit("q", 3);
        assertEquals(host.lastReplica("q-0"), host.lastReplica("q-1"));
        assertEquals(host.lastReplica("q-0"), host.lastReplica("q-2"));
    }

    @Test
    void whereCallsHaveOverheadRequestsOfNeighbouringShardsJoinAPlannedCall() {
        host.callOverheadSeconds = 0.05;
        host.cells = 6;
        host.cellsPerShard = 3;
        host.routers = 30;
        host.open();
        for (int cell = 2; cell < 5; cell++) {
            host.listAt("s" + cell, cell);
        }
        host.submit("q", 3);
        long calls = host.calls.stream()
                .filter(line -> line.startsWith("sendAttempt q"))
                .map(line -> line.split(" ")[2])
                .distinct()
                .count();
        assertEquals(1, calls, "the first request has one holder, which holds the others too");
    }

    @Test
    void wideQueryOfHighValueDoesNotStarveBehindNarrowOnes() {
        host.concurrentAttempts = false;
        host.open("a", "b");
        List<Query> first = new ArrayList<>();
        for (int each = 0; each < 4; each++) {
            first.add(host.submit("q" + each, 1));
        }
        Query wide = host.scheduler.submit("wide", 1, 8, 6, 0, false);
        for (int request = 0; request < 6; request++) {
            wide.addShardRequest("wide-" + request, request, 1.0 / 6);
        }
        host.pass(0.3);
        host.submit("narrow", 1);
        assertEquals(0, host.count("sendAttempt narrow"), "the capacity is reserved for the wide one");
        for (int each = 0; each < 4; each++) {
            host.endAttempt(first.get(each), "q" + each + "-0", 0, Outcome.FULFILLED, 0.3);
        }
        assertEquals(6, host.count("sendAttempt wide"));
    }

    @Test
    void longReportedQueueKeepsTheQueryPending() {
        host.open("a");
        host.scheduler.onProbeResult("a", Outcome.FULFILLED, queued(30));
        host.submit("q", 1);
        assertEquals(0, host.count("sendAttempt"));
        host.scheduler.onProbeResult("a", Outcome.FULFILLED, queued(1));
        host.scheduler.onBatchEnd();
        assertEquals(1, host.count("sendAttempt"));
    }

    @Test
    void queryThatMayLackRequestsStartsWithoutThemAndTheyFollow() {
        host.minShare = 0.5;
        host.cells = 8;
        host.open();
        host.listAt("a", 0);
        host.listAt("b", 1);
        host.listAt("c", 2);
        host.submit("q", 4);
        assertEquals(3, host.count("sendAttempt q"), "a quarter has no holder, and half may be missing");
        host.listAt("d", 3);
        host.pass(0.02);
        assertEquals("d", host.lastReplica("q-3"));
    }

    @Test
    void wideQueryThatCrashesReplicasCrashesTwoNotAll() {
        host.open("a", "b", "c", "d", "e", "f", "g", "h", "i", "j");
        Query deadly = host.submit("q", 10);
        assertEquals(1, host.count("sendAttempt q"), "a canary goes first");
        host.endAttempt(deadly, lastOf(host), 0, Outcome.DROPPED, 0.1);
        assertEquals(2, host.count("sendAttempt q"));
        host.endAttempt(deadly, lastOf(host), 1, Outcome.DROPPED, 0.1);
        assertEquals(2, host.count("sendAttempt q"));
        assertEquals(1, host.count("rejectQuery q"), "no third replica, and a final answer at once");
    }

    @Test
    void afterACrashACanaryGoesFirstAndTheOthersFollowItsAnswer() {
        host.open("a", "b", "c");
        Query crashed = host.submit("p", 1);
        host.endAttempt(crashed, "p-0", 0, Outcome.DROPPED, 0.1);
        Query answered = host.submit("q", 3);
        assertEquals(1, host.count("sendAttempt q"));
        host.endAttempt(answered, lastOf(host), 0, Outcome.FULFILLED, 0.1);
        assertEquals(3, host.count("sendAttempt q"));
    }

    @Test
    void overdueCanaryNoLongerDelaysAWideQuery() {
        host.concurrentAttempts = false;
        host.open("a", "b", "c", "d", "e", "f", "g", "h", "i", "j");
        host.submit("q", 10);
        host.pass(0.2);
        assertEquals(1, host.count("sendAttempt q"));
        host.pass(0.4);
        assertEquals(10, host.count("sendAttempt q"), "an overdue answer is not a crash");
    }

    @Test
    void peerLatencyRaisesTheScoreOfAnUnmeasuredReplicaAndNeverLowersIt() {
        host.open("a", "b");
        host.peerLatencies.put("a", 1.5);
        host.submit("q", 1);
        assertEquals("b", host.lastReplica("q-0"), "neither was measured here, but peers report a high latency of a");
        FakeHost again = new FakeHost().open("a", "b");
        again.warmUp(2, 0.1);
        again.peerLatencies.put("a", 1e-6);
        again.submit("q", 1);
        FakeHost without = new FakeHost().open("a", "b");
        without.warmUp(2, 0.1);
        without.submit("q", 1);
        assertEquals(without.lastReplica("q-0"), again.lastReplica("q-0"), "a low peer latency changes nothing");
    }

    @Test
    void replicaReportedByPeersIsAvoidedUntilItAnswersHereAndIsStillTheLastResort() {
        host.open("a", "b");
        host.peerWarnedAt.put("a", host.clock);
        host.submit("q", 2);
        assertEquals("b", host.lastReplica("q-0"));
        assertEquals("b", host.lastReplica("q-1"));
        host.peerWarnedAt.put("b", host.clock);
        Query last = host.submit("r", 1);
        assertEquals(1, host.count("sendAttempt r-0"), "with all reported, one request at a time is still sent");
        String lastReplica = host.lastReplica("r-0");
        host.clock += 0.1;
        host.endAttempt(last, "r-0", 0, Outcome.FULFILLED, 0.1);
        host.submit("s", 1);
        assertEquals(lastReplica, host.lastReplica("s-0"), "its own answer came after the report of the peers");
    }

    /** The shard request of query q that was sent last. */
    private static String lastOf(FakeHost host) {
        return host.calls.stream()
                .filter(line -> line.startsWith("sendAttempt q"))
                .reduce((one, other) -> other)
                .orElseThrow()
                .split(" ")[1];
    }
}
