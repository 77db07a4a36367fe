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
class ReplicaListFreshnessTest {
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
        final ReplicaListFreshness freshness;
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
            freshness = new ReplicaListFreshness(now);
        }

        void until(double end) {
            while (now < end) {
                now = Math.max(now, freshness.dueAt());
                longestUnproven = Math.max(longestUnproven, now - Math.max(proofAt, goodFrom));
                if (freshness.due(now) == ReplicaListFreshness.Action.CONNECT) {
                    answer(now >= goodFrom ? Way.GOOD : Way.values()[chance.nextInt(Way.values().length)]);
                }
            }
        }

        private void answer(Way way) {
            double asked = now;
            boolean whole = freshness.next() == ReplicaListFreshness.RequestKind.FULL;
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
            assertTrue(run.longestUnproven < ReplicaListFreshness.TOLD_AFTER, seed + ": " + run.longestUnproven);
            assertTrue(run.wholes < 100 / 2, "and the whole list is not asked for all the time: " + run.wholes);
        }
    }

    @Test
    void whateverFailedBeforeTheListIsProvenWithinSixSecondsOfTheAgentsReturn() {
        for (long seed = 0; seed < 2000; seed++) {
            Run run = new Run(seed, 100 + seed % 40 + (seed % 7) / 7.0);
            run.until(200);
            assertTrue(run.longestUnproven < ReplicaListFreshness.TOLD_AFTER, seed + ": " + run.longestUnproven);
        }
    }

    @Test
    void twoWholeTriesFitBetweenTheLastLineAndSixSecondsAfterIt() {
        ReplicaListFreshness freshness = new ReplicaListFreshness(0);
        assertEquals(ReplicaListFreshness.Action.CONNECT, freshness.due(0));
        freshness.whole(0.1);
        assertEquals(ReplicaListFreshness.Action.CONNECT, freshness.due(0.1));
        freshness.head();
        freshness.line(2, true);
        int tries = 0;
        double now = 2;
        while (now < 2 + ReplicaListFreshness.TOLD_AFTER) {
            now = freshness.dueAt();
            switch (freshness.due(now)) {
                case DISCONNECT -> tries +=
                        freshness.dueAt() <= 2 + ReplicaListFreshness.TOLD_AFTER && now > 5.5 ? 1 : 0;
                default -> {}
            }
        }
        assertTrue(tries >= 2, tries + " whole tries that said nothing");
    }

    @Test
    void aMovedAddressIsProvenOrDoubtedWithinATry() {
        ReplicaListFreshness freshness = new ReplicaListFreshness(0);
        freshness.due(0);
        freshness.whole(0.1);
        freshness.due(0.1);
        freshness.head();
        freshness.line(1, false);
        freshness.moved(1.5);
        assertEquals(ReplicaListFreshness.Action.CONNECT, freshness.due(1.5));
        freshness.head();
        assertTrue(freshness.dueAt() < 2.5, "a head proves nothing: " + freshness.dueAt());
        assertEquals(ReplicaListFreshness.Action.DISCONNECT, freshness.due(freshness.dueAt()));
        assertEquals(ReplicaListFreshness.RequestKind.FULL, freshness.next());
    }

    @Test
    void anOldListServesANewProcessOnlyAfterTwoTriesThatBroughtNothing() {
        ReplicaListFreshness freshness = new ReplicaListFreshness(0);
        freshness.due(0);
        freshness.over(0, false);
        assertFalse(freshness.canServeUnconfirmed());
        freshness.due(freshness.dueAt());
        freshness.over(0.2, false);
        assertTrue(freshness.canServeUnconfirmed());
    }

    @Test
    void objectsAreCutWhereTheyEndAndNowhereElse() {
        String odd = "{\"a\":\"}]\\\"{\\\\\",\n \"b\":[{\"c\":{}},[]]}";
        List<String> cut = new ArrayList<>();
        int[] lines = new int[1];
        JsonObjectSplitter cutter = new JsonObjectSplitter(1000, cut::add, () -> lines[0]++);
        for (byte one : (odd + "\r\n\n" + odd + odd + "\n").getBytes(StandardCharsets.UTF_8)) {
            cutter.feed(one);
        }
        assertEquals(List.of(odd, odd, odd), cut);
        assertEquals(3, lines[0]);
        assertThrows(IllegalArgumentException.class, () -> cutter.feed((byte) '}'));
        JsonObjectSplitter small = new JsonObjectSplitter(4, cut::add, () -> {});
        assertThrows(IllegalArgumentException.class, () -> {
            for (byte one : odd.getBytes(StandardCharsets.UTF_8)) {
                small.feed(one);
            }
        });
    }
}
