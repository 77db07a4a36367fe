package pinewick.dataplane;

/**
 * How often a router tells the others what it saw of replicas, and how often it asks replicas for their load. The
 * pauses grow with the number of routers that are told, so that the messages a router sends and receives stay bounded
 * in a large fleet.
 */
final class SharingPace {
    /** Pause between two tellings in a small fleet, milliseconds. */
    static final long SHORTEST_SHARE_MS = 200;

    /** Pause between two questions to a replica in a small fleet, milliseconds. */
    static final long SHORTEST_REPORT_MS = 400;

    /** Beyond this pause the news is too old to be of use, milliseconds. */
    static final long LONGEST_SHARE_MS = 1_000;

    /** Messages with news that a router sends, and about as many that it receives, each second. */
    private static final long MESSAGES_A_SECOND = 40;

    private static final long MILLISECONDS = 1_000;

    private SharingPace() {}

    /** The pause between two tellings, milliseconds. */
    static long shareMs(int otherRouters) {
        long pause = otherRouters * MILLISECONDS / MESSAGES_A_SECOND;
        return Math.max(SHORTEST_SHARE_MS, Math.min(LONGEST_SHARE_MS, pause));
    }

    /** The pause between two questions for load: a report that is not told yet need not be renewed. */
    static long reportMs(int otherRouters) {
        return Math.max(SHORTEST_REPORT_MS, shareMs(otherRouters));
    }
}
