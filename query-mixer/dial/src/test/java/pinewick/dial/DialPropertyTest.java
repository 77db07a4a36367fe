package pinewick.dial;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Under any interleaving of connects, refusals, hangs, cancellations and time, each race ends once and accounts for all
 * its attempts.
 */
class DialPropertyTest {
    @Property(tries = 2000, seed = "20261201", shrinking = ShrinkingMode.OFF)
    void everyRaceEndsOnceAndAccountsForAllAttempts(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        AddressHistory history = new AddressHistory();
        List<Address> addresses = new ArrayList<>();
        int count = 1 + random.nextInt(5);
        for (int each = 0; each < count; each++) {
            addresses.add(Address.parse(
                    switch (random.nextInt(3)) {
                        case 0 -> "unix:/s" + each;
                        case 1 -> "[::" + (each + 1) + "]:1";
                        default -> "10.0.0." + each + ":1";
                    }));
        }
        history.setAddresses(addresses);
        double now = 0;
        for (int races = 0; races < 4; races++) {
            List<Address> pending = new ArrayList<>();
            List<String> outcomes = new ArrayList<>();
            double startedAt = now;
            ConnectionRace race = new ConnectionRace(history, now, 0.5, new ConnectionRace.Transport() {
                @Override
                public void connect(Address address) {
                    assertTrue(!pending.contains(address), "connected twice");
                    pending.add(address);
                }

                @Override
                public void cancel(Address address) {
                    assertTrue(pending.remove(address), "cancelled an attempt that was not pending");
                }

                @Override
                public void onWon(Address address) {
                    assertTrue(pending.remove(address));
                    outcomes.add("won");
                }

                @Override
                public void onLost() {
                    outcomes.add("lost");
                }
            });
            boolean cancelled = false;
            while (!race.isFinished()) {
                race.tick(now);
                now += random.nextDouble() * 0.03;
                if (!pending.isEmpty() && !race.isFinished()) {
                    Address one = pending.get(random.nextInt(pending.size()));
                    switch (random.nextInt(12)) {
                        case 0 -> race.onConnected(now, one);
                        case 1, 2 -> {
                            pending.remove(one);
                            race.onConnectFailed(now, one);
                        }
                        case 3 -> {
                            if (random.nextInt(4) == 0) {
                                race.cancel();
                                cancelled = true;
                            }
                        }
                        default -> {}
                    }
                }
                assertTrue(now - startedAt < 0.6, "the race does not end");
            }
            assertEquals(cancelled ? 0 : 1, outcomes.size());
            // Attempts still pending after a win may connect late; they do not win.
            for (Address lateAddress : List.copyOf(pending)) {
                assertTrue(!race.onConnected(now, lateAddress));
            }
            assertEquals(cancelled ? 0 : 1, outcomes.size());
            race.tick(now + 1);
            assertEquals(cancelled ? 0 : 1, outcomes.size());
            now += random.nextDouble() * 2;
        }
    }
}
