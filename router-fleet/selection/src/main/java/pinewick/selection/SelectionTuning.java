package pinewick.selection;

/**
 * Parameters of the score. Its form R - s + q̂³·s with q̂ = 1 + os·n + q·(1 + busy share) is fixed; {@link
 * ReplicaSelector} names the terms.
 *
 * @param smoothing weight of a new sample in the exponential averages of R - s and of the other delays
 * @param busyWeight weight of the busy share, by which the queue is scaled up
 * @param countInBatches whether os·n and q are divided by the number of the replica's slots
 * @param serviceByRequest whether s is estimated from the request's size; otherwise it is the minimum recent latency
 * @param queueingDelayHalfLifeMs time in which R - s of a replica without new samples decays halfway to its pool's
 *     average
 * @param reportHalfLife half-life of the weight of a load report, as a multiple of the mean latency of the pool
 * @param interferenceWeight weight of the delay that a prefill causes to calls that arrive while it runs
 * @param repeatedPrefillWeight weight of the price of a prefill that another replica has cached; more than 1, since a
 *     prefix cached only once in the fleet leaves cache capacity for others
 */
public record SelectionTuning(
        double smoothing,
        double busyWeight,
        boolean countInBatches,
        boolean serviceByRequest,
        double queueingDelayHalfLifeMs,
        double reportHalfLife,
        double interferenceWeight,
        double repeatedPrefillWeight) {
    /** The values that routers use. */
    public static final SelectionTuning DEFAULT = new SelectionTuning(0.3, 1, true, true, 2_000, 0.5, 1, 4);

    /** A copy with another weight of the busy share. */
    public SelectionTuning withBusyWeight(double other) {
        return new SelectionTuning(
                smoothing,
                other,
                countInBatches,
                serviceByRequest,
                queueingDelayHalfLifeMs,
                reportHalfLife,
                interferenceWeight,
                repeatedPrefillWeight);
    }

    /** A copy with another unit of os·n and q. */
    public SelectionTuning withCountInBatches(boolean other) {
        return new SelectionTuning(
                smoothing,
                busyWeight,
                other,
                serviceByRequest,
                queueingDelayHalfLifeMs,
                reportHalfLife,
                interferenceWeight,
                repeatedPrefillWeight);
    }

    /** A copy with another estimate of s. */
    public SelectionTuning withServiceByRequest(boolean other) {
        return new SelectionTuning(
                smoothing,
                busyWeight,
                countInBatches,
                other,
                queueingDelayHalfLifeMs,
                reportHalfLife,
                interferenceWeight,
                repeatedPrefillWeight);
    }

    /** A copy with another weight of the delay of other calls. */
    public SelectionTuning withInterferenceWeight(double other) {
        return new SelectionTuning(
                smoothing,
                busyWeight,
                countInBatches,
                serviceByRequest,
                queueingDelayHalfLifeMs,
                reportHalfLife,
                other,
                repeatedPrefillWeight);
    }

    /** A copy with another weight of repeated prefill. */
    public SelectionTuning withRepeatedPrefillWeight(double other) {
        return new SelectionTuning(
                smoothing,
                busyWeight,
                countInBatches,
                serviceByRequest,
                queueingDelayHalfLifeMs,
                reportHalfLife,
                interferenceWeight,
                other);
    }
}
