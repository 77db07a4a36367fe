package pinewick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pinewick.Host.Ending;
import pinewick.Host.ListForm;
import pinewick.Host.LoadReport;
import pinewick.Host.Stage;

/** One story for each rule, weak spot and failure met. */
class LogicTest {
    private final FakeHost host = new FakeHost();

    private static LoadReport queued(double parts) {
        return new LoadReport(parts, Double.NaN, Double.NaN, Double.NaN);
    }

    @Test
    void partsGoToTheLowestScoreByReport() {
        host.open("a", "b");
        host.logic.probed("a", Ending.FULFILLED, queued(6));
        host.logic.probed("b", Ending.FULFILLED, queued(0));
        host.warmUp(4, 0.1);
        Query first = host.take("q", 1);
        String quiet = host.where("q-0");
        first.settled("q-0", 0, Ending.FULFILLED, 0.1, queued(9));
        host.take("r", 1);
        assertNotEquals(quiet, host.where("r-0"), "the report of a long queue sends the next part elsewhere");
    }

    @Test
    void everyQueryEndsOnceBeforeTheClientsTimeIsUp() {
        host.open("a", "b");
        Query query = host.take("q", 2, 5);
        assertEquals(1, host.count("timer 1 in 4.9"), "its end doesn't wait for the regular look");
        host.pass(4.99);
        assertEquals(1, host.count("decline q") + host.count("give up q"));
        host.said.clear();
        host.ends(query, "q-0", 0, Ending.TIMED_OUT, 5);
        host.ends(query, "q-1", 0, Ending.FULFILLED, 5);
        host.pass(1);
        assertEquals(0, host.count("launch q"));
        query.settled("q-0", 1, Ending.CANCELLED, 4, null);
        query.settled("q-1", 1, Ending.CANCELLED, 4, null);
        assertEquals(0, host.count("assemble q") + host.count("give up q") + host.count("decline q"));
        assertTrue(query.over());
    }

    @Test
    void unrepeatablePartRunsAgainOnlyIfItNeverRan() {
        host.repeat = Host.Repeat.UNREPEATABLE;
        host.open("a", "b");
        Query never = host.take("q", 1);
        host.ends(never, "q-0", 0, Ending.NOT_CONNECTED, 0.25);
        assertEquals(2, host.count("launch q-0"));
        host.ends(never, "q-0", 1, Ending.DROPPED, 0.1);
        host.pass(1);
        assertEquals(2, host.count("launch q-0"));
        assertEquals(1, host.count("give up q"));
        assertEquals(0, host.count("decline q"));
    }

    @Test
    void deduplicatedPartIsNotResentOutsideItsWindow() {
        host.repeat = Host.Repeat.DEDUPLICATED;
        host.open("a", "b");
        Query query = host.take("q", 1);
        host.overlap = false;
        host.clock += 3.1;
        host.ends(query, "q-0", 0, Ending.DROPPED, 3.1);
        assertEquals(1, host.count("launch q-0"));
        assertEquals(1, host.count("give up q"));
    }

    @Test
    void nothingNewGoesToASearcherThatDrainsOrIsGone() {
        host.open("a", "b");
        host.list(ListForm.CHANGES, Stage.DRAINING, 0, "a");
        for (int each = 0; each < 3; each++) {
            host.take("q" + each, 1);
            assertEquals("b", host.where("q" + each + "-0"));
        }
        host.list(ListForm.WHOLE, Stage.READY, 0, "c");
        host.take("r", 1);
        assertEquals("c", host.where("r-0"));
    }

    @Test
    void aColdSearcherGetsNoMoreThanThisMixersShareOfItsBudget() {
        host.open("a");
        host.warmUp(10, 0.2);
        host.list(ListForm.CHANGES, Stage.READY, host.clock, "a");
        int sent = 0;
        for (int each = 0; each < 70; each++) {
            Query query = host.take("q" + each, 1);
            if (host.where("q" + each + "-0") != null) {
                sent++;
                host.ends(query, "q" + each + "-0", 0, Ending.FULFILLED, 0.02);
            }
            host.clock += 0.02;
        }
        // Of one core's 1.4 s at a quarter of its capacity, twice, over two mixers: 0.35 s, with parts of 0.2 s.
        assertTrue(sent >= 1 && sent <= 3, "sent " + sent);
    }

    @Test
    void noAnswerUnderTheLeastShareAndNoneMarkedWholeThatIsNot() {
        host.leastShare = 0.5;
        host.overlap = false;
        host.open("a", "b");
        Query enough = host.take("q", 3);
        Query scant = host.take("r", 3);
        host.ends(enough, "q-0", 0, Ending.FULFILLED, 0.1);
        host.ends(enough, "q-0", 0, Ending.FULFILLED, 0.1);
        host.ends(enough, "q-1", 0, Ending.FULFILLED, 0.1);
        host.ends(scant, "r-0", 0, Ending.FULFILLED, 0.1);
        host.pass(7.99);
        assertEquals(1, host.count("assemble q part"));
        assertEquals(0, host.count("assemble q whole"));
        assertEquals(0, host.count("assemble r"));
    }

    @Test
    void furtherLaunchesStayInTheSlidingBudget() {
        host.rules = new Host.RuleTerms(0.5, 1, 0, 2, 0, 2, 0.1, 10, 10);
        host.open("abcdefghijklmnopqrstuvwxyz".split(""));
        for (int each = 0; each < 10; each++) {
            Query query = host.take("q" + each, 1);
            host.ends(query, "q" + each + "-0", 0, Ending.ERROR, 0.01);
            host.clock += 0.7;
        }
        long launches = host.count("launch");
        assertTrue(launches > 10 && launches <= 14, launches + " launches of 10 parts");
    }

    @Test
    void aHungSearcherGetsASecondCopyAndThenNoNewParts() {
        host.open("a", "b");
        host.warmUp(20, 0.1);
        host.take("q", 1);
        String hung = host.where("q-0");
        host.pass(0.6);
        assertEquals(2, host.count("launch q-0"));
        String other = host.where("q-0");
        assertNotEquals(hung, other);
        for (int each = 0; each < 3; each++) {
            Query query = host.take("r" + each, 1);
            assertEquals(other, host.where("r" + each + "-0"));
            host.ends(query, "r" + each + "-0", 0, Ending.FULFILLED, 0.1);
        }
    }

    @Test
    void aLostPartIsReplacedAndDoesNotCountAgainstItsSearcher() {
        host.open("a");
        host.warmUp(20, 0.1);
        Query lost = host.take("q", 1);
        host.pass(0.1);
        for (int each = 0; each < 5; each++) {
            Query query = host.take("r" + each, 1);
            host.pass(0.1);
            host.ends(query, "r" + each + "-0", 0, Ending.FULFILLED, 0.1);
        }
        host.ends(lost, "q-0", 0, Ending.TIMED_OUT, 0.6);
        host.ends(lost, "q-0", 1, Ending.FULFILLED, 0.1);
        host.take("s", 1);
        assertEquals("a", host.where("s-0"));
        assertEquals(0, host.count("log a rests"));
    }

    @Test
    void withoutOverlapAHungPartIsCancelledFirst() {
        host.overlap = false;
        host.open("a", "b");
        host.warmUp(20, 0.1);
        Query query = host.take("q", 1);
        host.pass(1.1);
        assertEquals(1, host.count("cancel q-0 0"));
        assertEquals(1, host.count("launch q-0"));
        host.ends(query, "q-0", 0, Ending.CANCELLED, 1.1);
        assertEquals(2, host.count("launch q-0"));
    }

    @Test
    void aShunnedSearcherIsTriedAgainOnceItsBadLatencyIsOld() {
        host.open("a", "b");
        Query one = host.take("q", 1);
        Query two = host.take("r", 1);
        host.ends(one, "q-0", 0, Ending.FULFILLED, 0.1);
        host.ends(two, "r-0", 0, Ending.FULFILLED, 0.1);
        Query heavy = host.take("s", 1);
        String shunned = host.where("s-0");
        host.ends(heavy, "s-0", 0, Ending.FULFILLED, 1.9);
        host.clock += 20;
        host.logic.probed(shunned.equals("a") ? "b" : "a", Ending.FULFILLED, queued(0.6));
        host.take("t", 1);
        assertEquals(shunned, host.where("t-0"), "a slightly longer queue elsewhere now weighs more");
    }

    @Test
    void aStaleLowReportFadesTowardsTheNeighbours() {
        host.open("a", "b", "c");
        for (String each : List.of("q", "r", "s")) {
            host.take(each, 1);
        }
        for (String each : List.of("a", "b", "c")) {
            host.logic.probed(each, Ending.FULFILLED, queued(0));
        }
        host.pass(0.02);
        Query one = host.take("t", 3);
        for (int part = 0; part < 3; part++) {
            host.ends(one, "t-" + part, 0, Ending.FULFILLED, 0.1);
        }
        host.clock += 1;
        host.logic.probed("b", Ending.FULFILLED, queued(1));
        host.logic.probed("c", Ending.FULFILLED, queued(4));
        host.take("u", 1);
        assertEquals("b", host.where("u-0"), "a's empty queue is old news");
    }

    @Test
    void failedAsksForTheListAreRepeatedWithinTheTimeThatCountsAsTold() {
        host.mustAsk = true;
        host.open("a");
        assertEquals(1, host.count("track"));
        for (int each = 0; each < 4; each++) {
            host.list(ListForm.FAILED, Stage.READY, 0);
            host.pass(5);
        }
        assertTrue(host.count("track") == 5, host.said.toString());
    }

    @Test
    void partsWithTheSameHoldersShareACallWhereCallsCost() {
        host.callWork = 0.05;
        host.open("a", "b");
        host.take("q", 3);
        assertEquals(host.where("q-0"), host.where("q-1"));
        assertEquals(host.where("q-0"), host.where("q-2"));
    }

    @Test
    void aShardWithoutAnyHolderIsDeclinedAtOnce() {
        host.open("a");
        host.list(ListForm.CHANGES, Stage.GONE, 0, "a");
        host.take("q", 1);
        assertEquals(1, host.count("decline q"));
        assertEquals(0, host.count("launch"));
    }

    @Test
    void overloadHoldsQueriesWholeAndDeclinesWhatCannotBeInTime() {
        host.open("a");
        host.warmUp(10, 0.3);
        for (int each = 0; each < 8; each++) {
            host.take("q" + each, 2);
        }
        long started = host.count("launch");
        assertTrue(started < 16, started + " launched");
        host.pass(2);
        assertTrue(host.count("decline") >= 1);
        assertEquals(started, host.count("launch"), "no work is spent on what is declined");
    }

    @Test
    void aWithdrawnQueryOrPartEndsTheQuery() {
        host.open("a", "b");
        Query left = host.take("q", 1);
        left.withdrawn("q");
        Query crippled = host.take("r", 2);
        crippled.withdrawn("r-1");
        assertEquals(0, host.count("decline q"));
        assertEquals(1, host.count("decline r"));
    }

    @Test
    void aColdSearcherMayDoMoreWhereWarmOnesWereSeenToServeFast() {
        long[] sent = new long[2];
        for (int fast = 0; fast < 2; fast++) {
            FakeHost each = new FakeHost().open("a", "b");
            each.warmUp(10, 0.2);
            for (int report = 0; report < 20; report++) {
                double rate = fast == 1 ? 15 : 0;
                each.logic.probed("b", Ending.FULFILLED, new LoadReport(0, Double.NaN, Double.NaN, rate));
            }
            each.list(ListForm.CHANGES, Stage.GONE, 0, "b");
            each.list(ListForm.CHANGES, Stage.READY, each.clock, "a");
            for (int query = 0; query < 10; query++) {
                each.ends(each.take("q" + query, 1), "q" + query + "-0", 0, Ending.FULFILLED, 0.02);
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
                each.logic.probed("a", Ending.FULFILLED, new LoadReport(4 * queued, Double.NaN, Double.NaN, Double.NaN));
                each.logic.probed("b", Ending.FULFILLED, new LoadReport(4 * queued, Double.NaN, Double.NaN, Double.NaN));
                each.warmUp(1, 0.2);
            }
            each.list(ListForm.CHANGES, Stage.GONE, 0, "b");
            each.list(ListForm.CHANGES, Stage.READY, each.clock, "a");
            for (int query = 0; query < 10; query++) {
                each.ends(each.take("q" + query, 1), "q" + query + "-0", 0, Ending.FULFILLED, 0.02);
            }
            sent[queued] = each.count("launch");
        }
        assertTrue(sent[1] > sent[0], "answers of 0.2 s behind four others: " + sent[1] + ", without: " + sent[0]);
    }

    @Test
    void aQueryIsDeclinedOnceAWholeRunNoLongerFits() {
        host.open("a");
        for (int each = 0; each < 10; each++) {
            Query query = host.take("w" + each, 1);
            host.clock += 1;
            host.ends(query, "w" + each + "-0", 0, Ending.FULFILLED, 1);
        }
        host.said.clear();
        host.take("q", 8);
        host.take("r", 8);
        assertEquals(0, host.count("launch r"));
        host.pass(1.3);
        assertEquals(1, host.count("decline r"), "1 s is left of the goal, and runs took as long");
    }

    @Test
    void aClientInHasteIsNotTakenForALaterTryWhereLaterTriesAreMarked() {
        for (boolean marked : new boolean[] {true, false}) {
            FakeHost host = new FakeHost();
            host.marksRetries = marked;
            host.open("a");
            host.warmUp(10, 0.1);
            host.take("hasty", 1, 1);
            assertEquals(marked ? 1 : 0, host.count("launch hasty-0"));
            Query again = host.logic.take("again", 0, 1, 1, 0, true);
            again.part("again-0", 0, 1);
            host.logic.endOfBatch();
            assertEquals(1, host.count("decline again"), "its goal is over");
        }
    }

    @Test
    void aHeldQueryIsDeclinedBeforeHalfItsClientsTimeIsGone() {
        FakeHost host = new FakeHost().open("a");
        for (int each = 0; each < 4; each++) {
            host.take("fills" + each, 1);
        }
        host.take("hasty", 1, 1);
        host.pass(0.48);
        assertEquals(1, host.count("decline hasty"));
        assertEquals(0.5, host.advice, 1e-9, "a quarter of the goal, so that they do not come back into the same jam");
    }

    @Test
    void aSearcherGoneForLongIsForgottenAndComesBackAsOneNeverMet() {
        FakeHost host = new FakeHost();
        host.probing = true;
        host.open("a");
        for (double away : new double[] {1, 60}) {
            host.clock += 60;
            Query query = host.take("q" + away, 1);
            host.ends(query, "q" + away + "-0", 0, Host.Ending.ERROR, 0.1);
            host.list(Host.ListForm.CHANGES, Host.Stage.GONE, 0, "a");
            host.clock += away;
            host.list(Host.ListForm.CHANGES, Host.Stage.READY, 0, "b");
            host.list(Host.ListForm.CHANGES, Host.Stage.GONE, 0, "b");
            host.list(Host.ListForm.CHANGES, Host.Stage.READY, 0, "a");
            host.said.clear();
            host.pass(0.1);
            assertEquals(away > 30 ? 0 : 1, host.count("probe a"), "its failure is known after " + away);
            host.logic.probed("a", Host.Ending.FULFILLED, null);
        }
    }

    @Test
    void aLostConnectionIsNoRestartButASearcherThatWasNotReachedComesBackCold() {
        for (Host.Ending ending : new Host.Ending[] {Host.Ending.DROPPED, Host.Ending.NOT_CONNECTED}) {
            FakeHost host = new FakeHost().open("a");
            host.warmUp(10, 0.2);
            Query broken = host.take("q", 1);
            host.ends(broken, "q-0", 0, ending, 0.1);
            host.pass(0.2);
            host.ends(broken, "q-0", 1, Host.Ending.FULFILLED, 0.2);
            for (int each = 0; each < 4; each++) {
                host.take("s" + each, 1);
            }
            assertEquals(ending == Host.Ending.DROPPED ? 4 : 1, host.count("launch s"), "after " + ending);
        }
        FakeHost young = new FakeHost().open("a");
        Query first = young.take("q", 1);
        young.ends(first, "q-0", 0, Host.Ending.NOT_CONNECTED, 0.1);
        first.withdrawn("q");
        young.pass(0.6);
        young.ends(young.take("r", 1), "r-0", 0, Host.Ending.FULFILLED, 0.2);
        for (int each = 0; each < 4; each++) {
            young.take("s" + each, 1);
        }
        assertEquals(4, young.count("launch s"), "a mixer that just started has seen nobody come back");
    }

    @Test
    void aHeavyQueryGetsNoFurtherLaunchesAndALonelyOverduePartDoes() {
        host.open("a", "b", "c", "d", "e");
        host.warmUp(20, 0.1);
        host.take("heavy", 3);
        host.pass(1.5);
        assertEquals(3, host.count("launch heavy"));
        host.take("light", 1);
        host.pass(0.6);
        assertEquals(2, host.count("launch light"));
    }

    @Test
    void aHungSearcherIsAtRestAfterItsPartWasCancelled() {
        host.overlap = false;
        host.open("a", "b");
        host.warmUp(20, 0.1);
        Query query = host.take("q", 1);
        String hung = host.where("q-0");
        host.pass(1.1);
        host.ends(query, "q-0", 0, Ending.CANCELLED, 1.1);
        for (int each = 0; each < 3; each++) {
            Query next = host.take("r" + each, 1);
            assertNotEquals(hung, host.where("r" + each + "-0"));
            host.ends(next, "r" + each + "-0", 0, Ending.FULFILLED, 0.1);
        }
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
            before.settled("q-" + part, 0, Ending.FULFILLED, 1.5, null);
        }
        host.logic.endOfBatch();
        assertEquals(1, host.count("assemble q whole"));
        host.take("r", 4);
        assertEquals(4, host.count("launch r"), "room is as it was");
    }

    @Test
    void aWideValuableQueryDoesNotStarveBehindNarrowOnes() {
        host.overlap = false;
        host.open("a", "b");
        List<Query> first = new ArrayList<>();
        for (int each = 0; each < 4; each++) {
            first.add(host.take("q" + each, 1));
        }
        Query wide = host.logic.take("wide", 1, 8, 6, 0, false);
        for (int part = 0; part < 6; part++) {
            wide.part("wide-" + part, part, 1.0 / 6);
        }
        host.pass(0.3);
        host.take("narrow", 1);
        assertEquals(0, host.count("launch narrow"), "the room is kept for the wide one");
        for (int each = 0; each < 4; each++) {
            host.ends(first.get(each), "q" + each + "-0", 0, Ending.FULFILLED, 0.3);
        }
        assertEquals(6, host.count("launch wide"));
    }

    @Test
    void aPartThatIsNeverAnsweredHoldsItsPlaceForOneLatencyGoalOnly() {
        host.open("a", "b");
        host.take("q", 1);
        assertEquals(2, host.longestWait, 1e-9, "though the client waits for 8 s and a late answer has a value");
    }

    @Test
    void holdersAreAskedWhereReportsAreOldAndAProbeTurnedAwayIsNoFailure() {
        host.probing = true;
        host.mixers = 60;
        host.open("a", "b");
        host.take("q", 1);
        assertEquals(2, host.count("probe"));
        assertEquals(0, host.count("launch"), "waits a moment for the reports");
        host.logic.probed("a", Ending.FULFILLED, queued(3));
        host.logic.probed("b", Ending.REJECTED, null);
        host.logic.probed("unknown", Ending.FULFILLED, null);
        host.logic.endOfBatch();
        assertEquals(1, host.count("launch"));
        assertEquals(0, host.count("log"));
        host.take("r", 1);
        assertEquals(2, host.count("probe"), "the reports are still fresh");
    }

    @Test
    void aLongReportedQueueHoldsTheQuery() {
        host.open("a");
        host.logic.probed("a", Ending.FULFILLED, queued(30));
        host.take("q", 1);
        assertEquals(0, host.count("launch"));
        host.logic.probed("a", Ending.FULFILLED, queued(1));
        host.logic.endOfBatch();
        assertEquals(1, host.count("launch"));
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
        slow.settled("q-0", 0, Ending.FULFILLED, 4, queued(0));
        for (int each = 0; each < 3; each++) {
            host.clock += 1;
            Query query = host.take("r" + each, 1);
            assertNotEquals(where, host.where("r" + each + "-0"));
            host.ends(query, "r" + each + "-0", 0, Ending.FULFILLED, 0.1);
        }
    }

    @Test
    void withManyMixersSomeQueriesMayUseAColdSearcher() {
        host.mixers = 60;
        host.open("a");
        host.list(ListForm.CHANGES, Stage.READY, host.clock, "a");
        int used = 0;
        for (int each = 0; each < 40; each++) {
            Query query = host.take("q" + each, 1);
            long launched = host.count("launch q" + each);
            used += launched;
            host.clock += 2;
            if (launched > 0) {
                host.ends(query, "q" + each + "-0", 0, Ending.FULFILLED, 0.1);
            }
            query.withdrawn("q" + each);
            host.list(ListForm.CHANGES, Stage.READY, host.clock, "a");
        }
        assertTrue(used > 0 && used < 10, used + " of 40 while its share of the budget is under one part");
    }

    @Test
    void aSearcherThatOwesAProbesAnswerIsPassedOver() {
        host.probing = true;
        host.mixers = 60;
        host.open("a", "b");
        host.take("q", 1);
        host.logic.probed("b", Ending.FULFILLED, queued(5));
        host.pass(0.1);
        assertEquals("b", host.where("q-0"), "though nothing is known against a and b has a queue");
    }

    @Test
    void aWideQueryGetsCopiesOfTheFewPartsThatAreOverdue() {
        host.open("a", "b", "c", "d", "e", "f", "g", "h");
        host.warmUp(20, 0.1);
        Query wide = host.take("q", 16);
        for (int part = 2; part < 16; part++) {
            host.clock += 0.01;
            host.ends(wide, "q-" + part, 0, Ending.FULFILLED, 0.1);
        }
        host.pass(0.6);
        assertEquals(2, host.count("launch q-0 "));
        assertEquals(2, host.count("launch q-1 "), "two of sixteen overdue is no heavy query");
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
            one.logic.probed("a", Ending.FULFILLED, queued(0));
            one.pass(0.02);
            one.ends(query, "q-0", 0, Ending.ERROR, 0.1);
            one.said.clear();
            one.pass(4);
            probes += one.count("probe a");
            one.said.clear();
            one.take("r", 1);
            one.pass(0.1);
            tried += one.count("launch r-0 a");
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
                host.ends(query, "q" + each + "-0", number, Ending.NOT_CONNECTED, 0.25);
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
        host.logic.probed("a", Ending.FULFILLED, queued(0));
        host.pass(0.1);
        return query;
    }

    @Test
    void aSearcherThatAnsweredNoProbeWasSilentAndNotSlow() {
        host.mixers = 100;
        host.probing = true;
        host.open("a");
        Query first = asked("first");
        host.ends(first, "first-0", 0, Ending.FULFILLED, 0.1);
        Query query = asked("q");
        for (int number = 0; number < 4; number++) {
            host.pass(2);
            host.ends(query, "q-0", number, Ending.TIMED_OUT, 2);
        }
        host.pass(4);
        host.logic.probed("a", Ending.TIMED_OUT, null);
        host.pass(4.5);
        host.logic.probed("a", Ending.FULFILLED, queued(0));
        host.said.clear();
        asked("r");
        assertEquals(1, host.count("launch r-0 a"), "with its first word the silence is over, and no queue is left of it");
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
            host.ends(query, "q" + each + "-0", 0, Ending.FULFILLED, took);
            host.pass(1.5);
        }
        Query slow = host.take("s", 1);
        host.pass(1);
        slow.settled("s-0", 0, Ending.FULFILLED, 3.9, queued(0));
        host.logic.endOfBatch();
        host.pass(1.5);
        host.said.clear();
        host.take("r", 1);
        assertEquals(1, host.count("launch r-0 a"), "such queues were gone by then");
    }

    @Test
    void whatOtherMixersSawMakesAnUnheardSearcherLookWorseAndNeverBetterThanItsNeighbours() {
        host.open("a", "b");
        host.othersPaces.put("a", 1.5);
        host.take("q", 1);
        assertEquals("b", host.where("q-0"), "nothing was heard of either here, but others wait long at a");
        FakeHost again = new FakeHost().open("a", "b");
        again.warmUp(2, 0.1);
        again.othersPaces.put("a", 1e-6);
        again.take("q", 1);
        FakeHost without = new FakeHost().open("a", "b");
        without.warmUp(2, 0.1);
        without.take("q", 1);
        assertEquals(without.where("q-0"), again.where("q-0"), "praise changes nothing");
    }

    @Test
    void aSearcherThatOthersWarnOfIsPassedOverUntilItAnswersHereAndIsStillTheLastResort() {
        host.open("a", "b");
        host.warned.put("a", host.clock);
        host.take("q", 2);
        assertEquals("b", host.where("q-0"));
        assertEquals("b", host.where("q-1"));
        host.warned.put("b", host.clock);
        Query last = host.take("r", 1);
        assertEquals(1, host.count("launch r-0"), "with all warned of, one part at a time goes all the same");
        String where = host.where("r-0");
        host.clock += 0.1;
        host.ends(last, "r-0", 0, Ending.FULFILLED, 0.1);
        host.take("s", 1);
        assertEquals(where, host.where("s-0"), "its own answer came after the warning");
    }

    @Test
    void aPartialAnswerIsGivenBeforeTheGoalNotJustAfterIt() {
        host.leastShare = 0.5;
        host.overlap = false;
        host.open("a", "b");
        Query query = host.take("q", 3);
        double taken = host.clock;
        host.ends(query, "q-0", 0, Ending.FULFILLED, 0.1);
        host.ends(query, "q-1", 0, Ending.FULFILLED, 0.1);
        while (host.count("assemble q part") == 0 && host.clock < taken + 8) {
            host.clock += 0.005;
            host.logic.timerFired(1);
            host.logic.endOfBatch();
        }
        assertTrue(host.clock < taken + 2, "given " + (host.clock - taken) + " s after it came, its goal is 2 s");
        assertEquals(1, host.count("timer 1 in 1.9"), "by its own timer, not the next regular look");
    }

    @Test
    void aQueryThatMayLackPartsStartsWithoutMostOfThemAndTheRestFollow() {
        host.leastShare = 0.5;
        host.cells = 8;
        host.open();
        host.listAt("a", 0);
        host.listAt("b", 1);
        host.listAt("c", 2);
        host.take("q", 4);
        assertEquals(3, host.count("launch q"), "a quarter has no holder, and half may be lacking");
        host.listAt("d", 3);
        host.pass(0.02);
        assertEquals("d", host.where("q-3"));
    }

    @Test
    void aPartWithoutALaunchLeftDoesNotEndAQueryThatMayLackIt() {
        host.leastShare = 0.5;
        host.repeat = Host.Repeat.UNREPEATABLE;
        host.open("a", "b", "c");
        Query query = host.take("q", 4);
        host.ends(query, "q-0", 0, Ending.ERROR, 0.1);
        assertEquals(0, host.count("give up q") + host.count("assemble q"));
        for (int part = 1; part < 4; part++) {
            host.ends(query, "q-" + part, 0, Ending.FULFILLED, 0.1);
        }
        assertEquals(1, host.count("assemble q part"), "nothing more can come, so it is answered at once");
    }

    @Test
    void aWideQueryThatBringsDownSearchersTakesTwoAlongNotAll() {
        host.open("a", "b", "c", "d", "e", "f", "g", "h", "i", "j");
        Query deadly = host.take("q", 10);
        assertEquals(1, host.count("launch q"), "one part goes first");
        host.ends(deadly, lastOf(host), 0, Ending.DROPPED, 0.1);
        assertEquals(2, host.count("launch q"));
        host.ends(deadly, lastOf(host), 1, Ending.DROPPED, 0.1);
        assertEquals(2, host.count("launch q"));
        assertEquals(1, host.count("decline q"), "no third searcher, and its answer at once");
    }

    @Test
    void afterACrashOnePartGoesFirstAndTheRestFollowItsAnswer() {
        host.open("a", "b", "c");
        Query crashed = host.take("p", 1);
        host.ends(crashed, "p-0", 0, Ending.DROPPED, 0.1);
        Query answered = host.take("q", 3);
        assertEquals(1, host.count("launch q"));
        host.ends(answered, lastOf(host), 0, Ending.FULFILLED, 0.1);
        assertEquals(3, host.count("launch q"));
    }

    @Test
    void aScoutThatIsOverdueHoldsAWideQueryBackNoLonger() {
        host.overlap = false;
        host.open("a", "b", "c", "d", "e", "f", "g", "h", "i", "j");
        host.take("q", 10);
        host.pass(0.2);
        assertEquals(1, host.count("launch q"));
        host.pass(0.4);
        assertEquals(10, host.count("launch q"), "silence is no crash");
    }

    @Test
    void whereACallCostsWorkNeighbouringPartsJoinTheCallThatTheirTurnAlreadyMakes() {
        host.callWork = 0.05;
        host.cells = 6;
        host.reach = 3;
        host.mixers = 30;
        host.open();
        for (int cell = 2; cell < 5; cell++) {
            host.listAt("s" + cell, cell);
        }
        host.take("q", 3);
        long calls = host.said.stream().filter(line -> line.startsWith("launch q"))
            .map(line -> line.split(" ")[2]).distinct().count();
        assertEquals(1, calls, "the first part has one holder, which holds the others too");
    }

    @Test
    void copiesAreNotSpentOnSeveralOverduePartsOnceTheLeastShareIsIn() {
        host.leastShare = 0.5;
        host.open("a", "b", "c", "d");
        Query query = host.take("q", 8);
        for (int part = 0; part < 6; part++) {
            host.ends(query, "q-" + part, 0, Ending.FULFILLED, 0.1);
        }
        host.pass(1.2);
        assertEquals(8, host.count("launch q"), "two are overdue and may be lacking");
        host.ends(query, "q-6", 0, Ending.FULFILLED, 1.2);
        host.pass(0.1);
        assertEquals(9, host.count("launch q"), "the last one makes it whole");
    }

    @Test
    void theWindowRunsFromAFirstLaunchThatProvedToHaveNeverRunOnlyAfterItsCopyWasSent() {
        host.repeat = Host.Repeat.DEDUPLICATED;
        host.open("a", "b", "c");
        host.warmUp(12, 0.1);
        double taken = host.clock;
        Query query = host.take("q", 1);
        host.pass(0.4);
        assertEquals(2, host.count("launch q-0"), "a copy of the overdue part");
        host.ends(query, "q-0", 0, Ending.NOT_CONNECTED, 0.4);
        host.clock = taken + 3.1;
        host.ends(query, "q-0", 1, Ending.DROPPED, 2);
        host.pass(0.5);
        assertEquals(2, host.count("launch q-0"), "3 s after the first launch the window is over");
        assertEquals(1, host.count("give up q"));
    }

    /** The part of query q launched last. */
    private static String lastOf(FakeHost host) {
        return host.said.stream().filter(line -> line.startsWith("launch q")).reduce((one, other) -> other)
            .orElseThrow().split(" ")[1];
    }
}
