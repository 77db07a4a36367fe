package pinewick.model;

/**
 * The language-model engine of a service.
 *
 * @param slots maximum number of requests in one batch
 * @param kvCacheTokens capacity of a replica's KV cache, tokens
 * @param kvTokenBytes size of a token in the KV cache, bytes
 * @param linkBandwidthMbps bandwidth for KV-cache transfers, megabits per second
 * @param stride tokens per event of a stream
 * @param handleTtlSeconds how long the KV cache of a prefilled prompt is kept for its decode replica, seconds
 * @param switchTimeSeconds how long a replica takes to switch to another stage, seconds
 */
public record EngineSpec(
        int slots,
        long kvCacheTokens,
        int kvTokenBytes,
        double linkBandwidthMbps,
        int stride,
        double handleTtlSeconds,
        double switchTimeSeconds) {}
