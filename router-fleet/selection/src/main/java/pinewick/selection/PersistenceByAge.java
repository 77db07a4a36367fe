package pinewick.selection;

/**
 * How much of an earlier measurement is observed again, by its age: geometric bins of ages, each four times as long as
 * the one before, with the sums of the expected and of the observed amounts, halved from time to time.
 */
public final class PersistenceByAge {
    private static final int BINS = 5;
    private final double firstBinEnd;
    private final double priorAmount;
    private final double[] expected = new double[BINS];
    private final double[] observed = new double[BINS];

    /**
     * @param firstBinEnd the first bin's end, seconds
     * @param priorAmount the weight of the prior, which is that everything is observed again
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

    public void record(double age, double expectedAmount, double observedAmount) {
        int bin = bin(age);
        expected[bin] += expectedAmount;
        observed[bin] += observedAmount;
        if (expected[bin] > 16 * priorAmount) {
            expected[bin] /= 2;
            observed[bin] /= 2;
        }
    }

    /** The fraction observed again at this age, 0 to 1. */
    public double fractionAt(double age) {
        int bin = bin(age);
        return Math.min(1, observed[bin] / expected[bin]);
    }
}
