package pinewick.selection;

/**
 * The fraction of an earlier measurement that is observed again, by the age of the measurement. Ages fall into
 * geometric bins, each ending at four times the age of the one before. Each bin has the sums of the expected and of the
 * observed amounts, which are halved whenever the expected sum exceeds sixteen times the weight of the prior.
 */
public final class PersistenceByAge {
    private static final int BINS = 5;
    private final double firstBinEnd;
    private final double priorAmount;
    private final double[] expected = new double[BINS];
    private final double[] observed = new double[BINS];

    /**
     * @param firstBinEnd upper end of the first bin, seconds
     * @param priorAmount weight of the prior, by which everything is observed again
     */
    public PersistenceByAge(double firstBinEnd, double priorAmount) {
        this.firstBinEnd = firstBinEnd;
        this.priorAmount = priorAmount;
        java.util.Arrays.fill(expected, priorAmount);
        java.util.Arrays.fill(observed, priorAmount);
    }

    private int bin(double age) {
        int bin = 0;
        for (double end = firstBinEnd; bin < BINS - 1 && age >= end; end *= 4) {
            bin++;
        }
        return bin;
    }

    /** Records that {@code observedAmount} of {@code expectedAmount}, {@code age} seconds old, was observed again. */
    public void record(double age, double expectedAmount, double observedAmount) {
        int bin = bin(age);
        expected[bin] += expectedAmount;
        observed[bin] += observedAmount;
        if (expected[bin] > 16 * priorAmount) {
            expected[bin] /= 2;
            observed[bin] /= 2;
        }
    }

    /** The fraction of a measurement that is observed again at this age, 0 to 1. */
    public double fractionAt(double age) {
        int bin = bin(age);
        return Math.min(1, observed[bin] / expected[bin]);
    }
}
