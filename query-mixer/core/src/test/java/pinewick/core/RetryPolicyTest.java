package pinewick.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import pinewick.core.SchedulerHost.Outcome;

/** Further launches of parts: when they are made, and when they would do harm or break a budget. */
class RetryPolicyTest {
    private final FakeHost host = new FakeHost();

    @Test
    void unrepeatablePartRunsAgainOnlyIfItNeverRan() {
        host.repeat = SchedulerHost.RetrySafety.UNREPEATABLE;
        host.open("a", "b");
        Query never = host.take("q", 1);
        host.ends(never, "q-0", 0, Outcome.NOT_CONNECTED, 0.25);
        assertEquals(2, host.count("launch q-0"));
        host.ends(never, "q-0", 1, Outcome.DROPPED, 0.1);
        host.pass(1);
        assertEquals(2, host.count("launch q-0"));
        assertEquals(1, host.count("give up q"));
        assertEquals(0, host.count("decline q"));
    }

    @Test
    void deduplicatedPartIsNotResentOutsideItsWindow() {
        host.repeat = SchedulerHost.RetrySafety.DEDUPLICATED;
        host.open("a", "b");
        Query query = host.take("q", 1);
        host.overlap = false;
        host.clock += 3.1;
        host.ends(query, "q-0", 0, Outcome.DROPPED, 3.1);
        assertEquals(1, host.count("launch q-0"));
        assertEquals(1, host.count("give up q"));
    }

    @Test
    void furtherLaunchesStayInTheSlidingBudget() {
        host.rules = new SchedulerHost.SchedulingRules(0.5, 1, 0, 2, 0, 2, 0.1, 10, 10);
        host.open("abcdefghijklmnopqrstuvwxyz".split(""));
        for (int each = 0; each < 10; each++) {
            Query query = host.take("q" + each, 1);
            host.ends(query, "q" + each + "-0", 0, Outcome.ERROR, 0.01);
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
            host.ends(query, "r" + each + "-0", 0, Outcome.FULFILLED, 0.1);
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
            host.ends(query, "r" + each + "-0", 0, Outcome.FULFILLED, 0.1);
        }
        host.ends(lost, "q-0", 0, Outcome.TIMED_OUT, 0.6);
        host.ends(lost, "q-0", 1, Outcome.FULFILLED, 0.1);
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
        host.ends(query, "q-0", 0, Outcome.CANCELLED, 1.1);
        assertEquals(2, host.count("launch q-0"));
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
        host.ends(query, "q-0", 0, Outcome.CANCELLED, 1.1);
        for (int each = 0; each < 3; each++) {
            Query next = host.take("r" + each, 1);
            assertNotEquals(hung, host.where("r" + each + "-0"));
            host.ends(next, "r" + each + "-0", 0, Outcome.FULFILLED, 0.1);
        }
    }

    @Test
    void aWideQueryGetsCopiesOfTheFewPartsThatAreOverdue() {
        host.open("a", "b", "c", "d", "e", "f", "g", "h");
        host.warmUp(20, 0.1);
        Query wide = host.take("q", 16);
        for (int part = 2; part < 16; part++) {
            host.clock += 0.01;
            host.ends(wide, "q-" + part, 0, Outcome.FULFILLED, 0.1);
        }
        host.pass(0.6);
        assertEquals(2, host.count("launch q-0 "));
        assertEquals(2, host.count("launch q-1 "), "two of sixteen overdue is no heavy query");
    }

    @Test
    void copiesAreNotSpentOnSeveralOverduePartsOnceTheLeastShareIsIn() {
        host.leastShare = 0.5;
        host.open("a", "b", "c", "d");
        Query query = host.take("q", 8);
        for (int part = 0; part < 6; part++) {
            host.ends(query, "q-" + part, 0, Outcome.FULFILLED, 0.1);
        }
        host.pass(1.2);
        assertEquals(8, host.count("launch q"), "two are overdue and may be lacking");
        host.ends(query, "q-6", 0, Outcome.FULFILLED, 1.2);
        host.pass(0.1);
        assertEquals(9, host.count("launch q"), "the last one makes it whole");
    }

    @Test
    void theWindowRunsFromAFirstLaunchThatProvedToHaveNeverRunOnlyAfterItsCopyWasSent() {
        host.repeat = SchedulerHost.RetrySafety.DEDUPLICATED;
        host.open("a", "b", "c");
        host.warmUp(12, 0.1);
        double taken = host.clock;
        Query query = host.take("q", 1);
        host.pass(0.4);
        assertEquals(2, host.count("launch q-0"), "a copy of the overdue part");
        host.ends(query, "q-0", 0, Outcome.NOT_CONNECTED, 0.4);
        host.clock = taken + 3.1;
        host.ends(query, "q-0", 1, Outcome.DROPPED, 2);
        host.pass(0.5);
        assertEquals(2, host.count("launch q-0"), "3 s after the first launch the window is over");
        assertEquals(1, host.count("give up q"));
    }

    @Test
    void aPartThatIsNeverAnsweredHoldsItsPlaceForOneLatencyGoalOnly() {
        host.open("a", "b");
        host.take("q", 1);
        assertEquals(2, host.longestWait, 1e-9, "though the client waits for 8 s and a late answer has a value");
    }
}
