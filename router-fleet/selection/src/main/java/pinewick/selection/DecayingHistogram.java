package pinewick.selection;

/**
 * A histogram with geometric bins, each wider than the one below by the same factor. All counts are halved when their
 * total reaches a limit, so that recent values weigh more.
 */
public final class DecayingHistogram {
    private final double[] edges;
    private final double[] counts;
    private final double halvingCount;
    private double total;
    private final double[] cachedFractions = new double[4];
    private final double[] cachedValues = new double[4];
    private int cachedQuantiles;

    /**
     * @param highestEdge upper edge of the last bin
     * @param factor ratio of the upper edges of neighbouring bins
     * @param bins number of bins
     * @param halvingCount total at which all counts are halved
     */
    public DecayingHistogram(double highestEdge, double factor, int bins, double halvingCount) {
        edges = new double[bins];
        counts = new double[bins];
        this.halvingCount = halvingCount;
        double edge = highestEdge;
        for (int bin = bins - 1; bin >= 0; bin--) {
            edges[bin] = edge;
            edge /= factor;
        }
    }

    /** Adds a value; one above the highest edge counts in the last bin. */
    public void add(double value) {
        cachedQuantiles = 0;
        int bin = 0;
        while (bin < edges.length - 1 && value > edges[bin]) {
            bin++;
        }
        counts[bin]++;
        total++;
        if (total >= halvingCount) {
            total = 0;
            for (int index = 0; index < counts.length; index++) {
                counts[index] /= 2;
                total += counts[index];
            }
        }
    }

    /** The sum of the counts, after halving. */
    public double total() {
        return total;
    }

    /** The value below which this fraction of the values lies, interpolated within its bin. */
    public double quantile(double fraction) {
        for (int index = 0; index < cachedQuantiles; index++) {
            if (cachedFractions[index] == fraction) {
                return cachedValues[index];
            }
        }
        double value = computeQuantile(fraction);
        if (cachedQuantiles < cachedFractions.length) {
            cachedFractions[cachedQuantiles] = fraction;
            cachedValues[cachedQuantiles++] = value;
        }
        return value;
    }

    /**
     * The mean of the values, each taken as the middle of its bin; 0 without any. A value above the highest edge counts
     * in the last bin.
     */
    public double mean() {
        double sum = 0;
        for (int bin = 0; bin < edges.length; bin++) {
            sum += counts[bin] * (bin == 0 ? edges[0] / 2 : (edges[bin - 1] + edges[bin]) / 2);
        }
        return total == 0 ? 0 : sum / total;
    }

    private double computeQuantile(double fraction) {
        double remaining = fraction * total;
        for (int bin = 0; bin < edges.length; bin++) {
            if (counts[bin] > 0 && remaining <= counts[bin]) {
                double low = bin == 0 ? 0 : edges[bin - 1];
                return low + (edges[bin] - low) * remaining / counts[bin];
            }
            remaining -= counts[bin];
        }
        return edges[edges.length - 1];
    }
}
