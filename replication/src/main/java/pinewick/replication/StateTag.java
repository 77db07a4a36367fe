package pinewick.replication;

/**
 * Names one state of the configuration. Only the primary of an epoch makes tags of that epoch, one after the other, so
 * stores with the same tag hold the same state.
 *
 * @param epoch counter of the epoch in which the state was written
 * @param sequence 0 for the state at the start of the epoch, then one more for each change
 */
public record StateTag(long epoch, long sequence) implements Comparable<StateTag> {
    /** Of a store that holds nothing. */
    public static final StateTag NONE = new StateTag(-1, 0);

    /** Of the founders' empty configuration. */
    public static final StateTag FOUNDING = new StateTag(0, 0);

    /** The state after one more change. */
    public StateTag next() {
        return new StateTag(epoch, sequence + 1);
    }

    @Override
    public int compareTo(StateTag other) {
        int byEpoch = Long.compare(epoch, other.epoch);
        return byEpoch != 0 ? byEpoch : Long.compare(sequence, other.sequence);
    }
}
