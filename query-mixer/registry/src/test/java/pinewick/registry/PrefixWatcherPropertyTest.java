package pinewick.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Under any sequence of changes, compactions, connection losses, partitions and restarts, the view in force is always
 * the registry's state at one revision, never a mixture, and it converges to the registry's state within a bound.
 */
class PrefixWatcherPropertyTest {
    @Property(tries = 300, seed = "20261201", shrinking = ShrinkingMode.OFF)
    void viewIsAlwaysConsistentAndConvergesToTheRegistry(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        RegistrySimulation simulation = new RegistrySimulation(1 + random.nextInt(3), seed);
        simulation.fragmentWatch = random.nextBoolean();
        for (int each = 0; each < 3 + random.nextInt(1200); each++) {
            simulation.registry.put("s/s-" + each, RegistrySimulation.value(each, "ready"));
        }
        simulation.afterUpdate = () -> {
            List<String> expected = simulation.registryStates(simulation.view.revision());
            if (expected != null) {
                assertEquals(
                        expected.stream().sorted().toList(),
                        simulation.searcherStates(),
                        "at revision " + simulation.view.revision());
            }
        };
        simulation.watcher.start(simulation.now);
        for (int each = 0; each < 40; each++) {
            int member = random.nextInt(simulation.members.size());
            switch (random.nextInt(13)) {
                case 0, 1, 2, 3 -> simulation.registry.put(
                        "s/s-" + random.nextInt(20),
                        RegistrySimulation.value(each, random.nextBoolean() ? "draining" : "ready"));
                case 4 -> simulation.registry.remove(List.of("s/s-" + random.nextInt(20), "s/s-" + random.nextInt(20)));
                case 5 -> simulation.registry.compact(simulation.registry.revision() - random.nextInt(4));
                case 6 -> simulation.breakConnections(member);
                case 7 -> simulation.members.get(member).down ^= true;
                case 8 -> simulation.members.get(member).silent ^= true;
                case 9 -> simulation.members.get(member).watchSilent ^= true;
                case 10 -> simulation.members.get(member).staleState =
                        simulation.members.get(member).staleState == null ? simulation.registry.copy() : null;
                case 11 -> simulation.restart(random.nextBoolean());
                default -> simulation.registry.put("else/" + each, "x");
            }
            simulation.advance(random.nextDouble() * 0.3);
        }
        for (RegistrySimulation.Member each : simulation.members) {
            each.down = each.silent = each.watchSilent = false;
            each.staleState = null;
        }
        simulation.advance(8);
        assertEquals(simulation.registryStates(0).stream().sorted().toList(), simulation.searcherStates());
    }
}
