package pinewick.fleet.state;

/**
 * The latest statement of one router about one replica, of one kind: a last-writer-wins register. Of two facts of
 * one origin the one with the later stamp takes precedence, so merging is independent of order and repetition.
 *
 * @param key the replica, derived from its id by {@link #key}
 * @param origin index of the router that observed it
 * @param stamp milliseconds since 1970 on the clock of the origin, and higher than all of its stamps that it ever
 *     received: serves as incarnation and counter in one, as each start begins at the clock
 * @param value figure of the kind; 0 to 10^6
 * @param secondValue second figure of the kind, or 0
 */
public record Fact(int key, FactKind kind, int origin, long stamp, double value, double secondValue) {
    private static final double MIN_VALUE = 1e-6;
    private static final double STEPS_PER_DOUBLING = 1600; // 2 bytes cover a millionth to a million

    /**
     * Hashes the id of a replica to four bytes. Facts of two ids with the same key cannot be told apart; the
     * caller must exclude both ids.
     */
    public static int key(String id) {
        // FNV-1a with a final mix of the bits, since ids often differ in few letters.
        int hash = 0x811C9DC5;
        for (int each = 0; each < id.length(); each++) {
            hash = (hash ^ id.charAt(each)) * 0x01000193;
        }
        hash ^= hash >>> 15;
        hash *= 0x2C1B3C6D;
        return hash ^ hash >>> 13;
    }

    /** Seconds since the observation. */
    public double ageSeconds(double now) {
        return now - stamp / 1e3;
    }

    /** Encodes a figure in two bytes with a relative error of at most 1/2000; a figure below a millionth becomes 0. */
    public static short encode(double value) {
        return (short)
                (value < MIN_VALUE
                        ? 0
                        : Math.min(
                                65535, 1 + Math.round(Math.log(value / MIN_VALUE) / Math.log(2) * STEPS_PER_DOUBLING)));
    }

    /** Decodes a figure that {@link #encode} has encoded. */
    public static double decode(short code) {
        int steps = code & 0xFFFF;
        return steps == 0 ? 0 : MIN_VALUE * Math.pow(2, (steps - 1) / STEPS_PER_DOUBLING);
    }
}
