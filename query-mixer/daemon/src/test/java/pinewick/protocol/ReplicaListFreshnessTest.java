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

/**
 * Tests when the list counts as stale and is requested again, with explicit times and agents that fail at random by
 * seed.
 */
class ReplicaListFreshnessTest {
    /** Behaviour of the agent in one attempt. */
    private enum Behaviour {
        REFUSES,
        ACCEPTS_ONLY,
        HEAD_ONLY,
        MALFORMED,
        GOOD
    }

    /**
     * An agent that fails at random until {@code goodFrom}; then it serves complete lists, but watches that stay
     * silent.
     */
    private static final class Run {
        final ReplicaListFreshness freshness;
        final SplittableRandom chance;
        final double goodFrom;
        double now;
        double longestUnconfirmedSeconds;
        double confirmedAt;
        int fullLists;

        Run(long seed, double goodFrom) {
            chance = new SplittableRandom(seed);
            this.goodFrom = goodFrom;
            now = 100;
            confirmedAt = now;
            freshness = new ReplicaListFreshness(now);
        }

        void until(double end) {
            while (now < end) {
                now = Math.max(now, freshness.dueAt());
                longestUnconfirmedSeconds = Math.max(longestUnconfirmedSeconds, now - Math.max(confirmedAt, goodFrom));
                if (freshness.dueAction(now) == ReplicaListFreshness.Action.CONNECT) {
                    answer(
                            now >= goodFrom
                                    ? Behaviour.GOOD
                                    : Behaviour.values()[chance.nextInt(Behaviour.values().length)]);
                }
            }
        }

        private void answer(Behaviour behaviour) {
            double requestedAt = now;
            boolean isFull = freshness.nextRequest() == ReplicaListFreshness.RequestKind.FULL;
            double endedAt = now + chance.nextDouble() * 0.3;
            switch (behaviour) {
                case REFUSES -> freshness.onAttemptEnd(endedAt, false);
                case MALFORMED -> freshness.onAttemptEnd(endedAt, true);
                case HEAD_ONLY -> freshness.onWatchOpened();
                case GOOD -> {
                    if (isFull) {
                        fullLists++;
                        confirmedAt = requestedAt;
                        freshness.onFullList(endedAt);
                    } else {
                        freshness.onWatchOpened(); // The watch stays silent after its head.
                    }
                }
                default -> {}
            }
            now = behaviour == Behaviour.ACCEPTS_ONLY || behaviour == Behaviour.HEAD_ONLY ? now : endedAt;
        }
    }

    @Test
    void silentWatchesNeverHideAChangeForSixSeconds() {
        for (long seed = 0; seed < 500; seed++) {
            Run run = new Run(seed, 100);
            run.until(200);
            assertTrue(
                    run.longestUnconfirmedSeconds < ReplicaListFreshness.MAX_STALENESS_SECONDS,
                    seed + ": " + run.longestUnconfirmedSeconds);
            assertTrue(run.fullLists < 100 / 2, "the full list must not be requested continually: " + run.fullLists);
        }
    }

    @Test
    void listIsConfirmedWithinSixSecondsOfTheAgentsRecovery() {
        for (long seed = 0; seed < 2000; seed++) {
            Run run = new Run(seed, 100 + seed % 40 + (seed % 7) / 7.0);
            run.until(200);
            assertTrue(
                    run.longestUnconfirmedSeconds < ReplicaListFreshness.MAX_STALENESS_SECONDS,
                    seed + ": " + run.longestUnconfirmedSeconds);
        }
    }

    @Test
    void twoCompleteAttemptsFitIntoSixSecondsAfterTheLastLine() {
        ReplicaListFreshness freshness = new ReplicaListFreshness(0);
        assertEquals(ReplicaListFreshness.Action.CONNECT, freshness.dueAction(0));
        freshness.onFullList(0.1);
        assertEquals(ReplicaListFreshness.Action.CONNECT, freshness.dueAction(0.1));
        freshness.onWatchOpened();
        freshness.onLine(2, true);
        int attempts = 0;
        double now = 2;
        while (now < 2 + ReplicaListFreshness.MAX_STALENESS_SECONDS) {
            now = freshness.dueAt();
            switch (freshness.dueAction(now)) {
                case DISCONNECT -> attempts +=
                        freshness.dueAt() <= 2 + ReplicaListFreshness.MAX_STALENESS_SECONDS && now > 5.5 ? 1 : 0;
                default -> {}
            }
        }
        assertTrue(attempts >= 2, attempts + " complete attempts without a response");
    }

    @Test
    void changedAddressIsConfirmedOrStaleWithinOneAttempt() {
        ReplicaListFreshness freshness = new ReplicaListFreshness(0);
        freshness.dueAction(0);
        freshness.onFullList(0.1);
        freshness.dueAction(0.1);
        freshness.onWatchOpened();
        freshness.onLine(1, false);
        freshness.onAddressChange(1.5);
        assertEquals(ReplicaListFreshness.Action.CONNECT, freshness.dueAction(1.5));
        freshness.onWatchOpened();
        assertTrue(freshness.dueAt() < 2.5, "a response head does not confirm the list: " + freshness.dueAt());
        assertEquals(ReplicaListFreshness.Action.DISCONNECT, freshness.dueAction(freshness.dueAt()));
        assertEquals(ReplicaListFreshness.RequestKind.FULL, freshness.nextRequest());
    }

    @Test
    void newProcessServesAnUnconfirmedListOnlyAfterTwoFailedAttempts() {
        ReplicaListFreshness freshness = new ReplicaListFreshness(0);
        freshness.dueAction(0);
        freshness.onAttemptEnd(0, false);
        assertFalse(freshness.canServeUnconfirmed());
        freshness.dueAction(freshness.dueAt());
        freshness.onAttemptEnd(0.2, false);
        assertTrue(freshness.canServeUnconfirmed());
    }

    @Test
    void objectsAreSplitOnlyAtTheirEnd() {
        String odd = "{\"a\":\"}]\\\"{\\\\\",\n \"b\":[{\"c\":{}},[]]}";
        List<String> objects = new ArrayList<>();
        int[] lines = new int[1];
        JsonObjectSplitter splitter = new JsonObjectSplitter(1000, objects::add, () -> lines[0]++);
        for (byte one : (odd + "\r\n\n" + odd + odd + "\n").getBytes(StandardCharsets.UTF_8)) {
            splitter.feed(one);
        }
        assertEquals(List.of(odd, odd, odd), objects);
        assertEquals(3, lines[0]);
        assertThrows(IllegalArgumentException.class, () -> splitter.feed((byte) '}'));
        JsonObjectSplitter small = new JsonObjectSplitter(4, objects::add, () -> {});
        assertThrows(IllegalArgumentException.class, () -> {
            for (byte one : odd.getBytes(StandardCharsets.UTF_8)) {
                small.feed(one);
            }
        });
    }
}
