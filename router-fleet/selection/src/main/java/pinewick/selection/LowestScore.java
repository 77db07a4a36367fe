package pinewick.selection;

import java.util.random.RandomGenerator;

/** Tracks the candidate with the lowest score; ties are broken uniformly at random. */
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

    /** Index of the candidate with the lowest score; {@link #NONE} if none was offered. */
    int index() {
        return index;
    }

    double score() {
        return score;
    }
}
