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

/** How a router judges replicas: warm-up, backoff, probes, hidden queues, its own pauses, and the list. */
class ReplicaTest {
    private final FakeHost host = new FakeHost();

    @Test
    void aColdSearcherGetsNoMoreThanThisMixersShareOfItsBudget() {
        host.open("a");
        host.warmUp(10, 0.2);
        host.list(ListUpdateKind.CHANGES, LifecycleState.READY, host.clock, "a");
        int sent = 0;
        for (int each = 0; each < 70; each++) {
            Query query = host.take("q" + each, 1);
            if (host.where("q" + each + "-0") != null) {
                sent++;
                host.ends(query, "q" + each + "-0", 0, Outcome.FULFILLED, 0.02);
            }
            host.clock += 0.02;
        }
        // Of one core's 1.4 s at a quarter of its capacity, twice, over two mixers: 0.35 s, with parts of 0.2 s.
        assertTrue(sent >= 1 && sent <= 3, "sent " + sent);
    }

    @Test
    void aColdSearcherMayDoMoreWhereWarmOnesWereSeenToServeFast() {
        long[] sent = new long[2];
        for (int fast = 0; fast < 2; fast++) {
            FakeHost each = new FakeHost().open("a", "b");
            each.warmUp(10, 0.2);
            for (int report = 0; report < 20; report++) {
                double rate = fast == 1 ? 15 : 0;
                each.logic.probed("b", Outcome.FULFILLED, new LoadReport(0, Double.NaN, Double.NaN, rate));
            }
            each.list(ListUpdateKind.CHANGES, LifecycleState.GONE, 0, "b");
            each.list(ListUpdateKind.CHANGES, LifecycleState.READY, each.clock, "a");
            for (int query = 0; query < 10; query++) {
                each.ends(each.take("q" + query, 1), "q" + query + "-0", 0, Outcome.FULFILLED, 0.02);
            }
            sent[fast] = each.count("launch");
        }
        assertTrue(sent[1] > sent[0], sent[0] + " and " + sent[1]);
    }

    @Test
    void aColdSearcherMayDoMoreWhereAnswersHoldWaitsAndQueuesDrainFast() {
        long[] sent = new long[2];
        for (int queued = 0; queued < 2; queued++) {
            FakeHost each = new FakeHost().open("a", "b");
            for (int query = 0; query < 12; query++) {
                each.logic.probed(
                        "a", Outcome.FULFILLED, new LoadReport(4 * queued, Double.NaN, Double.NaN, Double.NaN));
                each.logic.probed(
                        "b", Outcome.FULFILLED, new LoadReport(4 * queued, Double.NaN, Double.NaN, Double.NaN));
                each.warmUp(1, 0.2);
            }
            each.list(ListUpdateKind.CHANGES, LifecycleState.GONE, 0, "b");
            each.list(ListUpdateKind.CHANGES, LifecycleState.READY, each.clock, "a");
            for (int query = 0; query < 10; query++) {
                each.ends(each.take("q" + query, 1), "q" + query + "-0", 0, Outcome.FULFILLED, 0.02);
            }
            sent[queued] = each.count("launch");
        }
        assertTrue(sent[1] > sent[0], "answers of 0.2 s behind four others: " + sent[1] + ", without: " + sent[0]);
    }

    @Test
    void withManyMixersSomeQueriesMayUseAColdSearcher() {
        host.mixers = 60;
        host.open("a");
        host.list(ListUpdateKind.CHANGES, LifecycleState.READY, host.clock, "a");
        int used = 0;
        for (int each = 0; each < 40; each++) {
            Query query = host.take("q" + each, 1);
            long launched = host.count("launch q" + each);
            used += (int) launched;
            host.clock += 2;
            if (launched > 0) {
                host.ends(query, "q" + each + "-0", 0, Outcome.FULFILLED, 0.1);
            }
            query.withdrawn("q" + each);
            host.list(ListUpdateKind.CHANGES, LifecycleState.READY, host.clock, "a");
        }
        assertTrue(used > 0 && used < 10, used + " of 40 while its share of the budget is under one part");
    }

    @Test
    void failedAsksForTheListAreRepeatedWithinTheTimeThatCountsAsTold() {
        host.mustAsk = true;
        host.open("a");
        assertEquals(1, host.count("track"));
        for (int each = 0; each < 4; each++) {
            host.list(ListUpdateKind.FAILED, LifecycleState.READY, 0);
            host.pass(5);
        }
        assertTrue(host.count("track") == 5, host.said.toString());
    }

    @Test
    void aSearcherGoneForLongIsForgottenAndComesBackAsOneNeverMet() {
        FakeHost host = new FakeHost();
        host.probing = true;
        host.open("a");
        for (double away : new double[] {1, 60}) {
            host.clock += 60;
            Query query = host.take("q" + away, 1);
            host.ends(query, "q" + away + "-0", 0, SchedulerHost.Outcome.ERROR, 0.1);
            host.list(SchedulerHost.ListUpdateKind.CHANGES, SchedulerHost.LifecycleState.GONE, 0, "a");
            host.clock += away;
            host.list(SchedulerHost.ListUpdateKind.CHANGES, SchedulerHost.LifecycleState.READY, 0, "b");
            host.list(SchedulerHost.ListUpdateKind.CHANGES, SchedulerHost.LifecycleState.GONE, 0, "b");
            host.list(SchedulerHost.ListUpdateKind.CHANGES, SchedulerHost.LifecycleState.READY, 0, "a");
            host.said.clear();
            host.pass(0.1);
            assertEquals(away > 30 ? 0 : 1, host.count("probe a"), "its failure is known after " + away);
            host.logic.probed("a", SchedulerHost.Outcome.FULFILLED, null);
        }
    }

    @Test
    void aLostConnectionIsNoRestartButASearcherThatWasNotReachedComesBackCold() {
        for (SchedulerHost.Outcome ending :
                new SchedulerHost.Outcome[] {SchedulerHost.Outcome.DROPPED, SchedulerHost.Outcome.NOT_CONNECTED}) {
            FakeHost host = new FakeHost().open("a");
            host.warmUp(10, 0.2);
            Query broken = host.take("q", 1);
            host.ends(broken, "q-0", 0, ending, 0.1);
            host.pass(0.2);
            host.ends(broken, "q-0", 1, SchedulerHost.Outcome.FULFILLED, 0.2);
            for (int each = 0; each < 4; each++) {
                host.take("s" + each, 1);
            }
            assertEquals(ending == SchedulerHost.Outcome.DROPPED ? 4 : 1, host.count("launch s"), "after " + ending);
        }
        FakeHost young = new FakeHost().open("a");
        Query first = young.take("q", 1);
        young.ends(first, "q-0", 0, SchedulerHost.Outcome.NOT_CONNECTED, 0.1);
        first.withdrawn("q");
        young.pass(0.6);
        young.ends(young.take("r", 1), "r-0", 0, SchedulerHost.Outcome.FULFILLED, 0.2);
        for (int each = 0; each < 4; each++) {
            young.take("s" + each, 1);
        }
        assertEquals(4, young.count("launch s"), "a mixer that just started has seen nobody come back");
    }

    @Test
    void aStallOfThisMixerIsNotTakenForSlowSearchers() {
        host.open("a");
        host.warmUp(20, 0.1);
        Query before = host.take("q", 4);
        assertEquals(4, host.count("launch q"));
        host.clock += 1.5;
        host.logic.timerFired(0);
        for (int part = 0; part < 4; part++) {
            before.settled("q-" + part, 0, Outcome.FULFILLED, 1.5, null);
        }
        host.logic.endOfBatch();
        assertEquals(1, host.count("assemble q whole"));
        host.take("r", 4);
        assertEquals(4, host.count("launch r"), "room is as it was");
    }

    @Test
    void holdersAreAskedWhereReportsAreOldAndAProbeTurnedAwayIsNoFailure() {
        host.probing = true;
        host.mixers = 60;
        host.open("a", "b");
        host.take("q", 1);
        assertEquals(2, host.count("probe"));
        assertEquals(0, host.count("launch"), "waits a moment for the reports");
        host.logic.probed("a", Outcome.FULFILLED, queued(3));
        host.logic.probed("b", Outcome.REJECTED, null);
        host.logic.probed("unknown", Outcome.FULFILLED, null);
        host.logic.endOfBatch();
        assertEquals(1, host.count("launch"));
        assertEquals(0, host.count("log"));
        host.take("r", 1);
        assertEquals(2, host.count("probe"), "the reports are still fresh");
    }

    @Test
    void withManyMixersASlowSearcherIsLeftAloneThoughItReportsToBeIdle() {
        host.mixers = 60;
        host.open("a", "b");
        host.warmUp(20, 0.1);
        Query slow = host.take("q", 1);
        String where = host.where("q-0");
        for (int each = 0; each < 40; each++) {
            host.clock += 0.1;
            host.logic.endOfBatch();
        }
        slow.settled("q-0", 0, Outcome.FULFILLED, 4, queued(0));
        for (int each = 0; each < 3; each++) {
            host.clock += 1;
            Query query = host.take("r" + each, 1);
            assertNotEquals(where, host.where("r" + each + "-0"));
            host.ends(query, "r" + each + "-0", 0, Outcome.FULFILLED, 0.1);
        }
    }

    @Test
    void aSearcherThatOwesAProbesAnswerIsPassedOver() {
        host.probing = true;
        host.mixers = 60;
        host.open("a", "b");
        host.take("q", 1);
        host.logic.probed("b", Outcome.FULFILLED, queued(5));
        host.pass(0.1);
        assertEquals("b", host.where("q-0"), "though nothing is known against a and b has a queue");
    }

    @Test
    void aHundredMixersSendFewProbesToASearcherAtRestAndTheOthersTryItWithAPart() {
        int probes = 0;
        int tried = 0;
        for (long seed = 0; seed < 100; seed++) {
            FakeHost one = new FakeHost();
            one.mixers = 100;
            one.probing = true;
            one.seed = seed;
            one.open("a");
            Query query = one.take("q", 1);
            one.logic.probed("a", Outcome.FULFILLED, queued(0));
            one.pass(0.02);
            one.ends(query, "q-0", 0, Outcome.ERROR, 0.1);
            one.said.clear();
            one.pass(4);
            probes += (int) one.count("probe a");
            one.said.clear();
            one.take("r", 1);
            one.pass(0.1);
            tried += (int) one.count("launch r-0 a");
        }
        assertTrue(probes <= 20, probes + " of a hundred mixers probed the same searcher as its rest ended");
        assertTrue(tried >= 80, "only " + tried + " of a hundred mixers used it again");
    }

    @Test
    void aSearcherThatCouldNotBeReachedHasNoQueueOnceItIsBack() {
        host.mixers = 100;
        host.open("a");
        host.warmUp(20, 0.1);
        for (int each = 0; each < 3; each++) {
            Query query = host.take("q" + each, 1);
            for (int number = 0; number < 4; number++) {
                host.ends(query, "q" + each + "-0", number, Outcome.NOT_CONNECTED, 0.25);
            }
            host.pass(5);
        }
        host.said.clear();
        host.take("r", 1);
        assertEquals(1, host.count("launch r-0 a"), "its rest is over, and it was never slow");
    }

    /** Takes a query of one part; its searcher a answers the probe at once. */
    private Query asked(String id) {
        Query query = host.take(id, 1);
        host.logic.probed("a", Outcome.FULFILLED, queued(0));
        host.pass(0.1);
        return query;
    }

    @Test
    void aSearcherThatAnsweredNoProbeWasSilentAndNotSlow() {
        host.mixers = 100;
        host.probing = true;
        host.open("a");
        Query first = asked("first");
        host.ends(first, "first-0", 0, Outcome.FULFILLED, 0.1);
        Query query = asked("q");
        for (int number = 0; number < 4; number++) {
            host.pass(2);
            host.ends(query, "q-0", number, Outcome.TIMED_OUT, 2);
        }
        host.pass(4);
        host.logic.probed("a", Outcome.TIMED_OUT, null);
        host.pass(4.5);
        host.logic.probed("a", Outcome.FULFILLED, queued(0));
        host.said.clear();
        asked("r");
        assertEquals(
                1, host.count("launch r-0 a"), "with its first word the silence is over, and no queue is left of it");
    }

    @Test
    void whereSlowAnswersWereMostlyFollowedByQuickOnesAHiddenQueueIsBelievedForAShorterTime() {
        host.mixers = 100;
        host.open("a");
        host.warmUp(20, 0.1);
        for (int each = 0; each < 40; each++) {
            double took = each % 5 == 0 ? 1.4 : 0.1;
            Query query = host.take("q" + each, 1);
            host.pass(took);
            host.ends(query, "q" + each + "-0", 0, Outcome.FULFILLED, took);
            host.pass(1.5);
        }
        Query slow = host.take("s", 1);
        host.pass(1);
        slow.settled("s-0", 0, Outcome.FULFILLED, 3.9, queued(0));
        host.logic.endOfBatch();
        host.pass(1.5);
        host.said.clear();
        host.take("r", 1);
        assertEquals(1, host.count("launch r-0 a"), "such queues were gone by then");
    }
}
