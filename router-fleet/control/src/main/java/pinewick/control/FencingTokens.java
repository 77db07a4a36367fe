package pinewick.control;

import java.util.Optional;

/**
 * Issues fencing tokens for orders to replicas. A token consists of the epoch that this process leads, in the high
 * bits, and a counter, so that tokens increase from one lease holder to the next and are unique. Control loop only.
 */
final class FencingTokens {
    private static final int COUNT_BITS = 20;
    private static final long MAX_TOKENS_PER_EPOCH = 1L << COUNT_BITS;

    private final String nodeName;
    private long epoch = -1;
    private long count;

    /**
     * @param leaseHolder the process that sends the order, {@code holder} on the wire
     * @param token a number higher than every earlier token, {@code fencing_token} on the wire
     */
    record Fence(String leaseHolder, long token) {}

    FencingTokens(String nodeName) {
        this.nodeName = nodeName;
    }

    /** Returns the next token; empty if this process leads no epoch or has used up the tokens of its epoch. */
    Optional<Fence> next(Optional<Long> leadingEpoch) {
        if (leadingEpoch.isEmpty()) {
            return Optional.empty();
        }
        if (leadingEpoch.get() != epoch) {
            epoch = leadingEpoch.get();
            count = 0;
        }
        if (count >= MAX_TOKENS_PER_EPOCH) {
            return Optional.empty();
        }
        return Optional.of(new Fence(nodeName + "/" + epoch, (epoch << COUNT_BITS) + count++));
    }
}
