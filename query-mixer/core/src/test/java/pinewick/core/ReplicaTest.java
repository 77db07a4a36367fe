package pinewick.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pinewick.core.FakeHost.queued;

import org.junit.jupiter.api.Test;
import pinewick.core.SchedulerHost.LifecycleState;
import pinewick.core.SchedulerHost.ListUpdateKind;
import pinewick.core.SchedulerHost.LoadReport;
import pinewick.core.SchedulerHost.Outcome;

/** The state of replicas in a router: warm-up, backoff, probes, hidden queues, router pauses, and discovery. */
class ReplicaTest {
    private final FakeHost host = new FakeHost();

    @Test
    void warmingUpReplicaGetsNoMoreThanThisRoutersShareOfItsBudget() {
        host.open("a");
        host.warmUp(10, 0.2);
        host.list(ListUpdateKind.INCREMENTAL, LifecycleState.READY, host.clock, "a");
        int sent = 0;
        for (int each = 0; each < 70; each++) {
            Query query = host.submit("q" + each, 1);
            if (host.lastReplica("q" + each + "-0") != null) {
                sent++;
                host.endAttempt(query, "q" + each + "-0", 0, Outcome.FULFILLED, 0.02);
            }
            host.clock += 0.02;
        }
        // Of one core's 1.4 s at a quarter of its capacity, twice, over two routers: 0.35 s, with requests of 0.2 s.
        assertTrue(sent >= 1 && sent <= 3, "sent " + sent);
    }

    @Test
    void warmUpBudgetIsHigherWhereWarmReplicasServeAtAHighRate() {
        long[] sent = new long[2];
        for (int fast = 0; fast < 2; fast++) {
            FakeHost each = new FakeHost().open("a", "b");
            each.warmUp(10, 0.2);
            for (int report = 0; report < 20; report++) {
                double rate = fast == 1 ? 15 : 0;
                each.scheduler.onProbeResult("b", Outcome.FULFILLED, new LoadReport(0, Double.NaN, Double.NaN, rate));
            }
            each.list(ListUpdateKind.INCREMENTAL, LifecycleState.GONE, 0, "b");
            each.list(ListUpdateKind.INCREMENTAL, LifecycleState.READY, each.clock, "a");
            for (int query = 0; query < 10; query++) {
                each.endAttempt(each.submit("q" + query, 1), "q" + query + "-0", 0, Outcome.FULFILLED, 0.02);
            }
            sent[fast] = each.count("sendAttempt");
        }
        assertTrue(sent[1] > sent[0], sent[0] + " and " + sent[1]);
    }

    @Test
    void warmUpBudgetIsHigherWhereAnswersIncludeWaitsAndQueuesDrainFast() {
        long[] sent = new long[2];
        for (int queued = 0; queued < 2; queued++) {
            FakeHost each = new FakeHost().open("a", "b");
            for (int query = 0; query < 12; query++) {
                each.scheduler.onProbeResult(
                        "a", Outcome.FULFILLED, new LoadReport(4 * queued, Double.NaN, Double.NaN, Double.NaN));
                each.scheduler.onProbeResult(
                        "b", Outcome.FULFILLED, new LoadReport(4 * queued, Double.NaN, Double.NaN, Double.NaN));
                each.warmUp(1, 0.2);
            }
            each.list(ListUpdateKind.INCREMENTAL, LifecycleState.GONE, 0, "b");
            each.list(ListUpdateKind.INCREMENTAL, LifecycleState.READY, each.clock, "a");
            for (int query = 0; query < 10; query++) {
                each.endAttempt(each.submit("q" + query, 1), "q" + query + "-0", 0, Outcome.FULFILLED, 0.02);
            }
            sent[queued] = each.count("sendAttempt");
        }
        assertTrue(sent[1] > sent[0], "answers of 0.2 s behind four others: " + sent[1] + ", without: " + sent[0]);
    }

    @Test
    void withManyRoutersSomeQueriesMayUseAWarmingUpReplica() {
        host.routers = 60;
        host.open("a");
        host.list(ListUpdateKind.INCREMENTAL, LifecycleState.READY, host.clock, "a");
        int used = 0;
        for (int each = 0; each < 40; each++) {
            Query query = host.submit("q" + each, 1);
            long attempts = host.count("sendAttempt q" + each);
            used += (int) attempts;
            host.clock += 2;
            if (attempts > 0) {
                host.endAttempt(query, "q" + each + "-0", 0, Outcome.FULFILLED, 0.1);
            }
            query.onCancelled("q" + each);
            host.list(ListUpdateKind.INCREMENTAL, LifecycleState.READY, host.clock, "a");
        }
        assertTrue(used > 0 && used < 10, used + " of 40 while its share of the budget is less than one request");
    }

    @Test
    void failedSubscriptionsAreRepeatedWithinTheResubscribeTime() {
        host.mustSubscribe = true;
        host.open("a");
        assertEquals(1, host.count("watchReplicas"));
        for (int each = 0; each < 4; each++) {
            host.list(ListUpdateKind.FAILED, LifecycleState.READY, 0);
            host.pass(5);
        }
        assertTrue(host.count("watchReplicas") == 5, host.calls.toString());
    }

    @Test
    void replicaGoneForLongIsEvictedAndReturnsWithoutHistory() {
        FakeHost host = new FakeHost();
        host.probing = true;
        host.open("a");
        for (double away : new double[] {1, 60}) {
            host.clock += 60;
            Query query = host.submit("q" + away, 1);
            host.endAttempt(query, "q" + away + "-0", 0, SchedulerHost.Outcome.ERROR, 0.1);
            host.list(SchedulerHost.ListUpdateKind.INCREMENTAL, SchedulerHost.LifecycleState.GONE, 0, "a");
            host.clock += away;
            host.list(SchedulerHost.ListUpdateKind.INCREMENTAL, SchedulerHost.LifecycleState.READY, 0, "b");
            host.list(SchedulerHost.ListUpdateKind.INCREMENTAL, SchedulerHost.LifecycleState.GONE, 0, "b");
            host.list(SchedulerHost.ListUpdateKind.INCREMENTAL, SchedulerHost.LifecycleState.READY, 0, "a");
            host.calls.clear();
            host.pass(0.1);
            assertEquals(away > 30 ? 0 : 1, host.count("sendProbe a"), "its failure is known after " + away);
            host.scheduler.onProbeResult("a", SchedulerHost.Outcome.FULFILLED, null);
        }
    }

    @Test
    void lostConnectionIsNoRestartButAnUnreachableReplicaReturnsInWarmUp() {
        for (SchedulerHost.Outcome outcome :
                new SchedulerHost.Outcome[] {SchedulerHost.Outcome.DROPPED, SchedulerHost.Outcome.NOT_CONNECTED}) {
            FakeHost host = new FakeHost().open("a");
            host.warmUp(10, 0.2);
            Query broken = host.submit("q", 1);
            host.endAttempt(broken, "q-0", 0, outcome, 0.1);
            host.pass(0.2);
            host.endAttempt(broken, "q-0", 1, SchedulerHost.Outcome.FULFILLED, 0.2);
            for (int each = 0; each < 4; each++) {
                host.submit("s" + each, 1);
            }
            assertEquals(
                    outcome == SchedulerHost.Outcome.DROPPED ? 4 : 1, host.count("sendAttempt s"), "after " + outcome);
        }
        FakeHost young = new FakeHost().open("a");
        Query first = young.submit("q", 1);
        young.endAttempt(first, "q-0", 0, SchedulerHost.Outcome.NOT_CONNECTED, 0.1);
        first.onCancelled("q");
        young.pass(0.6);
        young.endAttempt(young.submit("r", 1), "r-0", 0, SchedulerHost.Outcome.FULFILLED, 0.2);
        for (int each = 0; each < 4; each++) {
            young.submit("s" + each, 1);
        }
        assertEquals(4, young.count("sendAttempt s"), "a router that just started has seen no replica return");
    }

    @Test
    void pauseOfThisRouterIsNotTakenForSlowReplicas() {
        host.open("a");
        host.warmUp(20, 0.1);
        Query before = host.submit("q", 4);
        assertEquals(4, host.count("sendAttempt q"));
        host.clock += 1.5;
        host.scheduler.onTimer(0);
        for (int request = 0; request < 4; request++) {
            before.onAttemptEnd("q-" + request, 0, Outcome.FULFILLED, 1.5, null);
        }
        host.scheduler.onBatchEnd();
        assertEquals(1, host.count("mergeResults q complete"));
        host.submit("r", 4);
        assertEquals(4, host.count("sendAttempt r"), "the concurrency limit is unchanged");
    }

    @Test
    void holdersWithStaleReportsAreProbedAndARejectedProbeIsNoFailure() {
        host.probing = true;
        host.routers = 60;
        host.open("a", "b");
        host.submit("q", 1);
        assertEquals(2, host.count("sendProbe"));
        assertEquals(0, host.count("sendAttempt"), "waits briefly for the reports");
        host.scheduler.onProbeResult("a", Outcome.FULFILLED, queued(3));
        host.scheduler.onProbeResult("b", Outcome.REJECTED, null);
        host.scheduler.onProbeResult("unknown", Outcome.FULFILLED, null);
        host.scheduler.onBatchEnd();
        assertEquals(1, host.count("sendAttempt"));
        assertEquals(0, host.count("log"));
        host.submit("r", 1);
        assertEquals(2, host.count("sendProbe"), "the reports are still fresh");
    }

    @Test
    void withManyRoutersASlowReplicaIsAvoidedAlthoughItReportsIdle() {
        host.routers = 60;
        host.open("a", "b");
        host.warmUp(20, 0.1);
        Query slow = host.submit("q", 1);
        String lastReplica = host.lastReplica("q-0");
        for (int each = 0; each < 40; each++) {
            host.clock += 0.1;
            host.scheduler.onBatchEnd();
        }
        slow.onAttemptEnd("q-0", 0, Outcome.FULFILLED, 4, queued(0));
        for (int each = 0; each < 3; each++) {
            host.clock += 1;
            Query query = host.submit("r" + each, 1);
            assertNotEquals(lastReplica, host.lastReplica("r" + each + "-0"));
            host.endAttempt(query, "r" + each + "-0", 0, Outcome.FULFILLED, 0.1);
        }
    }

    @Test
    void replicaWithAnOverdueProbeIsAvoided() {
        host.probing = true;
        host.routers = 60;
        host.open("a", "b");
        host.submit("q", 1);
        host.scheduler.onProbeResult("b", Outcome.FULFILLED, queued(5));
        host.pass(0.1);
        assertEquals("b", host.lastReplica("q-0"), "although a has no failures and b has a queue");
    }

    @Test
    void fewOfAHundredRoutersProbeAReplicaAfterBackoffAndTheOthersTryItWithARequest() {
        int prober = 0;
        int tried = 0;
        for (long seed = 0; seed < 100; seed++) {
            FakeHost one = new FakeHost();
            one.routers = 100;
            one.probing = true;
            one.seed = seed;
            one.open("a");
            Query query = one.submit("q", 1);
            one.scheduler.onProbeResult("a", Outcome.FULFILLED, queued(0));
            one.pass(0.02);
            one.endAttempt(query, "q-0", 0, Outcome.ERROR, 0.1);
            one.calls.clear();
            one.pass(4);
            prober += (int) one.count("sendProbe a");
            one.calls.clear();
            one.submit("r", 1);
            one.pass(0.1);
            tried += (int) one.count("sendAttempt r-0 a");
        }
        assertTrue(prober <= 20, prober + " of a hundred routers probed the same replica as its backoff ended");
        assertTrue(tried >= 80, "only " + tried + " of a hundred routers used it again");
    }

    @Test
    void unreachableReplicaHasNoHiddenQueueOnceItIsBack() {
        host.routers = 100;
        host.open("a");
        host.warmUp(20, 0.1);
        for (int each = 0; each < 3; each++) {
            Query query = host.submit("q" + each, 1);
            for (int number = 0; number < 4; number++) {
                host.endAttempt(query, "q" + each + "-0", number, Outcome.NOT_CONNECTED, 0.25);
            }
            host.pass(5);
        }
        host.calls.clear();
        host.submit("r", 1);
        assertEquals(1, host.count("sendAttempt r-0 a"), "its backoff is over, and it was never slow");
    }

    /** Submits a query of one shard request; replica a answers the probe at once. */
    private Query submitAndAnswerProbe(String id) {
        Query query = host.submit(id, 1);
        host.scheduler.onProbeResult("a", Outcome.FULFILLED, queued(0));
        host.pass(0.1);
        return query;
    }

    @Test
    void replicaWithoutProbeAnswersWasUnresponsiveAndNotSlow() {
        host.routers = 100;
        host.probing = true;
        host.open("a");
        Query first = submitAndAnswerProbe("first");
        host.endAttempt(first, "first-0", 0, Outcome.FULFILLED, 0.1);
        Query query = submitAndAnswerProbe("q");
        for (int number = 0; number < 4; number++) {
            host.pass(2);
            host.endAttempt(query, "q-0", number, Outcome.TIMED_OUT, 2);
        }
        host.pass(4);
        host.scheduler.onProbeResult("a", Outcome.TIMED_OUT, null);
        host.pass(4.5);
        host.scheduler.onProbeResult("a", Outcome.FULFILLED, queued(0));
        host.calls.clear();
        submitAndAnswerProbe("r");
        assertEquals(
                1,
                host.count("sendAttempt r-0 a"),
                "its first response ends the unresponsive state, and no hidden queue is left");
    }

    @Test
    void hiddenQueueDecaysFasterWhereSlowAnswersWereMostlyFollowedByFastOnes() {
        host.routers = 100;
        host.open("a");
        host.warmUp(20, 0.1);
        for (int each = 0; each < 40; each++) {
            double elapsedSeconds = each % 5 == 0 ? 1.4 : 0.1;
            Query query = host.submit("q" + each, 1);
            host.pass(elapsedSeconds);
            host.endAttempt(query, "q" + each + "-0", 0, Outcome.FULFILLED, elapsedSeconds);
            host.pass(1.5);
        }
        Query slow = host.submit("s", 1);
        host.pass(1);
        slow.onAttemptEnd("s-0", 0, Outcome.FULFILLED, 3.9, queued(0));
        host.scheduler.onBatchEnd();
        host.pass(1.5);
        host.calls.clear();
        host.submit("r", 1);
        assertEquals(1, host.count("sendAttempt r-0 a"), "such queues were gone by then");
    }
}
