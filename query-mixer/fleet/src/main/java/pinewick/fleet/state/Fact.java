package pinewick.fleet.state;

/**
 * One register: what one mixer said last of one searcher, in one kind. Of two words of one origin the later prevails,
 * so merging is the same in any order and any number of times.
 *
 * @param key the searcher, as {@link #key} makes it from its id
 * @param origin place of the mixer that saw it
 * @param stamp milliseconds since 1970 on the origin's clock, and above all stamps of its that it was ever told of: it
 *     stands for incarnation and counter in one, as each start begins at the clock
 * @param first the kind's figure; 0 to 10^6
 * @param second the kind's further figure, or 0
 */
public record Fact(int key, FactKind kind, int origin, long stamp, double value, double secondValue) {
    private static final double MIN_VALUE = 1e-6;
    private static final double STEPS_PER_DOUBLING = 1600; // a doubling; 2 bytes reach from a millionth to a million

    /**
     * A searcher's id as four bytes. Two ids with one key are told apart by nobody; the store's user must leave both
     * out.
     */
    public static int key(String id) {
        // FNV-1a, and the bits mixed once more, since ids often differ in few letters.
        int hash = 0x811C9DC5;
        for (int each = 0; each < id.length(); each++) {
            hash = (hash ^ id.charAt(each)) * 0x01000193;
        }
        hash ^= hash >>> 15;
        hash *= 0x2C1B3C6D;
        return hash ^ hash >>> 13;
    }

    /** Seconds since it was seen. */
    public double ageSeconds(double now) {
        return now - stamp / 1e3;
    }

    /** A figure in two bytes, within a part in two thousand; what is under a millionth is 0. */
    public static short encode(double value) {
        return (short)
                (value < MIN_VALUE
                        ? 0
                        : Math.min(
                                65535, 1 + Math.round(Math.log(value / MIN_VALUE) / Math.log(2) * STEPS_PER_DOUBLING)));
    }

    public static double decode(short code) {
        int steps = code & 0xFFFF;
        return steps == 0 ? 0 : MIN_VALUE * Math.pow(2, (steps - 1) / STEPS_PER_DOUBLING);
    }
}
