package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How the pauses between news grow with the fleet. */
class LoadReportIntervalsTest {
    private static final int ROUTERS_IN_A_VIEW = 30;
    private static final int MOST_MESSAGES_A_SECOND = 60;

    @Test
    void aSmallFleetSharesAndPollsAtTheMinimumInterval() {
        for (int others = 0; others <= LoadReportIntervals.SMALL_FLEET; others++) {
            assertEquals(LoadReportIntervals.MIN_SHARE_INTERVAL_MS, LoadReportIntervals.shareIntervalMs(others));
            assertEquals(LoadReportIntervals.MIN_POLL_INTERVAL_MS, LoadReportIntervals.pollIntervalMs(others));
        }
    }

    @Test
    void theMessageRateOfARouterIsBoundedUpToAFullView() {
        for (int others = 1; others <= ROUTERS_IN_A_VIEW; others++) {
            double messagesASecond = others * 1_000.0 / LoadReportIntervals.shareIntervalMs(others);
            assertTrue(messagesASecond <= MOST_MESSAGES_A_SECOND + 0.5, others + " others: " + messagesASecond);
        }
        assertEquals(740, LoadReportIntervals.shareIntervalMs(ROUTERS_IN_A_VIEW));
    }

    @Test
    void aReplicaIsNotPolledMoreOftenThanItsReportIsShared() {
        for (int others = 0; others <= ROUTERS_IN_A_VIEW; others++) {
            assertTrue(LoadReportIntervals.pollIntervalMs(others) >= LoadReportIntervals.shareIntervalMs(others));
        }
        assertEquals(740, LoadReportIntervals.pollIntervalMs(ROUTERS_IN_A_VIEW));
    }

    @Test
    void sharedReportsAreNeverOlderThanASecond() {
        assertEquals(LoadReportIntervals.MAX_SHARE_INTERVAL_MS, LoadReportIntervals.shareIntervalMs(1_000));
    }
}
