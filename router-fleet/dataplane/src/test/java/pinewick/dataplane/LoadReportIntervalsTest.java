package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How the intervals between messages and polls depend on the size of the fleet. */
class LoadReportIntervalsTest {
    private static final int ROUTERS_IN_VIEW = 30;
    private static final int LARGE_FLEET = 1_000;
    private static final int MAX_MESSAGES_PER_SECOND = 60;

    @Test
    void aSmallFleetSharesAndPollsAtTheMinimumInterval() {
        for (int others = 0; others <= LoadReportIntervals.SMALL_FLEET; others++) {
            assertEquals(LoadReportIntervals.MIN_SHARE_INTERVAL_MS, LoadReportIntervals.shareIntervalMs(others));
            assertEquals(LoadReportIntervals.MIN_POLL_INTERVAL_MS, LoadReportIntervals.pollIntervalMs(others));
        }
    }

    @Test
    void theMessageRateOfARouterIsBoundedInAFleetOfAnySize() {
        for (int others = 1; others <= LARGE_FLEET; others++) {
            int targets = LoadReportTargets.isForwarding(others)
                    ? LoadReportTargets.TARGETS_IN_ZONE + LoadReportTargets.TARGETS_IN_OTHER_ZONES
                    : others;
            double messagesPerSecond = targets * 1_000.0 / LoadReportIntervals.shareIntervalMs(others);
            assertTrue(messagesPerSecond <= MAX_MESSAGES_PER_SECOND + 0.5, others + " others: " + messagesPerSecond);
        }
    }

    @Test
    void aReplicaIsNotPolledMoreOftenThanItsReportIsShared() {
        for (int others = 0; others <= LARGE_FLEET; others++) {
            assertTrue(LoadReportIntervals.pollIntervalMs(others) >= LoadReportIntervals.shareIntervalMs(others));
        }
        assertEquals(740, LoadReportIntervals.pollIntervalMs(ROUTERS_IN_VIEW));
    }

    @Test
    void sharedReportsAreNeverOlderThanASecond() {
        for (int others = 0; others <= LARGE_FLEET; others++) {
            assertTrue(LoadReportIntervals.shareIntervalMs(others) <= 1_000);
        }
        assertEquals(1_000, LoadReportIntervals.pollIntervalMs(LARGE_FLEET));
    }
}
