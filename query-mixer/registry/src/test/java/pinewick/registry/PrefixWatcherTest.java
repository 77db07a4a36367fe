package pinewick.registry;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pinewick.core.SchedulerHost;

/** The watcher against a registry with faults, in virtual time. */
class PrefixWatcherTest {
    private static RegistrySimulation simulation(int members, int searchers) {
        RegistrySimulation simulation = new RegistrySimulation(members, 5);
        for (int each = 0; each < searchers; each++) {
            simulation.registry.put("s/s-" + each, RegistrySimulation.value(each, "ready"));
        }
        return simulation;
    }

    private static RegistrySimulation following(int members, int searchers) {
        RegistrySimulation simulation = simulation(members, searchers);
        simulation.watcher.start(simulation.now);
        simulation.advance(0.5);
        assertEquals(simulation.registryStates(0), simulation.searcherStates());
        assertTrue(simulation.watcher.isCaughtUp());
        return simulation;
    }

    /** Advances until the searcher is draining in the view, at most {@code maxSeconds}; returns the elapsed seconds. */
    private static double untilDrained(RegistrySimulation simulation, String id, double maxSeconds) {
        double startedAt = simulation.now;
        while (simulation.now < startedAt + maxSeconds
                && !simulation.searcherStates().contains(id + " DRAINING")) {
            simulation.advance(0.02);
        }
        return simulation.now - startedAt;
    }

    @Test
    void drainIsAppliedAtOnce() {
        RegistrySimulation simulation = following(1, 5);
        simulation.registry.put("s/s-3", RegistrySimulation.value(3, "draining"));
        assertTrue(untilDrained(simulation, "s-3", 1) <= 0.06);
        ViewUpdate last = simulation.updates.get(simulation.updates.size() - 1);
        assertEquals(1, last.changed().size());
        assertEquals(
                SchedulerHost.LifecycleState.DRAINING, last.changed().get(0).state());
    }

    @Test
    void drainInCompactedRangeArrivesWithOneFullUpdate() {
        RegistrySimulation simulation = following(3, 8);
        simulation.members.forEach(each -> each.down = true);
        for (int each = 0; each < 3; each++) {
            simulation.breakConnections(each);
        }
        simulation.registry.put("s/s-2", RegistrySimulation.value(2, "draining"));
        simulation.registry.remove(List.of("s/s-5"));
        simulation.registry.put("s/s-9", RegistrySimulation.value(9, "ready"));
        simulation.registry.compact(simulation.registry.revision());
        simulation.advance(1);
        int updatesBefore = simulation.updates.size();
        assertEquals(8, simulation.searcherStates().size(), "the last complete view stays in force");
        simulation.members.forEach(each -> each.down = false);
        simulation.advance(3);
        assertEquals(simulation.registryStates(0), simulation.searcherStates());
        assertEquals(updatesBefore + 1, simulation.updates.size());
        ViewUpdate update = simulation.updates.get(updatesBefore);
        assertTrue(update.full() && update.changed().size() == 3);
    }

    @Test
    void silentWatchIsDetected() {
        RegistrySimulation simulation = following(2, 5);
        simulation.members.forEach(each -> each.watchSilent = true);
        simulation.registry.put("s/s-1", RegistrySimulation.value(1, "draining"));
        assertTrue(untilDrained(simulation, "s-1", 2) < 0.45);
    }

    @Test
    void hungMemberIsReplacedByAnother() {
        RegistrySimulation simulation = following(3, 5);
        simulation.registry.put("s/s-1", RegistrySimulation.value(1, "draining"));
        simulation.members.forEach(each -> each.silent = true);
        simulation.advance(0.05);
        for (int each = 0; each < 3; each++) {
            simulation.members.get(each).silent = each != 2;
        }
        assertTrue(untilDrained(simulation, "s-1", 5) < 3);
        assertEquals(simulation.registryStates(0), simulation.searcherStates());
    }

    @Test
    void staleMemberIsNotTrusted() {
        RegistrySimulation simulation = following(2, 5);
        simulation.members.get(0).staleState = simulation.registry.copy();
        simulation.registry.put("s/s-4", RegistrySimulation.value(4, "draining"));
        assertTrue(untilDrained(simulation, "s-4", 3) < 1);
        simulation.breakConnections(1);
        simulation.advance(4);
        assertTrue(simulation.searcherStates().contains("s-4 DRAINING"));
    }

    @Test
    void compactionDuringRebuildRestartsIt() {
        RegistrySimulation simulation = simulation(1, 2000);
        simulation.watcher.start(simulation.now);
        List<Integer> sizes = new ArrayList<>();
        simulation.afterUpdate = () -> sizes.add(simulation.searcherStates().size());
        simulation.advance(0.003);
        simulation.registry.put("s/s-0", RegistrySimulation.value(0, "draining"));
        simulation.registry.compact(simulation.registry.revision());
        simulation.advance(1);
        assertEquals(2000, sizes.get(0), "no partial view took effect");
        assertEquals(simulation.registryStates(0), simulation.searcherStates());
    }

    @Test
    void connectionLossAfterAnyPageLeavesNoPartialView() {
        RegistrySimulation simulation = simulation(2, 3000);
        List<Integer> sizes = new ArrayList<>();
        simulation.afterUpdate = () -> sizes.add(simulation.searcherStates().size());
        simulation.watcher.start(simulation.now);
        for (int each = 0; each < 6; each++) {
            simulation.advance(0.002 + 0.002 * each);
            simulation.members.forEach(member -> member.down = true);
            simulation.advance(0.05);
            simulation.members.forEach(member -> member.down = false);
        }
        simulation.advance(5);
        assertEquals(simulation.registryStates(0), simulation.searcherStates());
        assertTrue(sizes.stream().allMatch(size -> size == 3000), sizes.toString());
    }

    @Test
    void membersDownForThirtySecondsAreRetriedWithBackoff() {
        RegistrySimulation simulation = following(3, 5);
        simulation.members.forEach(each -> each.down = true);
        for (int each = 0; each < 3; each++) {
            simulation.breakConnections(each);
        }
        int updatesBefore = simulation.messages.size();
        simulation.advance(30);
        int attempts = simulation.messages.size() - updatesBefore;
        assertTrue(attempts > 20 && attempts < 120, "attempts " + attempts);
        assertEquals(5, simulation.searcherStates().size());
        simulation.members.forEach(each -> each.down = false);
        simulation.registry.put("s/s-0", RegistrySimulation.value(0, "draining"));
        assertTrue(untilDrained(simulation, "s-0", 5) < 3.5);
    }

    @Test
    void oversizedValueAffectsNoOtherKey() {
        RegistrySimulation simulation = following(1, 5);
        simulation.registry.put("s/s-2", "x".repeat(100_000));
        simulation.registry.put("s/s-3", RegistrySimulation.value(3, "draining"));
        simulation.members.get(0).watchSilent = true;
        simulation.breakConnections(0);
        simulation.advance(3);
        assertTrue(simulation.searcherStates().contains("s-3 DRAINING"));
        assertTrue(simulation.searcherStates().contains("s-2 READY"), "its last valid state stays in force");
        int updatesBefore = simulation.updates.size();
        simulation.members.get(0).watchSilent = false;
        simulation.advance(5);
        assertTrue(simulation.updates.size() - updatesBefore <= 2, "the watcher settles");
        assertTrue(simulation.watcher.isCaughtUp());
    }

    @Test
    void invalidValueKeepsTheLastValidState() {
        RegistrySimulation simulation = following(1, 5);
        simulation.registry.put("s/s-2", "{\"addresses\":[\"127.0.0.1:2\"],\"phase\":\"resting\"}");
        simulation.registry.put("s/s-9", "no json");
        simulation.advance(1);
        assertTrue(simulation.searcherStates().contains("s-2 READY"));
        assertEquals(5, simulation.searcherStates().size());
        List<String> invalidValues = new ArrayList<>();
        simulation.updates.forEach(update -> invalidValues.addAll(update.invalidValues()));
        assertEquals(
                List.of(
                        "s/s-2: phase: ready or draining is expected, not resting",
                        "s/s-9: the value is not a JSON object"),
                invalidValues);
    }

    @Test
    void bulkLeaseExpiryTakesEffectAtOnceAndTriggersRebuild() {
        RegistrySimulation simulation = following(1, 0);
        for (int each = 0; each < 20; each++) {
            simulation.registry.put(
                    "s/b-" + each, RegistrySimulation.value(each, "ready").getBytes(UTF_8), 77);
        }
        simulation.advance(0.5);
        simulation.registry.expire(77);
        simulation.advance(0.1);
        assertEquals(0, simulation.searcherStates().size());
        assertTrue(simulation.updates.stream().anyMatch(ViewUpdate::massRemoval));
        assertTrue(simulation.updates.get(simulation.updates.size() - 1).full(), "a full view was read at once");
    }

    @Test
    void returningIdIsIdentifiedByItsStartTime() {
        RegistrySimulation simulation = following(1, 3);
        simulation.registry.remove(List.of("s/s-1"));
        simulation.registry.put("s/s-1", "{\"addresses\":[\"127.0.0.1:9\"],\"started_at_ms\":5000}");
        simulation.advance(0.2);
        SearcherRecord restarted = simulation.view.searchers().stream()
                .filter(each -> each.id().equals("s-1"))
                .findFirst()
                .orElseThrow();
        assertEquals(5, restarted.startedAtSeconds());
        assertEquals(3, simulation.searcherStates().size());
    }

    @Test
    void misconfiguredClusterIsNeverAccepted() {
        RegistrySimulation simulation = following(2, 5);
        simulation.members.get(0).cluster = "wrong";
        simulation.members.get(0).staleState = new RegistrySimulation(1, 1).registry;
        simulation.members.get(1).down = true;
        simulation.breakConnections(0);
        simulation.breakConnections(1);
        simulation.advance(30);
        assertEquals(5, simulation.searcherStates().size(), "the known cluster is merely down");
        simulation.members.get(1).down = false;
        simulation.registry.put("s/s-0", RegistrySimulation.value(0, "draining"));
        assertTrue(untilDrained(simulation, "s-0", 6) < 6);
    }

    @Test
    void restoredRegistryIsAcceptedAfterDelayAndKnownDrainsHold() {
        RegistrySimulation simulation = following(2, 5);
        var backup = simulation.registry.copy();
        simulation.registry.put("s/s-1", RegistrySimulation.value(1, "draining"));
        simulation.registry.put("s/s-8", RegistrySimulation.value(8, "ready"));
        simulation.advance(0.5);
        simulation.members.forEach(each -> each.staleState = backup);
        simulation.breakConnections(0);
        simulation.breakConnections(1);
        simulation.advance(5);
        assertTrue(simulation.searcherStates().contains("s-8 READY"), "not trusted at once");
        simulation.advance(15);
        assertFalse(simulation.searcherStates().contains("s-8 READY"), "full view read from the restored registry");
        assertTrue(simulation.searcherStates().contains("s-1 DRAINING"), "the backup does not know of the drain");
        for (int each = 0; each < 10; each++) {
            backup.put("other/" + each, "x");
        }
        backup.put("s/s-1", RegistrySimulation.value(1, "ready"));
        simulation.advance(2);
        assertTrue(simulation.searcherStates().contains("s-1 READY"), "its key was written again");
    }

    @Test
    void restartServesFromSnapshotAndCatchesUp() {
        RegistrySimulation simulation = following(2, 5);
        simulation.members.forEach(each -> each.down = true);
        simulation.registry.put("s/s-0", RegistrySimulation.value(0, "draining"));
        simulation.registry.compact(simulation.registry.revision());
        simulation.restart(true);
        assertEquals(5, simulation.searcherStates().size());
        assertFalse(simulation.watcher.isCaughtUp());
        simulation.members.forEach(each -> each.down = false);
        simulation.advance(3);
        assertEquals(simulation.registryStates(0), simulation.searcherStates());
        assertTrue(simulation.watcher.isCaughtUp());
    }

    @Test
    void prefixesInOneRegistryDoNotMix() {
        RegistrySimulation simulation = following(1, 3);
        simulation.registry.put("s", RegistrySimulation.value(1, "ready"));
        simulation.registry.put("t/x", RegistrySimulation.value(1, "ready"));
        simulation.registry.put("r/x", RegistrySimulation.value(1, "ready"));
        simulation.advance(1);
        assertEquals(3, simulation.searcherStates().size());
        assertTrue(simulation.watcher.isCaughtUp());
    }

    @Test
    void pagesShrinkUntilAMemberCanServeThemInTime() {
        RegistrySimulation simulation = simulation(2, 600);
        // Each key of a page takes a member 4 ms, so that 500 are too many for one second.
        simulation.delayPerKeySeconds = 0.004;
        simulation.watcher.start(simulation.now);
        simulation.advance(12);
        assertEquals(600, simulation.searcherStates().size());
    }
}
