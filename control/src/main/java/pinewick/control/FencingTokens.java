package pinewick.control;

import java.util.Optional;

/**
 * Fencing tokens for orders to replicas. A token is the epoch that this process leads, followed by a count, so that
 * tokens rise over all holders there ever are and no two holders share one. Owned by the control loop.
 */
final class FencingTokens {
    private static final int COUNT_BITS = 20;
    private static final long MOST_A_EPOCH = 1L << COUNT_BITS;

    private final String nodeName;
    private long epoch = -1;
    private long count;

    /**
     * @param holder who gives the order
     * @param token higher than every token before
     */
    record Fence(String holder, long token) {}

    FencingTokens(String nodeName) {
        this.nodeName = nodeName;
    }

    /** The next token; none while this process leads no epoch, or has used up its tokens. */
    Optional<Fence> next(Optional<Long> leadingEpoch) {
        if (leadingEpoch.isEmpty()) {
            return Optional.empty();
        }
        if (leadingEpoch.get() != epoch) {
            epoch = leadingEpoch.get();
            count = 0;
        }
        if (count >= MOST_A_EPOCH) {
            return Optional.empty();
        }
        return Optional.of(new Fence(nodeName + "/" + epoch, (epoch << COUNT_BITS) + count++));
    }
}
