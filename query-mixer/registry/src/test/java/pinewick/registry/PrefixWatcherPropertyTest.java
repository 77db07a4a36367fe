package pinewick.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Any sequence of changes, compactions, breaks, cut-offs and restarts: the view in force is always the registry's state
 * at one revision, never a mixed one, and it ends as the registry does, within a bound.
 */
class PrefixWatcherPropertyTest {
    @Property(tries = 300, seed = "20261201", shrinking = ShrinkingMode.OFF)
    void theViewIsAlwaysOneStateAndEndsAsTheRegistry(@ForAll long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        SimulatedRegistry world = new SimulatedRegistry(1 + chance.nextInt(3), seed);
        world.fragments = chance.nextBoolean();
        for (int each = 0; each < 3 + chance.nextInt(1200); each++) {
            world.registry.put("s/s-" + each, SimulatedRegistry.value(each, "ready"));
        }
        world.afterStep = () -> {
            List<String> then = world.truth(world.view.revision());
            if (then != null) {
                assertEquals(then.stream().sorted().toList(), world.seen(), "at revision " + world.view.revision());
            }
        };
        world.session.start(world.now);
        for (int each = 0; each < 40; each++) {
            int member = chance.nextInt(world.members.size());
            switch (chance.nextInt(13)) {
                case 0, 1, 2, 3 -> world.registry.put(
                        "s/s-" + chance.nextInt(20),
                        SimulatedRegistry.value(each, chance.nextBoolean() ? "draining" : "ready"));
                case 4 -> world.registry.remove(List.of("s/s-" + chance.nextInt(20), "s/s-" + chance.nextInt(20)));
                case 5 -> world.registry.compact(world.registry.revision() - chance.nextInt(4));
                case 6 -> world.drop(member);
                case 7 -> world.members.get(member).down ^= true;
                case 8 -> world.members.get(member).silent ^= true;
                case 9 -> world.members.get(member).watchMute ^= true;
                case 10 -> world.members.get(member).old =
                        world.members.get(member).old == null ? world.registry.copy() : null;
                case 11 -> world.restart(chance.nextBoolean());
                default -> world.registry.put("else/" + each, "x");
            }
            world.run(chance.nextDouble() * 0.3);
        }
        for (SimulatedRegistry.Member each : world.members) {
            each.down = each.silent = each.watchMute = false;
            each.old = null;
        }
        world.run(8);
        assertEquals(world.truth(0).stream().sorted().toList(), world.seen());
    }
}
