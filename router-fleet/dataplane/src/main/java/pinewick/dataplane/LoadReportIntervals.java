package pinewick.dataplane;

/**
 * How often a router sends load reports and hints to other routers, and how often it polls replicas for their load. The
 * rate of its messages stays bounded in a large fleet: there it sends to some of the others only, which forward what is
 * new to them ({@link LoadReportTargets}).
 */
final class LoadReportIntervals {
    /** Interval between two messages in a small fleet, milliseconds. */
    static final long SMALL_FLEET_SHARE_INTERVAL_MS = 200;

    /** Interval between two messages where they are forwarded, milliseconds: one step of the forwarding. */
    static final long FORWARDING_SHARE_INTERVAL_MS = 300;

    /** Interval between two polls of a replica in a small fleet, milliseconds. */
    static final long MIN_POLL_INTERVAL_MS = 400;

    /** Beyond this interval the reports are too old to be of use, milliseconds. */
    static final long MAX_POLL_INTERVAL_MS = 1_000;

    /** What each additional router adds to the interval of polls, milliseconds: each poll has a price. */
    private static final long POLL_INTERVAL_PER_ADDITIONAL_ROUTER_MS = 30;

    private LoadReportIntervals() {}

    /** The interval between two messages, milliseconds. */
    static long shareIntervalMs(int otherRouters) {
        return LoadReportTargets.isForwarding(otherRouters)
                ? FORWARDING_SHARE_INTERVAL_MS
                : SMALL_FLEET_SHARE_INTERVAL_MS;
    }

    /** The interval between two polls, milliseconds: a report that was not sent yet need not be renewed. */
    static long pollIntervalMs(int otherRouters) {
        long additionalRouters = Math.max(0, otherRouters - LoadReportTargets.SMALL_FLEET);
        long intervalMs = SMALL_FLEET_SHARE_INTERVAL_MS + additionalRouters * POLL_INTERVAL_PER_ADDITIONAL_ROUTER_MS;
        return Math.max(MIN_POLL_INTERVAL_MS, Math.min(MAX_POLL_INTERVAL_MS, intervalMs));
    }
}
