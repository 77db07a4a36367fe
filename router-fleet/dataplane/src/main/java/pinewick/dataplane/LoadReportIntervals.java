package pinewick.dataplane;

/**
 * How often a router sends load reports to the other routers, and how often it polls replicas for their load. The
 * intervals grow with the number of routers, so that the message rate of a router stays bounded in a large fleet.
 */
final class LoadReportIntervals {
    /** Interval between two messages in a small fleet, milliseconds. */
    static final long MIN_SHARE_INTERVAL_MS = 200;

    /** Interval between two polls of a replica in a small fleet, milliseconds. */
    static final long MIN_POLL_INTERVAL_MS = 400;

    /** Beyond this interval the reports are too old to be of use, milliseconds. */
    static final long MAX_SHARE_INTERVAL_MS = 1_000;

    /** Up to this many other routers the shortest interval applies. */
    static final int SMALL_FLEET = 12;

    /** What each additional router adds to the interval, milliseconds: a full view gets 40 messages a second. */
    private static final long INTERVAL_PER_ADDITIONAL_ROUTER_MS = 30;

    private LoadReportIntervals() {}

    /** The interval between two messages, milliseconds. */
    static long shareIntervalMs(int otherRouters) {
        long additionalRouters = Math.max(0, otherRouters - SMALL_FLEET);
        return Math.min(
                MAX_SHARE_INTERVAL_MS, MIN_SHARE_INTERVAL_MS + additionalRouters * INTERVAL_PER_ADDITIONAL_ROUTER_MS);
    }

    /** The interval between two polls, milliseconds: a report that was not sent yet need not be renewed. */
    static long pollIntervalMs(int otherRouters) {
        return Math.max(MIN_POLL_INTERVAL_MS, shareIntervalMs(otherRouters));
    }
}
