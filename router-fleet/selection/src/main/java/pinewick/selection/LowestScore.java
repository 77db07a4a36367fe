package pinewick.selection;

import java.util.random.RandomGenerator;

/** Keeps the lowest score that was offered; equal ones win at random. */
final class LowestScore {
    static final int NONE = -1;

    private final RandomGenerator random;
    private int index = NONE;
    private double score = Double.POSITIVE_INFINITY;
    private int ties;

    LowestScore(RandomGenerator random) {
        this.random = random;
    }

    void offer(int candidate, double candidateScore) {
        if (index == NONE || candidateScore < score) {
            index = candidate;
            score = candidateScore;
            ties = 1;
        } else if (candidateScore == score && random.nextInt(++ties) == 0) {
            index = candidate;
        }
    }

    /** The candidate, {@link #NONE} if there was none. */
    int index() {
        return index;
    }

    double score() {
        return score;
    }
}
