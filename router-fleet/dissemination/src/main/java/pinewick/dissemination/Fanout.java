package pinewick.dissemination;

/** The number of peers to which an update is sent. */
final class Fanout {
    /** Number of peers to which the origin of an update pushes it at once. */
    static final int ORIGIN_PEERS = 12;

    /** Number of peers to which a process that receives an update forwards it, at once and in each repeat. */
    static final int RELAY_PEERS = 4;

    /** Number of peers to which each record of a bulk update is forwarded. */
    static final int BULK_PEERS = 2;

    private static final int SMALL_FLEET_REPEATS = 1;
    private static final int REPEATS = 3;

    private Fanout() {}

    /**
     * The number of ticks after the first push in which an update is announced again. In a fleet where the origin
     * reaches nearly every process, the repeat only compensates for lost datagrams.
     */
    static int repeats(int peersKnown) {
        return peersKnown <= ORIGIN_PEERS ? SMALL_FLEET_REPEATS : REPEATS;
    }
}
