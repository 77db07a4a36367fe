package pinewick.selection;

import java.util.List;

/**
 * The parts of one prompt as a hash chain: the hash of each part covers its own id and the ids of all parts before it,
 * so that equal hashes mean equal prefixes.
 */
final class PromptChain {
    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;
    /** With fewer shared tokens than this, repeating their prefill costs less than sending a hint about them. */
    private static final int MIN_ADVERTISED_TOKENS = 512;

    static final PromptChain EMPTY = new PromptChain(List.of(), 0);

    private final long[] hashes;
    private final int[] tokens;
    private final int promptTokens;

    PromptChain(List<PromptPart> parts, int promptTokens) {
        hashes = new long[parts.size()];
        tokens = new int[parts.size()];
        long hash = 0;
        int sum = 0;
        for (int part = 0; part < hashes.length; part++) {
            hash = mix(hash ^ parts.get(part).id());
            hashes[part] = hash;
            tokens[part] = parts.get(part).tokens();
            sum += tokens[part];
        }
        this.promptTokens = Math.max(sum, promptTokens);
    }

    private static long mix(long value) {
        long mixed = (value + MULTIPLIER) * MULTIPLIER;
        mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
        return mixed ^ (mixed >>> 29);
    }

    /** Number of parts. */
    int length() {
        return hashes.length;
    }

    /** Hash of the prefix that ends with this part. */
    long hash(int part) {
        return hashes[part];
    }

    /** Length of one part, tokens. */
    int tokens(int part) {
        return tokens[part];
    }

    /** Length of the whole prompt, tokens. */
    int promptTokens() {
        return promptTokens;
    }

    /** Tokens of the parts before the last one, which other requests may share. */
    int sharedTokens() {
        int shared = 0;
        for (int part = 0; part < tokens.length - 1; part++) {
            shared += tokens[part];
        }
        return shared;
    }

    /** Whether hints about the replicas that have the shared parts cached are sent to other routers. */
    boolean isAdvertised() {
        return sharedTokens() >= MIN_ADVERTISED_TOKENS;
    }
}
