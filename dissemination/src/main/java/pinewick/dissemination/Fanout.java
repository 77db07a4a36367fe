package pinewick.dissemination;

/** How many peers are told of something new. */
final class Fanout {
    /** Peers told at once by the process where it arose. */
    static final int ORIGIN = 12;

    /** Peers told by each process to which it is new, at once and again in each later wave. */
    static final int RELAY = 4;

    /** Peers told at once of each of many records. */
    static final int OF_MANY = 2;

    private static final int WAVES_IN_A_SMALL_FLEET = 1;
    private static final int WAVES = 3;

    private Fanout() {}

    /**
     * Ticks after the first push in which a few more peers are told the number or name of what is new. In a fleet where
     * the origin reaches nearly all, they only make up for lost datagrams.
     */
    static int laterWaves(int peersKnown) {
        return peersKnown <= ORIGIN ? WAVES_IN_A_SMALL_FLEET : WAVES;
    }
}
