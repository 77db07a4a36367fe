package pinewick.selection;

/**
 * The time that calls of one kind take by the tokens that they read or move: a fixed part and a pace, learnt from answers.
 * A regression with forgetting, in which an answer above the line weighs less than one below it, so that waiting counts
 * little.
 */
final class ServiceTimeModel {
    private static final double FORGET = 0.98;
    private static final double WEIGHT_ABOVE = 0.15;
    private static final double FIRST_WEIGHT = 0.05;
    /** Tokens at which an answer's weight is halved, since its spread grows with its length. */
    private static final double HALF_WEIGHT_TOKENS = 4_000;

    private static final double LEAST_MS = 0.1;

    private double weight;
    private double sumTokens;
    private double sumTime;
    private double sumTokensTokens;
    private double sumTokensTime;
    private double fixedMs;
    private double paceMs;
    private int samples;

    /** The first guess: a fixed part, and so much more for a prompt of so many tokens. */
    void guess(int tokens, double fixed, double forTokens) {
        put(0, fixed, FIRST_WEIGHT);
        if (tokens > 0) {
            put(tokens, fixed + forTokens, FIRST_WEIGHT);
        }
        solve();
    }

    /** Whether there is neither a guess nor an answer. */
    boolean empty() {
        return weight == 0;
    }

    int samples() {
        return samples;
    }

    /** Expected time without waiting. */
    double predict(double tokens) {
        return fixedMs + paceMs * tokens;
    }

    double paceMs() {
        return paceMs;
    }

    double fixedMs() {
        return fixedMs;
    }

    /** An answer took this long, of which waiting is unknown. */
    void learn(double tokens, double timeMs, double trust) {
        double side = samples > 0 && timeMs > predict(tokens) ? WEIGHT_ABOVE : 1;
        weight *= FORGET;
        sumTokens *= FORGET;
        sumTime *= FORGET;
        sumTokensTokens *= FORGET;
        sumTokensTime *= FORGET;
        put(tokens, timeMs, trust * side / (1 + tokens / HALF_WEIGHT_TOKENS));
        samples++;
        solve();
    }

    private void put(double tokens, double timeMs, double its) {
        weight += its;
        sumTokens += its * tokens;
        sumTime += its * timeMs;
        sumTokensTokens += its * tokens * tokens;
        sumTokensTime += its * tokens * timeMs;
    }

    private void solve() {
        double spread = weight * sumTokensTokens - sumTokens * sumTokens;
        double covariance = weight * sumTokensTime - sumTokens * sumTime;
        paceMs = spread > 1e-9 ? Math.max(0, covariance / spread) : 0;
        fixedMs = (sumTime - paceMs * sumTokens) / weight;
        if (fixedMs < LEAST_MS) {
            fixedMs = LEAST_MS;
            paceMs = Math.max(0, (sumTokensTime - LEAST_MS * sumTokens) / sumTokensTokens);
        }
    }
}
