package pinewick.replication;

/**
 * Number of an epoch: a ballot number of Paxos. A witness promises a number only if its counter is higher than that of
 * every number it promised before, so no two chosen records share a counter.
 *
 * @param counter decides the order; -1 for none, 0 for the founding epoch
 * @param proposer identity of the store whose process proposed it
 */
public record EpochNumber(long counter, String proposer) implements Comparable<EpochNumber> {
    /** Lower than the number of every epoch: the promise of a store that has promised none. */
    public static final EpochNumber NONE = new EpochNumber(-1, "");

    /** The epoch from which the founders start. */
    public static final EpochNumber FOUNDING = new EpochNumber(0, "");

    @Override
    public int compareTo(EpochNumber other) {
        int byCounter = Long.compare(counter, other.counter);
        return byCounter != 0 ? byCounter : proposer.compareTo(other.proposer);
    }

    /** Whether this number comes after {@code other}. */
    public boolean isAfter(EpochNumber other) {
        return compareTo(other) > 0;
    }
}
