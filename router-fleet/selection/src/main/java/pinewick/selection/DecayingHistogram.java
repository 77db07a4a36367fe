package pinewick.selection;

/**
 * A histogram of a few geometric bins, each wider than the one below by the same factor, whose counts are halved once
 * their total reaches a limit.
 */
public final class DecayingHistogram {
    private final double[] edges;
    private final double[] counts;
    private final double halvingCount;
    private double total;
    private final double[] cachedFractions = new double[4];
    private final double[] cachedTimes = new double[4];
    private int cachedQuantiles;

    /** {@code highestEdge} is the upper edge of the last bin. */
    public DecayingHistogram(double highestEdge, double factor, int bins, double full) {
        edges = new double[bins];
        counts = new double[bins];
        this.halvingCount = full;
        double edge = highestEdge;
        for (int bin = bins - 1; bin >= 0; bin--) {
            edges[bin] = edge;
            edge /= factor;
        }
    }

    public void add(double time) {
        cachedQuantiles = 0;
        int bin = 0;
        while (bin < edges.length - 1 && time > edges[bin]) {
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

    public double total() {
        return total;
    }

    /** The value below which this fraction of the values lies, interpolated within its bin. */
    public double quantile(double fraction) {
        for (int index = 0; index < cachedQuantiles; index++) {
            if (cachedFractions[index] == fraction) {
                return cachedTimes[index];
            }
        }
        double time = computeQuantile(fraction);
        if (cachedQuantiles < cachedFractions.length) {
            cachedFractions[cachedQuantiles] = fraction;
            cachedTimes[cachedQuantiles++] = time;
        }
        return time;
    }

    /**
     * The mean of the values, each taken as the middle of its bin; a value beyond the last edge counts as in the last
     * bin.
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
