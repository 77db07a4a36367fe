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

/** Which replica a part goes to, when a query starts, and what holds it. */
class PlacementTest {
    private final FakeHost host = new FakeHost();

    @Test
    void partsGoToTheLowestScoreByReport() {
        host.open("a", "b");
        host.logic.probed("a", Outcome.FULFILLED, queued(6));
        host.logic.probed("b", Outcome.FULFILLED, queued(0));
        host.warmUp(4, 0.1);
        Query first = host.take("q", 1);
        String quiet = host.where("q-0");
        first.settled("q-0", 0, Outcome.FULFILLED, 0.1, queued(9));
        host.take("r", 1);
        assertNotEquals(quiet, host.where("r-0"), "the report of a long queue sends the next part elsewhere");
    }

    @Test
    void nothingNewGoesToASearcherThatDrainsOrIsGone() {
        host.open("a", "b");
        host.list(ListUpdateKind.CHANGES, LifecycleState.DRAINING, 0, "a");
        for (int each = 0; each < 3; each++) {
            host.take("q" + each, 1);
            assertEquals("b", host.where("q" + each + "-0"));
        }
        host.list(ListUpdateKind.WHOLE, LifecycleState.READY, 0, "c");
        host.take("r", 1);
        assertEquals("c", host.where("r-0"));
    }

    @Test
    void aShunnedSearcherIsTriedAgainOnceItsBadLatencyIsOld() {
        host.open("a", "b");
        Query one = host.take("q", 1);
        Query two = host.take("r", 1);
        host.ends(one, "q-0", 0, Outcome.FULFILLED, 0.1);
        host.ends(two, "r-0", 0, Outcome.FULFILLED, 0.1);
        Query heavy = host.take("s", 1);
        String shunned = host.where("s-0");
        host.ends(heavy, "s-0", 0, Outcome.FULFILLED, 1.9);
        host.clock += 20;
        host.logic.probed(shunned.equals("a") ? "b" : "a", Outcome.FULFILLED, queued(0.6));
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
            host.logic.probed(each, Outcome.FULFILLED, queued(0));
        }
        host.pass(0.02);
        Query one = host.take("t", 3);
        for (int part = 0; part < 3; part++) {
            host.ends(one, "t-" + part, 0, Outcome.FULFILLED, 0.1);
        }
        host.clock += 1;
        host.logic.probed("b", Outcome.FULFILLED, queued(1));
        host.logic.probed("c", Outcome.FULFILLED, queued(4));
        host.take("u", 1);
        assertEquals("b", host.where("u-0"), "a's empty queue is old news");
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
        long calls = host.said.stream()
                .filter(line -> line.startsWith("launch q"))
                .map(line -> line.split(" ")[2])
                .distinct()
                .count();
        assertEquals(1, calls, "the first part has one holder, which holds the others too");
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
            host.ends(first.get(each), "q" + each + "-0", 0, Outcome.FULFILLED, 0.3);
        }
        assertEquals(6, host.count("launch wide"));
    }

    @Test
    void aLongReportedQueueHoldsTheQuery() {
        host.open("a");
        host.logic.probed("a", Outcome.FULFILLED, queued(30));
        host.take("q", 1);
        assertEquals(0, host.count("launch"));
        host.logic.probed("a", Outcome.FULFILLED, queued(1));
        host.logic.endOfBatch();
        assertEquals(1, host.count("launch"));
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
    void aWideQueryThatBringsDownSearchersTakesTwoAlongNotAll() {
        host.open("a", "b", "c", "d", "e", "f", "g", "h", "i", "j");
        Query deadly = host.take("q", 10);
        assertEquals(1, host.count("launch q"), "one part goes first");
        host.ends(deadly, lastOf(host), 0, Outcome.DROPPED, 0.1);
        assertEquals(2, host.count("launch q"));
        host.ends(deadly, lastOf(host), 1, Outcome.DROPPED, 0.1);
        assertEquals(2, host.count("launch q"));
        assertEquals(1, host.count("decline q"), "no third searcher, and its answer at once");
    }

    @Test
    void afterACrashOnePartGoesFirstAndTheRestFollowItsAnswer() {
        host.open("a", "b", "c");
        Query crashed = host.take("p", 1);
        host.ends(crashed, "p-0", 0, Outcome.DROPPED, 0.1);
        Query answered = host.take("q", 3);
        assertEquals(1, host.count("launch q"));
        host.ends(answered, lastOf(host), 0, Outcome.FULFILLED, 0.1);
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
        host.ends(last, "r-0", 0, Outcome.FULFILLED, 0.1);
        host.take("s", 1);
        assertEquals(where, host.where("s-0"), "its own answer came after the warning");
    }

    /** The part of query q launched last. */
    private static String lastOf(FakeHost host) {
        return host.said.stream()
                .filter(line -> line.startsWith("launch q"))
                .reduce((one, other) -> other)
                .orElseThrow()
                .split(" ")[1];
    }
}
