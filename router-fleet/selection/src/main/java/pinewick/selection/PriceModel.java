package pinewick.selection;

/**
 * Converts the prices of a choice into milliseconds of score. Prices are fractions of the value of one request. They
 * differ between deployments, so typical values are used, which are small compared with the times in the score.
 */
final class PriceModel {
    /** Milliseconds of score for the value of one request. */
    private static final double MS_PER_UNIT = 100;
    /** Price of a gigabyte of KV cache transferred within a zone. */
    private static final double TRANSFER_PRICE_PER_GIGABYTE = 0.5;
    /** Factors of the time and the price of a transfer that leaves the zone, or the region. */
    private static final double CROSS_ZONE_FACTOR = 2;

    private static final double CROSS_REGION_FACTOR = 10;
    private static final double MAX_PRICE_FACTOR = 3;
    /** Price of the prefill of one token that another replica has cached. */
    private static final double REPEATED_PREFILL_PRICE_PER_TOKEN = 2e-4;
    /** Price of a gigabyte of requests and responses between zones. */
    private static final double CROSS_ZONE_PRICE_PER_GIGABYTE = 4_000;
    /** Bytes of a request without its prompt, plus those of its response. */
    private static final double PLAIN_BYTES = 2_000;

    private static final double BITS_PER_BYTE = 8;
    private static final double BYTES_PER_GIGABYTE = 1e9;

    private PriceModel() {}

    /** How many times longer a transfer takes than within a zone. */
    static double transferFactor(boolean sameZone, boolean sameRegion) {
        return sameZone ? 1 : sameRegion ? CROSS_ZONE_FACTOR : CROSS_REGION_FACTOR;
    }

    /** Time of a transfer within a zone, milliseconds. */
    static double transferMs(double bytes, double bandwidthMbps) {
        return bytes * BITS_PER_BYTE / (bandwidthMbps * 1e3);
    }

    /** Price of a transfer, milliseconds of score. */
    static double transferPrice(double bytes, double transferFactor) {
        return MS_PER_UNIT
                * TRANSFER_PRICE_PER_GIGABYTE
                * bytes
                / BYTES_PER_GIGABYTE
                * Math.min(MAX_PRICE_FACTOR, transferFactor);
    }

    /** Price of the prefill of tokens that another replica has cached, milliseconds of score. */
    static double repeatedPrefillPrice(double tokens) {
        return MS_PER_UNIT * REPEATED_PREFILL_PRICE_PER_TOKEN * tokens;
    }

    /** Price of a request to another zone, milliseconds of score; counts one byte of body for each prompt token. */
    static double crossZonePrice(int promptTokens) {
        return MS_PER_UNIT * CROSS_ZONE_PRICE_PER_GIGABYTE * (PLAIN_BYTES + promptTokens) / BYTES_PER_GIGABYTE;
    }
}
