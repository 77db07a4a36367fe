package pinewick.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import pinewick.core.SchedulerHost.Outcome;

/** Retries and hedges: when they are sent, and when they would be unsafe or exceed a budget. */
class RetryPolicyTest {
    private final FakeHost host = new FakeHost();

    @Test
    void unsafeRequestIsRetriedOnlyIfItNeverRan() {
        host.retrySafety = SchedulerHost.RetrySafety.UNSAFE;
        host.open("a", "b");
        Query never = host.submit("q", 1);
        host.endAttempt(never, "q-0", 0, Outcome.NOT_CONNECTED, 0.25);
        assertEquals(2, host.count("sendAttempt q-0"));
        host.endAttempt(never, "q-0", 1, Outcome.DROPPED, 0.1);
        host.pass(1);
        assertEquals(2, host.count("sendAttempt q-0"));
        assertEquals(1, host.count("failQuery q"));
        assertEquals(0, host.count("rejectQuery q"));
    }

    @Test
    void deduplicatedRequestIsNotResentOutsideItsWindow() {
        host.retrySafety = SchedulerHost.RetrySafety.DEDUPLICATED;
        host.open("a", "b");
        Query query = host.submit("q", 1);
        host.concurrentAttempts = false;
        host.clock += 3.1;
        host.endAttempt(query, "q-0", 0, Outcome.DROPPED, 3.1);
        assertEquals(1, host.count("sendAttempt q-0"));
        assertEquals(1, host.count("failQuery q"));
    }

    @Test
    void retriesStayWithinTheSlidingBudget() {
        host.rules = new SchedulerHost.SchedulingRules(0.5, 1, 0, 2, 0, 2, 0.1, 10, 10);
        host.open("abcdefghijklmnopqrstuvwxyz".split(""));
        for (int each = 0; each < 10; each++) {
            Query query = host.submit("q" + each, 1);
            host.endAttempt(query, "q" + each + "-0", 0, Outcome.ERROR, 0.01);
            host.clock += 0.7;
        }
        long attempts = host.count("sendAttempt");
        assertTrue(attempts > 10 && attempts <= 14, attempts + " attempts of 10 shard requests");
    }

    @Test
    void requestAtAHungReplicaIsHedgedAndTheReplicaGetsNoNewRequests() {
        host.open("a", "b");
        host.warmUp(20, 0.1);
        host.submit("q", 1);
        String hung = host.lastReplica("q-0");
        host.pass(0.6);
        assertEquals(2, host.count("sendAttempt q-0"));
        String other = host.lastReplica("q-0");
        assertNotEquals(hung, other);
        for (int each = 0; each < 3; each++) {
            Query query = host.submit("r" + each, 1);
            assertEquals(other, host.lastReplica("r" + each + "-0"));
            host.endAttempt(query, "r" + each + "-0", 0, Outcome.FULFILLED, 0.1);
        }
    }

    @Test
    void aLostRequestIsReplacedAndDoesNotCountAgainstItsReplica() {
        host.open("a");
        host.warmUp(20, 0.1);
        Query lost = host.submit("q", 1);
        host.pass(0.1);
        for (int each = 0; each < 5; each++) {
            Query query = host.submit("r" + each, 1);
            host.pass(0.1);
            host.endAttempt(query, "r" + each + "-0", 0, Outcome.FULFILLED, 0.1);
        }
        host.endAttempt(lost, "q-0", 0, Outcome.TIMED_OUT, 0.6);
        host.endAttempt(lost, "q-0", 1, Outcome.FULFILLED, 0.1);
        host.submit("s", 1);
        assertEquals("a", host.lastReplica("s-0"));
        assertEquals(0, host.count("log a rests"));
    }

    @Test
    void withoutConcurrentAttemptsAHungAttemptIsCancelledFirst() {
        host.concurrentAttempts = false;
        host.open("a", "b");
        host.warmUp(20, 0.1);
        Query query = host.submit("q", 1);
        host.pass(1.1);
        assertEquals(1, host.count("cancelAttempt q-0 0"));
        assertEquals(1, host.count("sendAttempt q-0"));
        host.endAttempt(query, "q-0", 0, Outcome.CANCELLED, 1.1);
        assertEquals(2, host.count("sendAttempt q-0"));
    }

    @Test
    void heavyQueryIsNotHedgedAndASingleOverdueRequestIs() {
        host.open("a", "b", "c", "d", "e");
        host.warmUp(20, 0.1);
        host.submit("heavy", 3);
        host.pass(1.5);
        assertEquals(3, host.count("sendAttempt heavy"));
        host.submit("light", 1);
        host.pass(0.6);
        assertEquals(2, host.count("sendAttempt light"));
    }

    @Test
    void hungReplicaIsInBackoffAfterItsAttemptWasCancelled() {
        host.concurrentAttempts = false;
        host.open("a", "b");
        host.warmUp(20, 0.1);
        Query query = host.submit("q", 1);
        String hung = host.lastReplica("q-0");
        host.pass(1.1);
        host.endAttempt(query, "q-0", 0, Outcome.CANCELLED, 1.1);
        for (int each = 0; each < 3; each++) {
            Query next = host.submit("r" + each, 1);
            assertNotEquals(hung, host.lastReplica("r" + each + "-0"));
            host.endAttempt(next, "r" + each + "-0", 0, Outcome.FULFILLED, 0.1);
        }
    }

    @Test
    void fewOverdueRequestsOfAWideQueryAreHedged() {
        host.open("a", "b", "c", "d", "e", "f", "g", "h");
        host.warmUp(20, 0.1);
        Query wide = host.submit("q", 16);
        for (int request = 2; request < 16; request++) {
            host.clock += 0.01;
            host.endAttempt(wide, "q-" + request, 0, Outcome.FULFILLED, 0.1);
        }
        host.pass(0.6);
        assertEquals(2, host.count("sendAttempt q-0 "));
        assertEquals(2, host.count("sendAttempt q-1 "), "two of sixteen overdue do not make a heavy query");
    }

    @Test
    void severalOverdueRequestsAreNotHedgedOnceTheMinimumShareIsAnswered() {
        host.minShare = 0.5;
        host.open("a", "b", "c", "d");
        Query query = host.submit("q", 8);
        for (int request = 0; request < 6; request++) {
            host.endAttempt(query, "q-" + request, 0, Outcome.FULFILLED, 0.1);
        }
        host.pass(1.2);
        assertEquals(8, host.count("sendAttempt q"), "two are overdue and may be missing");
        host.endAttempt(query, "q-6", 0, Outcome.FULFILLED, 1.2);
        host.pass(0.1);
        assertEquals(9, host.count("sendAttempt q"), "the last one completes the answer");
    }

    @Test
    void dedupWindowRunsFromAFirstAttemptThatProvedNotToHaveRunOnlyAfterItsHedge() {
        host.retrySafety = SchedulerHost.RetrySafety.DEDUPLICATED;
        host.open("a", "b", "c");
        host.warmUp(12, 0.1);
        double taken = host.clock;
        Query query = host.submit("q", 1);
        host.pass(0.4);
        assertEquals(2, host.count("sendAttempt q-0"), "a hedge of the overdue request");
        host.endAttempt(query, "q-0", 0, Outcome.NOT_CONNECTED, 0.4);
        host.clock = taken + 3.1;
        host.endAttempt(query, "q-0", 1, Outcome.DROPPED, 2);
        host.pass(0.5);
        assertEquals(2, host.count("sendAttempt q-0"), "3 s after the first attempt the window is over");
        assertEquals(1, host.count("failQuery q"));
    }

    @Test
    void unansweredAttemptTimesOutAfterOneLatencyTarget() {
        host.open("a", "b");
        host.submit("q", 1);
        assertEquals(
                2, host.longestTimeoutSeconds, 1e-9, "although the client waits for 8 s and a late answer has a value");
    }
}
