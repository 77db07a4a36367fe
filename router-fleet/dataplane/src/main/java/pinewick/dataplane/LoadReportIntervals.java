package pinewick.dataplane;

/**
 * How often a router sends load reports and hints to other routers, and how often it polls replicas for their load. The
 * intervals grow with the number of receiving routers, so that the rate of a router's messages stays bounded. In a
 * large fleet each message goes to a few routers only, which forward it ({@link LoadReportTargets}).
 */
final class LoadReportIntervals {
    /** Interval between two messages in a small fleet, milliseconds. */
    static final long MIN_SHARE_INTERVAL_MS = 200;

    /** Interval between two messages in a fleet where messages are forwarded, milliseconds. */
    static final long FORWARDING_SHARE_INTERVAL_MS = 300;

    /** Interval between two polls of a replica in a small fleet, milliseconds. */
    static final long MIN_POLL_INTERVAL_MS = 400;

    /** Longest poll interval, milliseconds; beyond it reports would be too old to be of use. */
    static final long MAX_POLL_INTERVAL_MS = 1_000;

    /** Number of other routers up to which the shortest intervals apply. */
    static final int SMALL_FLEET = 12;

    /** Increase of the interval for each additional router, milliseconds. */
    private static final long INTERVAL_PER_ADDITIONAL_ROUTER_MS = 30;

    private LoadReportIntervals() {}

    /** The interval between two messages, milliseconds. */
    static long shareIntervalMs(int otherRouters) {
        return LoadReportTargets.isForwarding(otherRouters) ? FORWARDING_SHARE_INTERVAL_MS : intervalMs(otherRouters);
    }

    /**
     * The interval between two polls of a replica, milliseconds. It grows with the share interval, since a report that
     * was not sent yet need not be renewed.
     */
    static long pollIntervalMs(int otherRouters) {
        return Math.max(MIN_POLL_INTERVAL_MS, Math.min(MAX_POLL_INTERVAL_MS, intervalMs(otherRouters)));
    }

    private static long intervalMs(int otherRouters) {
        long additionalRouters = Math.max(0, otherRouters - SMALL_FLEET);
        return MIN_SHARE_INTERVAL_MS + additionalRouters * INTERVAL_PER_ADDITIONAL_ROUTER_MS;
    }
}
