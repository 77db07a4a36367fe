package pinewick.registry;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pinewick.core.SchedulerHost;

/** Stories of a session and a registry that breaks, in virtual time. */
class PrefixWatcherTest {
    private static SimulatedRegistry world(int members, int stores) {
        SimulatedRegistry world = new SimulatedRegistry(members, 5);
        for (int each = 0; each < stores; each++) {
            world.registry.put("s/s-" + each, SimulatedRegistry.value(each, "ready"));
        }
        return world;
    }

    private static SimulatedRegistry following(int members, int stores) {
        SimulatedRegistry world = world(members, stores);
        world.session.start(world.now);
        world.run(0.5);
        assertEquals(world.truth(0), world.seen());
        assertTrue(world.session.caughtUp());
        return world;
    }

    /** Runs until the searcher drains in the view; the seconds that took, at most so many. */
    private static double untilDrained(SimulatedRegistry world, String id, double most) {
        double from = world.now;
        while (world.now < from + most && !world.seen().contains(id + " DRAINING")) {
            world.run(0.02);
        }
        return world.now - from;
    }

    @Test
    void aDrainIsTakenAtOnce() {
        SimulatedRegistry world = following(1, 5);
        world.registry.put("s/s-3", SimulatedRegistry.value(3, "draining"));
        assertTrue(untilDrained(world, "s-3", 1) <= 0.06);
        ViewUpdate last = world.steps.get(world.steps.size() - 1);
        assertEquals(1, last.changed().size());
        assertEquals(
                SchedulerHost.LifecycleState.DRAINING, last.changed().get(0).stage());
    }

    @Test
    void aDrainInACompactedRangeComesWithTheWholeViewInOneStep() {
        SimulatedRegistry world = following(3, 8);
        world.members.forEach(each -> each.down = true);
        for (int each = 0; each < 3; each++) {
            world.drop(each);
        }
        world.registry.put("s/s-2", SimulatedRegistry.value(2, "draining"));
        world.registry.remove(List.of("s/s-5"));
        world.registry.put("s/s-9", SimulatedRegistry.value(9, "ready"));
        world.registry.compact(world.registry.revision());
        world.run(1);
        int before = world.steps.size();
        assertEquals(8, world.seen().size(), "the last whole view serves on");
        world.members.forEach(each -> each.down = false);
        world.run(3);
        assertEquals(world.truth(0), world.seen());
        assertEquals(before + 1, world.steps.size());
        ViewUpdate step = world.steps.get(before);
        assertTrue(step.whole() && step.changed().size() == 3);
    }

    @Test
    void aWatchThatSaysNothingIsFoundOut() {
        SimulatedRegistry world = following(2, 5);
        world.members.forEach(each -> each.watchMute = true);
        world.registry.put("s/s-1", SimulatedRegistry.value(1, "draining"));
        assertTrue(untilDrained(world, "s-1", 2) < 0.45);
    }

    @Test
    void aMemberThatHangsIsLeftForAnother() {
        SimulatedRegistry world = following(3, 5);
        world.registry.put("s/s-1", SimulatedRegistry.value(1, "draining"));
        world.members.forEach(each -> each.silent = true);
        world.run(0.05);
        for (int each = 0; each < 3; each++) {
            world.members.get(each).silent = each != 2;
        }
        assertTrue(untilDrained(world, "s-1", 5) < 3);
        assertEquals(world.truth(0), world.seen());
    }

    @Test
    void aMemberCutOffAndOldIsNotBelieved() {
        SimulatedRegistry world = following(2, 5);
        world.members.get(0).old = world.registry.copy();
        world.registry.put("s/s-4", SimulatedRegistry.value(4, "draining"));
        assertTrue(untilDrained(world, "s-4", 3) < 1);
        world.drop(1);
        world.run(4);
        assertTrue(world.seen().contains("s-4 DRAINING"));
    }

    @Test
    void compactionDuringARebuildBeginsItAnew() {
        SimulatedRegistry world = world(1, 2000);
        world.session.start(world.now);
        List<Integer> sizes = new ArrayList<>();
        world.afterStep = () -> sizes.add(world.seen().size());
        world.run(0.003);
        world.registry.put("s/s-0", SimulatedRegistry.value(0, "draining"));
        world.registry.compact(world.registry.revision());
        world.run(1);
        assertEquals(2000, sizes.get(0), "no half view went into force");
        assertEquals(world.truth(0), world.seen());
    }

    @Test
    void dropsAfterEveryPageOfARebuildLeaveNoHalfView() {
        SimulatedRegistry world = world(2, 3000);
        List<Integer> sizes = new ArrayList<>();
        world.afterStep = () -> sizes.add(world.seen().size());
        world.session.start(world.now);
        for (int each = 0; each < 6; each++) {
            world.run(0.002 + 0.002 * each);
            world.members.forEach(member -> member.down = true);
            world.run(0.05);
            world.members.forEach(member -> member.down = false);
        }
        world.run(5);
        assertEquals(world.truth(0), world.seen());
        assertTrue(sizes.stream().allMatch(size -> size == 3000), sizes.toString());
    }

    @Test
    void allMembersDownForHalfAMinuteAreAskedWithGrowingWaits() {
        SimulatedRegistry world = following(3, 5);
        world.members.forEach(each -> each.down = true);
        for (int each = 0; each < 3; each++) {
            world.drop(each);
        }
        int before = world.said.size();
        world.run(30);
        int asked = world.said.size() - before;
        assertTrue(asked > 20 && asked < 120, "asked " + asked);
        assertEquals(5, world.seen().size());
        world.members.forEach(each -> each.down = false);
        world.registry.put("s/s-0", SimulatedRegistry.value(0, "draining"));
        assertTrue(untilDrained(world, "s-0", 5) < 3.5);
    }

    @Test
    void aHugeValueTakesNothingElseAway() {
        SimulatedRegistry world = following(1, 5);
        world.registry.put("s/s-2", "x".repeat(100_000));
        world.registry.put("s/s-3", SimulatedRegistry.value(3, "draining"));
        world.members.get(0).watchMute = true;
        world.drop(0);
        world.run(3);
        assertTrue(world.seen().contains("s-3 DRAINING"));
        assertTrue(world.seen().contains("s-2 READY"), "its last good state holds");
        int rebuilds = world.steps.size();
        world.members.get(0).watchMute = false;
        world.run(5);
        assertTrue(world.steps.size() - rebuilds <= 2, "it settles");
        assertTrue(world.session.caughtUp());
    }

    @Test
    void aValueThatCannotBeReadKeepsTheLastGoodState() {
        SimulatedRegistry world = following(1, 5);
        world.registry.put("s/s-2", "{\"addresses\":[\"127.0.0.1:2\"],\"phase\":\"resting\"}");
        world.registry.put("s/s-9", "no json");
        world.run(1);
        assertTrue(world.seen().contains("s-2 READY"));
        assertEquals(5, world.seen().size());
        List<String> wrong = new ArrayList<>();
        world.steps.forEach(step -> wrong.addAll(step.wrong()));
        assertEquals(
                List.of(
                        "s/s-2: phase: ready or draining is expected, not resting",
                        "s/s-9: the value is no JSON object"),
                wrong);
    }

    @Test
    void leasesThatRunOutInBulkCountAtOnceAndAreReadAgain() {
        SimulatedRegistry world = following(1, 0);
        for (int each = 0; each < 20; each++) {
            world.registry.put(
                    "s/b-" + each, SimulatedRegistry.value(each, "ready").getBytes(UTF_8), 77);
        }
        world.run(0.5);
        world.registry.expire(77);
        world.run(0.1);
        assertEquals(0, world.seen().size());
        assertTrue(world.steps.stream().anyMatch(ViewUpdate::mass));
        assertTrue(world.steps.get(world.steps.size() - 1).whole(), "a whole view was read at once");
    }

    @Test
    void idsThatComeBackAreKnownByTheirStart() {
        SimulatedRegistry world = following(1, 3);
        world.registry.remove(List.of("s/s-1"));
        world.registry.put("s/s-1", "{\"addresses\":[\"127.0.0.1:9\"],\"started_at_ms\":5000}");
        world.run(0.2);
        SearcherRecord back = world.view.stores().stream()
                .filter(each -> each.id().equals("s-1"))
                .findFirst()
                .orElseThrow();
        assertEquals(5, back.startedAt());
        assertEquals(3, world.seen().size());
    }

    @Test
    void anotherClusterByMistakeIsNeverTaken() {
        SimulatedRegistry world = following(2, 5);
        world.members.get(0).cluster = "wrong";
        world.members.get(0).old = new SimulatedRegistry(1, 1).registry;
        world.members.get(1).down = true;
        world.drop(0);
        world.drop(1);
        world.run(30);
        assertEquals(5, world.seen().size(), "the known cluster is only down");
        world.members.get(1).down = false;
        world.registry.put("s/s-0", SimulatedRegistry.value(0, "draining"));
        assertTrue(untilDrained(world, "s-0", 6) < 6);
    }

    @Test
    void aRestoredRegistryIsTakenAfterAWhileAndItsOldDrainsHold() {
        SimulatedRegistry world = following(2, 5);
        var backup = world.registry.copy();
        world.registry.put("s/s-1", SimulatedRegistry.value(1, "draining"));
        world.registry.put("s/s-8", SimulatedRegistry.value(8, "ready"));
        world.run(0.5);
        world.members.forEach(each -> each.old = backup);
        world.drop(0);
        world.drop(1);
        world.run(5);
        assertTrue(world.seen().contains("s-8 READY"), "not believed at once");
        world.run(15);
        assertFalse(world.seen().contains("s-8 READY"), "read whole from the restored registry");
        assertTrue(world.seen().contains("s-1 DRAINING"), "the backup does not know of the drain");
        for (int each = 0; each < 10; each++) {
            backup.put("other/" + each, "x");
        }
        backup.put("s/s-1", SimulatedRegistry.value(1, "ready"));
        world.run(2);
        assertTrue(world.seen().contains("s-1 READY"), "its key was written anew");
    }

    @Test
    void aRestartServesFromTheKeptCopyAndCatchesUp() {
        SimulatedRegistry world = following(2, 5);
        world.members.forEach(each -> each.down = true);
        world.registry.put("s/s-0", SimulatedRegistry.value(0, "draining"));
        world.registry.compact(world.registry.revision());
        world.restart(true);
        assertEquals(5, world.seen().size());
        assertFalse(world.session.caughtUp());
        world.members.forEach(each -> each.down = false);
        world.run(3);
        assertEquals(world.truth(0), world.seen());
        assertTrue(world.session.caughtUp());
    }

    @Test
    void twoPrefixesInOneRegistryDoNotMix() {
        SimulatedRegistry world = following(1, 3);
        world.registry.put("s", SimulatedRegistry.value(1, "ready"));
        world.registry.put("t/x", SimulatedRegistry.value(1, "ready"));
        world.registry.put("r/x", SimulatedRegistry.value(1, "ready"));
        world.run(1);
        assertEquals(3, world.seen().size());
        assertTrue(world.session.caughtUp());
    }

    @Test
    void pagesTooLargeForAMembersTimeShrinkUntilTheyAreRead() {
        SimulatedRegistry world = world(2, 600);
        // Each key of a page takes a member 4 ms, so that 500 are too many for one second.
        world.delayAKey = 0.004;
        world.session.start(world.now);
        world.run(12);
        assertEquals(600, world.seen().size());
    }
}
