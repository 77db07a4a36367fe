package pinewick.dial;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** Any interleaving of opens, refusals, hangs, cancels and time: races end once, connects are all accounted for. */
class DialPropertyTest {
    @Property(tries = 2000, seed = "20261201", shrinking = ShrinkingMode.OFF)
    void everyRaceEndsOnceAndLeavesNoConnectUnderWay(@ForAll long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        AddressHistory book = new AddressHistory();
        List<Address> addresses = new ArrayList<>();
        int count = 1 + chance.nextInt(5);
        for (int each = 0; each < count; each++) {
            addresses.add(Address.read(
                    switch (chance.nextInt(3)) {
                        case 0 -> "unix:/s" + each;
                        case 1 -> "[::" + (each + 1) + "]:1";
                        default -> "10.0.0." + each + ":1";
                    }));
        }
        book.set(addresses);
        double now = 0;
        for (int races = 0; races < 4; races++) {
            List<Address> under = new ArrayList<>();
            List<String> ends = new ArrayList<>();
            double from = now;
            ConnectionRace race = new ConnectionRace(book, now, 0.5, new ConnectionRace.Wire() {
                @Override
                public void open(Address address) {
                    assertTrue(!under.contains(address), "opened twice");
                    under.add(address);
                }

                @Override
                public void abandon(Address address) {
                    assertTrue(under.remove(address), "abandoned what was not under way");
                }

                @Override
                public void won(Address address) {
                    assertTrue(under.remove(address));
                    ends.add("won");
                }

                @Override
                public void lost() {
                    ends.add("lost");
                }
            });
            boolean cancelled = false;
            while (!race.over()) {
                race.tick(now);
                now += chance.nextDouble() * 0.03;
                if (!under.isEmpty() && !race.over()) {
                    Address one = under.get(chance.nextInt(under.size()));
                    switch (chance.nextInt(12)) {
                        case 0 -> race.opened(now, one);
                        case 1, 2 -> {
                            under.remove(one);
                            race.failed(now, one);
                        }
                        case 3 -> {
                            if (chance.nextInt(4) == 0) {
                                race.cancel();
                                cancelled = true;
                            }
                        }
                        default -> {}
                    }
                }
                assertTrue(now - from < 0.6, "a race that does not end");
            }
            assertEquals(cancelled ? 0 : 1, ends.size());
            // Those still under way after a win may open late: they are no winners.
            for (Address late : List.copyOf(under)) {
                assertTrue(!race.opened(now, late));
            }
            assertEquals(cancelled ? 0 : 1, ends.size());
            race.tick(now + 1);
            assertEquals(cancelled ? 0 : 1, ends.size());
            now += chance.nextDouble() * 2;
        }
    }
}
