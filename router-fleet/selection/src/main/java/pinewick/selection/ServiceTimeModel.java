package pinewick.selection;

/**
 * A linear model of the service time of one kind of call: a fixed part, and a time for each token prefilled or
 * transferred. It is fitted to recent samples by quantile regression (Koenker and Bassett, Regression Quantiles,
 * Econometrica 1978) so that a quarter of the samples lie below the line, since the others are taken to have been
 * queued. The samples are stored in groups by size, so that many short requests do not replace the long ones that
 * determine the time of a token.
 */
final class ServiceTimeModel {
    private static final double QUANTILE = 0.25;
    /** Lower bounds of all groups but the first, tokens. */
    private static final double[] GROUP_LOWER_TOKENS = {256, 1_024, 4_096, 16_384};

    private static final int GROUPS = GROUP_LOWER_TOKENS.length + 1;
    private static final int GROUP_SIZE = 8;
    private static final int POINTS = GROUPS * GROUP_SIZE;
    /** The time of a token counts as known from this many samples of long requests on. */
    private static final int MIN_LONG_SAMPLES = 2;

    private static final int FIRST_LONG_GROUP = 2;
    /** Number of samples between fits; the first samples, up to twice this number, are each followed by a fit. */
    private static final int REFIT_EVERY = 4;

    private final double[] tokens = new double[POINTS];
    private final double[] times = new double[POINTS];
    private final double[] weights = new double[POINTS];
    private final int[] added = new int[GROUPS];
    private int samples;
    private int longSamples;
    private double fixedMs;
    private double perTokenMs;

    int samples() {
        return samples;
    }

    /** Whether there are enough samples of long requests to know the time of a token. */
    boolean isPerTokenKnown() {
        return longSamples >= MIN_LONG_SAMPLES;
    }

    /** Expected time without queueing, milliseconds. */
    double predict(double forTokens) {
        return fixedMs + perTokenMs * forTokens;
    }

    double perTokenMs() {
        return perTokenMs;
    }

    double fixedMs() {
        return fixedMs;
    }

    /** Adds a sample: the time of one call, which includes an unknown queueing time. */
    void addSample(double forTokens, double timeMs, double weight) {
        int group = 0;
        while (group < GROUP_LOWER_TOKENS.length && forTokens >= GROUP_LOWER_TOKENS[group]) {
            group++;
        }
        put(group * GROUP_SIZE + added[group] % GROUP_SIZE, forTokens, timeMs, weight);
        added[group]++;
        samples++;
        longSamples += group >= FIRST_LONG_GROUP ? 1 : 0;
        if (samples <= 2 * REFIT_EVERY || samples % REFIT_EVERY == 0) {
            fit();
        }
    }

    private void put(int point, double forTokens, double timeMs, double weight) {
        tokens[point] = forTokens;
        times[point] = timeMs;
        weights[point] = weight;
    }

    /**
     * Fits the line with the least loss. Candidates are the lines through two of the points and the horizontal ones
     * through one; a line with a negative fixed part or slope is not considered.
     */
    private void fit() {
        double leastLoss = Double.POSITIVE_INFINITY;
        for (int one = 0; one < POINTS; one++) {
            if (weights[one] == 0) {
                continue;
            }
            for (int other = one; other < POINTS; other++) {
                if (weights[other] == 0) {
                    continue;
                }
                double spread = tokens[other] - tokens[one];
                double perToken = spread == 0 ? 0 : (times[other] - times[one]) / spread;
                double fixed = times[one] - perToken * tokens[one];
                if (perToken < 0 || fixed < 0) {
                    continue;
                }
                double loss = loss(fixed, perToken, leastLoss);
                if (loss < leastLoss) {
                    leastLoss = loss;
                    fixedMs = fixed;
                    perTokenMs = perToken;
                }
            }
        }
    }

    private double loss(double fixed, double perToken, double upperLimit) {
        double loss = 0;
        for (int point = 0; point < POINTS && loss < upperLimit; point++) {
            double residual = times[point] - fixed - perToken * tokens[point];
            loss += weights[point] * (residual > 0 ? QUANTILE * residual : (QUANTILE - 1) * residual);
        }
        return loss;
    }
}
