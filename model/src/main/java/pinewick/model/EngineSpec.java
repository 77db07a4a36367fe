package pinewick.model;

/**
 * The language-model engine of a service.
 *
 * @param slots requests in one batch
 * @param kvCacheTokens tokens that a replica's memory holds
 * @param kvTokenBytes bytes of memory a token
 * @param linkBandwidthMbps bandwidth for moves of memory, megabits a second
 * @param stride tokens of one event
 * @param handleTtlSeconds how long a prompt that was read is kept for its decode replica, seconds
 * @param switchTimeSeconds how long a change of stage takes, seconds
 */
public record EngineSpec(
        int slots,
        long kvCacheTokens,
        int kvTokenBytes,
        double linkBandwidthMbps,
        int stride,
        double handleTtlSeconds,
        double switchTimeSeconds) {}
