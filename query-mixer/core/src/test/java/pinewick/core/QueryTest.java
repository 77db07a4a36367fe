package pinewick.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import pinewick.core.SchedulerHost.LifecycleState;
import pinewick.core.SchedulerHost.ListUpdateKind;
import pinewick.core.SchedulerHost.Outcome;

/** How a query ends: whole, in part, declined or given up, once and in time. */
class QueryTest {
    private final FakeHost host = new FakeHost();

    @Test
    void everyQueryEndsOnceBeforeTheClientsTimeIsUp() {
        host.open("a", "b");
        Query query = host.take("q", 2, 5);
        assertEquals(1, host.count("timer 1 in 4.9"), "its end doesn't wait for the regular look");
        host.pass(4.99);
        assertEquals(1, host.count("decline q") + host.count("give up q"));
        host.said.clear();
        host.ends(query, "q-0", 0, Outcome.TIMED_OUT, 5);
        host.ends(query, "q-1", 0, Outcome.FULFILLED, 5);
        host.pass(1);
        assertEquals(0, host.count("launch q"));
        query.settled("q-0", 1, Outcome.CANCELLED, 4, null);
        query.settled("q-1", 1, Outcome.CANCELLED, 4, null);
        assertEquals(0, host.count("assemble q") + host.count("give up q") + host.count("decline q"));
        assertTrue(query.over());
    }

    @Test
    void noAnswerUnderTheLeastShareAndNoneMarkedWholeThatIsNot() {
        host.leastShare = 0.5;
        host.overlap = false;
        host.open("a", "b");
        Query enough = host.take("q", 3);
        Query scant = host.take("r", 3);
        host.ends(enough, "q-0", 0, Outcome.FULFILLED, 0.1);
        host.ends(enough, "q-0", 0, Outcome.FULFILLED, 0.1);
        host.ends(enough, "q-1", 0, Outcome.FULFILLED, 0.1);
        host.ends(scant, "r-0", 0, Outcome.FULFILLED, 0.1);
        host.pass(7.99);
        assertEquals(1, host.count("assemble q part"));
        assertEquals(0, host.count("assemble q whole"));
        assertEquals(0, host.count("assemble r"));
    }

    @Test
    void aShardWithoutAnyHolderIsDeclinedAtOnce() {
        host.open("a");
        host.list(ListUpdateKind.CHANGES, LifecycleState.GONE, 0, "a");
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
    void aQueryIsDeclinedOnceAWholeRunNoLongerFits() {
        host.open("a");
        for (int each = 0; each < 10; each++) {
            Query query = host.take("w" + each, 1);
            host.clock += 1;
            host.ends(query, "w" + each + "-0", 0, Outcome.FULFILLED, 1);
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
    void aPartialAnswerIsGivenBeforeTheGoalNotJustAfterIt() {
        host.leastShare = 0.5;
        host.overlap = false;
        host.open("a", "b");
        Query query = host.take("q", 3);
        double taken = host.clock;
        host.ends(query, "q-0", 0, Outcome.FULFILLED, 0.1);
        host.ends(query, "q-1", 0, Outcome.FULFILLED, 0.1);
        while (host.count("assemble q part") == 0 && host.clock < taken + 8) {
            host.clock += 0.005;
            host.logic.timerFired(1);
            host.logic.endOfBatch();
        }
        assertTrue(host.clock < taken + 2, "given " + (host.clock - taken) + " s after it came, its goal is 2 s");
        assertEquals(1, host.count("timer 1 in 1.9"), "by its own timer, not the next regular look");
    }

    @Test
    void aPartWithoutALaunchLeftDoesNotEndAQueryThatMayLackIt() {
        host.leastShare = 0.5;
        host.repeat = SchedulerHost.RetrySafety.UNREPEATABLE;
        host.open("a", "b", "c");
        Query query = host.take("q", 4);
        host.ends(query, "q-0", 0, Outcome.ERROR, 0.1);
        assertEquals(0, host.count("give up q") + host.count("assemble q"));
        for (int part = 1; part < 4; part++) {
            host.ends(query, "q-" + part, 0, Outcome.FULFILLED, 0.1);
        }
        assertEquals(1, host.count("assemble q part"), "nothing more can come, so it is answered at once");
    }
}
