package pinewick.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import pinewick.core.SchedulerHost.LifecycleState;
import pinewick.core.SchedulerHost.ListUpdateKind;
import pinewick.core.SchedulerHost.Outcome;

/** How a query ends: complete, partial, rejected or failed, once and in time. */
class QueryTest {
    private final FakeHost host = new FakeHost();

    @Test
    void everyQueryEndsOnceBeforeItsDeadline() {
        host.open("a", "b");
        Query query = host.submit("q", 2, 5);
        assertEquals(1, host.count("scheduleTimer 1 in 4.9"), "its end does not wait for the periodic check");
        host.pass(4.99);
        assertEquals(1, host.count("rejectQuery q") + host.count("failQuery q"));
        host.calls.clear();
        host.endAttempt(query, "q-0", 0, Outcome.TIMED_OUT, 5);
        host.endAttempt(query, "q-1", 0, Outcome.FULFILLED, 5);
        host.pass(1);
        assertEquals(0, host.count("sendAttempt q"));
        query.onAttemptEnd("q-0", 1, Outcome.CANCELLED, 4, null);
        query.onAttemptEnd("q-1", 1, Outcome.CANCELLED, 4, null);
        assertEquals(0, host.count("mergeResults q") + host.count("failQuery q") + host.count("rejectQuery q"));
        assertTrue(query.isFinished());
    }

    @Test
    void noAnswerBelowTheMinimumShareAndNoPartialOneMarkedComplete() {
        host.minShare = 0.5;
        host.concurrentAttempts = false;
        host.open("a", "b");
        Query enough = host.submit("q", 3);
        Query scant = host.submit("r", 3);
        host.endAttempt(enough, "q-0", 0, Outcome.FULFILLED, 0.1);
        host.endAttempt(enough, "q-0", 0, Outcome.FULFILLED, 0.1);
        host.endAttempt(enough, "q-1", 0, Outcome.FULFILLED, 0.1);
        host.endAttempt(scant, "r-0", 0, Outcome.FULFILLED, 0.1);
        host.pass(7.99);
        assertEquals(1, host.count("mergeResults q partial"));
        assertEquals(0, host.count("mergeResults q complete"));
        assertEquals(0, host.count("mergeResults r"));
    }

    @Test
    void queryForAShardWithoutHolderIsRejectedAtOnce() {
        host.open("a");
        host.list(ListUpdateKind.INCREMENTAL, LifecycleState.GONE, 0, "a");
        host.submit("q", 1);
        assertEquals(1, host.count("rejectQuery q"));
        assertEquals(0, host.count("sendAttempt"));
    }

    @Test
    void overloadKeepsWholeQueriesPendingAndRejectsThoseThatCannotFinishInTime() {
        host.open("a");
        host.warmUp(10, 0.3);
        for (int each = 0; each < 8; each++) {
            host.submit("q" + each, 2);
        }
        long started = host.count("sendAttempt");
        assertTrue(started < 16, started + " attempts sent");
        host.pass(2);
        assertTrue(host.count("rejectQuery") >= 1);
        assertEquals(started, host.count("sendAttempt"), "no work is done for rejected queries");
    }

    @Test
    void cancelledQueryOrRequestEndsTheQuery() {
        host.open("a", "b");
        Query left = host.submit("q", 1);
        left.onCancelled("q");
        Query crippled = host.submit("r", 2);
        crippled.onCancelled("r-1");
        assertEquals(0, host.count("rejectQuery q"));
        assertEquals(1, host.count("rejectQuery r"));
    }

    @Test
    void queryIsRejectedOnceItsExpectedDurationNoLongerFits() {
        host.open("a");
        for (int each = 0; each < 10; each++) {
            Query query = host.submit("w" + each, 1);
            host.clock += 1;
            host.endAttempt(query, "w" + each + "-0", 0, Outcome.FULFILLED, 1);
        }
        host.calls.clear();
        host.submit("q", 8);
        host.submit("r", 8);
        assertEquals(0, host.count("sendAttempt r"));
        host.pass(1.3);
        assertEquals(1, host.count("rejectQuery r"), "1 s of the target is left, and queries took as long");
    }

    @Test
    void shortTimeToLiveIsNotTakenForARetryWhereRetriesAreMarked() {
        for (boolean marked : new boolean[] {true, false}) {
            FakeHost host = new FakeHost();
            host.clientsMarkRetries = marked;
            host.open("a");
            host.warmUp(10, 0.1);
            host.submit("hasty", 1, 1);
            assertEquals(marked ? 1 : 0, host.count("sendAttempt hasty-0"));
            Query again = host.scheduler.submit("again", 0, 1, 1, 0, true);
            again.addShardRequest("again-0", 0, 1);
            host.scheduler.onBatchEnd();
            assertEquals(1, host.count("rejectQuery again"), "its target has passed");
        }
    }

    @Test
    void pendingQueryIsRejectedBeforeHalfOfItsTimeToLive() {
        FakeHost host = new FakeHost().open("a");
        for (int each = 0; each < 4; each++) {
            host.submit("fills" + each, 1);
        }
        host.submit("hasty", 1, 1);
        host.pass(0.48);
        assertEquals(1, host.count("rejectQuery hasty"));
        assertEquals(
                0.5,
                host.retryAfterSeconds,
                1e-9,
                "a quarter of the target, so that clients do not retry into the same overload");
    }

    @Test
    void partialAnswerIsSentBeforeTheTargetNotJustAfterIt() {
        host.minShare = 0.5;
        host.concurrentAttempts = false;
        host.open("a", "b");
        Query query = host.submit("q", 3);
        double taken = host.clock;
        host.endAttempt(query, "q-0", 0, Outcome.FULFILLED, 0.1);
        host.endAttempt(query, "q-1", 0, Outcome.FULFILLED, 0.1);
        while (host.count("mergeResults q partial") == 0 && host.clock < taken + 8) {
            host.clock += 0.005;
            host.scheduler.onTimer(1);
            host.scheduler.onBatchEnd();
        }
        assertTrue(host.clock < taken + 2, "given " + (host.clock - taken) + " s after admission, the target is 2 s");
        assertEquals(1, host.count("scheduleTimer 1 in 1.9"), "by its own timer, not the next periodic check");
    }

    @Test
    void exhaustedRequestDoesNotEndAQueryThatMayLackIt() {
        host.minShare = 0.5;
        host.retrySafety = SchedulerHost.RetrySafety.UNSAFE;
        host.open("a", "b", "c");
        Query query = host.submit("q", 4);
        host.endAttempt(query, "q-0", 0, Outcome.ERROR, 0.1);
        assertEquals(0, host.count("failQuery q") + host.count("mergeResults q"));
        for (int request = 1; request < 4; request++) {
            host.endAttempt(query, "q-" + request, 0, Outcome.FULFILLED, 0.1);
        }
        assertEquals(1, host.count("mergeResults q partial"), "no more results can arrive, so it is answered at once");
    }
}
