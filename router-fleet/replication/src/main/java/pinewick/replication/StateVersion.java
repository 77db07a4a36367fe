package pinewick.replication;

/**
 * Identifies one state of the configuration. Only the primary of an epoch assigns versions of that epoch, one after the
 * other, so stores with the same version have the same state.
 *
 * @param epoch counter of the epoch in which the state was written
 * @param sequence 0 for the state at the start of the epoch, then one more for each change
 */
public record StateVersion(long epoch, long sequence) implements Comparable<StateVersion> {
    /** Version of a store that has no state. */
    public static final StateVersion NONE = new StateVersion(-1, 0);

    /** Version of the founders' empty configuration. */
    public static final StateVersion FOUNDING = new StateVersion(0, 0);

    /** The version after one more change in the same epoch. */
    public StateVersion next() {
        return new StateVersion(epoch, sequence + 1);
    }

    @Override
    public int compareTo(StateVersion other) {
        int byEpoch = Long.compare(epoch, other.epoch);
        return byEpoch != 0 ? byEpoch : Long.compare(sequence, other.sequence);
    }
}
