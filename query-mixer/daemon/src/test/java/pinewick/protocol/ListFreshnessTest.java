package pinewick.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** When the list is doubted and asked for again, in times handed in, against agents that fail by seed. */
class ListFreshnessTest {
    /** What the agent does with one try. */
    private enum Way {
        REFUSES,
        ACCEPTS_ONLY,
        HEAD_ONLY,
        SPOILT,
        GOOD
    }

    /** An agent that fails by chance until {@code goodFrom}, then gives whole lists, but watches that say nothing. */
    private static final class Run {
        final ListFreshness freshness;
        final SplittableRandom chance;
        final double goodFrom;
        double now;
        double longestUnproven;
        double proofAt;
        int wholes;

        Run(long seed, double goodFrom) {
            chance = new SplittableRandom(seed);
            this.goodFrom = goodFrom;
            now = 100;
            proofAt = now;
            freshness = new ListFreshness(now);
        }

        void until(double end) {
            while (now < end) {
                now = Math.max(now, freshness.dueAt());
                longestUnproven = Math.max(longestUnproven, now - Math.max(proofAt, goodFrom));
                if (freshness.due(now) == ListFreshness.Due.TRY) {
                    answer(now >= goodFrom ? Way.GOOD : Way.values()[chance.nextInt(Way.values().length)]);
                }
            }
        }

        private void answer(Way way) {
            double asked = now;
            boolean whole = freshness.next() == ListFreshness.Ask.WHOLE;
            double late = now + chance.nextDouble() * 0.3;
            switch (way) {
                case REFUSES -> freshness.over(late, false);
                case SPOILT -> freshness.over(late, true);
                case HEAD_ONLY -> freshness.head();
                case GOOD -> {
                    if (whole) {
                        wholes++;
                        proofAt = asked;
                        freshness.whole(late);
                    } else {
                        freshness.head(); // and nothing more
                    }
                }
                default -> {}
            }
            now = way == Way.ACCEPTS_ONLY || way == Way.HEAD_ONLY ? now : late;
        }
    }

    @Test
    void watchesThatSayNothingNeverHideAChangeForSixSeconds() {
        for (long seed = 0; seed < 500; seed++) {
            Run run = new Run(seed, 100);
            run.until(200);
            assertTrue(run.longestUnproven < ListFreshness.TOLD_AFTER, seed + ": " + run.longestUnproven);
            assertTrue(run.wholes < 100 / 2, "and the whole list is not asked for all the time: " + run.wholes);
        }
    }

    @Test
    void whateverFailedBeforeTheListIsProvenWithinSixSecondsOfTheAgentsReturn() {
        for (long seed = 0; seed < 2000; seed++) {
            Run run = new Run(seed, 100 + seed % 40 + (seed % 7) / 7.0);
            run.until(200);
            assertTrue(run.longestUnproven < ListFreshness.TOLD_AFTER, seed + ": " + run.longestUnproven);
        }
    }

    @Test
    void twoWholeTriesFitBetweenTheLastLineAndSixSecondsAfterIt() {
        ListFreshness freshness = new ListFreshness(0);
        assertEquals(ListFreshness.Due.TRY, freshness.due(0));
        freshness.whole(0.1);
        assertEquals(ListFreshness.Due.TRY, freshness.due(0.1));
        freshness.head();
        freshness.line(2, true);
        int tries = 0;
        double now = 2;
        while (now < 2 + ListFreshness.TOLD_AFTER) {
            now = freshness.dueAt();
            switch (freshness.due(now)) {
                case LEAVE -> tries += freshness.dueAt() <= 2 + ListFreshness.TOLD_AFTER && now > 5.5 ? 1 : 0;
                default -> {}
            }
        }
        assertTrue(tries >= 2, tries + " whole tries that said nothing");
    }

    @Test
    void aMovedAddressIsProvenOrDoubtedWithinATry() {
        ListFreshness freshness = new ListFreshness(0);
        freshness.due(0);
        freshness.whole(0.1);
        freshness.due(0.1);
        freshness.head();
        freshness.line(1, false);
        freshness.moved(1.5);
        assertEquals(ListFreshness.Due.TRY, freshness.due(1.5));
        freshness.head();
        assertTrue(freshness.dueAt() < 2.5, "a head proves nothing: " + freshness.dueAt());
        assertEquals(ListFreshness.Due.LEAVE, freshness.due(freshness.dueAt()));
        assertEquals(ListFreshness.Ask.WHOLE, freshness.next());
    }

    @Test
    void anOldListServesANewProcessOnlyAfterTwoTriesThatBroughtNothing() {
        ListFreshness freshness = new ListFreshness(0);
        freshness.due(0);
        freshness.over(0, false);
        assertFalse(freshness.mayServeUnproven());
        freshness.due(freshness.dueAt());
        freshness.over(0.2, false);
        assertTrue(freshness.mayServeUnproven());
    }

    @Test
    void objectsAreCutWhereTheyEndAndNowhereElse() {
        String odd = "{\"a\":\"}]\\\"{\\\\\",\n \"b\":[{\"c\":{}},[]]}";
        List<String> cut = new ArrayList<>();
        int[] lines = new int[1];
        ObjectCutter cutter = new ObjectCutter(1000, cut::add, () -> lines[0]++);
        for (byte one : (odd + "\r\n\n" + odd + odd + "\n").getBytes(StandardCharsets.UTF_8)) {
            cutter.feed(one);
        }
        assertEquals(List.of(odd, odd, odd), cut);
        assertEquals(3, lines[0]);
        assertThrows(IllegalArgumentException.class, () -> cutter.feed((byte) '}'));
        ObjectCutter small = new ObjectCutter(4, cut::add, () -> {});
        assertThrows(IllegalArgumentException.class, () -> {
            for (byte one : odd.getBytes(StandardCharsets.UTF_8)) {
                small.feed(one);
            }
        });
    }
}
