package pinewick.selection;

/**
 * Parameters of the score. The form R - s + q̂³·s with q̂ = 1 + os·n + q·(1 + busy share), n being the number of
 * routers, is fixed.
 *
 * @param smoothing smoothing factor of R for one response
 * @param busyWeight factor of the busy share that scales the reported queue
 * @param countInBatches whether os·n and q count in batches of a replica's slots
 * @param serviceByRequest whether s is the request's own service time, or the minimum recent latency whatever its size
 * @param queueingDelayHalfLifeMs time in which R - s of a replica without samples falls half way to its pool's average
 * @param reportHalfLife a report counts half after this multiple of the mean latency of its pool
 * @param interferenceWeight weight of the delay that a prefill causes to calls that arrive meanwhile
 * @param repeatedPrefillWeight weight of the price of a prefill that another replica has cached: more than 1, since a
 *     prefix that is cached once in the fleet leaves capacity for others
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
    /** What routers run with. */
    public static final SelectionTuning DEFAULT = new SelectionTuning(0.3, 1, true, true, 2_000, 0.5, 1, 4);

    /** The same with another busy weight. */
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

    /** The same with another unit of os·n and q. */
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

    /** The same with another estimate of s. */
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

    /** The same with another weight of the delay of other calls. */
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

    /** The same with another weight of repeated prefill. */
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
